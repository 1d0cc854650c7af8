package policyrollout

import "time"

// Mode is by what a sidecar goes.
type Mode int

// The modes.
const (
	CutOff Mode = iota // the operator's own limits for who may have missed something
	One                // one version alone
	Both               // the stricter of what holds and what is under way
)

func (m Mode) String() string { return [...]string{"cut off", "one", "both"}[m] }

// Active is by what a sidecar goes at a moment.
type Active struct {
	Mode     Mode
	Old, New Ref // Both; One: New
}

// Report is what a sidecar tells the leader of itself.
type Report struct {
	Incarnation      uint64        // of its process
	VoterIncarnation uint64        // by which it votes, or might: its own life, or one that it has kept
	Sequence         uint32        // grows with each report of it
	SentAt           time.Duration // when it was sent, by its own clock: the grant that answers it counts from here
	Active           Active        // by what it goes, or would with a grant
	LastIndex        uint64        // entries of the log
	ReadyVersion     uint32        // the version on offer whose text is here and can be applied; 0: none
	Rejection        string        // why it can't apply what is under way; "": it can
}

// Participant is one sidecar's part: what it knows of the log, and what it was granted. It decides nothing for others. A process that has just begun has no grant and goes by CutOff.
// It is not safe for concurrent use.
type Participant struct {
	Lease time.Duration

	state            State
	lastIndex        uint64
	whyNotApplicable func(Ref) string // why a version can't be applied here; "" once its text is here and resolved
	grants           []grant          // the newest last
	reportedBoth     Ref              // that it was reported to go by both of
	reportSequence   uint32           // of the last report
	unreadable       bool             // an entry could not be read: this program can't know what holds
}

// grant is the leader's word that it counts this sidecar in.
type grant struct {
	sent  time.Duration // when what it answers was sent
	index uint64        // of the log, that has to be here first
}

// NewParticipant makes one. apply says why a version can't be applied here, "" where it can, and waiting where its text is not here yet.
func NewParticipant(lease time.Duration, apply func(Ref) string) *Participant {
	return &Participant{Lease: lease, whyNotApplicable: apply}
}

// Waiting is what apply says of a text that is not here yet: it may come.
const Waiting = "its text is not here yet"

// ApplyEntry takes the next entry of the log.
func (h *Participant) ApplyEntry(index uint64, raw []byte) (refused string, err error) {
	h.lastIndex = index
	e, err := DecodeStep(raw)
	if err != nil {
		h.unreadable = true
		return "", err
	}
	return h.state.Apply(index, e), nil
}

// MarkUnreadable takes that an entry of another kind could not be read: what it says may matter.
func (h *Participant) MarkUnreadable() { h.unreadable = true }

// AdvanceIndex takes that the log is here up to an index, whatever its last entries say.
func (h *Participant) AdvanceIndex(index uint64) { h.lastIndex = max(h.lastIndex, index) }

// Reset takes that the log is another one: nothing of the last counts.
func (h *Participant) Reset() {
	h.state, h.lastIndex, h.grants, h.reportedBoth, h.unreadable = State{}, 0, nil, Ref{}, false
}

// State is what the log makes of the policy, as far as it is here.
func (h *Participant) State() *State { return &h.state }

// RecordGrant takes the leader's answer to a report that was sent at a moment: it counts once the log is here up to an index.
func (h *Participant) RecordGrant(now, sent time.Duration, index uint64) {
	if sent > now || now-sent >= h.Lease {
		return
	}
	for _, g := range h.grants {
		if g.sent >= sent && g.index <= index {
			return // it adds nothing
		}
	}
	h.grants = append(h.grants, grant{sent, index})
	if len(h.grants) > maxGrants {
		h.grants = h.grants[1:]
	}
}

// maxGrants is how many are kept, as the newest may wait for its entries.
const maxGrants = 8

// HasGrant says whether a grant counts now.
func (h *Participant) HasGrant(now time.Duration) bool {
	for _, g := range h.grants {
		if g.index <= h.lastIndex && now-g.sent < h.Lease && now >= g.sent {
			return true
		}
	}
	return false
}

// GrantedUntil is when this one goes by CutOff if nothing more is heard; it is in the past where it does so now.
func (h *Participant) GrantedUntil() (until time.Duration) {
	for _, g := range h.grants {
		if g.index <= h.lastIndex {
			until = max(until, g.sent+h.Lease)
		}
	}
	return until
}

// activeIfGranted is by what this one goes where it has a grant.
func (h *Participant) activeIfGranted() Active {
	s := &h.state
	if s.Pending.Version != 0 && h.whyNotApplicable(s.Pending) == "" && h.whyNotApplicable(s.Current) == "" {
		return Active{Both, s.Current, s.Pending}
	}
	if s.Pending.Version != 0 && h.reportedBoth == s.Pending {
		// It was told that this one goes by both, and others may go by the new one alone by now: what it can't apply any more must not bring it back to the old one (seed 5829).
		return Active{Mode: CutOff}
	}
	return Active{Mode: One, New: s.Current}
}

// Active is by what this sidecar goes. It is to be asked wherever something depends on it, at that moment: a process that stood still finds its grant over at its first question.
func (h *Participant) Active(now time.Duration) Active {
	if h.unreadable || !h.HasGrant(now) || h.whyNotApplicable(h.state.Current) != "" {
		return Active{Mode: CutOff}
	}
	return h.activeIfGranted()
}

// NextReport is what the leader is to be told.
func (h *Participant) NextReport(now time.Duration) Report {
	h.reportSequence++
	r := Report{SentAt: now, Sequence: h.reportSequence, Active: h.activeIfGranted(), LastIndex: h.lastIndex}
	if r.Active.Mode == Both {
		h.reportedBoth = r.Active.New
	}
	switch why := h.whyNotApplicable(h.state.Current); {
	case h.unreadable:
		r.Rejection = errEntry.Error()
	case why != "":
		r.Active.Mode = CutOff // it could not go by what holds, granted or not
	}
	if o := h.state.Offered; o.Version != 0 && r.Rejection == "" {
		switch why := h.whyNotApplicable(o); why {
		case "":
			r.ReadyVersion = o.Version
		case Waiting:
		default:
			r.Rejection = why
		}
	}
	if p := h.state.Pending; p.Version != 0 && r.Rejection == "" {
		if why := h.whyNotApplicable(p); why != "" && why != Waiting {
			r.Rejection = why
		}
	}
	return r
}
