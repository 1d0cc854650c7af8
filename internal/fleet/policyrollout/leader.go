package policyrollout

import (
	"fmt"
	"time"
)

// Leader is the part of the sidecar that leads the log: it grants, and decides when a change goes
// on. What it knows is of one term: a new leader knows nothing, and waits until no grant of another
// leader can count any more.
//
// It promises that no sidecar applies a new version alone while another applies the old one alone.
// A version is committed only when each sidecar has told this leader that it applies both, or has
// no grant that counts. Who applies both never returns to the old one alone, except by an entry
// that aborts the change; who has no grant applies CutOff, and gets a grant during the change only
// by telling that it applies both. So what made the decision right stays so until the log has its
// outcome, however late that comes.
type Leader struct {
	Size             int
	LeaseExpiry      time.Duration // of a grant: a lease, and the errors of both clocks
	QuorumAckTimeout time.Duration // a leader that no majority has confirmed for so long grants nothing

	termStart     time.Duration
	members       []memberReport
	changeStart   time.Duration // when the change in progress was first seen; 0: none
	changeVersion uint32
}

// memberReport is what a leader knows of a sidecar.
type memberReport struct {
	grantedAt  time.Duration // when it was granted last; 0: never by this leader
	report     Report
	received   bool
	receivedAt time.Duration
}

// NewLeader returns the leader's part for a term that begins now.
func NewLeader(now time.Duration, size int, patience, confirm time.Duration) *Leader {
	return &Leader{
		Size: size, LeaseExpiry: patience, QuorumAckTimeout: confirm, termStart: now,
		members: make([]memberReport, size),
	}
}

// earlierGrantsExpired returns when no grant of an earlier leader can count any more. That leader
// was last confirmed before this one was elected, granted for QuorumAckTimeout after that at most,
// by its own clock, and a grant counts from when its report was sent.
func (l *Leader) earlierGrantsExpired() time.Duration {
	return l.termStart + l.LeaseExpiry + l.QuorumAckTimeout + l.QuorumAckTimeout/4
}

// ReceiveReport records a report, and says whether it is granted. s is what the log makes of the
// policy here, up to where this leader was confirmed; confirmed is when it was confirmed last.
func (l *Leader) ReceiveReport(now, confirmed time.Duration, from int, r Report, s *State) bool {
	if from < 0 || from >= l.Size {
		return false
	}
	m := &l.members[from]
	// An older report that arrives late is dropped: a sidecar that applies both would count as one that
	// applies the old version alone, which blocks the change.
	if m.received &&
		(r.Incarnation < m.report.Incarnation || r.Incarnation == m.report.Incarnation && r.Sequence <= m.report.Sequence) {
		return false
	}
	m.report, m.received, m.receivedAt = r, true, now
	switch {
	case now-confirmed >= l.QuorumAckTimeout || !s.Started:
		return false
	case s.Pending.Version != 0 && !appliesBoth(r, s):
		return false // not during the change: it would wait for this sidecar, which may never apply both
	case r.Active.Mode == CutOff:
		return false
	}
	m.grantedAt = now
	return true
}

func appliesBoth(r Report, s *State) bool {
	return r.Active == Active{BothVersions, s.Current, s.Pending}
}

// VoterIncarnation returns the incarnation by which a sidecar last reported to vote, and whether
// that was within LeaseExpiry.
func (l *Leader) VoterIncarnation(now time.Duration, i int) (incarnation uint64, recent bool) {
	m := &l.members[i]
	return m.report.VoterIncarnation, m.received && now-m.receivedAt < l.LeaseExpiry
}

// TermStart returns when the term began.
func (l *Leader) TermStart() time.Duration { return l.termStart }

// GrantExpiry returns when no grant of a sidecar can count any more, by this leader's clock.
func (l *Leader) GrantExpiry(i int) time.Duration {
	if granted := l.members[i].grantedAt; granted != 0 {
		return max(l.earlierGrantsExpired(), granted+l.LeaseExpiry)
	}
	return l.earlierGrantsExpired()
}

