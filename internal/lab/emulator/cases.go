package emulator

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/policy"
)

// Case is a scenario with a fault from faultFrom on.
type Case struct {
	Name  string
	Load  float64       // request rate as a share of the capacity
	Until time.Duration // end of the fault
	Small bool          // six servers and two sidecars, as in the recordings
	set   func(f *Fleet, c *Config)
	flood func(now time.Duration) float64 // factor of the smaller tenant's traffic
}

// Faults begin at faultFrom, and runs end at caseEnd.
const (
	faultFrom = 15 * time.Second
	caseEnd   = 55 * time.Second
)

// Cases are the scenarios. Their names appear in reports.
var Cases = []Case{
	{Name: "a third silent 20 s", Load: 0.6, Until: faultFrom + 20*time.Second, set: func(f *Fleet, c *Config) {
		f.At(faultFrom, func() { f.Set(len(c.Servers)/3, State{Silent: true}) })
		f.At(faultFrom+20*time.Second, func() { f.Set(len(c.Servers)/3, State{}) })
	}},
	{Name: "all 5 times slower 3 s", Load: 0.6, Until: faultFrom + 3*time.Second, set: func(f *Fleet, c *Config) {
		f.At(faultFrom, func() { f.Set(0, State{Slower: 5}) })
		f.At(faultFrom+3*time.Second, func() { f.Set(0, State{}) })
	}},
	{Name: "one tenant x 10 for 10 s", Load: 0.5, Until: faultFrom + 10*time.Second,
		flood: func(now time.Duration) float64 {
			if now >= faultFrom && now < faultFrom+10*time.Second {
				return 10
			}
			return 1
		}},
	{Name: "two turn half away, look idle", Load: 0.6, Until: faultFrom + 20*time.Second,
		set: func(f *Fleet, c *Config) {
			f.At(faultFrom, func() { f.Set(2, State{RejectShare: 0.5, Idle: true}) })
			f.At(faultFrom+20*time.Second, func() { f.Set(2, State{}) })
		}},
	{Name: "three of six throttle", Load: 0.45, Until: faultFrom + 10*time.Second, Small: true,
		set: func(f *Fleet, c *Config) {
			// Each of these servers can handle about 280 requests per second.
			f.At(faultFrom, func() { f.SetFastest(3, State{RateLimit: 40}) })
			f.At(faultFrom+10*time.Second, func() { f.SetFastest(3, State{}) })
		}},
	{Name: "all break 1 of 50", Load: 0.6, Until: faultFrom + 20*time.Second, set: func(f *Fleet, c *Config) {
		f.At(faultFrom, func() { f.Set(0, State{BreakShare: 0.02}) })
		f.At(faultFrom+20*time.Second, func() { f.Set(0, State{}) })
	}},
	{Name: "all ids new every 2 s", Load: 0.5, Until: faultFrom + 20*time.Second, set: func(f *Fleet, c *Config) {
		for t := faultFrom; t < faultFrom+20*time.Second; t += 2 * time.Second {
			f.At(t, f.Replace)
		}
	}},
	{Name: "list halves for 10 s", Load: 0.4, Until: faultFrom + 10*time.Second, set: func(f *Fleet, c *Config) {
		var gone []Server
		f.At(faultFrom, func() { gone = f.Remove(len(c.Servers) / 2) })
		f.At(faultFrom+10*time.Second, func() { f.Add(gone) })
	}},
	{Name: "twice the capacity for 10 s", Load: 0.6, Until: faultFrom + 10*time.Second, flood: nil, set: nil},
}

// fleet configures a small model of the deployment: 15 servers of three kinds and 60 sidecars.
func fleet(s *Case, seed uint64) Config {
	c := Config{
		Seed: seed, Sidecars: 60, RoundTrip: time.Millisecond,
		Classes: []Class{{Share: 0.8, Work: 54 * time.Millisecond}, {Share: 0.2, Work: 70 * time.Millisecond}},
		Clients: Clients{Retries: 2, Backoff: 50 * time.Millisecond},
		Module: policy.Config{
			Classes: []policy.Class{
				{LatencyTarget: 500 * time.Millisecond, Deadline: time.Second, Value: 5,
					Effect: policy.Deduplicated, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond},
				{LatencyTarget: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 2,
					Effect: policy.NonIdempotent},
			},
			MaxAttempts: 3, MayCancel: true, MayProbe: true, MaxRetryAfter: time.Second, Tick: time.Millisecond,
			SlowStartShare: 0.32, SlowStartTime: 8500 * time.Millisecond, SlowStartOverload: 2.5,
			Reports: policy.HasInFlight | policy.HasService | policy.HasServed | policy.HasErrors,
		},
	}
	if s.Small { // requests take a fifth of the work, with shorter latency targets
		for i := range c.Classes {
			c.Classes[i].Work /= 5
			c.Module.Classes[i].LatencyTarget /= 4
		}
	}
	work := c.Classes[0].Share*c.Classes[0].Work.Seconds() + c.Classes[1].Share*c.Classes[1].Work.Seconds()
	capacity := 0.0
	servers := 15
	if s.Small {
		servers, c.Sidecars = 6, 2
	}
	for i := range servers {
		speed := []float64{1.6, 0.6, 0.95, 0.6, 1.6}[i%5]
		c.Servers = append(c.Servers, Server{Cores: 2, Speed: speed, QueueSlots: 24, Cell: i % 5})
		capacity += 2 * speed / work
	}
	c.Rate = s.Load * capacity
	quiet := Tenant{Share: 0.21}
	loud := Tenant{Share: 0.79}
	if s.flood != nil {
		quiet, loud = Tenant{Share: 0.79}, Tenant{Share: 0.21, Times: s.flood}
	}
	if s.set == nil && s.flood == nil {
		double := func(now time.Duration) float64 {
			if now >= faultFrom && now < s.Until {
				return 2 / s.Load
			}
			return 1
		}
		quiet.Times, loud.Times = double, double
	}
	c.Tenants = []Tenant{quiet, loud}
	for _, t := range c.Tenants {
		c.Module.Tenants = append(c.Module.Tenants, policy.Tenant{Share: t.Share, Quota: t.Share * 0.75 * capacity})
	}
	return c
}

