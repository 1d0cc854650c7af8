// Package replication is the replicated log of the core machines: opaque commands
// in one order, on the disks of a fixed set of members.
//
// Member is the state machine (no I/O, no goroutine, no clock), Store its
// disk, Node the loop that runs the one over the other, and Post carries
// messages by HTTP.
//
// The protocol is of the family of Viewstamped Replication and Raft. A view
// has one sequencer, chosen by a round of ballots. The sequencer numbers the
// commands; a command is committed once a majority has synced it in the
// sequencer's own view. A member that has lost its disk says so and counts in
// no majority until it has recovered (see recover.go for the argument).
package replication

import "time"

// Kind says what a message is.
type Kind uint8

// The kinds of message.
const (
	// KindPreBallot asks whether a ballot for View would be granted; it changes nothing.
	KindPreBallot Kind = iota + 1
	// KindPreBallotAnswer answers a KindPreBallot.
	KindPreBallotAnswer
	// KindBallot asks for the vote in View.
	KindBallot
	// KindBallotAnswer answers a KindBallot.
	KindBallotAnswer
	// KindAppend carries entries after Index, or none: then it is a beat.
	KindAppend
	// KindAppendAnswer answers KindAppend and KindSnapshot.
	KindAppendAnswer
	// KindSnapshot carries the state up to Index in place of entries.
	KindSnapshot
	// KindRecover is asked by a member that has forgotten.
	KindRecover
	// KindRecoverAnswer answers a KindRecover.
	KindRecoverAnswer
)

// Entry is one numbered place of the log. An entry without a command is the
// one with which a sequencer opens its view.
type Entry struct {
	Index uint64 `json:"i"`
	View  uint64 `json:"v"`
	Cmd   []byte `json:"c,omitempty"`
}

// Snapshot is the application's state after applying every entry up to Index.
type Snapshot struct {
	Index uint64 `json:"i"`
	View  uint64 `json:"v"`
	Data  []byte `json:"d,omitempty"`
}

// Memory names one stretch of a member's memory. The epoch grows by each loss
// of its disk; the nonce tells apart two lives that tried for the same epoch.
type Memory struct {
	Epoch uint64 `json:"e"`
	Nonce uint64 `json:"n"`
}

// Message is all that members say to each other.
type Message struct {
	Kind Kind   `json:"k"`
	View uint64 `json:"v"`
	// Epoch is the sender's epoch of memory, and Epochs what it knows of those of others.
	Epoch  uint64            `json:"e,omitempty"`
	Epochs map[string]Memory `json:"m,omitempty"`
	// Forgotten says that the sender counts in no majority.
	Forgotten bool `json:"f,omitempty"`
	Refused   bool `json:"x,omitempty"`
	// Index and EntryView name the entry before Entries, the last entry of a
	// candidate, the place of a snapshot, or how far an answer reaches.
	Index     uint64  `json:"i,omitempty"`
	EntryView uint64  `json:"w,omitempty"`
	Entries   []Entry `json:"l,omitempty"`
	Commit    uint64  `json:"c,omitempty"`
	Data      []byte  `json:"d,omitempty"`
	// Prev in a refusal repeats the Index that was refused.
	Prev uint64 `json:"p,omitempty"`
	// Sent is the sender's clock; answers repeat it, so that contact is
	// counted from when the question was put and not from when the answer was read.
	Sent time.Duration `json:"s,omitempty"`
	// Round numbers reads; answers repeat it. A KindRecoverAnswer repeats the epoch asked for.
	Round     uint64 `json:"r,omitempty"`
	Nonce     uint64 `json:"n,omitempty"`
	Sequencer bool   `json:"q,omitempty"`
}

// size is about what the message costs in memory and on the link.
func (msg *Message) size() int {
	n := len(msg.Data)
	for i := range msg.Entries {
		n += len(msg.Entries[i].Cmd)
	}
	return n
}

// HardState is what a member must have synced before it says anything that
// rests on it.
type HardState struct {
	// View is the promise: nothing of a lower view is accepted any more.
	View uint64 `json:"view"`
	// Vote is whom the member voted for in View.
	Vote string `json:"vote"`
	// Remembers is false on a member whose disk was lost and that has not recovered.
	Remembers bool `json:"remembers"`
	// Known holds the newest memory of each member that ever lost its disk, the member itself included.
	Known map[string]Memory `json:"known,omitempty"`
}

// State is all that a member keeps on disk.
type State struct {
	Members  []string
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Persist is what must be synced, in one piece, before the messages of the
// same Ready may go. Everything from TruncateFrom on (when it isn't 0) is
// dropped first, everything up to Snapshot.Index too, then Entries are written.
type Persist struct {
	Hard         *HardState
	Snapshot     *Snapshot
	TruncateFrom uint64
	Entries      []Entry
}

// Settlement says how a proposal or a read ended. Aborted means unclear for a
// proposal (it may be committed later or never) and not done for a read.
type Settlement struct {
	Token   uint64
	Index   uint64
	Aborted bool
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      string
	Message Message
}

// Ready is what a member wants done, in this order: sync Persist, send
// Messages, restore Restore, apply Committed, tell Proposals and Reads.
type Ready struct {
	Persist   *Persist
	Messages  []Envelope
	Restore   *Snapshot
	Committed []Entry
	Proposals []Settlement
	Reads     []Settlement
}
