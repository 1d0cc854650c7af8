package replication

import (
	"math"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// Propose numbers a command and returns a token that a later Ready settles. An error means that
// nothing was done.
func (r *Replica) Propose(now time.Duration, cmd []byte) (token uint64, err error) {
	r.checkQuorum(now)
	switch {
	case len(cmd) == 0:
		return 0, errs.New(errs.Invalid, "replication: a command is empty")
	case len(cmd) > MaxCommandBytes:
		return 0, errs.New(errs.TooLarge, "replication: a command of %d bytes is over the limit of %d", len(cmd), MaxCommandBytes)
	case r.storageFailed:
		return 0, errs.New(errs.DiskFailed, "replication: the disk of %s takes no writes", r.id)
	case r.role != leader:
		return 0, errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	case len(r.pendingProposals) >= maxPendingProposals || r.pendingBytes+len(cmd) > maxPendingBytes:
		return 0, errs.New(errs.Busy, "replication: %d proposals wait for a quorum", len(r.pendingProposals))
	}
	r.lastToken++
	index := r.log.lastIndex() + 1
	r.log.append(Entry{Index: index, Term: r.hardState.Term, Command: cmd})
	r.pendingProposals = append(r.pendingProposals, pendingProposal{token: r.lastToken, index: index, bytes: len(cmd)})
	r.pendingBytes += len(cmd)
	return r.lastToken, nil
}

// Read begins a linearizable read and returns a token. It is settled once a majority has confirmed
// the term in a round begun after this call and everything committed by then is applied here.
func (r *Replica) Read(now time.Duration) (token uint64, err error) {
	r.checkQuorum(now)
	if r.role != leader {
		return 0, errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	}
	if len(r.pendingReads) >= maxPendingReads {
		return 0, errs.New(errs.Busy, "replication: %d reads wait for their round", len(r.pendingReads))
	}
	r.lastToken++
	if r.readRoundSent {
		r.readRound++
		r.readRoundSent = false
	}
	r.pendingReads = append(r.pendingReads, pendingRead{token: r.lastToken, readRound: r.readRound})
	r.confirmReads()
	return r.lastToken, nil
}

// SetLearners names the replicas that a leader keeps up to date beside the voters.
func (r *Replica) SetLearners(now time.Duration, learners []MemberID) {
	if r.role != leader || slices.Equal(r.learners, learners) {
		return
	}
	r.learners = slices.Clone(learners)
	r.updatePeers(now)
}

// updatePeers has a progress for every voter and learner but this replica, and none for others.
func (r *Replica) updatePeers(now time.Duration) {
	wanted := r.memberships.current().AllVoters()
	wanted = append(wanted, r.learners...)
	r.peerIDs = r.peerIDs[:0]
	for _, id := range slices.Compact(slices.Sorted(slices.Values(wanted))) {
		if id == r.id {
			continue
		}
		r.peerIDs = append(r.peerIDs, id)
		if r.peers[id] == nil {
			r.peers[id] = &progress{next: r.log.lastIndex() + 1, lastContact: now, sentAt: now - HeartbeatInterval}
		}
	}
	for id := range r.peers {
		if !slices.Contains(r.peerIDs, id) {
			delete(r.peers, id)
		}
	}
}

// Progress is what the leader knows of the others; nothing where this replica doesn't lead.
func (r *Replica) Progress(now time.Duration) []Progress {
	if r.role != leader {
		return nil
	}
	current := r.memberships.current()
	known := make([]Progress, 0, len(r.peerIDs))
	for _, id := range r.peerIDs {
		p := r.peers[id]
		known = append(known, Progress{
			ID: id, IsVoter: current.IsVoter(id), Match: p.match, SinceLastContact: now - p.lastContact,
			CaughtUp: p.match > 0 && p.match >= r.commit,
		})
	}
	return known
}

// ChangeMembership begins a change of the voters. The entry that it appends puts the joint
// membership of old and new voters in force; once that is committed by a majority of both, the
// leader appends the new one alone. It is refused unless all of this holds, and changes nothing then:
//   - an entry of the leader's own term is committed, so that it knows of every change before;
//   - no change is under way;
//   - the leader stays a voter;
//   - a majority of the old and of the new voters are in touch and hold all that is committed: so the
//     change can be committed, and the new set could go on from its own disks alone.
func (r *Replica) ChangeMembership(now time.Duration, voters []MemberID) error {
	r.checkQuorum(now)
	current := r.memberships.current()
	next := Membership{Voters: slices.Sorted(slices.Values(voters)), Outgoing: current.Voters}
	switch {
	case r.role != leader || r.storageFailed:
		return errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	case !r.hasCommittedInTerm():
		return errs.New(errs.Busy, "replication: the term has no committed entry yet")
	case current.IsJoint() || current.index > r.commit:
		return errs.New(errs.Busy, "replication: a change of membership is under way")
	case !slices.Contains(next.Voters, r.id):
		return errs.New(errs.Invalid, "replication: the leader can't leave; it hands over first")
	case slices.Equal(next.Voters, slices.Sorted(slices.Values(current.Voters))):
		return errs.New(errs.Invalid, "replication: these are the voters already")
	}
	if err := next.validate(); err != nil {
		return err
	}
	if !next.hasQuorum(func(id MemberID) bool { return r.isCaughtUp(now, id) }) {
		return errs.New(errs.NoQuorum, "replication: too few of the old or the new voters hold all that is committed")
	}
	for _, id := range next.Voters {
		if !current.IsVoter(id) && !r.isCaughtUp(now, id) {
			return errs.New(errs.Busy, "replication: %s has not caught up", id)
		}
	}
	r.appendMembership(now, next)
	return nil
}

// isCaughtUp says that a member was heard lately and has synced all that is committed.
func (r *Replica) isCaughtUp(now time.Duration, id MemberID) bool {
	if id == r.id {
		return r.stable >= r.commit
	}
	p := r.peers[id]
	return p != nil && p.match > 0 && p.match >= r.commit && now-p.lastContact <= ContactTimeout
}

func (r *Replica) appendMembership(now time.Duration, m Membership) {
	entry := Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Kind: EntryMembership, Command: m.encode()}
	r.log.append(entry)
	r.memberships = append(r.memberships, indexedMembership{entry.Index, m})
	r.updatePeers(now)
}