// Fleet returns the fleet of a scenario without traffic. The function edit, if not nil, changes the configuration
// first.
func (s *Case) Fleet(seed uint64, edit func(*Config)) (*Fleet, error) {
	c := fleet(s, seed)
	if edit != nil {
		edit(&c)
	}
	f, err := New(c)
	if err == nil && s.set != nil {
		s.set(f, &c)
	}
	return f, err
}

// CaseResult is the result of one run.
type CaseResult struct {
	Earned      float64 // value earned during the fault, as a share of the value requested
	After       float64 // the same after the fault
	Recovery    float64 // seconds from the end of the fault until nearly nothing is throttled for a second
	OtherTenant float64 // share of the other tenant's requests in time
	Attempts    float64 // per request
	Swing       float64 // largest autocorrelation of the throttled share
	Series      []Bucket
}

// Run runs the scenario from a seed. A nil gate selects the module's own admission control. The error is the first
// violation of a rule.
func (s *Case) Run(seed uint64, gate func(*rand.Rand) admission.Gate) (CaseResult, error) {
	f, err := s.Fleet(seed, func(c *Config) { c.Module.NewGate = gate })
	if err != nil {
		return CaseResult{}, err
	}
	f.Start()
	f.Run(caseEnd)
	if err := f.Err(); err != nil {
		return CaseResult{}, err
	}
	var o CaseResult
	o.Series = f.Buckets()[:caseEnd/time.Duration(100*time.Millisecond)]
	from, until := int(faultFrom/(100*time.Millisecond)), int(s.Until/(100*time.Millisecond))
	during, later, quiet, asked, sent := [2]float64{}, [2]float64{}, [2]int{}, 0, 0
	for i, b := range o.Series[:len(o.Series)-30] { // requests of the last 3 s may still be in progress
		asked, sent = asked+b.Requests, sent+b.Attempts
		switch {
		case i >= until:
			later[0], later[1] = later[0]+b.Earned, later[1]+b.Value
		case i >= from:
			during[0], during[1] = during[0]+b.Earned, during[1]+b.Value
			quiet[0], quiet[1] = quiet[0]+b.Tenant[0].InTime, quiet[1]+b.Tenant[0].Requests
		}
	}
	o.Earned, o.After = during[0]/during[1], later[0]/later[1]
	o.OtherTenant, o.Attempts = float64(quiet[0])/float64(quiet[1]), float64(sent)/float64(asked)
	o.Recovery = recovery(o.Series, until)
	o.Swing = swing(o.Series[from:until])
	return o, nil
}

// recovery returns the time in seconds from a bucket until the modules throttle less than one in 200 requests for a
// second.
func recovery(series []Bucket, from int) float64 {
	for i := from; i+10 <= len(series); i++ {
		throttled, all := 0, 0
		for _, b := range series[i : i+10] {
			throttled, all = throttled+b.Throttled, all+b.Requests
		}
		if throttled*200 < all {
			return float64(i-from) / 10
		}
	}
	return float64(len(series)-from) / 10
}

// swing returns the largest autocorrelation of the throttled share at lags of 0.5 to 5 s. It is 1 if the whole fleet
// throttles and admits in step.
func swing(series []Bucket) (most float64) {
	var share []float64
	mean := 0.0
	for _, b := range series {
		share = append(share, float64(b.Throttled)/float64(max(1, b.Requests)))
		mean += share[len(share)-1] / float64(len(series))
	}
	square := 0.0
	for _, x := range share {
		square += (x - mean) * (x - mean)
	}
	if square == 0 {
		return 0
	}
	for lag := 5; lag <= 50 && lag < len(share)/2; lag++ {
		sum := 0.0
		for i := range share[lag:] {
			sum += (share[i] - mean) * (share[i+lag] - mean)
		}
		most = max(most, sum/square)
	}
	return most
}
