package quota

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

const (
	ms     = time.Millisecond
	second = time.Second
	usual  = 1 / 1.6
	// warm is when the first dealer has dealt for a while; before, the fleet is starting and nobody is its client.
	warm = 3 * second
)

var rules = Rules{Window: 5 * second, Overage: 0.1, Slack: 20}

// tenants is what the simulated fleet serves: large, middling, without a burst, small, and one that comes to a single
// sidecar.
var tenants = map[string]Limit{
	"large": {172, 172}, "middling": {40, 20}, "plain": {100, 0}, "small": {8, 8}, "lone": {60, 60},
}

// site is a fleet played millisecond by millisecond; the hooks say what happens to it.
type site struct {
	rng      *rand.Rand
	dealers  map[uint64]*Allocator // by epoch
	purses   []*LocalLimiter
	flying   []time.Duration // until when a call of each sidecar is under way
	mail     map[time.Duration][]func(now time.Duration)
	joined   func(now time.Duration, sidecar int) uint64 // the epoch whose dealer it reaches, 0 for none
	hot      func(now time.Duration, tenant string) float64
	each     func(now time.Duration)
	limits   map[string]Limit
	ran      map[string][]time.Duration
	asked    map[string]int // since warm
	turned   map[string]int // refused since warm
	slowdown time.Duration
	calls    int // at dealers, since warm
}

func newSite(seed uint64, sidecars int) *site {
	s := &site{
		rng: rand.New(rand.NewPCG(seed, 1)), dealers: map[uint64]*Allocator{}, limits: tenants,
		mail: map[time.Duration][]func(time.Duration){}, ran: map[string][]time.Duration{}, asked: map[string]int{}, turned: map[string]int{},
		joined: func(time.Duration, int) uint64 { return 1 },
		hot:    func(time.Duration, string) float64 { return 1 },
		each:   func(time.Duration) {},
	}
	s.resize(0, sidecars)
	s.configure(0)
	return s
}

// newGrownSite is a fleet of 82 sidecars with 87 tenants, whose rates are a Zipf from 100 down to 3 a second.
func newGrownSite(seed uint64) *site {
	s := newSite(seed, 82)
	s.limits = map[string]Limit{}
	for k := range 87 {
		rate := math.Round(100 / math.Pow(float64(k+1), 0.785))
		s.limits[fmt.Sprintf("%02d", k)] = Limit{rate, rate}
	}
	s.configure(0)
	return s
}

// resize has sidecars come or go; those that stay, and the dealers, learn of it half a second later.
func (s *site) resize(now time.Duration, sidecars int) {
	for len(s.purses) < sidecars {
		s.purses, s.flying = append(s.purses, nil), append(s.flying, 0)
		s.restart(now, len(s.purses)-1)
	}
	s.purses, s.flying = s.purses[:sidecars], s.flying[:sidecars]
	s.mail[now+500*ms] = append(s.mail[now+500*ms], s.configure)
}

func (s *site) configure(now time.Duration) {
	for _, p := range s.purses {
		So(p.Configure(now, s.limits, len(s.purses)), ShouldBeNil)
	}
	for _, d := range s.dealers {
		So(d.Configure(now, s.limits, len(s.purses)), ShouldBeNil)
	}
}

func (s *site) restart(now time.Duration, sidecar int) {
	p, err := NewLocalLimiter(rules)
	So(err, ShouldBeNil)
	p.random = s.rng
	So(p.Configure(now, s.limits, len(s.purses)), ShouldBeNil)
	s.purses[sidecar] = p
}

func (s *site) latency() time.Duration {
	return time.Duration(2+s.rng.IntN(30))*ms + s.slowdown
}

func (s *site) call(now time.Duration, i int) {
	p, node, epoch := s.purses[i], fmt.Sprint("sidecar-", i), s.joined(now, i)
	asks := p.Demands(now)
	s.flying[i] = now + 400*ms
	if epoch == 0 {
		return
	}
	there := now + s.latency()
	s.mail[there] = append(s.mail[there], func(now time.Duration) {
		if now >= warm {
			s.calls++
		}
		d := s.dealers[epoch]
		if d == nil {
			d, _ = NewAllocator(rules)
			So(d.Configure(now, s.limits, len(s.purses)), ShouldBeNil)
			s.dealers[epoch] = d
		}
		grants, closed, err := d.Allocate(now, epoch, node, asks)
		back := now + s.latency()
		s.mail[back] = append(s.mail[back], func(now time.Duration) {
			if i >= len(s.purses) || s.purses[i] != p || s.flying[i] <= now || s.joined(now, i) != epoch {
				return
			}
			s.flying[i] = 0
			if err == nil {
				_ = p.ApplyGrants(now, epoch, grants, closed)
			}
		})
	})
}

