package virtualtime

import (
	"math/rand/v2"
	"time"
)

// Process is one that may be gone, or stand still for a while: what comes meanwhile waits in its
// socket. The zero value runs.
type Process struct {
	Down    bool
	Stopped time.Duration // until then; 0: it runs
	held    []func()
}

// Lives says whether it runs now.
func (p *Process) Lives() bool { return !p.Down && p.Stopped == 0 }

// Restart has it run, as one to which nothing has come.
func (p *Process) Restart() { *p = Process{} }

// Pause has it stand still for a while. on is called when it goes on, before what has come is
// taken; nil: nothing is.
func (p *Process) Pause(c *Clock, d time.Duration, on func()) {
	if p.Down {
		return
	}
	p.Stopped = c.Now + d
	c.After(d, func() {
		if p.Down || p.Stopped == 0 || p.Stopped > c.Now {
			return
		}
		if p.Stopped = 0; on != nil {
			on()
		}
		held := p.held
		p.held = nil
		for _, take := range held {
			take()
		}
	})
}

// Arrive has it take something: now, or when it goes on if no more than most wait for that; never if it is gone.
func (p *Process) Arrive(most int, take func()) {
	switch {
	case p.Down:
	case p.Stopped > 0:
		if len(p.held) < most {
			p.held = append(p.held, take)
		}
	default:
		take()
	}
}

// Faults are what goes wrong with messages.
type Faults struct {
	Rng         *rand.Rand
	Loss        float64
	Duplicate   float64                 // part that arrives twice, the second time up to 3 s late
	MaxDelay    time.Duration           // a message takes at most this
	HoldUntil   time.Duration           // what is sent before then arrives at that moment
	Partitioned func(from, to int) bool // nil: none
}

// Deliver has a message arrive, if and as often as it does.
func (f *Faults) Deliver(c *Clock, from, to int, arrive func()) {
	cut := func() bool { return f.Partitioned != nil && f.Partitioned(from, to) }
	if f.Rng.Float64() < f.Loss || cut() {
		return
	}
	copies := 1
	if f.Rng.Float64() < f.Duplicate {
		copies = 2
	}
	for k := range copies {
		delay := time.Duration(f.Rng.Int64N(int64(f.MaxDelay)))
		delay += time.Duration(k) * time.Duration(f.Rng.Int64N(int64(3*time.Second)))
		c.After(max(delay, f.HoldUntil-c.Now), func() {
			if !cut() {
				arrive()
			}
		})
	}
}
