package replication

import "time"

// Message is what replicas send to each other: exactly one of its pointers is set.
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

// VoteRequest asks for a vote in the message's term. A pre-vote asks whether the vote would be
// granted, and changes nothing.
type VoteRequest struct {
	PreVote   bool  `json:"p,omitempty"`
	LastIndex Index `json:"i"`
	LastTerm  Term  `json:"w"`
	// Transfer says that the leader itself asked for this election, so its lease doesn't forbid
	// the vote.
	Transfer bool `json:"x,omitempty"`
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	PreVote  bool `json:"p,omitempty"`
	Rejected bool `json:"x,omitempty"`
}

// Heartbeat is what every message of a leader to a peer carries.
type Heartbeat struct {
	// Commit is the last entry that the leader knows to be committed.
	Commit Index `json:"c,omitempty"`
	// SentAt is the leader's clock; responses repeat it, so that contact is counted from when the
	// request was sent and not from when the response was read.
	SentAt time.Duration `json:"s,omitempty"`
	// ReadRound is the leader's newest read round; responses repeat it.
	ReadRound ReadRound `json:"r,omitempty"`
	// QuorumAckAge is how long before the message was made a majority last confirmed the leader.
	QuorumAckAge time.Duration `json:"g,omitempty"`
	// EchoedClock is the receiver's clock from its newest response: the message was made after
	// that time, however long it has been in flight.
	EchoedClock ClockReading `json:"e,omitzero"`
}

// ClockReading is the clock of a replica at a moment of one of its incarnations.
type ClockReading struct {
	Incarnation Incarnation   `json:"l,omitempty"`
	At          time.Duration `json:"a,omitempty"`
}

// AppendEntries carries the entries after PrevIndex, or none: then it is a plain heartbeat.
type AppendEntries struct {
	Heartbeat
	PrevIndex Index   `json:"i"`
	PrevTerm  Term    `json:"w"`
	Entries   []Entry `json:"l,omitempty"`
}

// AppendResponse answers AppendEntries and the last SnapshotChunk.
type AppendResponse struct {
	// Match is the last entry up to which the log is synced and equals the leader's; in a
	// rejection, the last one up to which it may.
	Match    Index `json:"i"`
	Rejected bool  `json:"x,omitempty"`
	// RejectedIndex is, in a rejection, the PrevIndex of the rejected message.
	RejectedIndex Index         `json:"p,omitempty"`
	SentAt        time.Duration `json:"s,omitempty"`
	ReadRound     ReadRound     `json:"r,omitempty"`
	Clock         ClockReading  `json:"k,omitzero"`
}

// SnapshotHeader identifies a snapshot: chunks under the same header belong together, whichever
// leader sends them.
type SnapshotHeader struct {
	Index      Index      `json:"i"`
	Term       Term       `json:"w"`
	Membership Membership `json:"m"`
	// Size is the length of the snapshot's data in bytes.
	Size int `json:"z"`
	// Checksum is the xxhash of the snapshot's data.
	Checksum uint64 `json:"h"`
}

// SnapshotChunk carries a part of a snapshot's data.
type SnapshotChunk struct {
	Heartbeat
	Header SnapshotHeader `json:"n"`
	// Offset is the position of Data in the snapshot's data, in bytes.
	Offset int    `json:"o"`
	Data   []byte `json:"d,omitempty"`
}

// SnapshotResponse names the offset of the next chunk that the receiver lacks.
type SnapshotResponse struct {
	Index     Index         `json:"i"`
	Offset    int           `json:"o"`
	SentAt    time.Duration `json:"s,omitempty"`
	ReadRound ReadRound     `json:"r,omitempty"`
	Clock     ClockReading  `json:"k,omitzero"`
}

// TimeoutNow asks a voter to start an election at once, because the leader transfers leadership.
type TimeoutNow struct{}

// payloadBytes is the approximate size of the message in memory and on the link.
func (msg *Message) payloadBytes() int {
	n := 0
	if msg.SnapshotChunk != nil {
		n += len(msg.SnapshotChunk.Data)
	}
	if msg.Append != nil {
		n += commandBytes(msg.Append.Entries)
	}
	return n
}

// payloadCount counts the payloads of a message; a well-formed one has one.
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

// isWellFormed reports whether the replica may process a message at all.
func (r *Replica) isWellFormed(msg *Message) bool {
	if msg.Cluster != r.cluster || msg.payloadCount() != 1 {
		return false
	}
	if msg.Append != nil && !msg.Append.isWellFormed(msg.Term) {
		return false
	}
	return msg.SnapshotChunk == nil || msg.SnapshotChunk.isWellFormed()
}

// isWellFormed reports whether the entries follow PrevIndex without gaps, belong to no term after the
// message's, and hold memberships that can be decoded.
func (msg *AppendEntries) isWellFormed(term Term) bool {
	for i := range msg.Entries {
		e := &msg.Entries[i]
		if e.Index != msg.PrevIndex+Index(i)+1 || e.Term > term {
			return false
		}
		if e.Kind != EntryMembership {
			continue
		}
		if _, err := decodeMembership(e.Command); err != nil {
			return false
		}
	}
	return true
}

// isWellFormed reports whether the header can be that of a snapshot and the chunk lies within it.
func (chunk *SnapshotChunk) isWellFormed() bool {
	h := &chunk.Header
	return h.Index > 0 && h.Size >= 0 && h.Size <= maxSnapshotBytes && h.Membership.validate() == nil &&
		chunk.Offset >= 0 && chunk.Offset <= h.Size && len(chunk.Data) <= h.Size-chunk.Offset
}
