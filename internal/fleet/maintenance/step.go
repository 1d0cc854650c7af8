package maintenance

import (
	"crypto/sha256"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance/outagepb"
)

// Kind is the kind of an entry of the log.
type Kind uint32

// The kinds of entries.
const (
	LeaderStarted Kind = iota + 1 // a leader's term begins: decisions of lower terms don't count any more
	Planned                       // a plan, by an operator
	Opened                        // a window: nothing new is to be sent to the machine
	Released                      // nobody sends to it and nothing is in flight there: it may be worked on
	Withdrawn                     // a window that was not released yet
	Done                          // the work is done
	Closed                        // the machine is back and warm, requests are served in time
	Paused                        // a plan: no further window
	Resumed
	Cancelled
	Finished // a plan: no machine of it is left
	kinds    // one more than the last
)

// String returns the kind as logs and operators' output show it.
func (k Kind) String() string {
	if k < LeaderStarted || k >= kinds {
		return "unknown"
	}
	return [...]string{
		"leads", "planned", "given", "free", "withdrawn", "done", "over", "paused", "resumed",
		"cancelled", "finished",
	}[k-1]
}

// leaderOnly reports whether only a leader puts such an entry into the log.
func (k Kind) leaderOnly() bool {
	return k == LeaderStarted || k == Opened || k == Released || k == Withdrawn || k == Closed || k == Finished
}

// OfWindow reports whether such an entry's number is a window's; else it is a plan's.
func (k Kind) OfWindow() bool {
	return k == Opened || k == Released || k == Withdrawn || k == Done || k == Closed
}

// Step is an entry of the log.
type Step struct {
	Kind     Kind
	Number   uint32 // of the window, or of the plan (see OfWindow)
	Plan     uint32 // of Opened
	Machine  uint64 // of Opened
	Term     uint64 // of the leader, where only a leader decides
	By       int
	LastPlan uint32            // of Opened: the newest plan that the leader knew
	Hash     [sha256.Size]byte // of Planned
	Why      string
}

// maxReasonBytes bounds Step.Why: an entry has 96 bytes, and the other fields take some.
const maxReasonBytes = 24

// Encode returns the step as an entry of the log.
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

var errEntry = errors.New(
	"an entry about machines out for work that can't be read: of a newer version of the program, maybe",
)

// Decode parses an entry. What can't be understood is an error: it must not be ignored.
func Decode(raw []byte) (s Step, err error) {
	p := new(outagepb.Step)
	if proto.Unmarshal(raw, p) != nil || len(p.ProtoReflect().GetUnknown()) > 0 ||
		p.Kind < uint32(LeaderStarted) || p.Kind >= uint32(kinds) || p.By == 0 {
		return s, errEntry
	}
	s = Step{
		Kind: Kind(p.Kind), Number: p.Number, Plan: p.Plan, Machine: p.Machine, LastPlan: p.Plans,
		Term: p.Term, By: int(p.By) - 1, Why: p.Why,
	}
	if s.Kind == Planned {
		if len(p.Hash) != sha256.Size {
			return s, errEntry
		}
		copy(s.Hash[:], p.Hash)
	}
	if (s.Kind == LeaderStarted) != (s.Number == 0) || (s.Kind == Opened) != (s.Machine != 0) ||
		s.Kind.leaderOnly() != (s.Term != 0) {
		return s, errEntry
	}
	return s, nil
}