func (s *site) play(from, to time.Duration) {
	names := slices.Sorted(maps.Keys(s.limits))
	for now := from; now < to; now += ms {
		s.each(now)
		for _, f := range s.mail[now] {
			f(now)
		}
		delete(s.mail, now)
		for _, name := range names {
			// Arrivals in a millisecond are Poisson.
			mean := s.limits[name].Rate * usual * s.hot(now, name) / 1000
			for left := math.Exp(-mean); ; {
				u := s.rng.Float64()
				if u < left {
					break
				}
				left /= u
				i := s.rng.IntN(len(s.purses))
				if name == "lone" {
					i = 0
				}
				taken := s.purses[i].Allow(now, name)
				if taken {
					s.ran[name] = append(s.ran[name], now)
				}
				if now >= warm {
					s.asked[name]++
					if !taken {
						s.turned[name]++
					}
				}
			}
		}
		for i, p := range s.purses {
			if s.flying[i] <= now && p.NextRequest(now) <= now {
				s.call(now, i)
			}
		}
	}
}

// overrun is how far the fullest window is above what the rule allows of the tenant; the rule is broken above 0.
func (s *site) overrun(tenant string, l Limit) float64 {
	most, first, ran := 0, 0, s.ran[tenant]
	for last := range ran {
		for ran[last]-ran[first] > rules.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) - (l.Rate*5+l.Burst)*1.1 - 20
}

func hotFrom(start time.Duration, tenant string) func(time.Duration, string) float64 {
	return func(now time.Duration, name string) float64 {
		if now >= start && (name == tenant || tenant == "") {
			return 8
		}
		return 1
	}
}

// scenarios are played with twelve sidecars for 30 s. A tenant that stays below its limit is refused less than 0.5 % of
// its requests, unless refused says otherwise: of a small tenant, or of one with little burst, a floor holds two to five
// tokens, which chance empties where there is no dealer, and the lone tenant's one sidecar then has a twelfth of its rate.
var scenarios = []struct {
	name    string
	prepare func(s *site)
	refused map[string]float64
}{
	{"calm", func(*site) {}, nil},
	{"a hot tenant costs the others nothing", func(s *site) {
		s.hot = hotFrom(5*second, "large")
	}, map[string]float64{"large": 1}},
	{"the dealer is gone for two seconds, and another begins", func(s *site) {
		s.joined = func(now time.Duration, _ int) uint64 {
			switch {
			case now < 10*second:
				return 1
			case now < 12*second:
				return 0
			}
			return 2
		}
	}, map[string]float64{"lone": 1, "middling": 0.01, "plain": 0.02, "small": 0.03}},
	{"a third of the sidecars is out of contact for twelve seconds", func(s *site) {
		s.joined = func(now time.Duration, i int) uint64 {
			if i < 4 && now >= 8*second && now < 20*second {
				return 0
			}
			return 1
		}
	}, map[string]float64{"lone": 1, "middling": 0.01, "plain": 0.02, "small": 0.06}},
	{"all are hot while sidecars come, go, start anew and are cut off, and the view changes", func(s *site) {
		s.hot = hotFrom(4*second, "")
		s.slowdown = time.Duration(s.rng.IntN(60)) * ms
		// A new view every 4 s; for a second each sidecar finds the new dealer, the old one or none.
		epoch := make([]uint64, 20)
		s.joined = func(_ time.Duration, i int) uint64 { return epoch[i] }
		s.each = func(now time.Duration) {
			if now%(50*ms) == 0 {
				view := 1 + uint64(now/(4*second))
				i := s.rng.IntN(20)
				switch epoch[i] = view; {
				case s.rng.IntN(4) == 0:
					epoch[i] = 0
				case now%(4*second) < second && s.rng.IntN(2) == 0:
					epoch[i] = view - 1
				}
			}
			if now%(1500*ms) == 0 {
				s.restart(now, s.rng.IntN(len(s.purses)))
			}
			if now%(3*second) == 0 {
				s.resize(now, 9+s.rng.IntN(6))
			}
		}
	}, map[string]float64{"large": 1, "middling": 1, "plain": 1, "small": 1, "lone": 1}},
}

