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

// service is a discovery that handles one call at a time, including calls that have timed out meanwhile.
type service struct {
	timePerCall time.Duration
	idleAt      time.Duration // when it has handled all calls so far
}

// call accepts a call and returns when it ends, and whether it failed.
func (s *service) call(now, limit time.Duration) (ends time.Duration, failed bool) {
	s.idleAt = max(s.idleAt, now) + s.timePerCall
	if s.idleAt > now+limit {
		return now + limit, true
	}
	return s.idleAt, false
}

// fleet has n balancers start at once with a service that takes seven seconds for a call from each. Each balancer has
// the pace of a fleet of assumed. It returns the most calls in a second, and how many balancers are subscribed after
// twelve seconds.
func fleet(n, assumed int, seed uint64) (peak, subscribed int) {
	type balancer struct {
		pace   Pace
		ends   time.Duration // of the call in flight; 0: none
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
			if b.ends > 0 && now >= b.ends {
				if b.ends = 0; b.failed {
					b.pace.Failed(now)
				} else {
					b.pace.Subscribed()
					subscribed++
				}
			}
			if b.ends == 0 && b.pace.Due(now) {
				calls[now/time.Second]++
				b.ends, b.failed = discovery.call(now, 2*time.Second)
			}
		}
	}
	for _, n := range calls {
		peak = max(peak, n)
	}
	return peak, subscribed
}

// Guards against a whole fleet that asks at the same moment, fails together, and keeps discovery busy with calls that
// have timed out: not one list came through in 25 s.
func TestFleetThatRestartsAtOnceIsSubscribed(t *testing.T) {
	for _, n := range []int{80, 1000} {
		for seed := range uint64(5) {
			if peak, subscribed := fleet(n, n, seed); peak > n/3 || subscribed < n*19/20 {
				t.Errorf("seed %d: of %d at most %d called in a second, %d are subscribed", seed, n, peak, subscribed)
			}
			if _, subscribed := fleet(n, 1, seed); subscribed > n*3/4 {
				t.Errorf("seed %d: of %d that ask at once %d are subscribed: the test shows nothing", seed, n, subscribed)
			}
		}
	}
}

// A small fleet asks at once, and soon again after a failure.
func TestSmallFleetAsksAtOnce(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 3, 10*time.Second)
	p.Start(time.Hour)
	if !p.Due(time.Hour) {
		t.Fatal("three balancers wait")
	}
	p.Failed(time.Hour)
	if !p.Due(time.Hour + minBackoff*2) {
		t.Fatal("does not ask again soon")
	}
}

// A change counts as received by a balancer that has not asked for the maximum age, or four times that after a failed
// call: it asks before that.
func TestCallsComeBeforeTheMaximumAge(t *testing.T) {
	for _, n := range []int{9, 80, 100_000} {
		for seed := range uint64(20) {
			p := New(rand.New(rand.NewPCG(seed, 1)), n, 10*time.Second)
			p.Start(0)
			last, answer, within := time.Duration(0), time.Duration(-1), 10*time.Second
			for now := time.Duration(0); now < 5*time.Minute; now += 100 * ms { // an idle balancer is woken no more often
				if answer >= 0 && now >= answer {
					answer, within = -1, 40*time.Second
					p.Failed(now)
				}
				if p.Due(now) {
					last, answer = now, now+900*ms
				}
				if now-last > within {
					t.Fatalf("%d balancers, seed %d: none asked from %v to %v", n, seed, last, now)
				}
			}
		}
	}
}

// A balancer that knows no server asks at once; a service that fails sees fewer and fewer calls, but some.
func TestAskNowIsDueAtOnceAndFailuresSpaceCalls(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 80, 0)
	p.Start(time.Hour)
	p.AskNow(time.Hour)
	if !p.Due(time.Hour) {
		t.Fatal("does not ask although no server is known")
	}
	calls := 0
	for now := time.Hour; now < time.Hour+10*time.Minute; now += step {
		if p.Due(now) {
			calls++
			p.Failed(now + step)
		}
	}
	if calls < 10 || calls > 60 {
		t.Fatalf("%d calls in ten minutes of failures", calls)
	}
}
