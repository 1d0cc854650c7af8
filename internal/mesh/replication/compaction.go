package replication

import (
	"math"
	"time"
)

// ShouldCompact reports whether the log is long enough to be replaced by a snapshot. A leader retains
// more of it for peers that lag behind: they would need the snapshot for entries that were dropped.
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

// hasLaggingPeer reports whether a peer in contact lacks entries that are applied here.
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

// Compact replaces the log up to Applied by data, the application's state there. It does nothing
// while no membership is known, because a snapshot without voters would be rejected by any replica.
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
