package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// Renew applies a lease that this member received from the sidecar itself. It reports whether the content changed, that
// is, whether the lease must be forwarded to other members now. A lease that is not newer than the lease held is
// ignored. Renew returns an error of kind Invalid for an invalid lease, and an error of kind Busy for the lease of a
// new node when the table is full.
func (t *Table) Renew(now time.Duration, l Lease) (changed bool, err error) {
	if err := l.Check(); err != nil {
		return false, err
	}
	if !t.hasCapacityFor(l.Node) {
		return false, errs.New(errs.Busy, "this member holds %d leases and takes no new node", MaxLeases)
	}
	return t.applyLease(now, l, LeaseTTL), nil
}

// Incarnation returns the newest known incarnation of a node, or 0 if none is known.
func (t *Table) Incarnation(node string) Incarnation {
	if l := t.leases[node]; l != nil {
		return l.Incarnation
	}
	return 0
}

// Merge applies leases that other members hold. It returns the nodes whose lease was newer than the lease held here. It
// ignores a lease that Check rejects, a lease that expired in transit (unless it reports that the sidecar left), and a
// lease for which the table has no capacity.
func (t *Table) Merge(now time.Duration, leases []RemoteLease) (newer []string) {
	for _, r := range leases {
		if r.Lease.Check() != nil || !t.hasCapacityFor(r.Lease.Node) {
			continue
		}
		if !t.isNewer(&r.Lease) || r.Remaining <= 0 && !r.Lease.Left {
			continue
		}
		t.applyLease(now, r.Lease, min(max(r.Remaining, 0), LeaseTTL))
		newer = append(newer, r.Lease.Node)
	}
	return newer
}

// Extend applies renewals of leases that another member holds. It returns in newer the nodes whose renewal was newer
// than the lease held here, and in unknown the nodes whose lease must be sent in full, because the content held here is
// older than the content that was renewed.
func (t *Table) Extend(now time.Duration, renewals []Renewal) (newer, unknown []string) {
	for _, r := range renewals {
		current := t.leases[r.Node]
		switch {
		case r.Remaining <= 0: // the renewal expired in transit
		case current == nil || current.lacksContentOf(r):
			unknown = append(unknown, r.Node)
		case current.isExtendedBy(r):
			l := current.at(now)
			l.Sequence = r.Sequence
			t.applyLease(now, l, min(r.Remaining, LeaseTTL))
			newer = append(newer, r.Node)
		}
	}
	return newer, unknown
}

// isNewer reports whether a lease is newer than the lease held for its node.
func (t *Table) isNewer(l *Lease) bool {
	current := t.leases[l.Node]
	return current == nil || current.isOlderThan(l)
}

// applyLease replaces the lease held for a node by a newer lease, and applies what the newer lease reports of its
// upstream. It reports whether the content changed.
func (t *Table) applyLease(now time.Duration, l Lease, validFor time.Duration) (changed bool) {
	if !t.isNewer(&l) {
		return false
	}
	current := t.leases[l.Node]
	if current == nil {
		current = &lease{}
		t.leases[l.Node] = current
	}
	warmupEnd := time.Duration(0)
	if l.Upstream != nil {
		up := *l.Upstream
		up.Node = l.Node
		up.Stale = false
		l.Upstream = &up
		warmupEnd = current.warmupEndWith(now, &up)
	}
	if changed = current.contentChanges(now, &l, warmupEnd); changed {
		current.contentSequence = l.Sequence
	}
	t.markEnded(current)
	current.Lease, current.warmupEnd, current.expiresAt = l, warmupEnd, now+validFor
	current.forgetAt = current.expiresAt + SilentRetention
	if l.Left {
		t.markNotSilent(current)
		current.expiresAt = now + TombstoneTTL
		current.forgetAt = current.expiresAt + TombstoneTTL
		if instance, ok := t.instanceByNode[l.Node]; ok {
			t.remove(now, instance, replaced)
		}
		return changed
	}
	t.markLive(now, current)
	if l.Upstream != nil {
		t.upsert(now, *l.Upstream, current.expiresAt, fromLease)
	}
	return changed
}

// RemoteLease returns a node's lease to be sent to another member. It returns false if the node has no live lease and
// has not left. The lease of a sidecar that left is returned, so that other members learn that the sidecar left.
func (t *Table) RemoteLease(now time.Duration, node string) (RemoteLease, bool) {
	l := t.leases[node]
	if l == nil || !l.Left && !l.isLive(now) {
		return RemoteLease{}, false
	}
	return RemoteLease{Lease: l.at(now), Remaining: max(l.expiresAt-now, 0)}, true
}

// Renewal returns the renewal of a node's lease, or false if the node has no live lease.
func (t *Table) Renewal(now time.Duration, node string) (Renewal, bool) {
	l := t.leases[node]
	if l == nil || !l.isLive(now) {
		return Renewal{}, false
	}
	return Renewal{
		Node:            node,
		Incarnation:     l.Incarnation,
		Sequence:        l.Sequence,
		ContentSequence: l.contentSequence,
		Remaining:       max(l.expiresAt-now, 0),
	}, true
}

// Leases returns the live leases and the leases of sidecars that left, in no particular order. The result is sent to a
// member that starts.
func (t *Table) Leases(now time.Duration) []RemoteLease {
	all := make([]RemoteLease, 0, len(t.leases))
	for node := range t.leases {
		if r, ok := t.RemoteLease(now, node); ok {
			all = append(all, r)
		}
	}
	return all
}
