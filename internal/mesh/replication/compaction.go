package replication

import (
	"math"
	"time"
)

// ShouldCompact reports whether the log is long enough to be replaced by a snapshot. While a peer lags
// behind, a leader retains a longer log, because a peer that needs a compacted entry has to receive the
// complete snapshot.
func (r *Replica) ShouldCompact() bool {
	n := int(r.applied - r.log.snapshot.Index)
	if r.storageFailed || n == 0 || r.pendingRestore != nil {
		return false
	}
	limit := compactAfterBytes + len(r.log.snapshot.Data)
	if n <= compactAfterEntries && r.log.bytes <= limit {
		return false
	}
	return n >= maxRetainedEntries || r.log.bytes >= maxRetainedBytes+2*limit || !r.hasLaggingPeer()
}

// hasLaggingPeer reports whether a peer in contact lacks entries that this leader has applied.
func (r *Replica) hasLaggingPeer() bool {
	if r.role != leader {
		return false
	}
	newest := time.Duration(math.MinInt64)
	for _, p := range r.peers {
		newest = max(newest, p.lastContact)
	}
	for _, p := range r.peers {
		if p.match < r.applied && newest-p.lastContact <= ContactTimeout {
			return true
		}
	}
	return false
}

// Compact replaces the log up to Applied with a snapshot that holds data, the application's state at
// Applied. It has no effect while no membership is known, because every replica would reject a
// snapshot without voters.
func (r *Replica) Compact(data []byte) {
	term, ok := r.log.term(r.applied)
	membership := r.memberships.at(r.applied)
	if !ok || r.applied == r.log.snapshot.Index || len(membership.Voters) == 0 {
		return
	}
	r.log.compact(Snapshot{Index: r.applied, Term: term, Membership: membership, Data: data})
	r.memberships.compact(r.applied)
	r.snapshotDirty = true
}