// TransferLeadership asks the voter that holds most to stand for election at once, leaving out those
// that are going themselves; false where nobody could.
func (r *Replica) TransferLeadership(now time.Duration, leaving ...MemberID) bool {
	r.checkQuorum(now)
	if r.role != leader {
		return false
	}
	current := r.memberships.current()
	var best MemberID
	for _, id := range r.peerIDs {
		if !slices.Contains(current.Voters, id) || slices.Contains(leaving, id) || !r.isCaughtUp(now, id) {
			continue
		}
		if best == "" || r.peers[id].match > r.peers[best].match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	r.send(best, Message{TimeoutNow: &TimeoutNow{}})
	if !r.transferring {
		r.transferring, r.transferStartedAt = true, now
	}
	return true
}

// sendToPeers queues what each member is due: entries or a snapshot it lacks, or a heartbeat when it was
// told nothing for HeartbeatInterval, a read waits or more is committed.
func (r *Replica) sendToPeers(now time.Duration) {
	for _, id := range r.peerIDs {
		p := r.peers[id]
		if p.resendAt > 0 && now >= p.resendAt {
			p.resendAt = 0
		}
		// What isn't heard gets heartbeats only; more would cost the link for nothing.
		if p.resendAt == 0 && now-p.lastContact <= ContactTimeout && (p.snapshot != nil || p.next <= r.log.lastIndex()) {
			r.replicateTo(now, id, p)
			continue
		}
		known := min(r.commit, p.match)
		if now-p.sentAt >= HeartbeatInterval || p.readRoundSent < r.readRound || p.commitSent < known {
			r.sendAppend(now, id, p, max(p.next-1, r.log.snapshot.Index), nil)
		}
	}
	r.readRoundSent = true
}

// replicateTo sends what a member lacks. One such message at a time is on its way to each.
func (r *Replica) replicateTo(now time.Duration, id MemberID, p *progress) {
	if p.snapshot != nil || p.next <= r.log.snapshot.Index {
		r.sendSnapshot(now, id, p)
		return
	}
	entries := r.log.entriesFrom(p.next, maxAppendBytes)
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Command)
	}
	r.sendAppend(now, id, p, p.next-1, entries)
	p.resendAt = now + resendTimeout + resendTimeoutPerMiB*time.Duration(bytes>>10)/(1<<10)
}

func (r *Replica) sendAppend(now time.Duration, id MemberID, p *progress, prev Index, entries []Entry) {
	term, _ := r.log.term(prev)
	r.send(id, Message{Append: &AppendEntries{Heartbeat: r.heartbeat(now, p), PrevIndex: prev, PrevTerm: term, Entries: entries}})
	p.sentAt, p.readRoundSent, p.commitSent = now, r.readRound, min(r.commit, p.match)
}

// heartbeat is what the leader says of itself. Until an entry of its own term is committed it names
// no confirmation, as it can't say how far what was committed reaches.
func (r *Replica) heartbeat(now time.Duration, p *progress) Heartbeat {
	age := forever
	if r.hasCommittedInTerm() {
		age = max(0, now-r.leaderQuorumAck())
	}
	return Heartbeat{Commit: r.commit, SentAt: now, ReadRound: r.readRound, QuorumAckAge: age, EchoedClock: p.clock}
}

