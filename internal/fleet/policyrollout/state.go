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

// The kinds of entries. A change is proposed, then committed or aborted, and completed once no sidecar
// applies the previous policy any more. The first entry is Started, which the leader proposes when no grant
// of an earlier log can be valid: after an operator has bootstrapped a new log, no sidecar may apply the new
// log's policy while others still apply the previous log's.
const (
	Proposed Kind = iota + 1
	Committed
	Aborted
	Completed
	Started
	// Offered announces a long text. The change to that text is proposed once the text is distributed, so
	// that no sidecar changes to CutOff because it lacks the text.
	Offered
)

// String returns the kind as in log lines and operators' output.
func (k Kind) String() string {
	if k < Proposed || k > Offered {
		return "unknown"
	}
	return [...]string{"proposed", "taken", "called off", "settled", "begun", "offered"}[k-1]
}

// Ref identifies a version of the policy by its number and the SHA-256 of its text. The zero Ref stands for
// the sidecars' own settings, which apply before the first change is committed.
type Ref struct {
	Version uint32
	Hash    [sha256.Size]byte
}

// Step is a log entry about a policy change.
type Step struct {
	Kind Kind
	Ref
	Base    uint32 // of Proposed and Offered: the version that the text was edited from
	Sidecar int    // number of the sidecar that proposed the step, or whose rejection aborted the change
	Reason  string // of Aborted: why the change is aborted
}

const (
	maxReasonBytes = 32 // of Step.Reason: a log entry has room for 96 bytes
	maxHistory     = 64 // past changes in State
)

// Encode encodes the step as the data of a log entry.
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

// errUnreadableEntry is reported to the leader as a rejection, so its text is part of the protocol.
var errUnreadableEntry = errors.New("an entry that can't be read: of a newer version of the program, maybe")

// DecodeStep parses the data of a log entry. An entry that it does not understand is an error, because
// ignoring the entry could make sidecars apply different policies.
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

// PastChange is a change that was committed or aborted.
type PastChange struct {
	Ref
	ProposedBy int    // sidecar that proposed the change
	Outcome    Kind   // Committed or Aborted
	EndedBy    int    // sidecar that proposed the outcome, or that can't apply the version
	Reason     string // of Aborted: why the change was aborted
}

// State is the policy state that results from the log's entries. Sidecars that have applied the same entries
// have the same State.
type State struct {
	Started      bool         // the Started entry was applied
	Current      Ref          // the last committed version
	Offered      Ref          // version whose text is being distributed; Version 0: none
	Pending      Ref          // version whose change is in progress; Version 0: none
	ProposedBy   int          // sidecar that proposed Offered or Pending
	LastVersion  uint32       // the highest version so far
	Completing   uint32       // version that has its outcome, but is not completed; 0: none
	OutcomeIndex uint64       // log index of the outcome of Completing
	History      []PastChange // the last maxHistory changes, the newest last
}

// Apply applies the step of the log entry at an index. rejected tells why the step has no effect, "" if it
// has one; the second of two concurrent proposals is rejected this way.
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
		if e.Kind == Aborted && e.Version == s.Offered.Version && e.Version != 0 { // no sidecar applies it yet
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

// addHistory records the outcome of a version.
func (s *State) addHistory(r Ref, e Step) {
	s.History = append(s.History, PastChange{r, s.ProposedBy, e.Kind, e.Sidecar, e.Reason})
	s.History = s.History[max(0, len(s.History)-maxHistory):]
}

// InProgress returns the version that is offered, pending or not completed; 0: there is none, and a change
// may be proposed.
func (s *State) InProgress() uint32 { return max(s.Offered.Version, s.Pending.Version, s.Completing) }
