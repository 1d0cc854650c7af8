package fleet

import (
	"math"
	"slices"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/subset"
)

// configuredPosition returns this sidecar's position by the configured number of sidecars, see Position.
func (f *Fleet) configuredPosition() float64 {
	return subset.ArcStart(f.cfg.Policy.Index, f.cfg.Policy.Balancers, nil)
}

// updatePosition computes this sidecar's position among the sidecars that are alive. While this sidecar is out of
// contact, it knows too little about them, and uses the configured position. The caller holds mu.
func (f *Fleet) updatePosition(now time.Duration) {
	inContact := f.node.InContact(now)
	states := make([]swim.State, 1, 1+len(f.peers)) // the first one is Alive if this sidecar is in contact
	if inContact {
		states[0] = swim.Alive
		for i := range f.peers {
			state, _ := f.node.State(i)
			states = append(states, state)
		}
	}
	if slices.Equal(states, f.positionStates) {
		return
	}
	f.positionStates = states
	arcStart := f.configuredPosition()
	if inContact {
		arcStart = subset.ArcStart(f.cfg.Policy.Index, len(f.peers), func(i int) bool {
			return states[1+i] == swim.Alive || states[1+i] == swim.Suspect
		})
	}
	f.position.Store(math.Float64bits(arcStart))
}

// Position returns the start of this sidecar's arc on the circle that the live sidecars divide among themselves, as a
// fraction of the circle (see subset.ArcStart). It never blocks.
func (f *Fleet) Position() float64 { return math.Float64frombits(f.position.Load()) }
