package replication

import "time"

// Envelope is a message and its receiver.
type Envelope struct {
	To      MemberID
	Message Message
}

// Completion says how a proposal or a read ended. Aborted means that a proposal may be committed
// later or never, and that a read was not done.
type Completion struct {
	Token   Token
	Index   Index
	Aborted bool
}

// Ready is what a replica wants done, in this order: sync Persist, send Messages, restore the
// application from Restore, apply CommittedEntries, complete proposals and reads.
type Ready struct {
	Persist            *WriteBatch
	Messages           []Envelope
	Restore            *Snapshot
	CommittedEntries   []Entry
	CompletedProposals []Completion
	CompletedReads     []Completion
}

// Ready returns what is to be done at the time now; ok is false when there is nothing. It must be
// followed by Advance, or by PersistFailed if Persist couldn't be synced.
func (r *Replica) Ready(now time.Duration) (ready Ready, ok bool) {
	r.checkQuorum(now)
	if r.role == leader {
		r.sendToPeers(now)
	}
	stable := r.stable
	if r.hasUnsavedState() && (!r.storageFailed || now >= r.storageRetryAt) {
		ready.Persist = r.unsavedState()
		stable = r.log.lastIndex()
	}
	ready.Messages, r.outbox = r.outbox, nil
	r.addCommitted(&ready, stable)
	ready.CompletedProposals, r.abortedProposals = r.abortedProposals, nil
	ready.CompletedReads, r.abortedReads = r.abortedReads, nil
	r.completeRequests(&ready)
	return ready, ready.hasWork()
}

func (ready *Ready) hasWork() bool {
	return ready.Persist != nil || len(ready.Messages) > 0 || ready.Restore != nil ||
		len(ready.CommittedEntries) > 0 || len(ready.CompletedProposals) > 0 || len(ready.CompletedReads) > 0
}

// addCommitted adds the snapshot and the committed entries for the application, as far as they are
// on disk once the Ready is done: up to stable.
func (r *Replica) addCommitted(ready *Ready, stable Index) {
	if r.snapshotDirty && ready.Persist == nil {
		r.applying = r.applied
		return
	}
	ready.Restore = r.pendingRestore
	r.applying = max(r.applied, min(r.commit, stable))
	from := r.applied
	if ready.Restore != nil {
		from = ready.Restore.Index
	}
	ready.CommittedEntries = r.log.entriesBetween(from, r.applying)
}

// unsavedState is everything that isn't synced yet.
func (r *Replica) unsavedState() *WriteBatch {
	batch := &WriteBatch{
		TruncateFrom: r.truncateFrom,
		Entries:      r.log.entriesBetween(max(r.stable, r.log.snapshot.Index), r.log.lastIndex()),
	}
	if r.hardStateDirty {
		hardState := r.hardState
		batch.HardState = &hardState
	}
	if r.snapshotDirty {
		s := r.log.snapshot
		batch.Snapshot = &s
	}
	return batch
}

// completeRequests adds the proposals and reads that are completed once this Ready is done.
func (r *Replica) completeRequests(ready *Ready) {
	for len(r.pendingProposals) > 0 && r.pendingProposals[0].index <= r.applying {
		p := r.pendingProposals[0]
		ready.CompletedProposals = append(ready.CompletedProposals, Completion{Token: p.token, Index: p.index})
		r.pendingProposals = r.pendingProposals[1:]
		r.pendingBytes -= p.bytes
	}
	for len(r.pendingReads) > 0 && r.pendingReads[0].index > 0 && r.pendingReads[0].index <= r.applying {
		q := r.pendingReads[0]
		ready.CompletedReads = append(ready.CompletedReads, Completion{Token: q.token, Index: q.index})
		r.pendingReads = r.pendingReads[1:]
	}
}

func (r *Replica) hasUnsavedState() bool {
	return r.hardStateDirty || r.snapshotDirty || r.truncateFrom > 0 || r.stable < r.log.lastIndex()
}

// Advance confirms that everything in the last Ready has been done.
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

// PersistFailed says that the last Ready's Persist couldn't be synced. Nothing of that Ready has
// been done: its messages are lost, which the protocol tolerates, and its proposals and reads are
// aborted. Until a write succeeds the replica neither votes nor leads nor sends anything.
func (r *Replica) PersistFailed(now time.Duration, ready *Ready) {
	r.becomeFollower(r.hardState.Term, "")
	for _, p := range ready.CompletedProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: p.Token, Index: p.Index, Aborted: true})
	}
	for _, q := range ready.CompletedReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: q.Token, Aborted: true})
	}
	r.outbox = nil
	r.storageFailed, r.hardStateDirty = true, true
	r.storageRetryAt = now + storageRetryInterval
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
}
