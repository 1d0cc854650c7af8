package replication

import "time"

// Ready returns what is to be done at the time now, or false when there is nothing. It must be
// followed by Advance, or by Failed if Persist couldn't be synced.
func (r *Replica) Ready(now time.Duration) (Ready, bool) {
	r.checkQuorum(now)
	if r.role == leader {
		r.sendToPeers(now)
	}
	var ready Ready
	durable := r.stable
	if r.hasUnsavedState() && (!r.storageFailed || now >= r.storageRetryAt) {
		ready.Persist = r.unsavedState()
		durable = r.log.lastIndex()
	}
	ready.Messages, r.outbox = r.outbox, nil
	if !r.snapshotDirty || ready.Persist != nil {
		ready.Restore = r.pendingRestore
		r.applying = max(r.applied, min(r.commit, durable))
		from := r.applied
		if ready.Restore != nil {
			from = ready.Restore.Index
		}
		ready.CommittedEntries = r.log.entriesBetween(from, r.applying)
	} else {
		r.applying = r.applied
	}
	ready.CompletedProposals, r.abortedProposals = r.abortedProposals, nil
	ready.CompletedReads, r.abortedReads = r.abortedReads, nil
	r.completeRequests(&ready)
	return ready, ready.hasWork()
}

func (ready *Ready) hasWork() bool {
	return ready.Persist != nil || len(ready.Messages) > 0 || ready.Restore != nil || len(ready.CommittedEntries) > 0 ||
		len(ready.CompletedProposals) > 0 || len(ready.CompletedReads) > 0
}

// unsavedState is all that isn't synced yet.
func (r *Replica) unsavedState() *WriteBatch {
	p := &WriteBatch{TruncateFrom: r.truncateFrom, Entries: r.log.entriesBetween(max(r.stable, r.log.snapshot.Index), r.log.lastIndex())}
	if r.hardStateDirty {
		hard := r.hardState
		p.HardState = &hard
	}
	if r.snapshotDirty {
		s := r.log.snapshot
		p.Snapshot = &s
	}
	return p
}

// completeRequests adds the proposals and reads that are done once this Ready is.
func (r *Replica) completeRequests(ready *Ready) {
	for len(r.pendingProposals) > 0 && r.pendingProposals[0].index <= r.applying {
		p := r.pendingProposals[0]
		ready.CompletedProposals = append(ready.CompletedProposals, Completion{Token: p.token, Index: p.index})
		r.pendingProposals = r.pendingProposals[1:]
		r.pendingBytes -= p.bytes
	}
	for len(r.pendingReads) > 0 && r.pendingReads[0].index > 0 && r.pendingReads[0].index <= r.applying {
		ready.CompletedReads = append(ready.CompletedReads, Completion{Token: r.pendingReads[0].token, Index: r.pendingReads[0].index})
		r.pendingReads = r.pendingReads[1:]
	}
}

func (r *Replica) hasUnsavedState() bool {
	return r.hardStateDirty || r.snapshotDirty || r.truncateFrom > 0 || r.stable < r.log.lastIndex()
}

// Advance confirms that all of the last Ready has been done.
func (r *Replica) Advance(now time.Duration, ready *Ready) {
	if ready.Persist != nil {
		r.hardStateDirty, r.snapshotDirty, r.truncateFrom = false, false, 0
		r.stable = r.log.lastIndex()
		r.storageFailed = false
	}
	if ready.Restore != nil {
		r.pendingRestore = nil
	}
	r.applied = r.applying
	r.checkQuorum(now)
	r.countVotes(now)
	r.advanceCommit(now)
}

// PersistFailed says that the disk refused the last Ready's Persist. None of that Ready has been done: its
// messages are lost, which the protocol bears, and its callers are told that they don't know. The
// replica is sick until a write is taken: it neither votes nor leads nor says anything.
func (r *Replica) PersistFailed(now time.Duration, ready *Ready) {
	r.becomeFollower(r.hardState.Term, "")
	for _, s := range ready.CompletedProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: s.Token, Index: s.Index, Aborted: true})
	}
	for _, s := range ready.CompletedReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: s.Token, Aborted: true})
	}
	r.outbox = nil
	r.storageFailed, r.hardStateDirty = true, true
	r.storageRetryAt = now + storageRetryInterval
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
}
