package fleet

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// Plan is a schedule of faults for a run of a fleet, drawn from a seed.
type Plan struct {
	Seed   uint64
	Faults Faults // network faults between sidecars, during the whole run
	Steps  []Step
	Length time.Duration
}

// Step is one fault.
type Step struct {
	At, For time.Duration
	Kind    string
	Members []int
}

// The kinds of faults. A zone that is cut off reaches neither the other sidecars nor upstreams and discovery.
const (
	Crash  = "crash" // the processes crash and restart without memory after For
	Stall  = "stall"
	Split  = "split"
	OneWay = "one-way"
	Zone   = "zone"
	Hold   = "hold"
	Drain  = "drain" // the last upstream drains, for the rest of the run
	Flap   = "flap"  // the process crashes and restarts every second
)

var faultKinds = []string{Crash, Crash, Stall, Stall, Split, Split, OneWay, Zone, Hold, Drain, Flap}

// String describes the plan and its steps, for the message of a failed test.
func (p *Plan) String() string {
	all := []string{fmt.Sprintf("seed %d, loss %.2f, duplicates %.2f, delay up to %v", p.Seed, p.Faults.Loss,
		p.Faults.Duplicate, p.Faults.Delay)}
	for _, s := range p.Steps {
		all = append(all, fmt.Sprintf("%.1fs %s %v for %.1fs", s.At.Seconds(), s.Kind, s.Members, s.For.Seconds()))
	}
	return strings.Join(all, "; ")
}

