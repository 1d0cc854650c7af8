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

// service is a discovery that takes new subscriptions in turn, so long for each, and works through those too that have given up on it.
type service struct {
	each time.Duration
	free time.Duration // when it has worked through all that it took
}

// call takes one and tells when it ends, and whether it failed.
func (s *service) call(now, limit time.Duration) (ends time.Duration, failed bool) {
	s.free = max(s.free, now) + s.each
	if s.free > now+limit {
		return now + limit, true
	}
	return s.free, false
}

// fleet has n balancers start at once before a service that takes seven seconds for a call from each. Each goes by the pace of a fleet
// of so many as it is told. It returns the most calls in a second, and how many are subscribed after twelve seconds.
func fleet(n, told int, seed uint64) (peak, subscribed int) {
	type one struct {
		pace   Pace
		ends   time.Duration // of the call under way; 0: none
		failed bool
	}
	discovery := &service{each: 7 * time.Second / time.Duration(n)}
	rng := rand.New(rand.NewPCG(seed, 9))
	all := make([]*one, n)
	for i := range all {
		all[i] = &one{pace: New(rand.New(rand.NewPCG(rng.Uint64(), 0)), told, 10*time.Second)}
		all[i].pace.Start(0)
	}
	calls := make(map[time.Duration]int)
	for now := time.Duration(0); now < 12*time.Second; now += step {
		for _, o := range all {
			if o.ends > 0 && now >= o.ends {
				if o.ends = 0; o.failed {
					o.pace.Failed(now)
				} else {
					o.pace.Subscribed()
					subscribed++
				}
			}
			if o.ends == 0 && o.pace.Due(now) {
				calls[now/time.Second]++
				o.ends, o.failed = discovery.call(now, 2*time.Second)
			}
		}
	}
	for _, n := range calls {
		peak = max(peak, n)
	}
	return peak, subscribed
}

// Guards against a whole fleet that asks at the same moment, fails together, and keeps discovery busy with calls that are too late
// to be of use: not one list came through in 25 s.
func TestAMassRestartReachesDiscovery(t *testing.T) {
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

// A small fleet asks at once, and soon again.
func TestASmallFleetAsksAtOnce(t *testing.T) {
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

// Silence counts as being told some time after the last call, four times as late after a failed one: a call comes before that.
func TestCallsComeBeforeSilenceCounts(t *testing.T) {
	for _, n := range []int{9, 80, 100_000} {
		for seed := range uint64(20) {
			p := New(rand.New(rand.NewPCG(seed, 1)), n, 10*time.Second)
			p.Start(0)
			last, answer, within := time.Duration(0), time.Duration(-1), 10*time.Second
			for now := time.Duration(0); now < 5*time.Minute; now += 100 * ms { // no balancer is woken more often at rest
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

// Where no server is known there is nothing to wait with; an overdue service sees fewer and fewer calls, but some.
func TestNothingKnownAsksAtOnceAndFailuresSpace(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 80, 0)
	p.Start(time.Hour)
	p.AskNow(time.Hour)
	if !p.Due(time.Hour) {
		t.Fatal("nothing is known and it does not ask")
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
