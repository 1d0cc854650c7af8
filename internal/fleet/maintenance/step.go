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
	Leads     Kind = iota + 1 // a leader begins: what one of a lower term decided counts no more
	Planned                   // by an operator
	Given                     // a turn: the machine is to be sent nothing new
	Freed                     // nobody sends to it and nothing is out there: free to work on
	Withdrawn                 // a turn that was not freed yet
	Done                      // the work is done
	Over                      // the machine is back and warm, traffic is in time
	Paused                    // a plan: no further turn
	Resumed
	Cancelled
	Finished // a plan: nothing is left of it
	kinds    // how many there are, and one
)

func (k Kind) String() string {
	if k < Leads || k >= kinds {
		return "unknown"
	}
	return [...]string{"leads", "planned", "given", "free", "withdrawn", "done", "over", "paused", "resumed", "cancelled", "finished"}[k-1]
}

// ofLeader says whether only a leader puts such an entry into the log.
func (k Kind) ofLeader() bool {
	return k == Leads || k == Given || k == Freed || k == Withdrawn || k == Over || k == Finished
}

// OfTurn says whether such an entry's number is a turn's; else it is a plan's.
func (k Kind) OfTurn() bool {
	return k == Given || k == Freed || k == Withdrawn || k == Done || k == Over
}

// Step is an entry of the log.
type Step struct {
	Kind    Kind
	Number  uint32 // of the turn; of the plan, where there is no turn
	Plan    uint32 // Given
	Machine uint64 // Given
	Term    uint64 // of the leader, where only a leader decides it
	By      int
	Plans   uint32            // Given: the newest plan that its leader knew
	Hash    [sha256.Size]byte // Planned
	Why     string
}

// whyMost bounds Why, in bytes: an entry has 96, and what lies round it takes some.
const whyMost = 24

// Encode is the step as an entry.
func (s Step) Encode() ([]byte, error) {
	p := &outagepb.Step{
		Kind: uint32(s.Kind), Number: s.Number, Plan: s.Plan, Machine: s.Machine, Plans: s.Plans, Term: s.Term, By: uint32(s.By) + 1, Why: strings.ToValidUTF8(s.Why[:min(len(s.Why), whyMost)], ""),
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
	if proto.Unmarshal(raw, p) != nil || len(p.ProtoReflect().GetUnknown()) > 0 || p.Kind < uint32(Leads) || p.Kind >= uint32(kinds) || p.By == 0 {
		return s, errEntry
	}
	s = Step{Kind: Kind(p.Kind), Number: p.Number, Plan: p.Plan, Machine: p.Machine, Plans: p.Plans, Term: p.Term, By: int(p.By) - 1, Why: p.Why}
	if s.Kind == Planned {
		if len(p.Hash) != sha256.Size {
			return s, errEntry
		}
		copy(s.Hash[:], p.Hash)
	}
	if (s.Kind == Leads) != (s.Number == 0) || (s.Kind == Given) != (s.Machine != 0) || s.Kind.ofLeader() != (s.Term != 0) {
		return s, errEntry
	}
	return s, nil
}
