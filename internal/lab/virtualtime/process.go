package virtualtime

import (
	"math/rand/v2"
	"time"
)

// Process is a simulated process, which may be down or paused. Messages that arrive during a pause wait in its socket.
// The zero value is a running process.
type Process struct {
	Down        bool
	PausedUntil time.Duration // end of the present pause; 0 if the process is not paused
	queued      []func()
}

// Running reports whether the process is neither down nor paused.
func (p *Process) Running() bool { return !p.Down && p.PausedUntil == 0 }

// Restart makes the process run with an empty socket.
func (p *Process) Restart() { *p = Process{} }

// Pause pauses the process for d. At the end of the pause it calls onResume, if that is not nil, and then handles the
// messages that arrived during the pause.
func (p *Process) Pause(c *Clock, d time.Duration, onResume func()) {
	if p.Down {
		return
	}
	p.PausedUntil = c.Now + d
	c.After(d, func() {
		if p.Down || p.PausedUntil == 0 || p.PausedUntil > c.Now {
			return
		}
		if p.PausedUntil = 0; onResume != nil {
			onResume()
		}
		queued := p.queued
		p.queued = nil
		for _, handle := range queued {
			handle()
		}
	})
}

// Arrive handles a message at once if the process is running. During a pause it queues the message, or drops it if
// maxQueued messages are waiting. If the process is down, it drops the message.
func (p *Process) Arrive(maxQueued int, handle func()) {
	switch {
	case p.Down:
	case p.PausedUntil > 0:
		if len(p.queued) < maxQueued {
			p.queued = append(p.queued, handle)
		}
	default:
		handle()
	}
}

// Faults are the faults of a simulated network.
type Faults struct {
	Rng         *rand.Rand
	Loss        float64                 // probability that a message is lost
	Duplicate   float64                 // probability that a message is received twice, the second time up to 3 s later
	MaxDelay    time.Duration           // bound of the delay of a message
	HoldUntil   time.Duration           // messages that would arrive before this moment arrive at this moment
	Partitioned func(from, to int) bool // reports whether a link is cut; nil if none is
}

// Deliver schedules the arrival of a message: not at all if it is lost, twice if it is duplicated. A message is also
// lost if its link is cut when it would arrive.
func (f *Faults) Deliver(c *Clock, from, to int, arrive func()) {
	isCut := func() bool { return f.Partitioned != nil && f.Partitioned(from, to) }
	if f.Rng.Float64() < f.Loss || isCut() {
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
			if !isCut() {
				arrive()
			}
		})
	}
}
