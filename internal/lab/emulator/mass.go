package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/policy"
)

// LargeFleet is a scenario of a large fleet: many sidecars with little, uneven traffic, long-tailed request sizes,
// servers that become overloaded and recover only after a rest, and clients that retry. The details of the deployment
// are drawn from the seed.
type LargeFleet struct {
	Sidecars, Servers int
	Load              float64 // usual request rate as a share of the capacity
	Burst             float64 // factor of the rate during the burst; 0 for none
	Flood             float64 // additional factor of the smaller tenant's rate during the burst
	Shift             bool    // the halves of the sidecars alternate in having more of the traffic
	Heavy             bool    // a tenth of the sidecars has half of the traffic
	Tipped            float64 // share of the servers that become overloaded at the start of the burst
	Slow              float64 // share of the servers that are three times slower from the start of the burst on
	Hang              float64 // share of the servers that don't answer during the burst
	Killed            float64 // share of the sidecars that are killed 2 s into the burst
	BurstFrom         time.Duration
	BurstFor          time.Duration
	Until             time.Duration
}

// between draws a number from a range.
func between(rng *rand.Rand, from, to float64) float64 { return from + (to-from)*rng.Float64() }

// Config draws the configuration of the fleet.
func (m *LargeFleet) Config(seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 2))
	c := Config{
		Seed: seed, Sidecars: m.Sidecars, RoundTrip: time.Millisecond,
		Classes: []Class{
			{Share: 0.8, Work: time.Duration(between(rng, 39, 70) * float64(time.Millisecond)),
				Tail: between(rng, 1.4, 2.6), Noise: between(rng, 0.07, 0.48)},
			{Share: 0.2, Work: time.Duration(between(rng, 50, 91) * float64(time.Millisecond)),
				Tail: between(rng, 1.6, 2.8), Noise: between(rng, 0.06, 0.44)},
		},
		Clients: Clients{
			Retries:      2,
			Backoff:      time.Duration(between(rng, 25, 200) * float64(time.Millisecond)),
			AttemptShare: between(rng, 0.5, 0.8),
		},
		Module: policy.Config{
			Classes: []policy.Class{
				{LatencyTarget: 500 * time.Millisecond, Deadline: time.Second, Value: 5,
					Effect: policy.Deduplicated, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond},
				{LatencyTarget: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 2,
					Effect: policy.NonIdempotent},
			},
			MaxAttempts: 3, MayCancel: true, MayProbe: true, MaxRetryAfter: time.Second,
			Tick: time.Millisecond, ClientsMarkRetries: true,
			SlowStartShare: 0.32, SlowStartTime: 8500 * time.Millisecond, SlowStartOverload: 2.5, ProbePrice: 0.08,
			Reports: policy.HasInFlight | policy.HasService | policy.HasServed | policy.HasErrors,
		},
	}
	capacity := m.servers(&c, rng)
	c.Rate = m.Load * capacity
	cv := between(rng, 0.3, 0.8)
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	for i := range m.Sidecars {
		share := math.Exp(sigma * rng.NormFloat64())
		if m.Heavy && i%10 == 0 {
			share *= 9
		}
		c.Shares = append(c.Shares, share)
	}
	m.traffic(&c)
	quota := between(rng, 0.73, 0.92) * capacity
	for _, t := range c.Tenants {
		c.Module.Tenants = append(c.Module.Tenants, policy.Tenant{Share: t.Share, Quota: t.Share * quota})
	}
	return c
}

// servers draws the servers and returns their capacity in requests per second.
func (m *LargeFleet) servers(c *Config, rng *rand.Rand) (capacity float64) {
	at, over, slower := between(rng, 4, 7), between(rng, 1.5, 2.5), between(rng, 2.1, 3.3)
	rest, below, until := between(rng, 2.3, 4.7), between(rng, 0.25, 0.4), between(rng, 21, 32)
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	work := c.Classes[0].Share*c.Classes[0].Work.Seconds() + c.Classes[1].Share*c.Classes[1].Work.Seconds()
	for i := range m.Servers {
		kind := []struct{ speed, cv float64 }{{1.6, 0.12}, {0.6, 0.15}, {0.95, 0.1}, {0.6, 0.15}, {1.6, 0.12}}[i%5]
		s := Server{Cores: 2, Speed: kind.speed * math.Exp(kind.cv*rng.NormFloat64()),
			QueueSlots: int(2 * between(rng, 11, 36)), Cell: i / 8, Weight: kind.speed}
		s.Overload = &Overload{
			Over: seconds(over), Most: min(0.7*float64(s.Cores+s.QueueSlots),
				float64(s.Cores)+at*math.Sqrt(float64(s.Cores))),
			Slower: slower, Rest: seconds(rest), Below: below, Until: seconds(until),
		}
		c.Servers = append(c.Servers, s)
		capacity += float64(s.Cores) * s.Speed / work
	}
	return capacity
}