func TestQuota(t *testing.T) {
	for _, scenario := range scenarios {
		Convey("No window is over the quota and few are refused below it: "+scenario.name, t, func() {
			asked, turned := map[string]int{}, map[string]int{}
			for seed := uint64(1); seed <= 6; seed++ {
				s := newSite(seed, 12)
				s.asked, s.turned = asked, turned
				scenario.prepare(s)
				s.play(0, 30*second)
				for name, l := range tenants {
					SoMsg(name+" over the quota", s.overrun(name, l), ShouldBeLessThanOrEqualTo, 0)
				}
			}
			for name := range tenants {
				most, ok := scenario.refused[name]
				if !ok {
					most = 0.005
				}
				SoMsg(name+" refused", float64(turned[name])/float64(asked[name]), ShouldBeLessThanOrEqualTo, most)
			}
		})
	}
	Convey("A hot tenant gets its rate, and a lower limit holds within a window", t, func() {
		s := newSite(9, 12)
		s.hot = hotFrom(0, "large")
		s.play(0, 20*second)
		So(len(s.ran["large"]), ShouldBeBetween, 172*20*95/100, 172*21*110/100)
		lower := Limit{60, 30}
		s.limits = map[string]Limit{"large": lower}
		s.configure(20 * second)
		s.ran = map[string][]time.Duration{}
		s.play(20*second, 30*second)
		So(s.overrun("large", lower), ShouldBeLessThanOrEqualTo, 0)
		So(len(s.ran["large"]), ShouldBeGreaterThan, 60*9)
	})
}

// grown are the scenes of the grown fleet, 30 s each. others is the part refused, at most, of all that comes for tenants
// that aren't hot; hot are the ranks of those that take a turn, below 0 for none. Out of contact, a floor of one or two
// tokens is emptied by chance.
var grown = []struct {
	name    string
	hot     []int
	prepare func(s *site)
	others  float64
	got     float64 // of its rate, by the hot one, while it is hot
}{
	{"calm", []int{-1, -2, -3}, func(*site) {}, 0.003, 0},
	{"one is hot", []int{0, 1, 3, 8, 20, 40, 60, 86}, func(*site) {}, 0.005, 0.9},
	{"another dealer begins", []int{-1, 0, 20, 86}, func(s *site) {
		s.joined = func(now time.Duration, _ int) uint64 {
			switch {
			case now < 10*second:
				return 1
			case now < 12*second:
				return 0
			}
			return 2
		}
	}, 0.015, 0.9},
	{"a third of the sidecars is out of contact for twelve seconds", []int{-1, 0, 20, 86}, func(s *site) {
		s.joined = func(now time.Duration, i int) uint64 {
			if i%3 == 0 && now >= 8*second && now < 20*second {
				return 0
			}
			return 1
		}
	}, 0.055, 0.85},
	{"all are out of contact for long", []int{-1}, func(s *site) {
		s.joined = func(now time.Duration, i int) uint64 {
			if now >= 8*second {
				return 0
			}
			return 1
		}
	}, 0.5, 0},
}

