package replication

import (
	"maps"
	"time"
)

// A member whose disk came back empty has forgotten what it promised and
// acknowledged. Until it has recovered it gives no vote, and what it
// acknowledges is counted in no majority; it says so in each message.
//
// Why nothing acknowledged is lost. Let n be the number of members and c the
// majority. An acknowledged entry was synced by c members. Say one of them,
// F, loses its disk while all others lose power right after the
// acknowledgement. The others come back with what they synced, so c-1 members
// other than F hold the entry. A new sequencer needs c votes, none of them
// F's, out of the n-1 others, and c + (c-1) > n-1: one voter holds the entry
// and votes for nobody whose log lacks it. The same holds for each further
// member that forgets, as long as c members remember. So F, while it has
// forgotten, can only keep a view from starting, never make one start that
// lacks an entry.
//
// Why F does no harm once it has recovered. F asks with a new epoch of memory,
// above every one its askers know, and a nonce. A remembering member first
// syncs that F is at that epoch, then answers with its view; from then on it
// tells F's epoch in all its messages, and F's older votes and
// acknowledgements are counted by nobody who hears that. F needs the answers
// of r members with c + r > n. Take any majority in which F's old vote or
// acknowledgement is counted, for view p: it holds c-1 others, and
// (c-1) + r > n-1, so one of them, D, also answered F. If D answered first,
// then D's part in the majority carried F's new epoch and F's old part wasn't
// counted. So D took part first, had promised p by then, and the highest view
// that F hears is p or above. F takes a view at least that high for its
// promise, with the vote in it given to its sequencer, so it can neither vote
// a second time in p nor take part in anything below. And F takes the log from
// the sequencer of its view as it stood when that one answered, which is after
// the loss: if it is the sequencer of p, it holds all that F had
// acknowledged to it; if it is that of a higher view, it was chosen by a majority
// which holds what was committed in p. F syncs log, promise and the mark that
// it remembers in one piece, and only then votes and acknowledges.
//
// Two lives of F can't recover at one epoch: a member that has accepted an
// epoch from one nonce refuses it from another, and two sets of r answers
// share a member.

// askToRecover asks all others what F must promise.
func (m *Member) askToRecover(now time.Duration) {
	m.recoverAt = now + recoverEvery
	for _, id := range m.others {
		m.send(id, Message{Kind: KindRecover, Nonce: m.nonce})
	}
}

// stepRecover answers a member that has forgotten. Its epoch is synced here
// before the answer goes.
func (m *Member) stepRecover(from string, msg *Message) {
	if !m.mayVote() {
		return
	}
	known := m.hard.Known[from]
	asked := Memory{Epoch: msg.Epoch, Nonce: msg.Nonce}
	answer := Message{Kind: KindRecoverAnswer, View: m.hard.View, Nonce: msg.Nonce, Round: msg.Epoch}
	if asked.Epoch < known.Epoch || asked.Epoch == known.Epoch && asked != known {
		answer.Refused = true
	} else {
		m.learn(from, asked)
		answer.Sequencer = m.role == sequencer
		answer.Index = m.log.last()
	}
	m.send(from, answer)
}

func (m *Member) stepRecoverAnswer(from string, msg *Message) {
	if m.hard.Remembers || msg.Forgotten || msg.Nonce != m.nonce || msg.Round != m.tryEpoch {
		return
	}
	if msg.Refused {
		// An earlier life of this member has used the epoch: go above it.
		if known := msg.Epochs[m.id]; known.Epoch >= m.tryEpoch {
			m.tryEpoch = known.Epoch + 1
			m.answers = map[string]Message{}
		}
		return
	}
	m.answers[from] = *msg
	m.tryRemember()
}

// tryRemember ends the forgetting once enough members have answered and the
// log is that of the sequencer of the highest view among them, or of a higher one.
func (m *Member) tryRemember() {
	n := len(m.others) + 1
	if m.hard.Remembers || m.sick || m.quorum+len(m.answers) <= n {
		return
	}
	for _, answer := range m.answers {
		if answer.View > m.hard.View {
			return
		}
	}
	answer, ok := m.answers[m.seq]
	if !ok || !answer.Sequencer || answer.View != m.hard.View || m.verified < answer.Index {
		return
	}
	known := maps.Clone(m.hard.Known)
	if known == nil {
		known = map[string]Memory{}
	}
	known[m.id] = Memory{Epoch: m.tryEpoch, Nonce: m.nonce}
	m.hard.Known = known
	m.hard.Remembers = true
	m.hard.Vote = m.seq
	m.hardDirty = true
	m.answers = nil
}
