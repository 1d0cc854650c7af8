package replication

import "time"

// startPreBallot asks whether a ballot would be granted, without raising the view.
func (m *Member) startPreBallot(now time.Duration) {
	m.role, m.seq = preCandidate, ""
	m.votes = map[string]uint64{}
	m.deadline = now + m.between(retryMin, retryMax)
	m.askVotes(KindPreBallot, m.hard.View+1)
	m.countBallots(now)
}

func (m *Member) askVotes(kind Kind, view uint64) {
	for _, id := range m.others {
		m.send(id, Message{Kind: kind, View: view, Index: m.log.last(), EntryView: m.log.lastView()})
	}
}

// countBallots moves a candidate on once a majority is for it. Only votes of
// the newest known memory of each voter count. The member's own vote counts
// once it is synced.
func (m *Member) countBallots(now time.Duration) {
	if m.role != preCandidate && m.role != candidate {
		return
	}
	n := 0
	if m.role == preCandidate || !m.hardDirty {
		n = 1
	}
	for id, epoch := range m.votes {
		if epoch >= m.hard.Known[id].Epoch {
			n++
		}
	}
	if n < m.quorum {
		return
	}
	if m.role == candidate {
		m.lead(now)
		return
	}
	m.role = candidate
	m.hard.View++
	m.hard.Vote = m.id
	m.hardDirty = true
	m.verified = 0
	m.votes = map[string]uint64{}
	m.deadline = now + m.between(ElectionMin, ElectionMax)
	m.askVotes(KindBallot, m.hard.View)
}

// mayVote says whether the member may answer ballots at all.
func (m *Member) mayVote() bool { return m.hard.Remembers && !m.sick }

// upToDate says that a candidate's log lacks nothing that this member could
// have acknowledged: it ends in a higher view, or in the same one and no earlier.
func (m *Member) upToDate(msg *Message) bool {
	last := m.log.lastView()
	return msg.EntryView > last || msg.EntryView == last && msg.Index >= m.log.last()
}

func (m *Member) stepPreBallot(now time.Duration, from string, msg *Message) {
	if !m.mayVote() || msg.Forgotten {
		return
	}
	if msg.View > m.hard.View && !m.leased(now) && m.upToDate(msg) {
		m.send(from, Message{Kind: KindPreBallotAnswer, View: msg.View})
		return
	}
	m.send(from, Message{Kind: KindPreBallotAnswer, View: m.hard.View, Refused: true})
}

func (m *Member) stepBallot(now time.Duration, from string, msg *Message) {
	if !m.mayVote() || msg.Forgotten {
		return
	}
	if msg.View > m.hard.View {
		if m.leased(now) {
			return
		}
		m.follow(msg.View, "")
	}
	granted := msg.View == m.hard.View && m.role != sequencer && m.upToDate(msg) &&
		(m.hard.Vote == "" || m.hard.Vote == from)
	if granted {
		if m.hard.Vote == "" {
			m.hard.Vote, m.hardDirty = from, true
		}
		m.deadline = now + m.between(ElectionMin, ElectionMax)
	}
	m.send(from, Message{Kind: KindBallotAnswer, View: m.hard.View, Refused: !granted})
}

func (m *Member) stepBallotAnswer(now time.Duration, from string, msg *Message) {
	if msg.Forgotten || !m.hard.Remembers {
		return
	}
	if msg.Refused {
		if msg.View > m.hard.View {
			m.follow(msg.View, "")
		}
		return
	}
	want, view := candidate, m.hard.View
	if msg.Kind == KindPreBallotAnswer {
		want, view = preCandidate, m.hard.View+1
	}
	if m.role == want && msg.View == view {
		m.votes[from] = msg.Epoch
		m.countBallots(now)
	}
}

// lead makes the member the sequencer of its view. Its first entry carries no
// command: once that one is committed, so is everything of earlier views before it.
func (m *Member) lead(now time.Duration) {
	m.role, m.seq, m.votes = sequencer, m.id, nil
	m.elected = now
	m.peers = make(map[string]*peer, len(m.others))
	for _, id := range m.others {
		m.peers[id] = &peer{epoch: m.hard.Known[id].Epoch, next: m.log.last() + 1, heard: now, sent: now - BeatEvery}
	}
	m.log.append(Entry{Index: m.log.last() + 1, View: m.hard.View})
	m.advanceCommit()
}
