package swimsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan is a schedule of faults, drawn from a seed.
type Plan struct {
	Steps     []Step
	Loss      float64       // probability that a message is lost
	Duplicate float64       // probability that a message is received twice
	Rate      float64       // largest relative error of a clock
	MaxDelay  time.Duration // upper bound of the delay of a message
}

// Step is one fault.
type Step struct {
	At      time.Duration
	Kind    string
	Members []int         // numbers of the affected nodes
	For     time.Duration // duration of the fault
}

// String describes the step for the message of a failed test.
func (s Step) String() string {
	return fmt.Sprintf("%.2fs %s %v for %.2fs", s.At.Seconds(), s.Kind, s.Members, s.For.Seconds())
}

// String describes the plan and its steps for the message of a failed test.
func (p *Plan) String() string {
	all := []string{fmt.Sprintf("loss %.2f, duplicates %.2f, clock error up to %.4f, delay up to %v",
		p.Loss, p.Duplicate, p.Rate, p.MaxDelay)}
	for _, s := range p.Steps {
		all = append(all, s.String())
	}
	return strings.Join(all, "; ")
}

// The kinds of faults.
const (
	Crash   = "crash"   // the processes crash and restart without memory after For
	Stop    = "stop"    // SIGSTOP, and SIGCONT after For
	Split   = "split"   // a partition separates the members from the other nodes
	OneWay  = "one-way" // messages from the members are lost
	Held    = "hold"    // all messages are held and arrive at the end of For
	Leaving = "leave"   // the members leave and end, and restart after For
)

// faultKinds are the kinds that Draw chooses from; a kind listed twice is drawn twice as often.
var faultKinds = []string{Crash, Crash, Stop, Split, Split, OneWay, Held, Leaving}

// Draw returns a plan with faults that begin within the given time, for a fleet of the given size.
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
		s := Step{At: time.Duration(rng.Int64N(int64(within))), Kind: faultKinds[rng.IntN(len(faultKinds))],
			For: time.Duration(rng.Int64N(int64(within / 2)))}
		s.Members = rng.Perm(size)[:1+rng.IntN(size)]
		if s.Kind == Held {
			s.For = min(s.For, 3*time.Second)
		}
		p.Steps = append(p.Steps, s)
	}
	return p
}

// Play schedules the faults of a plan that begins now.
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
			for _, i := range s.Members {
				in[i] = true
			}
			switch s.Kind {
			case Crash, Leaving:
				for _, i := range s.Members {
					if m := n.Nodes[i]; s.Kind == Leaving && m.Running() {
						m.Leave(m.Time())
					}
					n.Crash(i)
					n.After(s.For, func() { n.Boot(i) })
				}
			case Stop:
				for _, i := range s.Members {
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

// Heal ends all network faults and starts all processes that are down. From now on all messages arrive in time.
func (n *Net) Heal() {
	n.Partitioned, n.Loss, n.Duplicate, n.HoldUntil, n.MaxDelay = nil, 0, 0, 0, 10*time.Millisecond
	for i, m := range n.Nodes {
		if m.Down {
			n.Boot(i)
		}
	}
}

// RunChecked runs for d and checks for violations at the given interval. It returns the first violations with their
// time, or nil.
func (n *Net) RunChecked(d, every time.Duration) []string {
	for end := n.Now + d; n.Now < end; {
		n.Run(min(every, end-n.Now))
		if violations := n.Violations(); violations != nil {
			return append(violations, fmt.Sprintf("%.3fs after the start", (n.Now-time.Hour).Seconds()))
		}
	}
	return nil
}