// traffic sets the factors of the sidecars' and tenants' traffic over time.
func (m *LargeFleet) traffic(c *Config) {
	burst := func(now time.Duration) bool { return now >= m.BurstFrom && now < m.BurstFrom+m.BurstFor }
	if m.Burst > 0 || m.Shift {
		c.Times = func(sidecar int, now time.Duration) float64 {
			times := 1.0
			if burst(now) && m.Burst > 0 {
				times = m.Burst
			}
			if m.Shift && (sidecar%2 == 0) == (int(now/(8*time.Second))%2 == 0) {
				times *= 1.5
			} else if m.Shift {
				times *= 0.5
			}
			return times
		}
	}
	c.Tenants = []Tenant{{Share: 0.79}, {Share: 0.21}}
	if m.Flood > 0 {
		c.Tenants[1].Times = func(now time.Duration) float64 {
			if burst(now) {
				return m.Flood
			}
			return 1
		}
	}
}

// LargeFleetResult is the result of a run.
type LargeFleetResult struct {
	InTime       float64 // value earned in time, as a share of the value requested
	Worst        float64 // the same in the worst 10 s
	Attempts     float64 // per request
	Probes       float64 // per request
	LargerTenant float64 // share of the larger tenant's requests during the burst that were answered in time
	Tipped       int     // number of times that a server became overloaded
	Recovery     float64 // seconds from the end of the burst until InTime of a second is 95% of the best second's
	Seconds      []LargeFleetSecond
}

// LargeFleetSecond is one second of a run.
type LargeFleetSecond struct {
	Requests, Held, Tipped int
	InTime, Refused, Load  float64
}

// sample returns a share of the elements, spread over the list.
func sample[T any](all []T, share float64) (sample []T) {
	for i, element := range all {
		if float64(i%20) < 20*share {
			sample = append(sample, element)
		}
	}
	return sample
}

// setSample changes the behaviour of a share of the servers.
func setSample(nodes []*node, share float64, s State) {
	for _, n := range sample(nodes, share) {
		n.set(s)
	}
}

// Run runs the scenario from a seed. The error is the first violation of a rule.
func (m *LargeFleet) Run(seed uint64) (LargeFleetResult, error) {
	f, err := New(m.Config(seed))
	if err != nil {
		return LargeFleetResult{}, err
	}
	if m.Slow > 0 {
		f.At(m.BurstFrom, func() { setSample(f.nodes, m.Slow, State{Slower: 3}) })
	}
	if m.Killed > 0 {
		f.At(m.BurstFrom+2*time.Second, func() {
			for _, s := range sample(f.sidecars, m.Killed) {
				err = cmp.Or(err, s.restart())
			}
		})
	}
	if m.Hang > 0 {
		f.At(m.BurstFrom, func() { setSample(f.nodes, m.Hang, State{Silent: true}) })
		f.At(m.BurstFrom+m.BurstFor, func() { setSample(f.nodes, m.Hang, State{}) })
	}
	if m.Tipped > 0 {
		f.At(m.BurstFrom, func() {
			for _, n := range sample(f.nodes, m.Tipped) {
				if !n.overloaded {
					n.meanInFlight = n.spec.Overload.Most + 1e9
					n.updateOverload()
				}
			}
		})
	}
	f.Start()
	f.Run(m.Until + 3*time.Second)
	if err := cmp.Or(err, f.Err()); err != nil {
		return LargeFleetResult{}, err
	}
	return m.sum(f), nil
}

