package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// Incarnation identifies one run of a sidecar's process. A later run of the same sidecar has a higher incarnation.
type Incarnation uint64

// Sequence numbers the leases of one incarnation, starting at 1.
type Sequence uint64

// Lease is a sidecar's claim that it is alive. The leases of one node are ordered by (Incarnation, Sequence). A table
// ignores a lease that is not newer than the lease it holds for the node.
type Lease struct {
	// Node is the name of the sidecar that issued the lease.
	Node        string      `json:"node"`
	Incarnation Incarnation `json:"life"`
	Sequence    Sequence    `json:"sequence"`
	Zone        string      `json:"zone,omitempty"`
	// Upstream is the application server beside the sidecar, as its last heartbeat reported it. It is nil while the
	// sidecar has received no heartbeat.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Applied is the configuration version that the sidecar has applied.
	Applied int64 `json:"applied"`
	// Leaving is set while the sidecar drains.
	Leaving bool `json:"leaving,omitempty"`
	// Left is set once the sidecar has shut down in order.
	Left bool `json:"left,omitempty"`
}

// RemoteLease is a lease that another member holds. Remaining is the time until the lease expires at that member.
type RemoteLease struct {
	Lease     Lease         `json:"lease"`
	Remaining time.Duration `json:"remaining"`
}

// Renewal extends a lease whose content has not changed. ContentSequence is the sequence of the lease that changed the
// content last: a receiver whose lease has a lower sequence holds outdated content and needs the full lease.
type Renewal struct {
	Node            string        `json:"n"`
	Incarnation     Incarnation   `json:"l"`
	Sequence        Sequence      `json:"s"`
	ContentSequence Sequence      `json:"b"`
	Remaining       time.Duration `json:"r"`
}

// Check returns an error of kind Invalid if the lease has no valid node, zone, incarnation, sequence or upstream.
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

// lease is a lease in a table. It is live until it expires or the sidecar leaves. A lease that expires without the
// sidecar having left becomes silent. A lease that is no longer live serves only to reject messages that arrive late,
// by its incarnation and sequence.
type lease struct {
	Lease
	warmupEnd       time.Duration // end of the upstream's slow start
	contentSequence Sequence      // sequence of the lease that changed the content last
	expiresAt       time.Duration
	forgetAt        time.Duration // when a lease that is not live is deleted
	live, silent    bool          // never both
}

// isLive reports whether the lease is live at now. It does not depend on when Table.Expire was called last.
func (l *lease) isLive(now time.Duration) bool { return l.live && now < l.expiresAt }

// at returns the lease with the upstream's remaining warm-up as of now.
func (l *lease) at(now time.Duration) Lease {
	current := l.Lease
	if current.Upstream != nil {
		up := *current.Upstream
		up.WarmupRemaining = remainingSeconds(l.warmupEnd, now)
		current.Upstream = &up
	}
	return current
}

// isOlderThan reports whether next replaces this lease. A sidecar that has left never renews the same incarnation.
func (l *lease) isOlderThan(next *Lease) bool {
	if next.Incarnation != l.Incarnation {
		return next.Incarnation > l.Incarnation
	}
	return next.Sequence > l.Sequence && !l.Left
}

// lacksContentOf reports whether a renewal extends content that is newer than the content of this lease.
func (l *lease) lacksContentOf(r Renewal) bool {
	if l.Incarnation != r.Incarnation {
		return l.Incarnation < r.Incarnation
	}
	return l.Sequence < r.ContentSequence
}

// isExtendedBy reports whether a renewal is newer than the lease. The lease must hold the content of the renewal.
func (l *lease) isExtendedBy(r Renewal) bool {
	return l.Incarnation == r.Incarnation && l.Sequence < r.Sequence && !l.Left
}

// warmupEndWith returns the end of the warm-up that an upstream reports at now. A report that repeats the sequence of
// the known report keeps the known end of the warm-up.
func (l *lease) warmupEndWith(now time.Duration, up *Upstream) time.Duration {
	if l.Upstream != nil && l.Upstream.Instance == up.Instance && l.Upstream.Sequence == up.Sequence {
		return l.warmupEnd
	}
	return now + seconds(up.WarmupRemaining)
}

// contentChanges reports whether next differs from the lease in more than its sequence, that is, is no mere renewal.
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
