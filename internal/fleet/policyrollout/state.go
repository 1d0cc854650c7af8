package policyrollout

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/policyrollout/policypb"
)

// Kind is the kind of an entry of the log.
type Kind uint32

// The kinds of entries. A change is proposed, then committed or aborted, and completed once nobody
// applies the policy before it. Started comes first, once no grant of an earlier log can count any
// more: when an operator bootstraps a new log, nobody may apply its policy while others still apply
// the last log's.
const (
	Proposed Kind = iota + 1
	Committed
	Aborted
	Completed
	Started
	// Offered announces a long text: the change to it is proposed once the text is distributed, so
	// that nobody is cut off for lack of it.
	Offered
)

// String returns the kind as logs and operators' output show it.
func (k Kind) String() string {
	if k < Proposed || k > Offered {
		return "unknown"
	}
	return [...]string{"proposed", "taken", "called off", "settled", "begun", "offered"}[k-1]
}

// Ref identifies a version of the policy by its number and its text's hash. The zero Ref is the
// policy before any was agreed on: the settings.
type Ref struct {
	Version uint32
	Hash    [sha256.Size]byte
}

// Step is an entry of the log.
type Step struct {
	Kind Kind
	Ref
	Base    uint32 // of Proposed and Offered: the version that it was made from
	Sidecar int
	Reason  string // of Aborted
}

const (
	maxReasonBytes = 32 // of Step.Why: an entry has 96
	maxHistory     = 64
)

// Encode returns the step as an entry of the log.
func (s Step) Encode() ([]byte, error) {
	p := &policypb.Step{
		Kind: uint32(s.Kind), Version: s.Version, Base: s.Base, By: uint32(s.Sidecar) + 1,
		Why: strings.ToValidUTF8(s.Reason[:min(len(s.Reason), maxReasonBytes)], ""),
	}
	if s.Kind == Proposed || s.Kind == Offered {
		p.Hash = s.Hash[:]
	}
	return proto.Marshal(p)
}

var errUnreadableEntry = errors.New("an entry that can't be read: of a newer version of the program, maybe")

// DecodeStep parses an entry. What can't be understood is an error: it must not be ignored.
func DecodeStep(raw []byte) (s Step, err error) {
	p := new(policypb.Step)
	if proto.Unmarshal(raw, p) != nil || p.Kind < uint32(Proposed) || p.Kind > uint32(Offered) ||
		(p.Version == 0) != (p.Kind == uint32(Started)) || p.By == 0 {
		return s, errUnreadableEntry
	}
	s = Step{Kind: Kind(p.Kind), Ref: Ref{Version: p.Version}, Base: p.Base, Sidecar: int(p.By) - 1, Reason: p.Why}
	if s.Kind == Proposed || s.Kind == Offered {
		if len(p.Hash) != sha256.Size {
			return s, errUnreadableEntry
		}
		copy(s.Hash[:], p.Hash)
	}
	return s, nil
}

// PastChange is a change that has its outcome.
type PastChange struct {
	Ref
	ProposedBy int
	Outcome    Kind // Committed or Aborted
	EndedBy    int  // who proposed the outcome, or can't apply the version
	Reason     string
}

// State is what the log makes of the policy: the same at all sidecars that have the same entries.
type State struct {
	Started      bool
	Current      Ref
	Offered      Ref          // its text is being distributed; Version 0: none
	Pending      Ref          // its change is in progress; Version 0: none
	ProposedBy   int          // of Offered or Pending
	LastVersion  uint32       // the highest version so far
	Completing   uint32       // has its outcome, but some may still apply the policy before; 0: none
	OutcomeIndex uint64       // log index of the outcome of Completing
	History      []PastChange // the last maxHistory
}

// Apply applies the next entry, by its index. rejected says why it changes nothing, so that the
// second of two concurrent proposals learns so.
func (s *State) Apply(index uint64, e Step) (rejected string) {
	switch e.Kind {
	case Started:
		if s.Started {
			return "it has begun already"
		}
		s.Started = true
	case Proposed, Offered:
		offer := e.Kind == Proposed && s.Offered.Version != 0 && e.Ref == s.Offered
		switch {
		case !s.Started:
			return "the log has not begun yet"
		case s.Pending.Version != 0 || s.Offered.Version != 0 && !offer:
			return fmt.Sprintf("version %d is under way", max(s.Pending.Version, s.Offered.Version))
		case s.Completing != 0:
			return fmt.Sprintf("version %d has not settled yet", s.Completing)
		case e.Base != s.Current.Version:
			return fmt.Sprintf("it was made from version %d, %d holds", e.Base, s.Current.Version)
		case e.Version != s.LastVersion+1 && !offer:
			return fmt.Sprintf("version %d is the next one", s.LastVersion+1)
		}
		if s.ProposedBy, s.LastVersion, s.Offered = e.Sidecar, e.Version, e.Ref; e.Kind == Proposed {
			s.Pending, s.Offered = e.Ref, Ref{}
		}
	case Committed, Aborted:
		if e.Kind == Aborted && e.Version == s.Offered.Version && e.Version != 0 { // nobody has applied it
			s.addHistory(s.Offered, e)
			s.Offered = Ref{}
			return ""
		}
		if e.Version != s.Pending.Version || e.Version == 0 {
			return "it is not under way"
		}
		s.addHistory(s.Pending, e)
		if e.Kind == Committed {
			s.Current = s.Pending
		}
		s.Pending, s.Completing, s.OutcomeIndex = Ref{}, e.Version, index
	case Completed:
		if e.Version != s.Completing || e.Version == 0 {
			return "it is not open"
		}
		s.Completing = 0
	}
	return ""
}

// addHistory records what became of a version.
func (s *State) addHistory(r Ref, e Step) {
	s.History = append(s.History, PastChange{r, s.ProposedBy, e.Kind, e.Sidecar, e.Reason})
	s.History = s.History[max(0, len(s.History)-maxHistory):]
}

// InProgress returns the version whose change is in progress or not completed; 0: none, so another
// may be proposed.
func (s *State) InProgress() uint32 { return max(s.Offered.Version, s.Pending.Version, s.Completing) }