// hasNoGrant reports whether a sidecar certainly applies CutOff: it has no grant that counts, of
// this leader or an earlier one.
func (l *Leader) hasNoGrant(now time.Duration, i int) bool {
	return now >= l.GrantExpiry(i)
}

// Decide returns what the log needs next; false: nothing now.
func (l *Leader) Decide(now time.Duration, s *State, self int) (Step, bool) {
	if !s.Started {
		return Step{Kind: Started, Sidecar: self}, now >= l.earlierGrantsExpired()
	}
	if s.Offered.Version != 0 {
		return l.decideOffered(now, s, self)
	}
	if s.Pending.Version == 0 {
		l.changeStart, l.changeVersion = 0, 0
		// A report from before the outcome may be from before the change, and looks the same (seed
		// 551).
		if s.Completing != 0 && l.allGranted(now, func(r Report) bool {
			return r.LastIndex >= s.OutcomeIndex && r.Active == Active{Mode: OneVersion, New: s.Current}
		}) {
			return Step{Kind: Completed, Ref: Ref{Version: s.Completing}, Sidecar: self}, true
		}
		return Step{}, false
	}
	return l.decidePending(now, s, self)
}

// decidePending commits the pending change once all sidecars with grants apply both versions, and
// aborts it if one can't or if it takes too long.
func (l *Leader) decidePending(now time.Duration, s *State, self int) (Step, bool) {
	if l.changeVersion != s.Pending.Version {
		l.changeStart, l.changeVersion = now, s.Pending.Version
	}
	if step, no := l.abortIfRejected(now, s.Pending.Version); no {
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

// abortIfRejected aborts a version that somebody heard of recently can't apply.
func (l *Leader) abortIfRejected(now time.Duration, version uint32) (Step, bool) {
	for i := range l.members {
		if m := &l.members[i]; m.received && m.report.Rejection != "" && now-m.receivedAt < l.LeaseExpiry {
			return Step{Kind: Aborted, Ref: Ref{Version: version}, Sidecar: i, Reason: m.report.Rejection}, true
		}
	}
	return Step{}, false
}

// decideOffered proposes a change once its text is with all who have grants, or with most after a
// while.
func (l *Leader) decideOffered(now time.Duration, s *State, self int) (Step, bool) {
	if l.changeVersion != s.Offered.Version {
		l.changeStart, l.changeVersion = now, s.Offered.Version
	}
	if step, no := l.abortIfRejected(now, s.Offered.Version); no {
		return step, true
	}
	ready := 0
	for i := range l.members {
		if !l.hasNoGrant(now, i) && l.members[i].report.ReadyVersion == s.Offered.Version {
			ready++
		}
	}
	late := now >= max(l.changeStart, l.earlierGrantsExpired())+offerTimeout
	switch {
	case 2*ready > l.Size &&
		(late || l.allGranted(now, func(r Report) bool { return r.ReadyVersion == s.Offered.Version })):
		l.changeVersion = 0 // the change's time-out starts with its entry
		return Step{Kind: Proposed, Ref: s.Offered, Base: s.Current.Version, Sidecar: s.ProposedBy}, true
	case late:
		return Step{
			Kind: Aborted, Ref: Ref{Version: s.Offered.Version}, Sidecar: self,
			Reason: fmt.Sprintf("%d of %d had its text in time", ready, l.Size),
		}, true
	}
	return Step{}, false
}

// offerTimeout is how long the distribution of a text may take.
const offerTimeout = time.Minute

// changeTimeoutHalves is how many halves of LeaseExpiry a change may take before it is aborted: two
// for sidecars that are cut off, and as much again for late texts.
const changeTimeoutHalves = 4

// Laggards returns the sidecars that a change waits for, and why.
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

// Laggard is a sidecar that a change waits for.
type Laggard struct {
	Number int
	Reason string
}

// allGranted reports whether holds is true of the reports of all sidecars that may have a grant.
func (l *Leader) allGranted(now time.Duration, holds func(Report) bool) bool {
	for i := range l.members {
		if !l.hasNoGrant(now, i) && !(l.members[i].received && holds(l.members[i].report)) {
			return false
		}
	}
	return true
}
