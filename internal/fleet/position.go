package fleet

import (
	"math"
	"slices"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/subset"
)

// configuredPosition is this sidecar's position by the settings alone.
func (f *Fleet) configuredPosition() float64 {
	return subset.ArcStart(f.cfg.Policy.Index, f.cfg.Policy.Balancers, nil)
}

// updatePosition computes this sidecar's position among the sidecars that are alive. Out of
// contact, too little is known of them, and the settings count. The caller holds mu.
func (f *Fleet) updatePosition(now time.Duration) {
	contact := f.node.InContact(now)
	states := make([]swim.State, 1, 1+len(f.peers)) // the first says whether there is contact at all
	if contact {
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
	at := f.configuredPosition()
	if contact {
		at = subset.ArcStart(f.cfg.Policy.Index, len(f.peers), func(i int) bool {
			return states[1+i] == swim.Alive || states[1+i] == swim.Suspect
		})
	}
	f.position.Store(math.Float64bits(at))
}

// Position returns where this sidecar begins among those that are alive, as a fraction of the
// whole. It never waits.
func (f *Fleet) Position() float64 { return math.Float64frombits(f.position.Load()) }