// Draw returns a random plan for a fleet of the given size.
func Draw(seed uint64, size int, length time.Duration) *Plan {
	rng := rand.New(rand.NewPCG(seed, 4))
	p := &Plan{Seed: seed, Length: length}
	if rng.IntN(2) == 0 {
		p.Faults = Faults{Loss: 0.3 * rng.Float64(), Duplicate: 0.2 * rng.Float64(),
			Delay: time.Duration(rng.Int64N(int64(200 * time.Millisecond)))}
	}
	for range 1 + rng.IntN(4) {
		s := Step{At: time.Duration(rng.Int64N(int64(length * 3 / 4))), Kind: faultKinds[rng.IntN(len(faultKinds))]}
		s.For = min(length-s.At, time.Second+time.Duration(rng.Int64N(int64(length/2))))
		s.Members = rng.Perm(size)[:1+rng.IntN(size)]
		switch s.Kind {
		case Hold:
			s.For, s.Members = min(s.For, 3*time.Second), nil
		case Drain:
			s.Members = nil
		case Flap:
			s.Members = s.Members[:1]
		}
		p.Steps = append(p.Steps, s)
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// Play runs a fault plan under load and returns the violations. It compares the views of all processes during the run,
// and checks their logs and the records of clients and upstreams afterwards.
func (f *Fleet) Play(p *Plan, perSecond int) (tally Tally, healed time.Duration, violations []string) {
	return f.play(p, perSecond, func() {})
}

// play is Play with a function ended, which it calls after the last fault and before the load ends.
func (f *Fleet) play(p *Plan, perSecond int, ended func()) (tally Tally, healed time.Duration, violations []string) {
	stop := f.Load(perSecond)
	var mu sync.Mutex
	cuts := make(map[int]func(from, to int) bool)
	faults := p.Faults
	faults.Cut = func(from, to int) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, cut := range cuts {
			if cut(from, to) {
				return true
			}
		}
		return false
	}
	f.Peers.Break(faults, p.Seed)
	watchResult := make(chan []string)
	quit := make(chan struct{})
	go func() { watchResult <- f.watchSessions(quit) }()
	var steps sync.WaitGroup
	for number, s := range p.Steps {
		steps.Go(func() {
			time.Sleep(s.At)
			f.step(s, func(cut func(from, to int) bool) {
				mu.Lock()
				defer mu.Unlock()
				if cuts[number] = cut; cut == nil {
					delete(cuts, number)
				}
			})
		})
	}
	steps.Wait()
	close(quit)
	violations = <-watchResult
	f.Peers.Break(Faults{}, p.Seed)
	for _, s := range f.Sidecars { // steps may have overlapped, so end every fault
		s.Continue()
		s.Start()
		s.Heal()
	}
	ended()
	healed, why := f.WaitForAgreement(testbed.MaxWait)
	if why != "" {
		violations = append(violations, fmt.Sprintf("views not converged %v after the last fault: %s", healed, why))
	}
	stop()
	tally, rules := f.Check()
	return tally, healed, append(append(violations, f.checkAccusations()...), rules...)
}

// step executes one fault from beginning to end.
func (f *Fleet) step(s Step, cut func(func(from, to int) bool)) {
	isMember := func(i int) bool { return slices.Contains(s.Members, i) }
	each := func(do func(*Sidecar)) {
		for _, i := range s.Members {
			do(f.Sidecars[i])
		}
	}
	switch s.Kind {
	case Crash:
		each((*Sidecar).Crash)
		time.Sleep(s.For)
		each((*Sidecar).Start)
	case Flap:
		for end := time.Now().Add(s.For); time.Now().Before(end); {
			each((*Sidecar).Crash)
			time.Sleep(500 * time.Millisecond)
			each((*Sidecar).Start)
			time.Sleep(500 * time.Millisecond)
		}
	case Stall:
		each((*Sidecar).Stop)
		time.Sleep(s.For)
		each((*Sidecar).Continue)
	case Split, Zone, OneWay:
		if s.Kind == OneWay {
			cut(func(from, _ int) bool { return isMember(from) })
		} else {
			cut(func(from, to int) bool { return isMember(from) != isMember(to) })
		}
		if s.Kind == Zone {
			each((*Sidecar).Partition)
		}
		time.Sleep(s.For)
		if s.Kind == Zone {
			each((*Sidecar).Heal)
		}
		cut(nil)
	case Hold:
		f.Peers.Hold(s.For)
		time.Sleep(s.For)
	case Drain:
		f.Discovery.Set(f.Nodes[len(f.Nodes)-1], "draining")
	}
}

// watchSessions compares the views of all processes until quit is closed: no process may be in contact in a session
// that another process considers ended.
func (f *Fleet) watchSessions(quit chan struct{}) (violations []string) {
	for {
		select {
		case <-quit:
			return violations
		case <-time.After(200 * time.Millisecond):
		}
		// Ask first which sessions are considered ended and then who is in contact, so that a session in question had
		// ended before its process was asked.
		ended := make(map[int]map[string]int)
		for _, s := range f.Sidecars {
			v, _ := s.View()
			for j, out := range v.Out {
				if out {
					if ended[j] == nil {
						ended[j] = make(map[string]int)
					}
					ended[j][v.Sessions[j]] = s.Number
				}
			}
		}
		for j, sessions := range ended {
			if v, ok := f.Sidecars[j].View(); ok && v.Contact {
				if by, out := sessions[v.Session]; out {
					violations = append(violations,
						fmt.Sprintf("sidecar %d is in contact in session %s, which sidecar %d considers ended",
							j, v.Session, by))
				}
			}
		}
	}
}

var (
	logTime         = regexp.MustCompile(`^time=(\S+)`)
	accusing        = regexp.MustCompile(`msg="peers: member" number=(\d+) state=(suspect|gone) .* by=(\d+)`)
	accusationGrace = time.Second
)

// checkAccusations searches the logs for accusations that a sidecar made itself within accusationGrace after a pause
// that was longer than accusationGrace.
func (f *Fleet) checkAccusations() (violations []string) {
	for _, s := range f.Sidecars {
		s.mu.Lock()
		pauses := slices.Clone(s.pauses)
		s.mu.Unlock()
		for line := range strings.Lines(s.Log()) {
			m := accusing.FindStringSubmatch(line)
			if m == nil || m[3] != strconv.Itoa(s.Number) {
				continue
			}
			at, err := time.Parse(time.RFC3339, logTime.FindStringSubmatch(line)[1])
			if err != nil {
				continue
			}
			for _, stall := range pauses {
				if stall.to.Sub(stall.from) > accusationGrace &&
					at.After(stall.to) && at.Before(stall.to.Add(accusationGrace)) {
					violations = append(violations,
						fmt.Sprintf("sidecar %d accuses sidecar %s %v after its own pause",
							s.Number, m[1], at.Sub(stall.to)))
				}
			}
		}
	}
	return violations
}
