package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// lease is a lease as held: live until it lapses or the sidecar leaves, then
// only its order is remembered.
type lease struct {
	Lease
	warmupEnd       time.Duration
	contentSequence uint64
	until           time.Duration
	live            bool
}

// lives says whether the lease is live at this moment, whenever Expire was
// called last.
func (l *lease) isLive(now time.Duration) bool { return l.live && now < l.until }

// Renew takes a lease received here from its sidecar. It reports whether more
// than the time changed, that is, whether other members need to see it now.
// A lease that is not newer than the one held is passed over.
func (t *Table) Renew(now time.Duration, l Lease) (changed bool, err error) {
	if err := l.Check(); err != nil {
		return false, err
	}
	if t.leases[l.Node] == nil && len(t.leases) >= MaxLeases {
		return false, errs.New(errs.Busy, "this member holds %d leases and takes no new node", MaxLeases)
	}
	return t.applyLease(now, l, LeaseTTL), nil
}

// Merge takes leases that other members hold, each with its remaining time
// there. It gives the nodes whose lease was newer than the one held here.
// Leases that Check refuses, that have lapsed on their way, or for which there
// is no room are passed over.
func (t *Table) Merge(now time.Duration, leases []RemoteLease) (newer []string) {
	for _, r := range leases {
		if r.Lease.Check() != nil || (t.leases[r.Lease.Node] == nil && len(t.leases) >= MaxLeases) {
			continue
		}
		if !t.isNewer(r.Lease) || r.Remaining <= 0 && !r.Lease.Left {
			continue
		}
		t.applyLease(now, r.Lease, min(max(r.Remaining, 0), LeaseTTL))
		newer = append(newer, r.Lease.Node)
	}
	return newer
}

// Extend takes renewals of leases that another member holds. It gives the
// nodes that were newer than held here, and those whose lease must be sent
// whole, since what is held here is older than what was renewed.
func (t *Table) Extend(now time.Duration, renewals []Renewal) (newer, unknown []string) {
	for _, r := range renewals {
		held := t.leases[r.Node]
		switch {
		case r.Remaining <= 0: // it has lapsed on its way
		case held == nil || held.Incarnation < r.Incarnation || (held.Incarnation == r.Incarnation && held.Sequence < r.ContentSequence):
			unknown = append(unknown, r.Node)
		case held.Incarnation == r.Incarnation && held.Sequence < r.Sequence && !held.Left:
			l := held.Lease
			l.Sequence = r.Sequence
			if l.Upstream != nil {
				up := *l.Upstream
				up.WarmupRemaining = remainingSeconds(held.warmupEnd, now)
				l.Upstream = &up
			}
			t.applyLease(now, l, min(max(r.Remaining, 0), LeaseTTL))
			newer = append(newer, r.Node)
		}
	}
	return newer, unknown
}

func (t *Table) isNewer(l Lease) bool {
	held := t.leases[l.Node]
	if held == nil || l.Incarnation != held.Incarnation {
		return held == nil || l.Incarnation > held.Incarnation
	}
	return l.Sequence > held.Sequence && !held.Left
}

func (t *Table) applyLease(now time.Duration, l Lease, validFor time.Duration) (changed bool) {
	if !t.isNewer(l) {
		return false
	}
	held := t.leases[l.Node]
	if held == nil {
		held = &lease{}
		t.leases[l.Node] = held
		changed = true
	} else {
		changed = !held.live || held.Incarnation != l.Incarnation || held.Zone != l.Zone || held.Applied != l.Applied ||
			held.Leaving != l.Leaving || held.Left != l.Left
		t.setLive(now, held, false)
	}
	end := time.Duration(0)
	if l.Upstream != nil {
		up := *l.Upstream
		up.Node = l.Node
		up.Stale = false
		l.Upstream = &up
		end = now + duration(up.WarmupRemaining)
		if held.Upstream != nil && held.Upstream.Instance == up.Instance && held.Upstream.Sequence == up.Sequence {
			end = held.warmupEnd
		}
		changed = changed || held.Upstream == nil || !sameExceptWarmup(held.Upstream, &up) || warmupMoved(now, held.warmupEnd, end)
	} else {
		changed = changed || held.Upstream != nil
	}
	if changed {
		held.contentSequence = l.Sequence
	}
	held.Lease, held.warmupEnd, held.until = l, end, now+validFor
	if l.Left {
		held.until = now + TombstoneTTL
		if inst, ok := t.instanceByNode[l.Node]; ok {
			t.remove(now, inst, false)
		}
		return changed
	}
	t.setLive(now, held, true)
	if l.Upstream != nil {
		t.upsert(now, *l.Upstream, held.until, false)
	}
	return changed
}

// RemoteLease gives a node's lease for another member, or false if none is held.
// A sidecar that left is among them, so that others hear of it.
func (t *Table) RemoteLease(now time.Duration, node string) (RemoteLease, bool) {
	l := t.leases[node]
	if l == nil || !l.Left && !l.isLive(now) {
		return RemoteLease{}, false
	}
	r := RemoteLease{Lease: l.Lease, Remaining: max(l.until-now, 0)}
	if l.Upstream != nil {
		up := *l.Upstream
		up.WarmupRemaining = remainingSeconds(l.warmupEnd, now)
		r.Lease.Upstream = &up
	}
	return r, true
}

// Renewal gives a node's lease as a renewal, or false if none is live.
func (t *Table) Renewal(now time.Duration, node string) (Renewal, bool) {
	l := t.leases[node]
	if l == nil || !l.isLive(now) {
		return Renewal{}, false
	}
	return Renewal{Node: node, Incarnation: l.Incarnation, Sequence: l.Sequence, ContentSequence: l.contentSequence, Remaining: max(l.until-now, 0)}, true
}

// Leases lists all leases for a member that starts.
func (t *Table) Leases(now time.Duration) []RemoteLease {
	all := make([]RemoteLease, 0, len(t.leases))
	for node := range t.leases {
		if r, ok := t.RemoteLease(now, node); ok {
			all = append(all, r)
		}
	}
	return all
}
