package replication

import "time"

// Message is a message from one replica to another. Exactly one of the payload pointers is set.
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

// VoteRequest asks for the receiver's vote in the message's term. A pre-vote asks whether the
// receiver would grant the vote, and leaves the receiver's state unchanged. LastIndex and LastTerm
// describe the last entry of the candidate's log.
type VoteRequest struct {
	PreVote   bool  `json:"p,omitempty"`
	LastIndex Index `json:"i"`
	LastTerm  Term  `json:"w"`
	// Transfer marks an election that the leader requested in order to transfer leadership. The
	// leader's lease does not prevent a vote in this election.
	Transfer bool `json:"x,omitempty"`
}

// VoteResponse answers a VoteRequest. Its message carries the requested term if the vote is granted.
// A rejection carries the responder's term.
type VoteResponse struct {
	PreVote  bool `json:"p,omitempty"`
	Rejected bool `json:"x,omitempty"`
}

// Heartbeat is included in every AppendEntries and SnapshotChunk message of a leader.
type Heartbeat struct {
	// Commit is the leader's commit index.
	Commit Index `json:"c,omitempty"`
	// SentAt is the leader's clock when it sent the message. The response echoes it, so that the
	// leader measures contact from the time of the request instead of the time at which it
	// processed the response.
	SentAt time.Duration `json:"s,omitempty"`
	// ReadRound is the leader's newest read round. The response echoes it.
	ReadRound ReadRound `json:"r,omitempty"`
	// QuorumAckAge is the time from the last confirmation of the leader by a majority to the
	// creation of the message, or maxDuration if the leader has committed no entry of its own term.
	QuorumAckAge time.Duration `json:"g,omitempty"`
	// EchoedClock is the receiver's clock as reported in its newest response. The leader created the
	// message after that time, however long the message has been in flight.
	EchoedClock ClockReading `json:"e,omitzero"`
}

// ClockReading is the reading At of a replica's clock in one of its incarnations. Readings of
// different incarnations are not comparable.
type ClockReading struct {
	Incarnation Incarnation   `json:"l,omitempty"`
	At          time.Duration `json:"a,omitempty"`
}

// AppendEntries carries the entries that follow PrevIndex. Without entries the message is a plain
// heartbeat.
type AppendEntries struct {
	Heartbeat
	PrevIndex Index   `json:"i"`
	PrevTerm  Term    `json:"w"`
	Entries   []Entry `json:"l,omitempty"`
}

// AppendResponse answers AppendEntries, and the SnapshotChunk that completes a snapshot.
type AppendResponse struct {
	// Match is the last index up to which the sender's log is synced and equals the leader's log. In
	// a rejection, Match is the last index up to which the logs may still be equal.
	Match    Index `json:"i"`
	Rejected bool  `json:"x,omitempty"`
	// RejectedIndex is the PrevIndex of the rejected message, if Rejected is set.
	RejectedIndex Index         `json:"p,omitempty"`
	SentAt        time.Duration `json:"s,omitempty"`
	ReadRound     ReadRound     `json:"r,omitempty"`
	Clock         ClockReading  `json:"k,omitzero"`
}

// SnapshotHeader identifies a snapshot. Chunks with the same header belong to the same snapshot,
// regardless of the leader that sends them.
type SnapshotHeader struct {
	Index      Index      `json:"i"`
	Term       Term       `json:"w"`
	Membership Membership `json:"m"`
	// Size is the length of the snapshot data in bytes.
	Size int `json:"z"`
	// Checksum is the xxHash64 of the snapshot data.
	Checksum uint64 `json:"h"`
}

// SnapshotChunk carries a part of the snapshot data.
type SnapshotChunk struct {
	Heartbeat
	Header SnapshotHeader `json:"n"`
	// Offset is the position of Data within the snapshot data, in bytes.
	Offset int    `json:"o"`
	Data   []byte `json:"d,omitempty"`
}

// SnapshotResponse requests the chunk at Offset, in bytes, of the snapshot at Index.
type SnapshotResponse struct {
	Index     Index         `json:"i"`
	Offset    int           `json:"o"`
	SentAt    time.Duration `json:"s,omitempty"`
	ReadRound ReadRound     `json:"r,omitempty"`
	Clock     ClockReading  `json:"k,omitzero"`
}

// TimeoutNow is sent by a leader that transfers leadership. The receiving voter starts an election
// immediately.
type TimeoutNow struct{}

// payloadBytes returns the approximate size of the message in memory and on the network.
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

// payloadCount returns the number of payload pointers that are set. A well-formed message has one.
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

// isWellFormed reports whether the message belongs to the replica's cluster, has exactly one payload,
// and has a payload that is valid by itself.
func (r *Replica) isWellFormed(msg *Message) bool {
	if msg.Cluster != r.cluster || msg.payloadCount() != 1 {
		return false
	}
	if msg.Append != nil && !msg.Append.isWellFormed(msg.Term) {
		return false
	}
	return msg.SnapshotChunk == nil || msg.SnapshotChunk.isWellFormed()
}

// isWellFormed reports whether the entries follow PrevIndex without gaps, have terms no higher than
// the message's term, and hold only memberships that are valid.
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

// isWellFormed reports whether the header is valid and the chunk lies within the snapshot.
func (chunk *SnapshotChunk) isWellFormed() bool {
	h := &chunk.Header
	return h.Index > 0 && h.Size >= 0 && h.Size <= maxSnapshotBytes && h.Membership.validate() == nil &&
		chunk.Offset >= 0 && chunk.Offset <= h.Size && len(chunk.Data) <= h.Size-chunk.Offset
}
