package swim

import (
	"fmt"
	"time"
)

// State is the state of a member. Within one session, a state overrides all lower states.
type State uint8

// The states of a member, in ascending order.
const (
	Unknown State = iota // no message from the member and no rumour about it received yet
	Alive
	Suspect // does not answer; the member can still refute the suspicion
	Dead    // counted as crashed or partitioned; shown as "gone"
	Left    // the member announced its own departure
)

// String returns the state as it appears in logs and views.
func (s State) String() string {
	if s > Left {
		return "invalid"
	}
	return [...]string{"unknown", "alive", "suspect", "gone", "left"}[s]
}

// Session identifies a period of a member's presence. Sessions of a member only increase:
// Incarnation rises with each start of the process, Sequence with each accusation that the member
// refutes and each expiry of its lease.
type Session struct {
	Incarnation uint64
	Sequence    uint32
}

// String returns the session as it appears in logs and views.
func (s Session) String() string { return fmt.Sprintf("%x.%d", s.Incarnation, s.Sequence) }

// Before reports whether s is older than t.
func (s Session) Before(t Session) bool {
	return s.Incarnation < t.Incarnation || s.Incarnation == t.Incarnation && s.Sequence < t.Sequence
}

// Rumour is a statement about the state of a member, passed on by gossip.
type Rumour struct {
	Member  int
	Session Session
	State   State
	Accuser int // number of the member that declared Member Suspect or Dead
}

// newer reports whether a rumour overrides a state of a session.
func (r *Rumour) newer(s Session, state State) bool {
	return s.Before(r.Session) || s == r.Session && r.State > state
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. A Ping is answered by an Ack, and an Ack that carries a stamp by an
// AckReply: one exchange confirms to both members that the other receives their messages.
const (
	Ping Kind = iota + 1
	Ack
	AckReply
	IndirectPing // asks the receiver to probe Target on behalf of the sender
	IndirectAck  // Target has answered the sender's ping
	IndirectNack // Target has not answered the sender's ping, but the sender is present itself
	Gossip       // carries only rumours
	kinds        // one more than the highest kind
)

// Message is a message from one member to another.
type Message struct {
	From        int
	Session     Session // session of the sender
	Kind        Kind
	Stamp       uint64 // send time by the sender's clock, which an answer returns as Echo; 0: none
	Echo        uint64 // stamp of the receiver's message that this message answers; 0: none
	EchoTag     uint32 // IncarnationTag of the process that sent the stamp
	NoLease     bool   // the ack grants no lease
	Target      int    // of IndirectPing, IndirectAck and IndirectNack
	Cookie      uint64 // of IndirectPing; returned in IndirectAck and IndirectNack
	Digest      uint32 // of the sessions that the sender counts as Dead or Left
	MemberCount int    // number of sidecars that the sender has seen; 0: not included
	Rumours     []Rumour
}

// toStamp encodes a time as a stamp in milliseconds plus one, so that a stamp is never 0. fromStamp
// of the result is never later than the time itself.
func toStamp(now time.Duration) uint64 { return uint64(now/time.Millisecond) + 1 }

// fromStamp returns the time that a stamp encodes, rounded down to a whole millisecond.
func fromStamp(stamp uint64) time.Duration {
	return time.Duration(min(stamp-1, uint64(1<<62/time.Millisecond))) * time.Millisecond
}

// IncarnationTag returns a short hash of an incarnation. It distinguishes the stamps of a process
// from those of the process that had the same member number before.
func IncarnationTag(incarnation uint64) uint32 {
	incarnation *= 0x9e3779b97f4a7c15 // Fibonacci hashing: the upper 32 bits depend on all bits
	return uint32(incarnation>>32) | 1
}
