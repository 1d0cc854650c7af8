package replication

import "time"

// Envelope is a message with its recipient.
type Envelope struct {
	To      MemberID
	Message Message
}

// Completion is the outcome of a proposal or a read. An aborted proposal may or may not be committed
// later. An aborted read was not served.
type Completion struct {
	Token   Token
	Index   Index
	Aborted bool
}

// Ready is the work that a replica requests from its caller. The caller must do the work in this
// order: sync Persist to disk, send Messages, restore the application from Restore, apply
// CommittedEntries, and report CompletedProposals and CompletedReads to the callers that wait.
type Ready struct {
	Persist            *WriteBatch
	Messages           []Envelope
	Restore            *Snapshot
	CommittedEntries   []Entry
	CompletedProposals []Completion
	CompletedReads     []Completion
}

// Ready returns the work to be done at the time now. ok is false if there is none. After the work the
// caller must call Advance, or PersistFailed if Persist could not be synced.
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

// addCommitted adds the snapshot and the committed entries for the application to ready. It is limited
// to entries up to stable, which are on disk once the caller has synced ready.Persist.
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

// unsavedState returns all changes that are not synced to disk yet.
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

// completeRequests adds the proposals and reads that are complete once the application has applied the
// entries of this Ready.
func (r *Replica) completeRequests(ready *Ready) {
	for len(r.pendingProposals) > 0 && r.pendingProposals[0].index <= r.applying {
		p := r.pendingProposals[0]
		ready.CompletedProposals = append(ready.CompletedProposals, Completion{Token: p.token, Index: p.index})
		r.pendingProposals = r.pendingProposals[1:]
		r.pendingBytes -= p.bytes
	}
	for len(r.pendingReads) > 0 && r.pendingReads[0].index > 0 && r.pendingReads[0].index <= r.applying {
		read := r.pendingReads[0]
		ready.CompletedReads = append(ready.CompletedReads, Completion{Token: read.token, Index: read.index})
		r.pendingReads = r.pendingReads[1:]
	}
}

func (r *Replica) hasUnsavedState() bool {
	return r.hardStateDirty || r.snapshotDirty || r.truncateFrom > 0 || r.stable < r.log.lastIndex()
}

// Advance confirms that the caller has done all work of the last Ready.
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

// PersistFailed reports that Persist of the last Ready could not be synced and that the caller has
// done no other work of that Ready. The Ready's messages are lost, which the protocol tolerates. Its
// proposals and reads are aborted. Until a write succeeds, the replica does not vote, does not become
// leader and sends no messages.
func (r *Replica) PersistFailed(now time.Duration, ready *Ready) {
	r.becomeFollower(r.hardState.Term, "")
	for _, p := range ready.CompletedProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: p.Token, Index: p.Index, Aborted: true})
	}
	for _, read := range ready.CompletedReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: read.Token, Aborted: true})
	}
	r.outbox = nil
	r.storageFailed, r.hardStateDirty = true, true
	r.storageRetryAt = now + storageRetryInterval
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
}
