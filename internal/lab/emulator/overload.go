package emulator

import (
	"math"
	"time"
)

// overloadState is the overload state of a server.
type overloadState struct {
	meanInFlight    float64       // exponential mean of the requests in flight
	updatedAt       time.Duration // when the mean was updated
	overloaded      bool
	overloadedSince time.Duration // beginning of the present overload
	utilization     []float64     // share of busy cores at each restInterval of the last Overload.Rest
	overloadCount   int           // number of overloads so far
}

// restInterval is how often an overloaded server checks whether it has rested.
const restInterval = 50 * time.Millisecond

// updateOverload updates the mean before the number of requests in flight changes. The server becomes overloaded when
// the mean exceeds Overload.Most.
func (n *node) updateOverload() {
	c := n.spec.Overload
	if c == nil || n.gone {
		return
	}
	now := n.f.clock.Now
	inFlight := float64(len(n.running) + len(n.waiting))
	n.meanInFlight += (inFlight - n.meanInFlight) * (1 - math.Exp(-float64(now-n.updatedAt)/float64(c.Over)))
	if n.updatedAt = now; n.overloaded || n.meanInFlight <= c.Most {
		return
	}
	n.overloaded, n.overloadedSince, n.utilization = true, now, nil
	n.overloadCount++
	n.awaitRest()
}

// awaitRest checks at each restInterval whether an overloaded server has rested, and ends the overload if it has.
func (n *node) awaitRest() {
	c := n.spec.Overload
	n.f.clock.After(restInterval, func() {
		n.utilization = append(n.utilization, float64(len(n.running))/float64(n.spec.Cores))
		if most := int(c.Rest / restInterval); len(n.utilization) > most {
			n.utilization = n.utilization[len(n.utilization)-most:]
		}
		sum := 0.0
		for _, b := range n.utilization {
			sum += b
		}
		rested := len(n.utilization) == int(c.Rest/restInterval) && sum < c.Below*float64(len(n.utilization))
		if n.gone || rested || n.f.clock.Now-n.overloadedSince >= c.Until {
			n.overloaded, n.meanInFlight = false, 0
			return
		}
		n.awaitRest()
	})
}
