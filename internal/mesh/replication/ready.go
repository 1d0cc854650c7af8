package replication

import "time"

// Ready returns what is to be done at the time now, or false when there is nothing. It must be
// followed by Advance, or by Failed if Persist couldn't be synced.
func (r *Replica) Ready(now time.Duration) (Ready, bool) {
	r.checkContact(now)
	if r.role == leader {
		r.feed(now)
	}
	var ready Ready
	durable := r.stable
	if r.dirty() && (!r.sick || now >= r.retryAt) {
		ready.Persist = r.persist()
		durable = r.log.last()
	}
	ready.Messages, r.out = r.out, nil
	if !r.snapshotDirty || ready.Persist != nil {
		ready.Restore = r.restore
		r.lastCommitted = max(r.applied, min(r.commit, durable))
		from := r.applied
		if ready.Restore != nil {
			from = ready.Restore.Index
		}
		ready.CommittedEntries = r.log.between(from, r.lastCommitted)
	} else {
		r.lastCommitted = r.applied
	}
	ready.CompletedProposals, r.aborted = r.aborted, nil
	ready.CompletedReads, r.abortedReads = r.abortedReads, nil
	r.settle(&ready)
	return ready, ready.any()
}

func (ready *Ready) any() bool {
	return ready.Persist != nil || len(ready.Messages) > 0 || ready.Restore != nil || len(ready.CommittedEntries) > 0 ||
		len(ready.CompletedProposals) > 0 || len(ready.CompletedReads) > 0
}

// persist is all that isn't synced yet.
func (r *Replica) persist() *WriteBatch {
	p := &WriteBatch{TruncateFrom: r.truncateFrom, Entries: r.log.between(max(r.stable, r.log.snapshot.Index), r.log.last())}
	if r.hardDirty {
		hard := r.hard
		p.HardState = &hard
	}
	if r.snapshotDirty {
		s := r.log.snapshot
		p.Snapshot = &s
	}
	return p
}

// settle adds the proposals and reads that are done once this Ready is.
func (r *Replica) settle(ready *Ready) {
	for len(r.proposals) > 0 && r.proposals[0].index <= r.lastCommitted {
		p := r.proposals[0]
		ready.CompletedProposals = append(ready.CompletedProposals, Completion{Token: p.token, Index: p.index})
		r.proposals = r.proposals[1:]
		r.pendingBytes -= p.bytes
	}
	for len(r.reads) > 0 && r.reads[0].index > 0 && r.reads[0].index <= r.lastCommitted {
		ready.CompletedReads = append(ready.CompletedReads, Completion{Token: r.reads[0].token, Index: r.reads[0].index})
		r.reads = r.reads[1:]
	}
}

func (r *Replica) dirty() bool {
	return r.hardDirty || r.snapshotDirty || r.truncateFrom > 0 || r.stable < r.log.last()
}

// Advance confirms that all of the last Ready has been done.
func (r *Replica) Advance(now time.Duration, ready *Ready) {
	if ready.Persist != nil {
		r.hardDirty, r.snapshotDirty, r.truncateFrom = false, false, 0
		r.stable = r.log.last()
		r.sick = false
	}
	if ready.Restore != nil {
		r.restore = nil
	}
	r.applied = r.lastCommitted
	r.checkContact(now)
	r.countVotes(now)
	r.advanceCommit(now)
}

// PersistFailed says that the disk refused the last Ready's Persist. None of that Ready has been done: its
// messages are lost, which the protocol bears, and its callers are told that they don't know. The
// replica is sick until a write is taken: it neither votes nor leads nor says anything.
func (r *Replica) PersistFailed(now time.Duration, ready *Ready) {
	r.follow(r.hard.Term, "")
	for _, s := range ready.CompletedProposals {
		r.aborted = append(r.aborted, Completion{Token: s.Token, Index: s.Index, Aborted: true})
	}
	for _, s := range ready.CompletedReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: s.Token, Aborted: true})
	}
	r.out = nil
	r.sick, r.hardDirty = true, true
	r.retryAt = now + retryDisk
	r.deadline = now + r.between(MinElectionTimeout, MaxElectionTimeout)
}
