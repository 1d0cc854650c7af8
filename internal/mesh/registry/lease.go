package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// Incarnation identifies one run of a sidecar's process and grows from run to run.
type Incarnation uint64

// Sequence numbers the leases of one incarnation, from 1 on.
type Sequence uint64

// Lease is a sidecar's claim that it is alive. Leases of one node are ordered by (Incarnation,
// Sequence); a table ignores one that isn't newer than the one it holds.
type Lease struct {
	Node        string      `json:"node"`
	Incarnation Incarnation `json:"life"`
	Sequence    Sequence    `json:"sequence"`
	Zone        string      `json:"zone,omitempty"`
	// Upstream is nil while the sidecar has received no heartbeat.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Applied is the configuration version in force at the sidecar.
	Applied int64 `json:"applied"`
	// Leaving says that the sidecar is draining; Left that it has ended in order.
	Leaving bool `json:"leaving,omitempty"`
	Left    bool `json:"left,omitempty"`
}

// RemoteLease is a lease held by another member, with the time for which it is still valid there.
type RemoteLease struct {
	Lease     Lease         `json:"lease"`
	Remaining time.Duration `json:"remaining"`
}

// Renewal extends a lease whose content has not changed. ContentSequence is the Sequence at which the
// content changed last, so that a reader knows whether the content it holds is still right.
type Renewal struct {
	Node            string        `json:"n"`
	Incarnation     Incarnation   `json:"l"`
	Sequence        Sequence      `json:"s"`
	ContentSequence Sequence      `json:"b"`
	Remaining       time.Duration `json:"r"`
}

// Check returns an error of kind Invalid for a lease that no table may hold.
func (l *Lease) Check() error {
	if l.Node == "" || len(l.Node) > maxName || len(l.Zone) > maxName {
		return errs.New(errs.Invalid,
			"a lease needs a node and a zone of at most %d bytes, and has node %.64q", maxName, l.Node)
	}
	if l.Incarnation == 0 || l.Sequence == 0 {
		return errs.New(errs.Invalid, "the lease of %.64q has no life or no sequence", l.Node)
	}
	if l.Upstream != nil {
		return l.Upstream.Check()
	}
	return nil
}

// lease is a lease as a table holds it. It is live until it expires, and the sidecar is silent then, or until
// the sidecar leaves. Then only its incarnation and sequence are of use, against messages that arrive late.
type lease struct {
	Lease
	warmupEnd       time.Duration
	contentSequence Sequence
	expiresAt       time.Duration
	forgetAt        time.Duration
	live, silent    bool // never both
}

// isLive reports whether the lease is live at this moment, whenever Expire was called last.
func (l *lease) isLive(now time.Duration) bool { return l.live && now < l.expiresAt }

// at returns the lease with its upstream's warm-up counted from now.
func (l *lease) at(now time.Duration) Lease {
	current := l.Lease
	if current.Upstream != nil {
		up := *current.Upstream
		up.WarmupRemaining = remainingSeconds(l.warmupEnd, now)
		current.Upstream = &up
	}
	return current
}

// isOlderThan reports whether next replaces this lease. Nothing of an incarnation that has left does.
func (l *lease) isOlderThan(next *Lease) bool {
	if next.Incarnation != l.Incarnation {
		return next.Incarnation > l.Incarnation
	}
	return next.Sequence > l.Sequence && !l.Left
}

// lacksContentOf reports whether the content that a renewal extends is newer than the one held.
func (l *lease) lacksContentOf(r Renewal) bool {
	if l.Incarnation != r.Incarnation {
		return l.Incarnation < r.Incarnation
	}
	return l.Sequence < r.ContentSequence
}

// isExtendedBy reports whether a renewal, whose content is held, is newer than the lease.
func (l *lease) isExtendedBy(r Renewal) bool {
	return l.Incarnation == r.Incarnation && l.Sequence < r.Sequence && !l.Left
}

// warmupEndWith returns the end of a reported upstream's warm-up. A report that was seen before doesn't
// move it.
func (l *lease) warmupEndWith(now time.Duration, up *Upstream) time.Duration {
	if l.Upstream != nil && l.Upstream.Instance == up.Instance && l.Upstream.Sequence == up.Sequence {
		return l.warmupEnd
	}
	return now + seconds(up.WarmupRemaining)
}

// contentChanges reports whether next differs in more than the sequence: not a mere renewal.
func (l *lease) contentChanges(now time.Duration, next *Lease, warmupEnd time.Duration) bool {
	if !l.live || l.Incarnation != next.Incarnation || l.Zone != next.Zone ||
		l.Applied != next.Applied || l.Leaving != next.Leaving || l.Left != next.Left {
		return true
	}
	if l.Upstream == nil || next.Upstream == nil {
		return l.Upstream != next.Upstream
	}
	return !sameExceptWarmup(l.Upstream, next.Upstream) || warmupMoved(now, l.warmupEnd, warmupEnd)
}
