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

// Plan is what goes wrong in a run of a fleet, drawn from a seed.
type Plan struct {
	Seed   uint64
	Faults Faults // between sidecars, all along
	Steps  []Step
	Length time.Duration
}

// Step is one fault.
type Step struct {
	At, For time.Duration
	What    string
	Who     []int
}

// What can go wrong. A zone that is cut off reaches neither the other sidecars nor upstreams and discovery.
const (
	Crash  = "crash" // and back from nothing behind For
	Stall  = "stall"
	Split  = "split"
	OneWay = "one-way"
	Zone   = "zone"
	Hold   = "hold"
	Drain  = "drain" // of the last upstream, for the rest of the run
	Flap   = "flap"  // one crashes and comes back every second
)

var whats = []string{Crash, Crash, Stall, Stall, Split, Split, OneWay, Zone, Hold, Drain, Flap}

// String returns the plan with its steps, so that a failed run can be read.
func (p *Plan) String() string {
	all := []string{fmt.Sprintf("seed %d, loss %.2f, twice %.2f, delay up to %v", p.Seed, p.Faults.Loss,
		p.Faults.Duplicate, p.Faults.Delay)}
	for _, s := range p.Steps {
		all = append(all, fmt.Sprintf("%.1fs %s %v for %.1fs", s.At.Seconds(), s.What, s.Who, s.For.Seconds()))
	}
	return strings.Join(all, "; ")
}

// Draw draws a plan for a fleet of some size.
func Draw(seed uint64, size int, length time.Duration) *Plan {
	rng := rand.New(rand.NewPCG(seed, 4))
	p := &Plan{Seed: seed, Length: length}
	if rng.IntN(2) == 0 {
		p.Faults = Faults{Loss: 0.3 * rng.Float64(), Duplicate: 0.2 * rng.Float64(),
			Delay: time.Duration(rng.Int64N(int64(200 * time.Millisecond)))}
	}
	for range 1 + rng.IntN(4) {
		s := Step{At: time.Duration(rng.Int64N(int64(length * 3 / 4))), What: whats[rng.IntN(len(whats))]}
		s.For = min(length-s.At, time.Second+time.Duration(rng.Int64N(int64(length/2))))
		s.Who = rng.Perm(size)[:1+rng.IntN(size)]
		switch s.What {
		case Hold:
			s.For, s.Who = min(s.For, 3*time.Second), nil
		case Drain:
			s.Who = nil
		case Flap:
			s.Who = s.Who[:1]
		}
		p.Steps = append(p.Steps, s)
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// Play has the fleet live through a plan, under load, and returns what was broken: by the views of
// all processes against one another while it lasts, by their logs, and by the books of clients and
// upstreams behind it.
func (f *Fleet) Play(p *Plan, perSecond int) (tally Tally, healed time.Duration, broken []string) {
	return f.play(p, perSecond, func() {})
}

// play is Play; ended is called once no more goes wrong, and before the load ends.
func (f *Fleet) play(p *Plan, perSecond int, ended func()) (tally Tally, healed time.Duration, broken []string) {
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
	watched := make(chan []string)
	quit := make(chan struct{})
	go func() { watched <- f.watch(quit) }()
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
	broken = <-watched
	f.Peers.Break(Faults{}, p.Seed)
	for _, s := range f.Sidecars { // two steps may have crossed
		s.Continue()
		s.Start()
		s.Heal()
	}
	ended()
	healed, why := f.WaitForAgreement(testbed.MaxWait)
	if why != "" {
		broken = append(broken, fmt.Sprintf("%v after all is well: %s", healed, why))
	}
	stop()
	tally, rules := f.Check()
	return tally, healed, append(append(broken, f.accusers()...), rules...)
}

// step carries out one fault, from its beginning to its end.
func (f *Fleet) step(s Step, cut func(func(from, to int) bool)) {
	in := func(i int) bool { return slices.Contains(s.Who, i) }
	each := func(do func(*Sidecar)) {
		for _, i := range s.Who {
			do(f.Sidecars[i])
		}
	}
	switch s.What {
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
		if s.What == OneWay {
			cut(func(from, _ int) bool { return in(from) })
		} else {
			cut(func(from, to int) bool { return in(from) != in(to) })
		}
		if s.What == Zone {
			each((*Sidecar).Partition)
		}
		time.Sleep(s.For)
		if s.What == Zone {
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

// watch compares what processes say until quit: nobody may be in contact under a session that another counts as over.
func (f *Fleet) watch(quit chan struct{}) (broken []string) {
	for {
		select {
		case <-quit:
			return broken
		case <-time.After(200 * time.Millisecond):
		}
		// First who counts whom out, then who is in contact: so a session that is over was so when it was asked.
		over := make(map[int]map[string]int)
		for _, s := range f.Sidecars {
			v, _ := s.View()
			for j, out := range v.Out {
				if out {
					if over[j] == nil {
						over[j] = make(map[string]int)
					}
					over[j][v.Of[j]] = s.Number
				}
			}
		}
		for j, sessions := range over {
			if v, ok := f.Sidecars[j].View(); ok && v.Contact {
				if by, out := sessions[v.Session]; out {
					broken = append(broken,
						fmt.Sprintf("%d is in contact under %s, which %d counts as over", j, v.Session, by))
				}
			}
		}
	}
}

var (
	logTime   = regexp.MustCompile(`^time=(\S+)`)
	accusing  = regexp.MustCompile(`msg="peers: member" number=(\d+) state=(suspect|gone) .* by=(\d+)`)
	afterStop = time.Second
)

// accusers looks in the logs for accusations that a sidecar made itself within a second of having stood still.
func (f *Fleet) accusers() (broken []string) {
	for _, s := range f.Sidecars {
		s.mu.Lock()
		stalls := slices.Clone(s.stalls)
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
			for _, stall := range stalls {
				if stall.to.Sub(stall.from) > afterStop && at.After(stall.to) && at.Before(stall.to.Add(afterStop)) {
					broken = append(broken,
						fmt.Sprintf("%d accuses %s %v after it stood still", s.Number, m[1], at.Sub(stall.to)))
				}
			}
		}
	}
	return broken
}
