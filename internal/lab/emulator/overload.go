package emulator

import (
	"math"
	"time"
)

// overloadState is a server's memory of how much it held.
type overloadState struct {
	meanInFlight float64       // lately, in the mean
	heldAt       time.Duration // taken
	overloaded   bool
	tippedAt     time.Duration
	busy         []float64 // cores at work, each restStep of the last Overload.Rest
	times        int       // that it was overloaded
}

// restStep is how often an overloaded server looks whether it has rested.
const restStep = 50 * time.Millisecond

// updateOverload moves the mean on to now, before what it holds changes, and has the server
// overloaded where that is too much.
func (n *node) updateOverload() {
	c := n.spec.Overload
	if c == nil || n.gone {
		return
	}
	now := n.f.clock.Now
	inFlight := float64(len(n.running) + len(n.waiting))
	n.meanInFlight += (inFlight - n.meanInFlight) * (1 - math.Exp(-float64(now-n.heldAt)/float64(c.Over)))
	if n.heldAt = now; n.overloaded || n.meanInFlight <= c.Most {
		return
	}
	n.overloaded, n.tippedAt, n.busy = true, now, nil
	n.times++
	n.rest()
}

// rest looks, again and again, whether an overloaded server has rested.
func (n *node) rest() {
	c := n.spec.Overload
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
			n.overloaded, n.meanInFlight = false, 0
			return
		}
		n.rest()
	})
}