func (m *LargeFleet) sum(f *Fleet) (o LargeFleetResult) {
	each := int(time.Second / f.cfg.Bucket)
	quiet := Count{}
	for _, b := range f.Buckets()[m.BurstFrom/f.cfg.Bucket : (m.BurstFrom+m.BurstFor)/f.cfg.Bucket] {
		quiet.Requests, quiet.InTime = quiet.Requests+b.Tenant[0].Requests, quiet.InTime+b.Tenant[0].InTime
	}
	o.LargerTenant = float64(quiet.InTime) / float64(max(1, quiet.Requests))
	buckets := f.Buckets()[:int(m.Until/f.cfg.Bucket)]
	earned, worth, sent, probes, asked := 0.0, 0.0, 0, 0, 0
	var shares []float64
	for len(buckets) >= each {
		var s LargeFleetSecond
		e, w, refused, load := 0.0, 0.0, 0, 0.0
		for _, b := range buckets[:each] {
			s.Requests, s.Held, s.Tipped = s.Requests+b.Requests, s.Held+b.InFlight, max(s.Tipped, b.Overloaded)
			e, w, refused = e+b.Earned, w+b.Value, refused+b.Refused
			sent, probes, load = sent+b.Attempts, probes+b.Probes, load+b.Work
		}
		s.Held /= each
		s.InTime, s.Refused = e/max(w, 1e-9), float64(refused)/float64(max(1, s.Requests))
		s.Load = load / max(1e-9, f.nominalCapacity())
		asked, earned, worth = asked+s.Requests, earned+e, worth+w
		o.Seconds, shares, buckets = append(o.Seconds, s), append(shares, s.InTime), buckets[each:]
	}
	o.InTime, o.Attempts, o.Probes = earned/worth, float64(sent)/float64(asked), float64(probes)/float64(asked)
	o.Worst = 1
	for i := 0; i+10 <= len(shares); i++ {
		sum := 0.0
		for _, s := range shares[i : i+10] {
			sum += s / 10
		}
		o.Worst = min(o.Worst, sum)
	}
	for _, n := range f.nodes {
		o.Tipped += n.overloadCount
	}
	best, ends := 0.95*slices.Max(shares), int((m.BurstFrom+m.BurstFor)/time.Second)
	for ends+int(o.Recovery) < len(shares) && shares[ends+int(o.Recovery)] < best {
		o.Recovery++
	}
	return o
}

// nominalCapacity returns the capacity of the servers without faults, in seconds of work per second.
func (f *Fleet) nominalCapacity() (sum float64) {
	for _, n := range f.nodes {
		sum += float64(n.spec.Cores) * n.spec.Speed
	}
	return sum
}

// CalmLargeFleet is the scenario without faults: a burst to 1.5 times the usual rate, and traffic that shifts between
// sidecars.
var CalmLargeFleet = LargeFleet{
	Sidecars: 300, Servers: 200, Load: 0.62, Burst: 1.5, Shift: true,
	BurstFrom: 10 * time.Second, BurstFor: 8 * time.Second, Until: 30 * time.Second,
}

// LargeFleetCase is a named scenario.
type LargeFleetCase struct {
	Name string
	LargeFleet
}

// LargeFleetCases are the scenarios that measure the overload protection of a whole fleet: CalmLargeFleet and variants
// of it.
var LargeFleetCases = []LargeFleetCase{
	calmVariant("burst of 1.5", func(*LargeFleet) {}),
	calmVariant("burst of 1.5 on 0.72", func(m *LargeFleet) { m.Load = 0.72 }),
	calmVariant("one tenant x 5", func(m *LargeFleet) { m.Burst, m.Flood = 1, 5 }),
	calmVariant("a tenth has half of it", func(m *LargeFleet) { m.Heavy = true }),
	calmVariant("the same, 70% killed", func(m *LargeFleet) { m.Heavy, m.Killed = true, 0.7 }),
	calmVariant("15% silent", func(m *LargeFleet) { m.Burst, m.Hang, m.Load = 1, 0.15, 0.6 }),
	calmVariant("an eighth slow", func(m *LargeFleet) { m.Burst, m.Slow = 1, 0.125 }),
	calmVariant("a fifth tipped", func(m *LargeFleet) { m.Burst, m.Tipped, m.BurstFor = 1, 0.2, time.Second }),
	calmVariant("all tipped", func(m *LargeFleet) { m.Burst, m.Tipped, m.BurstFor = 1, 1, time.Second }),
	calmVariant("1,000 on 60", func(m *LargeFleet) { m.Sidecars, m.Servers = 1000, 60 }),
	calmVariant("15 on 10", func(m *LargeFleet) { m.Sidecars, m.Servers = 15, 10 }),
	calmVariant("3 on 3", func(m *LargeFleet) { m.Sidecars, m.Servers = 3, 3 }),
	calmVariant("1 on 3", func(m *LargeFleet) { m.Sidecars, m.Servers = 1, 3 }),
}

func calmVariant(name string, edit func(*LargeFleet)) LargeFleetCase {
	d := LargeFleetCase{name, CalmLargeFleet}
	edit(&d.LargeFleet)
	return d
}