func (r *Replica) stepAppendResponse(now time.Duration, from MemberID, term Term, answer *AppendResponse) {
	p := r.recordResponse(now, from, term, answer.SentAt, answer.ReadRound, answer.Clock)
	if p == nil {
		return
	}
	switch {
	case answer.Rejected && p.snapshot != nil:
		// Heartbeats are refused until the snapshot is there; its pieces are on their way.
	case answer.Rejected:
		if answer.RejectedIndex == max(p.next-1, r.log.snapshot.Index) {
			p.next = max(p.match, min(answer.Match, r.log.lastIndex())) + 1
			p.resendAt = 0
		}
	case answer.Match > p.match && answer.Match <= r.log.lastIndex():
		p.match = answer.Match
		p.next = max(p.next, p.match+1)
		p.resendAt = 0
		if p.snapshot != nil && p.match >= p.snapshot.Index {
			p.snapshot = nil
			p.next = p.match + 1
		}
	}
	r.advanceCommit(now)
	r.confirmReads()
}

// recordResponse notes that a member has answered this leader; nil where the answer isn't for it, or is to a
// message that was never sent.
func (r *Replica) recordResponse(now time.Duration, from MemberID, term Term, sent time.Duration, round uint64, clock ClockReading) *progress {
	if term > r.hardState.Term {
		r.becomeFollower(term, "")
		return nil
	}
	p := r.peers[from]
	if r.role != leader || term < r.hardState.Term || p == nil {
		return nil
	}
	if sent > now || round > r.readRound {
		r.rejectedMessages++
		return nil
	}
	p.lastContact = max(p.lastContact, sent)
	p.readRound = max(p.readRound, round)
	p.clock = clock
	return p
}

// advanceCommit commits what a majority of the voters has synced, provided that its last entry is
// of this term: an entry of an earlier term may be held by a majority and yet be dropped, if it
// isn't followed by one of this.
func (r *Replica) advanceCommit(now time.Duration) {
	if r.role != leader {
		return
	}
	index := quorumValue(r.memberships.current().Membership, func(id MemberID) Index {
		if id == r.id {
			return r.stable
		}
		return r.peers[id].match
	})
	if index <= r.commit || !r.log.matches(index, r.hardState.Term) {
		return
	}
	r.commit = index
	r.confirmReads()
	r.leaveJoint(now)
}

// leaveJoint ends a change whose joint membership is committed. A leader that was chosen in the
// middle of a change ends it so, too; one that isn't among the new voters hands over instead.
func (r *Replica) leaveJoint(now time.Duration) {
	current := r.memberships.current()
	if current.IsJoint() && current.index <= r.commit && slices.Contains(current.Voters, r.id) {
		r.appendMembership(now, Membership{Voters: current.Voters})
	}
}

// transferIfOutgoing has a leader that a change leaves out, and that was chosen in the middle of it, ask one of
// the new voters to take over and end the change: no membership has a leader outside.
func (r *Replica) transferIfOutgoing(now time.Duration) {
	current := r.memberships.current()
	if r.role != leader || !current.IsJoint() || current.index > r.commit || slices.Contains(current.Voters, r.id) || now < r.nextTransferAt {
		return
	}
	r.nextTransferAt = now + HeartbeatInterval
	r.TransferLeadership(now)
}

// confirmReads gives its index to each read whose round a majority has answered, once the leader
// knows all that earlier terms committed.
func (r *Replica) confirmReads() {
	if r.role != leader || !r.hasCommittedInTerm() {
		return
	}
	confirmed := quorumValue(r.memberships.current().Membership, func(id MemberID) uint64 {
		if id == r.id {
			return r.readRound
		}
		return r.peers[id].readRound
	})
	for i := range r.pendingReads {
		if q := &r.pendingReads[i]; q.index == 0 && q.readRound <= confirmed {
			q.index = r.commit
		}
	}
}

// ShouldCompact says that the log is long enough for a snapshot to take its place. A leader keeps
// more of it for members that are behind, since what is trimmed would have to go to them whole.
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

// hasLaggingPeer says that a member which is in touch lacks what is applied.
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

// Compact puts the application's state, after applying Applied, in place of the log up to there.
func (r *Replica) Compact(data []byte) {
	term, ok := r.log.term(r.applied)
	membership := r.memberships.at(r.applied)
	// A snapshot without voters could be taken by nobody.
	if !ok || r.applied == r.log.snapshot.Index || len(membership.Voters) == 0 {
		return
	}
	r.log.compact(Snapshot{Index: r.applied, Term: term, Membership: membership, Data: data})
	r.memberships.compact(r.applied)
	r.snapshotDirty = true
}
