package replication

import (
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// Propose numbers a command and returns a token that a later Ready settles.
// An error means that nothing was done.
func (m *Member) Propose(now time.Duration, cmd []byte) (token uint64, err error) {
	m.checkContact(now)
	switch {
	case len(cmd) == 0:
		return 0, errs.New(errs.Invalid, "archive: a command is empty")
	case len(cmd) > MaxCommand:
		return 0, errs.New(errs.TooLarge, "archive: a command of %d bytes is over the limit of %d", len(cmd), MaxCommand)
	case m.sick:
		return 0, errs.New(errs.DiskFailed, "archive: the disk of %s takes no writes", m.id)
	case m.role != sequencer:
		return 0, errs.New(errs.NotSequencer, "archive: %s isn't the sequencer", m.id)
	case len(m.proposals) >= maxPending || m.pendingBytes+len(cmd) > maxPendingBytes:
		return 0, errs.New(errs.Busy, "archive: %d proposals wait for a quorum", len(m.proposals))
	}
	m.token++
	index := m.log.last() + 1
	m.log.append(Entry{Index: index, View: m.hard.View, Cmd: cmd})
	m.proposals = append(m.proposals, proposal{token: m.token, index: index, bytes: len(cmd)})
	m.pendingBytes += len(cmd)
	return m.token, nil
}

// Read begins a linearizable read and returns a token. It is settled once a
// majority has confirmed the view in a round begun after this call and
// everything committed by then is applied here.
func (m *Member) Read(now time.Duration) (token uint64, err error) {
	m.checkContact(now)
	if m.role != sequencer {
		return 0, errs.New(errs.NotSequencer, "archive: %s isn't the sequencer", m.id)
	}
	if len(m.reads) >= maxReads {
		return 0, errs.New(errs.Busy, "archive: %d reads wait for their round", len(m.reads))
	}
	m.token++
	if m.roundOpen {
		m.round++
		m.roundOpen = false
	}
	m.reads = append(m.reads, read{token: m.token, round: m.round})
	m.confirmReads()
	return m.token, nil
}

// feed queues what each member is due: entries or a snapshot it lacks, or a
// beat when it was told nothing for BeatEvery, a read waits or more is committed.
func (m *Member) feed(now time.Duration) {
	for _, id := range m.others {
		p := m.peers[id]
		if p.resend > 0 && now >= p.resend {
			p.resend = 0
		}
		// What isn't heard gets beats only; it would cost the link for nothing.
		if p.resend == 0 && p.next <= m.log.last() && now-p.heard <= ContactOut {
			m.sendLog(now, id, p)
			continue
		}
		known := min(m.commit, p.match)
		if now-p.sent >= BeatEvery || p.roundSent < m.round || p.commitSent < known {
			prev := max(p.next-1, m.log.snapshot.Index)
			m.sendAppend(now, id, p, prev, nil)
		}
	}
	m.roundOpen = true
}

// sendLog sends what a member lacks. One such message at a time is on its way to each.
func (m *Member) sendLog(now time.Duration, id string, p *peer) {
	var bytes int
	if p.next <= m.log.snapshot.Index {
		s := m.log.snapshot
		msg := Message{Kind: KindSnapshot, View: m.hard.View, Index: s.Index, EntryView: s.View, Data: s.Data, Commit: m.commit, Sent: now, Round: m.round}
		bytes = msg.size()
		m.send(id, msg)
		p.sent, p.roundSent = now, m.round
	} else {
		entries := m.log.from(p.next, maxMessage)
		for i := range entries {
			bytes += len(entries[i].Cmd)
		}
		m.sendAppend(now, id, p, p.next-1, entries)
	}
	p.resend = now + resendAfter + resendPerMiB*time.Duration(bytes>>10)/(1<<10)
}

func (m *Member) sendAppend(now time.Duration, id string, p *peer, prev uint64, entries []Entry) {
	view, _ := m.log.view(prev)
	m.send(id, Message{Kind: KindAppend, View: m.hard.View, Index: prev, EntryView: view, Entries: entries, Commit: m.commit, Sent: now, Round: m.round})
	p.sent, p.roundSent, p.commitSent = now, m.round, min(m.commit, p.match)
}

// stepSequencer takes in entries, a beat or a snapshot.
func (m *Member) stepSequencer(now time.Duration, from string, msg *Message) {
	if msg.View < m.hard.View {
		// The number is out: tell the old sequencer, so that it stops.
		if m.mayVote() {
			m.send(from, Message{Kind: KindAppendAnswer, View: m.hard.View, Refused: true})
		}
		return
	}
	if msg.View == m.hard.View && (m.role == sequencer || m.seq != "" && m.seq != from) || msg.Forgotten {
		return
	}
	m.follow(msg.View, from)
	m.heard = now
	m.deadline = now + m.between(ElectionMin, ElectionMax)
	if m.sick {
		return
	}
	answer := Message{Kind: KindAppendAnswer, View: m.hard.View, Sent: msg.Sent, Round: msg.Round}
	var ok bool
	if msg.Kind == KindSnapshot {
		ok = m.takeSnapshot(msg)
	} else {
		ok = m.takeEntries(msg)
	}
	if ok {
		answer.Index = m.verified
	} else {
		answer.Refused, answer.Prev, answer.Index = true, msg.Index, m.agreeAt(msg)
	}
	m.commit = max(m.commit, min(msg.Commit, m.verified))
	m.tryRemember()
	m.send(from, answer)
}

// agreeAt is the last place at which the log may still agree with a sequencer
// whose entry at msg.Index differs.
func (m *Member) agreeAt(msg *Message) uint64 {
	at := min(msg.Index, m.log.last())
	for at > m.commit {
		if view, _ := m.log.view(at); at < msg.Index && view <= msg.EntryView {
			break
		}
		at--
	}
	return at
}

// takeEntries appends entries behind one that both logs hold. Whatever this
// log held in their place was never acknowledged by a quorum and is dropped.
func (m *Member) takeEntries(msg *Message) bool {
	for i := range msg.Entries {
		if msg.Entries[i].Index != msg.Index+uint64(i)+1 {
			return false
		}
	}
	entries, prev, prevView := msg.Entries, msg.Index, msg.EntryView
	// What is committed is the same everywhere, also where it is trimmed away here.
	for len(entries) > 0 && prev < m.commit {
		prev, prevView = entries[0].Index, entries[0].View
		entries = entries[1:]
	}
	if prev < m.commit {
		m.verified = max(m.verified, m.commit)
		return true
	}
	if !m.log.holds(prev, prevView) {
		return false
	}
	for len(entries) > 0 && m.log.holds(entries[0].Index, entries[0].View) {
		prev = entries[0].Index
		entries = entries[1:]
	}
	if len(entries) > 0 {
		m.cut(entries[0].Index)
		m.log.append(entries...)
		prev = m.log.last()
	}
	m.verified = max(m.verified, prev)
	return true
}

// cut drops the log from index on.
func (m *Member) cut(index uint64) {
	if index > m.log.last() {
		return
	}
	m.log.truncate(index)
	m.stable = min(m.stable, index-1)
	if m.truncateFrom == 0 || index < m.truncateFrom {
		m.truncateFrom = index
	}
}

// takeSnapshot puts a snapshot in place of a log that ends before it or differs at it.
func (m *Member) takeSnapshot(msg *Message) bool {
	if msg.Index > m.commit && !m.log.holds(msg.Index, msg.EntryView) {
		s := Snapshot{Index: msg.Index, View: msg.EntryView, Data: msg.Data}
		m.cut(m.log.snapshot.Index + 1)
		m.log.reset(s)
		m.stable = s.Index
		m.restore = &s
		m.snapshotDirty = true
	}
	m.commit = max(m.commit, msg.Index)
	m.verified = max(m.verified, m.commit)
	return true
}

func (m *Member) stepAppendAnswer(from string, msg *Message) {
	if msg.View > m.hard.View {
		if !msg.Forgotten && m.hard.Remembers {
			m.follow(msg.View, "")
		}
		return
	}
	if m.role != sequencer || msg.View < m.hard.View {
		return
	}
	p := m.peers[from]
	if msg.Epoch < p.epoch {
		return
	}
	if msg.Epoch > p.epoch {
		*p = peer{epoch: msg.Epoch, next: m.log.last() + 1, sent: p.sent}
	}
	p.forgotten = msg.Forgotten
	p.heard = max(p.heard, msg.Sent)
	p.round = max(p.round, msg.Round)
	if msg.Refused {
		if msg.Prev == max(p.next-1, m.log.snapshot.Index) {
			p.next = max(p.match, min(msg.Index, m.log.last())) + 1
			p.resend = 0
		}
	} else if msg.Index > p.match && msg.Index <= m.log.last() {
		p.match = msg.Index
		p.next = max(p.next, p.match+1)
		p.resend = 0
	}
	m.advanceCommit()
	m.confirmReads()
}

// advanceCommit commits what a majority of remembering members has synced,
// provided that its last entry is of this view: an entry of an earlier view
// may be held by a majority and yet be dropped, if it isn't followed by one of this.
func (m *Member) advanceCommit() {
	if m.role != sequencer {
		return
	}
	matches := []uint64{m.stable}
	for _, p := range m.peers {
		if !p.forgotten {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < m.quorum {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.quorum]
	if index > m.commit && m.log.holds(index, m.hard.View) {
		m.commit = index
		m.confirmReads()
	}
}

// confirmReads gives its index to each read whose round a majority has
// answered, once the sequencer knows all that earlier views committed.
func (m *Member) confirmReads() {
	if view, ok := m.log.view(m.commit); m.role != sequencer || !ok || view != m.hard.View {
		return
	}
	rounds := []uint64{m.round}
	for _, p := range m.peers {
		if !p.forgotten {
			rounds = append(rounds, p.round)
		}
	}
	if len(rounds) < m.quorum {
		return
	}
	slices.Sort(rounds)
	confirmed := rounds[len(rounds)-m.quorum]
	for i := range m.reads {
		if r := &m.reads[i]; r.index == 0 && r.round <= confirmed {
			r.index = m.commit
		}
	}
}

// WantsSnapshot says that the log is long enough for a snapshot to take its
// place. A sequencer waits a while for members that are only just behind,
// since the snapshot would have to go to them whole.
func (m *Member) WantsSnapshot() bool {
	n := int(m.applied - m.log.snapshot.Index)
	if m.sick || n == 0 || m.restore != nil {
		return false
	}
	limit := trimBytes + len(m.log.snapshot.Data)
	if n <= trimEntries && m.log.bytes <= limit {
		return false
	}
	if m.role == sequencer && n <= 2*trimEntries && m.log.bytes <= 2*limit {
		for _, p := range m.peers {
			if p.match < m.applied {
				return false
			}
		}
	}
	return true
}

// Compact puts the application's state, after applying Applied, in place of the log up to there.
func (m *Member) Compact(data []byte) {
	view, ok := m.log.view(m.applied)
	if !ok || m.applied == m.log.snapshot.Index {
		return
	}
	m.log.trim(Snapshot{Index: m.applied, View: view, Data: data})
	m.snapshotDirty = true
}
