package policyrollout

import (
	"time"
)

// Mode is which versions of the policy a sidecar applies.
type Mode int

// The modes.
const (
	CutOff       Mode = iota // the limits that the settings have for a sidecar that may have missed something
	OneVersion               // one version alone
	BothVersions             // the stricter of the current version and the pending one
)

// String returns the mode as logs and operators' output show it.
func (m Mode) String() string { return [...]string{"cut off", "one", "both"}[m] }

// Active is the policy that a sidecar applies at a moment.
type Active struct {
	Mode     Mode
	Old, New Ref // of Both; of One: New alone
}

// Report is what a sidecar reports to the leader.
type Report struct {
	Incarnation      uint64        // of its process
	VoterIncarnation uint64        // by which it votes, or might: its own, or a saved one
	Sequence         uint32        // grows with each report of a process
	SentAt           time.Duration // by its own clock: the grant counts from here
	Active           Active        // what it applies, or would with a grant
	LastIndex        uint64        // of its log
	ReadyVersion     uint32        // the offered version, if its text is here and can be applied; 0: none
	Rejection        string        // why it can't apply the change in progress; "": it can
}

// Participant is one sidecar's part: what it knows of the log, and its grants. It decides nothing
// for others. A process that has just started has no grant and applies CutOff. It is not safe for
// concurrent use.
type Participant struct {
	Lease time.Duration

	state           State
	lastIndex       uint64
	rejectionReason func(Ref) string // "": the version's text is here and can be applied
	grants          []grant          // the newest last
	// the pending version that was last reported as applied with the old one
	reportedBoth   Ref
	reportSequence uint32 // of the last report
	unreadable     bool   // an entry could not be read, so the current policy is unknown
}

// grant is the leader's statement that it counts this sidecar in.
type grant struct {
	sent  time.Duration // send time of its report
	index uint64        // up to which the log has to be here
}

// NewParticipant returns a participant without grants. whyNotApplicable returns why a version can't
// be applied here, "" if it can, and Waiting if its text is not here yet.
func NewParticipant(lease time.Duration, apply func(Ref) string) *Participant {
	return &Participant{Lease: lease, rejectionReason: apply}
}

// TextMissing is the reason for a text that is not here yet: it may still arrive.
const TextMissing = "its text is not here yet"

// ApplyEntry applies the next entry of the log.
func (h *Participant) ApplyEntry(index uint64, raw []byte) (rejected string, err error) {
	h.lastIndex = index
	e, err := DecodeStep(raw)
	if err != nil {
		h.unreadable = true
		return "", err
	}
	return h.state.Apply(index, e), nil
}

// MarkUnreadable records that an entry of another kind could not be read: its meaning may matter.
func (h *Participant) MarkUnreadable() { h.unreadable = true }

// AdvanceIndex records that the log is here up to an index, whatever its last entries are about.
func (h *Participant) AdvanceIndex(index uint64) { h.lastIndex = max(h.lastIndex, index) }

// Reset forgets everything about the last log.
func (h *Participant) Reset() {
	h.state, h.lastIndex, h.grants, h.reportedBoth, h.unreadable = State{}, 0, nil, Ref{}, false
}

// State returns what the log makes of the policy, as far as it is here.
func (h *Participant) State() *State { return &h.state }

// RecordGrant records the leader's grant of a report that was sent at a moment. It counts once the
// log is here up to index.
func (h *Participant) RecordGrant(now, sent time.Duration, index uint64) {
	if sent > now || now-sent >= h.Lease {
		return
	}
	for _, g := range h.grants {
		if g.sent >= sent && g.index <= index {
			return // no later than a grant that is known
		}
	}
	h.grants = append(h.grants, grant{sent, index})
	if len(h.grants) > maxGrants {
		h.grants = h.grants[1:]
	}
}

// maxGrants bounds the grants that are kept, as the newest may wait for its entries.
const maxGrants = 8

// HasGrant reports whether a grant counts now.
func (h *Participant) HasGrant(now time.Duration) bool {
	for _, g := range h.grants {
		if g.index <= h.lastIndex && now-g.sent < h.Lease && now >= g.sent {
			return true
		}
	}
	return false
}

// GrantedUntil returns when this sidecar changes to CutOff if nothing more is received; it is in
// the past if it is cut off now.
func (h *Participant) GrantedUntil() (until time.Duration) {
	for _, g := range h.grants {
		if g.index <= h.lastIndex {
			until = max(until, g.sent+h.Lease)
		}
	}
	return until
}

// activeIfGranted returns what this sidecar applies if it has a grant.
func (h *Participant) activeIfGranted() Active {
	s := &h.state
	if s.Pending.Version != 0 && h.rejectionReason(s.Pending) == "" && h.rejectionReason(s.Current) == "" {
		return Active{BothVersions, s.Current, s.Pending}
	}
	if s.Pending.Version != 0 && h.reportedBoth == s.Pending {
		// It was reported to apply both, and others may apply the new version alone by now: a text
		// that it can't apply any more must not return it to the old version.
		return Active{Mode: CutOff}
	}
	return Active{Mode: OneVersion, New: s.Current}
}

// Active returns the policy that this sidecar applies. Ask it wherever something depends on it, at
// that moment: a process that was stopped finds its grant expired at its first call.
func (h *Participant) Active(now time.Duration) Active {
	if h.unreadable || !h.HasGrant(now) || h.rejectionReason(h.state.Current) != "" {
		return Active{Mode: CutOff}
	}
	return h.activeIfGranted()
}

// NextReport returns what the leader is to be told.
func (h *Participant) NextReport(now time.Duration) Report {
	h.reportSequence++
	r := Report{SentAt: now, Sequence: h.reportSequence, Active: h.activeIfGranted(), LastIndex: h.lastIndex}
	if r.Active.Mode == BothVersions {
		h.reportedBoth = r.Active.New
	}
	switch why := h.rejectionReason(h.state.Current); {
	case h.unreadable:
		r.Rejection = errUnreadableEntry.Error()
	case why != "":
		r.Active.Mode = CutOff // it could not apply the current version, granted or not
	}
	if o := h.state.Offered; o.Version != 0 && r.Rejection == "" {
		switch why := h.rejectionReason(o); why {
		case "":
			r.ReadyVersion = o.Version
		case TextMissing:
		default:
			r.Rejection = why
		}
	}
	if p := h.state.Pending; p.Version != 0 && r.Rejection == "" {
		if why := h.rejectionReason(p); why != "" && why != TextMissing {
			r.Rejection = why
		}
	}
	return r
}
