package discoverypace

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms   = time.Millisecond
	step = 5 * ms
)

// service is a discovery service that handles one call at a time, including calls that have timed out at the caller.
type service struct {
	timePerCall time.Duration
	idleAt      time.Duration // when the calls accepted so far have been handled
}

// call accepts a call that times out after limit. It returns when the call ends, and whether it failed.
func (s *service) call(now, limit time.Duration) (endsAt time.Duration, failed bool) {
	s.idleAt = max(s.idleAt, now) + s.timePerCall
	if s.idleAt > now+limit {
		return now + limit, true
	}
	return s.idleAt, false
}

// simulateFleet starts n balancers at the same time, with a service that needs seven seconds for one call from each of
// them. Each balancer uses the pace of a fleet of assumed balancers. simulateFleet returns the largest number of calls
// in one second, and the number of balancers that are subscribed after twelve seconds.
func simulateFleet(n, assumed int, seed uint64) (peak, subscribed int) {
	type balancer struct {
		pace   Pace
		endsAt time.Duration // when the call in flight ends; 0: no call is in flight
		failed bool
	}
	discovery := &service{timePerCall: 7 * time.Second / time.Duration(n)}
	rng := rand.New(rand.NewPCG(seed, 9))
	all := make([]*balancer, n)
	for i := range all {
		all[i] = &balancer{pace: New(rand.New(rand.NewPCG(rng.Uint64(), 0)), assumed, 10*time.Second)}
		all[i].pace.Start(0)
	}
	calls := make(map[time.Duration]int)
	for now := time.Duration(0); now < 12*time.Second; now += step {
		for _, b := range all {
			if b.endsAt > 0 && now >= b.endsAt {
				if b.endsAt = 0; b.failed {
					b.pace.Failed(now)
				} else {
					b.pace.Subscribed()
					subscribed++
				}
			}
			if b.endsAt == 0 && b.pace.Due(now) {
				calls[now/time.Second]++
				b.endsAt, b.failed = discovery.call(now, 2*time.Second)
			}
		}
	}
	for _, n := range calls {
		peak = max(peak, n)
	}
	return peak, subscribed
}

// Guards against a fleet whose balancers all call at the same time: the calls time out together, and their retries keep
// the discovery service busy with calls that have timed out. In 25 s no balancer received a list.
func TestFleetThatRestartsAtOnceIsSubscribed(t *testing.T) {
	for _, n := range []int{80, 1000} {
		for seed := range uint64(5) {
			if peak, subscribed := simulateFleet(n, n, seed); peak > n/3 || subscribed < n*19/20 {
				t.Errorf("seed %d: of %d balancers %d called in one second, want at most a third; %d are subscribed, want 19 of 20",
					seed, n, peak, subscribed)
			}
			if _, subscribed := simulateFleet(n, 1, seed); subscribed > n*3/4 {
				t.Errorf("seed %d: of %d balancers that call at once %d are subscribed, so the simulated service is not overloaded",
					seed, n, subscribed)
			}
		}
	}
}

// In a small fleet the first call is due at once, and the next call soon after a failure.
func TestSmallFleetCallsAtOnce(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 3, 10*time.Second)
	p.Start(time.Hour)
	if !p.Due(time.Hour) {
		t.Fatal("the first call of a fleet of three is not due at once")
	}
	p.Failed(time.Hour)
	if !p.Due(time.Hour + minBackoff*2) {
		t.Fatal("no call is due after twice minBackoff")
	}
}

// A change of the list counts as received by a balancer that has not called for the maximum age, or for four times that
// after a failed call. The next call is due before that time.
func TestCallsComeBeforeTheMaximumAge(t *testing.T) {
	for _, n := range []int{9, 80, 100_000} {
		for seed := range uint64(20) {
			p := New(rand.New(rand.NewPCG(seed, 1)), n, 10*time.Second)
			p.Start(0)
			lastCall, answerAt, within := time.Duration(0), time.Duration(-1), 10*time.Second
			for now := time.Duration(0); now < 5*time.Minute; now += 100 * ms { // idle balancers are woken every 100 ms
				if answerAt >= 0 && now >= answerAt {
					answerAt, within = -1, 40*time.Second
					p.Failed(now)
				}
				if p.Due(now) {
					lastCall, answerAt = now, now+900*ms
				}
				if now-lastCall > within {
					t.Fatalf("%d balancers, seed %d: no call from %v to %v", n, seed, lastCall, now)
				}
			}
		}
	}
}

// After AskNow a call is due at once. A service that fails receives calls at a falling rate, which does not fall to
// zero.
func TestAskNowIsDueAtOnceAndFailuresSpaceCalls(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 80, 0)
	p.Start(time.Hour)
	p.AskNow(time.Hour)
	if !p.Due(time.Hour) {
		t.Fatal("no call is due after AskNow")
	}
	calls := 0
	for now := time.Hour; now < time.Hour+10*time.Minute; now += step {
		if p.Due(now) {
			calls++
			p.Failed(now + step)
		}
	}
	if calls < 10 || calls > 60 {
		t.Fatalf("%d calls in ten minutes of failures, want 10 to 60", calls)
	}
}
