package swimsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan is what goes wrong in a history, drawn from a seed.
type Plan struct {
	Steps     []Step
	Loss      float64
	Duplicate float64
	Rate      float64
	MaxDelay  time.Duration // a message takes at most this
}

// Step is one fault.
type Step struct {
	At   time.Duration
	What string
	Who  []int
	For  time.Duration
}

// String returns the step as one line of a plan.
func (s Step) String() string {
	return fmt.Sprintf("%.2fs %s %v for %.2fs", s.At.Seconds(), s.What, s.Who, s.For.Seconds())
}

// String returns the plan with its steps, so that a failed run can be read.
func (p *Plan) String() string {
	all := []string{fmt.Sprintf("loss %.2f, twice %.2f, clocks within %.4f, up to %v late", p.Loss, p.Duplicate,
		p.Rate, p.MaxDelay)}
	for _, s := range p.Steps {
		all = append(all, s.String())
	}
	return strings.Join(all, "; ")
}

// What can go wrong.
const (
	Crash   = "crash"   // and back behind For, with nothing remembered
	Stop    = "stop"    // SIGSTOP, and on behind For
	Split   = "split"   // these from the others
	OneWay  = "one-way" // nothing that these send arrives
	Held    = "hold"    // everything arrives at the end of For, at once
	Leaving = "leave"   // on purpose, and back behind For
)

var whats = []string{Crash, Crash, Stop, Split, Split, OneWay, Held, Leaving}

// Draw draws a plan of some faults within a time for a fleet of some size.
func Draw(seed uint64, size int, within time.Duration) *Plan {
	rng := rand.New(rand.NewPCG(seed, 2))
	p := &Plan{Rate: []float64{0, 0.001, 0.01}[rng.IntN(3)], MaxDelay: 10 * time.Millisecond}
	switch rng.IntN(4) {
	case 0:
		p.Loss, p.Duplicate = 0.3*rng.Float64(), 0.2*rng.Float64()
	case 1:
		p.Duplicate = 0.5 * rng.Float64()
	case 2:
		p.MaxDelay = time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
	for range 1 + rng.IntN(8) {
		s := Step{At: time.Duration(rng.Int64N(int64(within))), What: whats[rng.IntN(len(whats))],
			For: time.Duration(rng.Int64N(int64(within / 2)))}
		s.Who = rng.Perm(size)[:1+rng.IntN(size)]
		if s.What == Held {
			s.For = min(s.For, 3*time.Second)
		}
		p.Steps = append(p.Steps, s)
	}
	return p
}

// Play has a fleet live through a plan, which begins now.
func (n *Net) Play(p *Plan) {
	n.Loss, n.Duplicate, n.MaxDelay = p.Loss, p.Duplicate, max(p.MaxDelay, n.MinDelay)
	cuts := make(map[int]func(from, to int) bool)
	n.Partitioned = func(from, to int) bool {
		for _, cut := range cuts {
			if cut(from, to) {
				return true
			}
		}
		return false
	}
	for number, s := range p.Steps {
		n.After(s.At, func() {
			in := make(map[int]bool)
			for _, i := range s.Who {
				in[i] = true
			}
			switch s.What {
			case Crash, Leaving:
				for _, i := range s.Who {
					if m := n.Nodes[i]; s.What == Leaving && m.Running() {
						m.Leave(m.Time())
					}
					n.Crash(i)
					n.After(s.For, func() { n.Boot(i) })
				}
			case Stop:
				for _, i := range s.Who {
					n.Stop(i, s.For)
				}
			case Split:
				cuts[number] = func(from, to int) bool { return in[from] != in[to] }
			case OneWay:
				cuts[number] = func(from, _ int) bool { return in[from] }
			case Held:
				n.HoldUntil = max(n.HoldUntil, n.Now+s.For)
			}
			n.After(s.For, func() { delete(cuts, number) })
		})
	}
}

// Heal ends what may still go wrong: all messages arrive in time.
func (n *Net) Heal() {
	n.Partitioned, n.Loss, n.Duplicate, n.HoldUntil, n.MaxDelay = nil, 0, 0, 0, 10*time.Millisecond
	for i, m := range n.Nodes {
		if m.Down {
			n.Boot(i)
		}
	}
}

// Watched plays on for a while and looks for broken promises every so often.
func (n *Net) Watched(d, every time.Duration) []string {
	for end := n.Now + d; n.Now < end; {
		n.Run(min(every, end-n.Now))
		if broken := n.Broken(); broken != nil {
			return append(broken, fmt.Sprintf("%.3fs after the start", (n.Now-time.Hour).Seconds()))
		}
	}
	return nil
}
