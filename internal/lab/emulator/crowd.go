package emulator

import (
	"math"
	"time"
)

// crowding is a server's memory of how crowded it was.
type crowding struct {
	held     float64       // lately, in the mean
	heldAt   time.Duration // taken
	tipped   bool
	tippedAt time.Duration
	busy     []float64 // cores at work, each restStep of the last Crowd.Rest
	times    int       // that it has tipped
}

// restStep is how often a tipped server looks whether it has rested.
const restStep = 50 * time.Millisecond

// crowded moves the mean on to now, before what it holds changes, and tips the server where that is too much.
func (n *node) crowded() {
	c := n.spec.Crowd
	if c == nil || n.gone {
		return
	}
	now := n.f.clock.Now
	n.held += (float64(len(n.running)+len(n.waiting)) - n.held) * (1 - math.Exp(-float64(now-n.heldAt)/float64(c.Over)))
	if n.heldAt = now; n.tipped || n.held <= c.Most {
		return
	}
	n.tipped, n.tippedAt, n.busy = true, now, nil
	n.times++
	n.rest()
}

// rest looks, again and again, whether a tipped server has rested.
func (n *node) rest() {
	c := n.spec.Crowd
	n.f.clock.After(restStep, func() {
		n.busy = append(n.busy, float64(len(n.running))/float64(n.spec.Cores))
		if most := int(c.Rest / restStep); len(n.busy) > most {
			n.busy = n.busy[len(n.busy)-most:]
		}
		sum := 0.0
		for _, b := range n.busy {
			sum += b
		}
		rested := len(n.busy) == int(c.Rest/restStep) && sum < c.Below*float64(len(n.busy))
		if n.gone || rested || n.f.clock.Now-n.tippedAt >= c.Until {
			n.tipped, n.held = false, 0
			return
		}
		n.rest()
	})
}