func TestGrown(t *testing.T) {
	for _, scene := range grown {
		Convey("82 sidecars keep 87 tenants' quotas: "+scene.name, t, func() {
			for _, rank := range scene.hot {
				s, hot := newGrownSite(uint64(rank+9)), fmt.Sprintf("%02d", rank)
				scene.prepare(s)
				s.hot = hotFrom(5*second, hot)
				s.play(0, 30*second)
				asked, turned, late := 0, 0, 0
				for name, l := range s.limits {
					SoMsg(fmt.Sprint(name, " of ", l.Rate, " over the quota"), s.overrun(name, l), ShouldBeLessThanOrEqualTo, 0)
					if name != hot {
						asked, turned = asked+s.asked[name], turned+s.turned[name]
					}
				}
				for _, at := range s.ran[hot] {
					if at >= 5*second {
						late++
					}
				}
				refused, got := float64(turned)/float64(asked), float64(late)/25
				fmt.Printf("\n%s, hot %s at %.1f of %.0f/s: %.2f%% of others refused, %d calls/s\n", scene.name, hot, got, s.limits[hot].Rate, 100*refused, s.calls/27)
				So(refused, ShouldBeLessThanOrEqualTo, scene.others)
				So(got, ShouldBeGreaterThanOrEqualTo, scene.got*s.limits[hot].Rate)
				if rank < 0 {
					So(s.calls, ShouldBeLessThan, 27*82*3/2)
				}
			}
		})
	}
}

func TestDealer(t *testing.T) {
	Convey("Scarce tokens are shared max-min fairly, and nothing is dealt at first, twice or for an old epoch", t, func() {
		d, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(d.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		_, _, err = d.Allocate(0, 4, "x", []Demand{{"a", 1, 0}})
		So(errs.KindOf(err), ShouldEqual, errs.Busy)
		got := map[string]float64{}
		for now := TokenTTL; now < 20*second; now += 100 * ms {
			for node, want := range map[string]float64{"x": 1, "y": 50, "z": 500} {
				grants, _, err := d.Allocate(now, 4, node, []Demand{{"a", want, 0}, {"none", 1, 0}})
				So(err, ShouldBeNil)
				for _, g := range grants {
					got[node] += g.Tokens
				}
			}
		}
		So(got["x"], ShouldBeGreaterThan, 190)
		So(got["y"], ShouldAlmostEqual, got["z"], got["z"]/20)
		So(got["x"]+got["y"]+got["z"], ShouldBeBetween, 1750, 1950)
		_, _, err = d.Allocate(20*second, 3, "x", nil)
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, _, err = d.Allocate(20*second, 4, "x", []Demand{{"a", math.NaN(), 0}})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(errs.KindOf(d.Configure(0, map[string]Limit{"a": {-1, 0}}, 3)), ShouldEqual, errs.Invalid)

		p, _ := NewLocalLimiter(rules)
		So(p.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		So(errs.KindOf(p.ApplyGrants(0, 5, nil, nil)), ShouldEqual, errs.Stale)
		p.Demands(0)
		So(p.ApplyGrants(0, 5, []Grant{{"a", 3}}, nil), ShouldBeNil)
		p.Demands(0)
		So(errs.KindOf(p.ApplyGrants(0, 4, []Grant{{"a", 3}}, nil)), ShouldEqual, errs.Stale)
		So(p.Allow(0, "free"), ShouldBeTrue)
	})
}

func TestBudget(t *testing.T) {
	Convey("Arrivals after the first stay in every sliding window's budget, and repeats are worked off", t, func() {
		rng := rand.New(rand.NewPCG(7, 7))
		var requests, further []time.Duration
		budgets := make([]*RetryBudget, 12)
		for i := range budgets {
			budgets[i], _ = NewRetryBudget(RetryBudgetRules{Window: 10 * second, Ratio: 0.2, Slack: 60})
			So(budgets[i].Configure(0, 12), ShouldBeNil)
		}
		for now := time.Duration(0); now < 60*second; now += 2 * ms {
			b := budgets[rng.IntN(12)]
			if now < 20*second || now > 40*second {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if rng.IntN(100) == 0 {
				b.Charge(now, "s")
				further = append(further, now)
			}
			if b.Allowed(now, "s") {
				b.Charge(now, "s")
				further = append(further, now)
			}
		}
		count := func(at []time.Duration, from time.Duration) (n float64) {
			for _, t := range at {
				if t >= from && t <= from+10*second {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from <= 50*second; from += 100 * ms {
			most := max(count(requests, from), count(requests, from-5*second), count(requests, from-10*second))
			So(count(further, from), ShouldBeLessThanOrEqualTo, 0.2*most+60)
		}
		So(count(further, 5*second), ShouldBeGreaterThan, 0.1*5000)
		_, err := NewRetryBudget(RetryBudgetRules{})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(budgets[0].Allowed(-second, "t"), ShouldBeTrue)
	})
}
