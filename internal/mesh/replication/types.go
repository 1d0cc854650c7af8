package replication

import (
	"strings"
	"time"
)

// Term numbers the reigns of leaders; at most one replica leads in a term.
type Term uint64

// Index numbers the places of the log, from 1 on.
type Index uint64

// ClusterID names the cluster that a replica belongs to. It is derived from the first voters, so
// that they agree on it without a message; messages of another cluster are refused.
type ClusterID uint64

// MemberID names one disk of one machine: the machine's address and, for every disk but those of
// the very first start, an incarnation that no other disk has. A machine that lost its disk comes
// back under a new MemberID: what the old one voted for and acknowledged stays the old one's.
type MemberID string

// incarnationSeparator stands between the address and the incarnation in a MemberID.
const incarnationSeparator = "#"

// NewMemberID is the id of a disk at an address; the incarnation is empty at the first start.
func NewMemberID(address, incarnation string) MemberID {
	if incarnation == "" {
		return MemberID(address)
	}
	return MemberID(address + incarnationSeparator + incarnation)
}

// Address is where the member takes messages.
func (id MemberID) Address() string {
	address, _, _ := strings.Cut(string(id), incarnationSeparator)
	return address
}

// EntryKind says what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command of the application, or none: then it opens a leader's term.
	EntryCommand EntryKind = iota
	// EntryMembership holds a Membership, in force from the moment that it is appended.
	EntryMembership
)

// Entry is one numbered place of the log.
type Entry struct {
	Index   Index     `json:"i"`
	Term    Term      `json:"v"`
	Kind    EntryKind `json:"k,omitempty"`
	Command []byte    `json:"c,omitempty"`
}

// Snapshot is the application's state after every entry up to Index, and the membership there.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// HardState is what a replica must have synced before it says anything that rests on it.
type HardState struct {
	// Term is the promise: nothing of a lower term is accepted any more.
	Term Term `json:"view"`
	// Vote is whom the replica voted for in Term.
	Vote MemberID `json:"vote"`
}

// State is all that a replica keeps on disk.
type State struct {
	ID        MemberID
	Cluster   ClusterID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// WriteBatch is what must be synced, in one piece, before the messages of the same Ready may go.
// Everything from TruncateFrom on (when it isn't 0) is dropped first, everything up to
// Snapshot.Index too, then Entries are written.
type WriteBatch struct {
	HardState    *HardState
	Snapshot     *Snapshot
	TruncateFrom Index
	Entries      []Entry
}

// Completion says how a proposal or a read ended. Aborted means unclear for a proposal (it may be
// committed later or never) and not done for a read.
type Completion struct {
	Token   uint64
	Index   Index
	Aborted bool
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      MemberID
	Message Message
}

// Ready is what a replica wants done, in this order: sync Persist, send Messages, restore Restore,
// apply Committed, tell Proposals and Reads.
type Ready struct {
	Persist            *WriteBatch
	Messages           []Envelope
	Restore            *Snapshot
	CommittedEntries   []Entry
	CompletedProposals []Completion
	CompletedReads     []Completion
}

// Progress is what a leader knows of another replica.
type Progress struct {
	ID      MemberID
	IsVoter bool
	// Match is the last entry known to be synced there.
	Match Index
	// SinceLastContact is how long ago the newest message that it answered was sent.
	SinceLastContact time.Duration
	// CaughtUp says that it holds all that is committed.
	CaughtUp bool
}
