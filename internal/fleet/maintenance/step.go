package maintenance

import (
	"crypto/sha256"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance/outagepb"
)

// Kind is what an entry of the log says.
type Kind uint32

// The kinds.
const (
	LeaderStarted Kind = iota + 1 // a leader begins: what one of a lower term decided counts no more
	Planned                       // by an operator
	Opened                        // a turn: the machine is to be sent nothing new
	Released                      // nobody sends to it and nothing is out there: free to work on
	Withdrawn                     // a turn that was not freed yet
	Done                          // the work is done
	Closed                        // the machine is back and warm, traffic is in time
	Paused                        // a plan: no further turn
	Resumed
	Cancelled
	Finished // a plan: nothing is left of it
	kinds    // how many there are, and one
)

func (k Kind) String() string {
	if k < LeaderStarted || k >= kinds {
		return "unknown"
	}
	return [...]string{"leads", "planned", "given", "free", "withdrawn", "done", "over", "paused", "resumed", "cancelled", "finished"}[k-1]
}

// leaderOnly says whether only a leader puts such an entry into the log.
func (k Kind) leaderOnly() bool {
	return k == LeaderStarted || k == Opened || k == Released || k == Withdrawn || k == Closed || k == Finished
}

// OfWindow says whether such an entry's number is a turn's; else it is a plan's.
func (k Kind) OfWindow() bool {
	return k == Opened || k == Released || k == Withdrawn || k == Done || k == Closed
}

// Step is an entry of the log.
type Step struct {
	Kind     Kind
	Number   uint32 // of the turn; of the plan, where there is no turn
	Plan     uint32 // Given
	Machine  uint64 // Given
	Term     uint64 // of the leader, where only a leader decides it
	By       int
	LastPlan uint32            // Given: the newest plan that its leader knew
	Hash     [sha256.Size]byte // Planned
	Why      string
}

// maxReasonBytes bounds Why, in bytes: an entry has 96, and what lies round it takes some.
const maxReasonBytes = 24

// Encode is the step as an entry.
func (s Step) Encode() ([]byte, error) {
	p := &outagepb.Step{
		Kind: uint32(s.Kind), Number: s.Number, Plan: s.Plan, Machine: s.Machine, Plans: s.LastPlan, Term: s.Term, By: uint32(s.By) + 1, Why: strings.ToValidUTF8(s.Why[:min(len(s.Why), maxReasonBytes)], ""),
	}
	if s.Kind == Planned {
		p.Hash = s.Hash[:]
	}
	return proto.Marshal(p)
}

var errEntry = errors.New("an entry about machines out for work that can't be read: of a newer version of the program, maybe")

// Decode reads an entry. What can't be understood is an error: it must not be passed over.
func Decode(raw []byte) (s Step, err error) {
	p := new(outagepb.Step)
	if proto.Unmarshal(raw, p) != nil || len(p.ProtoReflect().GetUnknown()) > 0 || p.Kind < uint32(LeaderStarted) || p.Kind >= uint32(kinds) || p.By == 0 {
		return s, errEntry
	}
	s = Step{Kind: Kind(p.Kind), Number: p.Number, Plan: p.Plan, Machine: p.Machine, LastPlan: p.Plans, Term: p.Term, By: int(p.By) - 1, Why: p.Why}
	if s.Kind == Planned {
		if len(p.Hash) != sha256.Size {
			return s, errEntry
		}
		copy(s.Hash[:], p.Hash)
	}
	if (s.Kind == LeaderStarted) != (s.Number == 0) || (s.Kind == Opened) != (s.Machine != 0) || s.Kind.leaderOnly() != (s.Term != 0) {
		return s, errEntry
	}
	return s, nil
}
