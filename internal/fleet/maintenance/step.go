package maintenance

import (
	"crypto/sha256"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance/outagepb"
)

// Kind is the kind of a log entry about maintenance.
type Kind uint32

// The kinds of log entries.
const (
	LeaderStarted Kind = iota + 1 // a leader's term begins; steps of earlier leaders are rejected from now on
	Planned                       // an operator has proposed a plan
	Opened                        // a window opens: no new requests are sent to its machine
	Released                      // no sidecar sends to the window's machine any more, so it may be worked on
	Withdrawn                     // a window ends before it was released
	Done                          // the work on the window's machine is done
	Closed                        // a window ends: its machine is warm, and enough requests are served in time
	Paused                        // a plan opens no further windows
	Resumed                       // a paused plan continues
	Cancelled                     // an operator has ended a plan
	Finished                      // a plan ends because all of its machines have had a window
	kindEnd                       // one more than the last kind
)

// String returns the kind as it is written in logs and the output for operators.
func (k Kind) String() string {
	if k < LeaderStarted || k >= kindEnd {
		return "unknown"
	}
	return [...]string{
		"leads", "planned", "given", "free", "withdrawn", "done", "over", "paused", "resumed",
		"cancelled", "finished",
	}[k-1]
}

// leaderOnly reports whether only a leader proposes entries of this kind.
func (k Kind) leaderOnly() bool {
	return k == LeaderStarted || k == Opened || k == Released || k == Withdrawn || k == Closed || k == Finished
}

// OfWindow reports whether Step.Number is the number of a window for this kind; otherwise it is a plan's number.
func (k Kind) OfWindow() bool {
	return k == Opened || k == Released || k == Withdrawn || k == Done || k == Closed
}

// Step is a log entry about maintenance.
type Step struct {
	Kind     Kind
	Number   uint32            // of the window or of the plan, see Kind.OfWindow
	Plan     uint32            // Opened only
	Machine  uint64            // Opened only
	Term     uint64            // of the leader that decided the step; 0 for kinds that anybody may propose
	By       int               // number of the sidecar that proposed the step
	LastPlan uint32            // Opened only: the newest plan that the leader knew
	Hash     [sha256.Size]byte // Planned only: hash of the plan's text
	Why      string
}

// maxReasonBytes bounds Step.Why in an encoded step. A log entry has at most 96 bytes, which the other fields
// share.
const maxReasonBytes = 24

// Encode returns the step as the data of a log entry. Step.Why is truncated to maxReasonBytes.
func (s Step) Encode() ([]byte, error) {
	p := &outagepb.Step{
		Kind:    uint32(s.Kind),
		Number:  s.Number,
		Plan:    s.Plan,
		Machine: s.Machine,
		Plans:   s.LastPlan,
		Term:    s.Term,
		By:      uint32(s.By) + 1,
		Why:     strings.ToValidUTF8(s.Why[:min(len(s.Why), maxReasonBytes)], ""),
	}
	if s.Kind == Planned {
		p.Hash = s.Hash[:]
	}
	return proto.Marshal(p)
}

var errUndecodable = errors.New(
	"log entry about maintenance can't be decoded; a newer version of the program may have written it",
)

// Decode parses the data of a log entry. Unknown fields and kinds are errors, because a sidecar that ignored them
// would diverge from the others.
func Decode(raw []byte) (s Step, err error) {
	p := new(outagepb.Step)
	if proto.Unmarshal(raw, p) != nil || len(p.ProtoReflect().GetUnknown()) > 0 ||
		p.Kind < uint32(LeaderStarted) || p.Kind >= uint32(kindEnd) || p.By == 0 {
		return s, errUndecodable
	}
	s = Step{
		Kind: Kind(p.Kind), Number: p.Number, Plan: p.Plan, Machine: p.Machine, LastPlan: p.Plans,
		Term: p.Term, By: int(p.By) - 1, Why: p.Why,
	}
	if s.Kind == Planned {
		if len(p.Hash) != sha256.Size {
			return s, errUndecodable
		}
		copy(s.Hash[:], p.Hash)
	}
	if (s.Kind == LeaderStarted) != (s.Number == 0) || (s.Kind == Opened) != (s.Machine != 0) ||
		s.Kind.leaderOnly() != (s.Term != 0) {
		return s, errUndecodable
	}
	return s, nil
}
