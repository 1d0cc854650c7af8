package swim

import (
	"fmt"
	"time"
)

// State is the state of a member, ordered by which overrides which within one session.
type State uint8

// The states of a member.
const (
	Unknown State = iota // nothing received yet
	Alive
	Suspect // does not answer; it may still refute that
	Dead    // counted as crashed or partitioned (shown as "gone")
	Left    // announced its leave itself
)

// String returns the state as logs and views show it.
func (s State) String() string {
	if s > Left {
		return "invalid"
	}
	return [...]string{"unknown", "alive", "suspect", "gone", "left"}[s]
}

// Session is a period of a member's presence. It only grows: Incarnation is new with each start of
// the process, Sequence grows with each accusation that it refutes and each lapse of its lease.
type Session struct {
	Incarnation uint64
	Sequence    uint32
}

// String returns the session as logs and views show it.
func (s Session) String() string { return fmt.Sprintf("%x.%d", s.Incarnation, s.Sequence) }

// Before reports whether s is older than t.
func (s Session) Before(t Session) bool {
	return s.Incarnation < t.Incarnation || s.Incarnation == t.Incarnation && s.Sequence < t.Sequence
}

// Rumour is what one member says of another.
type Rumour struct {
	Member  int
	Session Session
	State   State
	Accuser int // of a Suspect or Dead
}

// newer reports whether a rumour overrides a state of a session.
func (r *Rumour) newer(s Session, state State) bool {
	return s.Before(r.Session) || s == r.Session && r.State > state
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. A Ping is answered by an Ack, and an Ack that carries a stamp by an
// AckReply: one exchange confirms to both sides that the other receives them.
const (
	Ping Kind = iota + 1
	Ack
	AckReply
	IndirectPing // asks the receiver to probe Target for the sender
	IndirectAck  // Target has answered the member that was asked
	IndirectNack // Target has not answered; the member that was asked is itself present
	Gossip       // rumours only
	kinds
)

// Message goes from one member to another.
type Message struct {
	From        int
	Session     Session // the sender's
	Kind        Kind
	Stamp       uint64 // when it was sent, by the sender's clock; it comes back as Echo. 0: none
	Echo        uint64 // the receiver's stamp that this answers; 0: none
	EchoTag     uint32 // IncarnationTag of the process that sent the stamp
	NoLease     bool   // the ack gives no lease
	Target      int    // of IndirectPing, IndirectAck, IndirectNack
	Cookie      uint64 // of IndirectPing; returned by IndirectAck and IndirectNack
	Digest      uint32 // of the sessions that the sender counts as Dead or Left
	MemberCount int    // sidecars that the sender has seen; 0: not included
	Rumours     []Rumour
}

// toStamp returns a moment as others return it; never 0, and never later than the moment itself.
func toStamp(now time.Duration) uint64 { return uint64(now/time.Millisecond) + 1 }

// fromStamp returns the moment of a stamp, or one slightly before it.
func fromStamp(stamp uint64) time.Duration {
	return time.Duration(min(stamp-1, uint64(1<<62/time.Millisecond))) * time.Millisecond
}

// IncarnationTag returns a short form of an incarnation, by which a process's stamps are told from
// those of the process before it.
func IncarnationTag(incarnation uint64) uint32 {
	incarnation *= 0x9e3779b97f4a7c15 // Fibonacci hashing: the high half depends on all bits
	return uint32(incarnation>>32) | 1
}
