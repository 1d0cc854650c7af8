package policyrollout

import (
	"time"
)

// Mode tells which versions of the policy a sidecar applies.
type Mode int

// The modes.
const (
	CutOff       Mode = iota // no version: the fallback limits (cut_off) of the settings apply
	OneVersion               // one version alone
	BothVersions             // the stricter limits of the current and the pending version
)

// String returns the mode as in log lines and operators' output.
func (m Mode) String() string { return [...]string{"cut off", "one", "both"}[m] }

// Active is the policy that a sidecar applies at a given time.
type Active struct {
	Mode     Mode
	Old, New Ref // the versions of BothVersions; in OneVersion only New is set
}

// Report is a sidecar's report to the leader.
type Report struct {
	Incarnation      uint64        // of its process
	VoterIncarnation uint64        // of the voter that the process is or can be: its own, or a saved one
	Sequence         uint32        // grows with each report of a process
	SentAt           time.Duration // send time on the sidecar's clock: a grant is valid from this time
	Active           Active        // what the sidecar applies, or would apply if it had a grant
	LastIndex        uint64        // last index of the sidecar's log
	ReadyVersion     uint32        // the offered version, if the sidecar has its text and can apply it; 0: none
	Rejection        string        // why the sidecar can't apply the change in progress; "": it can
}

// Participant is the state of one sidecar in the rollout: the policy state that results from its log, and its
// grants. A process that has just started has no grant and applies CutOff. A Participant is not safe for
// concurrent use.
type Participant struct {
	Lease time.Duration // validity of a grant, from the time its report was sent

	state           State
	lastIndex       uint64           // last index of the local log
	rejectionReason func(Ref) string // why a version can't be applied; "": it can
	grants          []grant          // in the order in which they were received
	// reportedBoth is the last pending version that this sidecar reported to apply together with the current
	// one.
	reportedBoth   Ref
	reportSequence uint32 // sequence number of the last report
	unreadable     bool   // an entry could not be decoded, so the current policy is unknown
}

// grant is the leader's permission for this sidecar to apply the policy of the log for a lease.
type grant struct {
	sent  time.Duration // send time of the granted report
	index uint64        // last log index that must be applied before the grant is valid
}

// NewParticipant returns a participant without grants. checkVersion returns why this sidecar can't apply a
// version, "" if it can, and TextMissing if it does not have the text yet.
func NewParticipant(lease time.Duration, checkVersion func(Ref) string) *Participant {
	return &Participant{Lease: lease, rejectionReason: checkVersion}
}

// TextMissing is the rejection reason for a version whose text this sidecar does not have. It is not
// permanent, because the text may still arrive.
const TextMissing = "its text is not here yet"

// ApplyEntry applies the next entry of the log. rejected tells why a decodable entry has no effect; err, that
// the entry can't be decoded, after which the sidecar applies CutOff.
func (pt *Participant) ApplyEntry(index uint64, raw []byte) (rejected string, err error) {
	pt.lastIndex = index
	step, err := DecodeStep(raw)
	if err != nil {
		pt.unreadable = true
		return "", err
	}
	return pt.state.Apply(index, step), nil
}

// MarkUnreadable records that an entry other than a policy step could not be decoded. Because the entry may
// matter, the sidecar applies CutOff until Reset.
func (pt *Participant) MarkUnreadable() { pt.unreadable = true }

// AdvanceIndex records the last index of the local log, which may have entries that are not policy steps.
func (pt *Participant) AdvanceIndex(index uint64) { pt.lastIndex = max(pt.lastIndex, index) }

// Reset discards all state of the previous log.
func (pt *Participant) Reset() {
	pt.state, pt.lastIndex, pt.grants, pt.reportedBoth, pt.unreadable = State{}, 0, nil, Ref{}, false
}

// State returns the policy state that results from the local log.
func (pt *Participant) State() *State { return &pt.state }

// RecordGrant records the leader's grant of the report that was sent at the time sent. The grant becomes
// valid once the local log has the entry at index. A grant for a report in the future or older than a lease
// is ignored.
func (pt *Participant) RecordGrant(now, sent time.Duration, index uint64) {
	if sent > now || now-sent >= pt.Lease {
		return
	}
	for _, g := range pt.grants {
		if g.sent >= sent && g.index <= index {
			return // a known grant lasts at least as long and needs no later entry
		}
	}
	pt.grants = append(pt.grants, grant{sent, index})
	if len(pt.grants) > maxGrants {
		pt.grants = pt.grants[1:]
	}
}

// maxGrants bounds the number of grants kept. More than one is kept because the newest may need entries that
// have not arrived yet.
const maxGrants = 8

// HasGrant reports whether this sidecar has a valid grant.
func (pt *Participant) HasGrant(now time.Duration) bool {
	for _, g := range pt.grants {
		if g.index <= pt.lastIndex && now-g.sent < pt.Lease && now >= g.sent {
			return true
		}
	}
	return false
}

// GrantedUntil returns the time at which the last grant expires, after which this sidecar applies CutOff. The
// time is in the past if no grant is valid.
func (pt *Participant) GrantedUntil() (until time.Duration) {
	for _, g := range pt.grants {
		if g.index <= pt.lastIndex {
			until = max(until, g.sent+pt.Lease)
		}
	}
	return until
}

// activeIfGranted returns what this sidecar applies while it has a valid grant.
func (pt *Participant) activeIfGranted() Active {
	s := &pt.state
	if s.Pending.Version != 0 && pt.rejectionReason(s.Pending) == "" && pt.rejectionReason(s.Current) == "" {
		return Active{BothVersions, s.Current, s.Pending}
	}
	if s.Pending.Version != 0 && pt.reportedBoth == s.Pending {
		// This sidecar has reported that it applies both versions, so other sidecars may already apply the
		// new version alone. If it can't apply the new version any more, it must not return to the old
		// version alone.
		return Active{Mode: CutOff}
	}
	return Active{Mode: OneVersion, New: s.Current}
}

// Active returns the policy that this sidecar applies at the time now. Callers must not cache the result:
// after a pause of the process, the first call finds that the grant has expired.
func (pt *Participant) Active(now time.Duration) Active {
	if pt.unreadable || !pt.HasGrant(now) || pt.rejectionReason(pt.state.Current) != "" {
		return Active{Mode: CutOff}
	}
	return pt.activeIfGranted()
}

// NextReport returns the next report to the leader.
func (pt *Participant) NextReport(now time.Duration) Report {
	pt.reportSequence++
	r := Report{SentAt: now, Sequence: pt.reportSequence, Active: pt.activeIfGranted(), LastIndex: pt.lastIndex}
	if r.Active.Mode == BothVersions {
		pt.reportedBoth = r.Active.New
	}
	switch reason := pt.rejectionReason(pt.state.Current); {
	case pt.unreadable:
		r.Rejection = errUnreadableEntry.Error()
	case reason != "":
		r.Active.Mode = CutOff // the sidecar can't apply the current version, even with a grant
	}
	if offered := pt.state.Offered; offered.Version != 0 && r.Rejection == "" {
		switch reason := pt.rejectionReason(offered); reason {
		case "":
			r.ReadyVersion = offered.Version
		case TextMissing:
		default:
			r.Rejection = reason
		}
	}
	if pending := pt.state.Pending; pending.Version != 0 && r.Rejection == "" {
		if reason := pt.rejectionReason(pending); reason != "" && reason != TextMissing {
			r.Rejection = reason
		}
	}
	return r
}
