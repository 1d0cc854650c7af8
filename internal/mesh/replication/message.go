// Package replication is the replicated log of the core machines: opaque commands in one order, on
// the disks of a set of voters that the log itself changes.
//
// Replica is the state machine (no I/O, no goroutine, no clock), Store its disk, Node the loop that
// runs the one over the other, and Transport carries messages by HTTP.
//
// The protocol is Raft with pre-votes, leases against disruptive votes, read rounds, learners, and
// changes of membership by joint consensus. docs/design/control.md has the arguments.
package replication

import "time"

// Message is what replicas say to each other: exactly one of its pointers is set.
type Message struct {
	Cluster ClusterID `json:"u"`
	Term    Term      `json:"t"`

	VoteRequest      *VoteRequest      `json:"vr,omitempty"`
	VoteResponse     *VoteResponse     `json:"va,omitempty"`
	Append           *AppendEntries    `json:"ae,omitempty"`
	AppendResponse   *AppendResponse   `json:"aa,omitempty"`
	SnapshotChunk    *SnapshotChunk    `json:"sp,omitempty"`
	SnapshotResponse *SnapshotResponse `json:"sa,omitempty"`
	TimeoutNow       *TimeoutNow       `json:"tn,omitempty"`
}

// VoteRequest asks for the vote in the message's term. A pre-vote asks whether it would be granted
// and changes nothing.
type VoteRequest struct {
	PreVote   bool  `json:"p,omitempty"`
	LastIndex Index `json:"i"`
	LastTerm  Term  `json:"w"`
	// Transfer says that the leader itself asked for this election, so its lease is no objection.
	Transfer bool `json:"x,omitempty"`
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	PreVote  bool `json:"p,omitempty"`
	Rejected bool `json:"x,omitempty"`
}

// Heartbeat is what every message of a leader carries beside its entries.
type Heartbeat struct {
	// Commit is the last entry that the leader knows to be committed.
	Commit Index `json:"c,omitempty"`
	// SentAt is the leader's clock; answers repeat it, so that contact is counted from when the
	// question was put and not from when the answer was read.
	SentAt time.Duration `json:"s,omitempty"`
	// ReadRound numbers reads; answers repeat it.
	ReadRound uint64 `json:"r,omitempty"`
	// QuorumAckAge is how long ago, when the message was made, a majority had last confirmed the leader.
	QuorumAckAge time.Duration `json:"g,omitempty"`
	// EchoedClock is the receiver's clock in its newest answer: the message was made after that time,
	// however long it has been on its way.
	EchoedClock ClockReading `json:"e,omitzero"`
}

// ClockReading is a replica's clock at one moment of one of its lives.
type ClockReading struct {
	Incarnation uint64        `json:"l,omitempty"`
	At          time.Duration `json:"a,omitempty"`
}

// AppendEntries carries the entries after PrevIndex, or none: then it is a plain heartbeat.
type AppendEntries struct {
	Heartbeat
	PrevIndex Index   `json:"i"`
	PrevTerm  Term    `json:"w"`
	Entries   []Entry `json:"l,omitempty"`
}

// AppendResponse answers AppendEntries, and the last SnapshotChunk.
type AppendResponse struct {
	// Match is how far the log is synced and equal to the leader's; in a refusal, how far it may be.
	Match    Index `json:"i"`
	Rejected bool  `json:"x,omitempty"`
	// RejectedIndex repeats, in a refusal, the index that was refused.
	RejectedIndex Index         `json:"p,omitempty"`
	SentAt        time.Duration `json:"s,omitempty"`
	ReadRound     uint64        `json:"r,omitempty"`
	Clock         ClockReading  `json:"k,omitzero"`
}

// SnapshotHeader names a snapshot: pieces of two snapshots with the same header fit together,
// whoever sends them.
type SnapshotHeader struct {
	Index      Index      `json:"i"`
	Term       Term       `json:"w"`
	Membership Membership `json:"m"`
	Size       int        `json:"z"`
	// Checksum is the xxhash of the whole.
	Checksum uint64 `json:"h"`
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	Heartbeat
	Header SnapshotHeader `json:"n"`
	Offset int            `json:"o"`
	Data   []byte         `json:"d,omitempty"`
}

// SnapshotResponse says from where on a snapshot is wanted.
type SnapshotResponse struct {
	Index     Index         `json:"i"`
	Offset    int           `json:"o"`
	SentAt    time.Duration `json:"s,omitempty"`
	ReadRound uint64        `json:"r,omitempty"`
	Clock     ClockReading  `json:"k,omitzero"`
}

// TimeoutNow has a voter stand for election at once, as the leader wants to hand over.
type TimeoutNow struct{}

// payloadBytes is about what the message costs in memory and on the link.
func (msg *Message) payloadBytes() int {
	n := 0
	if msg.SnapshotChunk != nil {
		n += len(msg.SnapshotChunk.Data)
	}
	if msg.Append != nil {
		for i := range msg.Append.Entries {
			n += len(msg.Append.Entries[i].Command)
		}
	}
	return n
}

// payloadCount counts which parts a message has; a proper one has one.
func (msg *Message) payloadCount() int {
	n := 0
	for _, set := range []bool{
		msg.VoteRequest != nil, msg.VoteResponse != nil, msg.Append != nil, msg.AppendResponse != nil,
		msg.SnapshotChunk != nil, msg.SnapshotResponse != nil, msg.TimeoutNow != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
