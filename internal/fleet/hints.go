package fleet

import (
	"time"

	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/swim"
	"caperarch/policy"
)

const (
	hintInterval = 500 * time.Millisecond
	hintFanout   = 3 // number of sidecars to which hints are sent in each interval
)

// sendHints tells randomly chosen sidecars which servers don't answer this sidecar. The caller holds mu.
func (f *Fleet) sendHints(now time.Duration) {
	f.hintsMu.Lock()
	unresponsive := f.hints.Unresponsive(now)
	f.hintsMu.Unlock()
	if len(unresponsive) == 0 {
		return
	}
	ids := make([]uint64, len(unresponsive))
	for i, server := range unresponsive {
		ids[i] = uint64(server)
	}
	for sent, tries := 0, 0; sent < hintFanout && tries < 4*hintFanout; tries++ {
		i := f.hintRand.IntN(len(f.peers))
		if state, _ := f.node.State(i); i != f.cfg.Policy.Index && state == swim.Alive {
			f.link.SendHint(i, ids)
			sent++
		}
	}
}

// Ended records how an attempt to send a request to a server ended, for the hints to other sidecars.
func (f *Fleet) Ended(server policy.ServerID, ending policy.Ending) {
	answered := ending != policy.TimedOut && ending != policy.NoConnection
	if ending == policy.Cancelled || ending == policy.NotSent {
		return // such an attempt does not show whether the server answers
	}
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	f.hints.RecordAttempt(f.now(), healthgossip.Server(server), answered)
}

// Doubted reports whether enough other sidecars have reported that a server does not answer them.
func (f *Fleet) Doubted(server policy.ServerID) bool {
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	return f.hints.Doubted(f.now(), healthgossip.Server(server))
}
