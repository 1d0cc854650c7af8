package fleet

import (
	"time"

	"caperarch/internal/fleet/healthgossip"
	"caperarch/internal/fleet/swim"
	"caperarch/policy"
)

const (
	hintInterval = 500 * time.Millisecond
	hintFanout   = 3 // other sidecars that are told each time
)

// sendHints tells some others of the servers that don't answer this sidecar. The caller holds mu.
func (f *Fleet) sendHints(now time.Duration) {
	f.hintsMu.Lock()
	silent := f.hints.Unresponsive(now)
	f.hintsMu.Unlock()
	if len(silent) == 0 {
		return
	}
	ids := make([]uint64, len(silent))
	for i, s := range silent {
		ids[i] = uint64(s)
	}
	for told, tries := 0, 0; told < hintFanout && tries < 4*hintFanout; tries++ {
		i := f.hintRand.IntN(len(f.peers))
		if state, _ := f.node.State(i); i != f.cfg.Policy.Index && state == swim.Alive {
			f.link.SendHint(i, ids)
			told++
		}
	}
}

// Ended records how an attempt ended, for the hints to others.
func (f *Fleet) Ended(to policy.ServerID, end policy.Ending) {
	answered := end != policy.TimedOut && end != policy.NoConnection
	if end == policy.Cancelled || end == policy.NotSent {
		return // says nothing of the server
	}
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	f.hints.RecordAttempt(f.now(), healthgossip.Server(to), answered)
}

// Doubted reports whether enough others say that a server does not answer them.
func (f *Fleet) Doubted(s policy.ServerID) bool {
	f.hintsMu.Lock()
	defer f.hintsMu.Unlock()
	return f.hints.Doubted(f.now(), healthgossip.Server(s))
}
