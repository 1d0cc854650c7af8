package policyrollout

import (
	"fmt"
	"time"
)

// Leader is the state of the sidecar that leads the log: it grants reports and decides the next step of a
// policy change. Its knowledge belongs to one term: a new leader starts without any, and waits until no grant
// of an earlier leader can be valid any more.
//
// Leader guarantees that no sidecar applies a new version alone while another sidecar applies the old version
// alone. A version is committed only when each sidecar either has reported to this leader that it applies
// both versions or has no valid grant. A sidecar that applies both versions returns to the old version alone
// only when an entry aborts the change. A sidecar without a grant applies CutOff, and during the change it
// gets a grant only by reporting that it applies both versions. The condition for the commit therefore
// remains true until the log contains the outcome, however late that is.
type Leader struct {
	Size             int
	LeaseExpiry      time.Duration // after which a grant has expired on every clock: a lease plus clock errors
	QuorumAckTimeout time.Duration // without confirmation by a majority, after which a leader grants nothing

	termStart     time.Duration  // when this sidecar became the leader
	members       []memberReport // by number of the sidecar
	changeStart   time.Duration  // when this leader first saw the change in progress; 0: none
	changeVersion uint32         // version of the change that changeStart belongs to
}

// memberReport is a leader's knowledge of a sidecar.
type memberReport struct {
	grantedAt  time.Duration // when this leader last granted a report; 0: never
	report     Report        // the last report
	received   bool          // a report was received
	receivedAt time.Duration
}

// NewLeader returns the leader's state for a term that starts now.
func NewLeader(now time.Duration, size int, leaseExpiry, quorumAckTimeout time.Duration) *Leader {
	return &Leader{
		Size: size, LeaseExpiry: leaseExpiry, QuorumAckTimeout: quorumAckTimeout, termStart: now,
		members: make([]memberReport, size),
	}
}

// earlierGrantsExpired returns the time from which no grant of an earlier leader can be valid. That leader
// was last confirmed before this one was elected and granted reports for at most QuorumAckTimeout after that,
// by its own clock. A grant is valid from the time its report was sent.
func (l *Leader) earlierGrantsExpired() time.Duration {
	return l.termStart + l.LeaseExpiry + l.QuorumAckTimeout + l.QuorumAckTimeout/4
}

// ReceiveReport records a report of the sidecar from, and reports whether the report is granted. confirmed is
// the time at which a majority of the voters last confirmed this leader. s is the policy state that results
// from the local log, which must include all entries committed up to that confirmation.
func (l *Leader) ReceiveReport(now, confirmed time.Duration, from int, r Report, s *State) bool {
	if from < 0 || from >= l.Size {
		return false
	}
	m := &l.members[from]
	// A report that arrives after a newer one is dropped: otherwise a sidecar that applies both versions
	// would be recorded as applying the old version alone, which blocks the change.
	if m.received &&
		(r.Incarnation < m.report.Incarnation ||
			r.Incarnation == m.report.Incarnation && r.Sequence <= m.report.Sequence) {
		return false
	}
	m.report, m.received, m.receivedAt = r, true, now
	switch {
	case now-confirmed >= l.QuorumAckTimeout || !s.Started:
		return false
	case s.Pending.Version != 0 && !appliesBoth(r, s):
		return false // with a grant, the change would wait for this sidecar, which may never apply both versions
	case r.Active.Mode == CutOff:
		return false
	}
	m.grantedAt = now
	return true
}

// appliesBoth reports whether the sender of a report applies the current and the pending version.
func appliesBoth(r Report, s *State) bool {
	return r.Active == Active{BothVersions, s.Current, s.Pending}
}

// VoterIncarnation returns the voter incarnation in the last report of sidecar i, and whether that report was
// received within LeaseExpiry.
func (l *Leader) VoterIncarnation(now time.Duration, i int) (incarnation uint64, recent bool) {
	m := &l.members[i]
	return m.report.VoterIncarnation, m.received && now-m.receivedAt < l.LeaseExpiry
}

// TermStart returns the time at which this sidecar became the leader.
func (l *Leader) TermStart() time.Duration { return l.termStart }

// GrantExpiry returns the time, on this leader's clock, from which no grant of sidecar i can be valid.
func (l *Leader) GrantExpiry(i int) time.Duration {
	if granted := l.members[i].grantedAt; granted != 0 {
		return max(l.earlierGrantsExpired(), granted+l.LeaseExpiry)
	}
	return l.earlierGrantsExpired()
}

// hasNoGrant reports whether sidecar i certainly applies CutOff, because no grant of this or an earlier
// leader can be valid.
func (l *Leader) hasNoGrant(now time.Duration, i int) bool {
	return now >= l.GrantExpiry(i)
}

// Decide returns the step that the leader has to propose next, and false if there is none at present. self is
// the number of the leading sidecar.
func (l *Leader) Decide(now time.Duration, s *State, self int) (Step, bool) {
	if !s.Started {
		return Step{Kind: Started, Sidecar: self}, now >= l.earlierGrantsExpired()
	}
	if s.Offered.Version != 0 {
		return l.decideOffered(now, s, self)
	}
	if s.Pending.Version == 0 {
		l.changeStart, l.changeVersion = 0, 0
		// Only reports sent after the outcome was applied count: after an aborted change, a report from
		// before the change states the same active version (seed 551).
		if s.Completing != 0 && l.allGranted(now, func(r Report) bool {
			return r.LastIndex >= s.OutcomeIndex && r.Active == Active{Mode: OneVersion, New: s.Current}
		}) {
			return Step{Kind: Completed, Ref: Ref{Version: s.Completing}, Sidecar: self}, true
		}
		return Step{}, false
	}
	return l.decidePending(now, s, self)
}

// decidePending commits the pending change once all sidecars that may have a grant, and a majority of the
// fleet, apply both versions. It aborts the change if a sidecar can't apply the version or the change times
// out.
func (l *Leader) decidePending(now time.Duration, s *State, self int) (Step, bool) {
	if l.changeVersion != s.Pending.Version {
		l.changeStart, l.changeVersion = now, s.Pending.Version
	}
	if step, rejected := l.abortIfRejected(now, s.Pending.Version); rejected {
		return step, true
	}
	granted := 0
	for i := range l.members {
		m := &l.members[i]
		if m.grantedAt > 0 && now < m.grantedAt+l.LeaseExpiry {
			granted++
		}
	}
	if l.allGranted(now, func(r Report) bool { return appliesBoth(r, s) }) && 2*granted > l.Size {
		return Step{Kind: Committed, Ref: Ref{Version: s.Pending.Version}, Sidecar: self}, true
	}
	if now >= max(l.changeStart, l.earlierGrantsExpired())+changeTimeoutHalves*l.LeaseExpiry/2 {
		return Step{
			Kind: Aborted, Ref: Ref{Version: s.Pending.Version}, Sidecar: self,
			Reason: fmt.Sprintf("%d of %d came to it in time", granted, l.Size),
		}, true
	}
	return Step{}, false
}

// abortIfRejected returns a step that aborts a version if a sidecar has reported within LeaseExpiry that it
// can't apply the version.
func (l *Leader) abortIfRejected(now time.Duration, version uint32) (Step, bool) {
	for i := range l.members {
		if m := &l.members[i]; m.received && m.report.Rejection != "" && now-m.receivedAt < l.LeaseExpiry {
			return Step{Kind: Aborted, Ref: Ref{Version: version}, Sidecar: i, Reason: m.report.Rejection}, true
		}
	}
	return Step{}, false
}

// decideOffered proposes the offered change once all sidecars that may have a grant have its text, or once
// offerTimeout has passed and a majority has it. Without a majority the offer is aborted.
func (l *Leader) decideOffered(now time.Duration, s *State, self int) (Step, bool) {
	if l.changeVersion != s.Offered.Version {
		l.changeStart, l.changeVersion = now, s.Offered.Version
	}
	if step, rejected := l.abortIfRejected(now, s.Offered.Version); rejected {
		return step, true
	}
	ready := 0
	for i := range l.members {
		if !l.hasNoGrant(now, i) && l.members[i].report.ReadyVersion == s.Offered.Version {
			ready++
		}
	}
	timedOut := now >= max(l.changeStart, l.earlierGrantsExpired())+offerTimeout
	switch {
	case 2*ready > l.Size &&
		(timedOut || l.allGranted(now, func(r Report) bool { return r.ReadyVersion == s.Offered.Version })):
		l.changeVersion = 0 // the timeout of the change starts when its entry is applied
		return Step{Kind: Proposed, Ref: s.Offered, Base: s.Current.Version, Sidecar: s.ProposedBy}, true
	case timedOut:
		return Step{
			Kind: Aborted, Ref: Ref{Version: s.Offered.Version}, Sidecar: self,
			Reason: fmt.Sprintf("%d of %d had its text in time", ready, l.Size),
		}, true
	}
	return Step{}, false
}

// offerTimeout is the time after which the leader stops waiting for sidecars without the text.
const offerTimeout = time.Minute

// changeTimeoutHalves is the time, in halves of LeaseExpiry, after which a pending change is aborted: two
// halves until the grants of unreachable sidecars have expired, and two more for texts that arrive late.
const changeTimeoutHalves = 4

// Laggards returns the sidecars that the change in progress waits for, with the reason for each.
func (l *Leader) Laggards(now time.Duration, s *State) (all []Laggard) {
	for i := range l.members {
		m := &l.members[i]
		switch r := m.report; {
		case l.hasNoGrant(now, i):
		case s.Offered.Version != 0 && m.received && r.ReadyVersion == s.Offered.Version:
		case s.Offered.Version != 0 && m.received && r.Rejection == "":
			all = append(all, Laggard{i, TextMissing})
		case !m.received:
			all = append(all, Laggard{i, "not heard of yet"})
		case s.Pending.Version != 0 && appliesBoth(r, s), s.Pending.Version == 0 &&
			r.LastIndex >= s.OutcomeIndex && r.Active == Active{Mode: OneVersion, New: s.Current}:
		case r.Rejection != "":
			all = append(all, Laggard{i, r.Rejection})
		default:
			all = append(
				all,
				Laggard{i, fmt.Sprintf("%s, heard %.1fs ago", r.Active.Mode, (now - m.receivedAt).Seconds())},
			)
		}
	}
	return all
}

// Laggard identifies a sidecar that a change waits for.
type Laggard struct {
	Number int    // of the sidecar
	Reason string // why the change waits for the sidecar
}

// allGranted reports whether holds returns true for the reports of all sidecars that may have a grant.
func (l *Leader) allGranted(now time.Duration, holds func(Report) bool) bool {
	for i := range l.members {
		if !l.hasNoGrant(now, i) && !(l.members[i].received && holds(l.members[i].report)) {
			return false
		}
	}
	return true
}
