package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// entry is an upstream in a table.
type entry struct {
	Upstream
	warmupEnd time.Duration // end of the slow start
	// freshUntil is when the upstream becomes stale unless it is refreshed before.
	freshUntil time.Duration
}

// reportSource is the kind of message in which a report of an upstream reached the table.
type reportSource uint8

const (
	// fromLease marks a report in a sidecar's lease. A lease may repeat the upstream's last heartbeat.
	fromLease reportSource = iota
	// fromHeartbeat marks the upstream's own heartbeat. Each heartbeat is applied at most once.
	fromHeartbeat
)

// Heartbeat applies an upstream's heartbeat that a core machine received directly. It reports whether the heartbeat was
// applied: a heartbeat that is not newer than the last known report is ignored. Heartbeat returns an error of kind
// Invalid for an invalid heartbeat.
func (t *Table) Heartbeat(now time.Duration, up Upstream) (applied bool, err error) {
	if err := up.Check(); err != nil {
		return false, err
	}
	return t.RelayedHeartbeat(now, up, LeaseTTL), nil
}

// RelayedHeartbeat applies a heartbeat that another member received. Remaining is the time for which the heartbeat
// still keeps the upstream fresh; if it is negative, it is the time since the heartbeat stopped doing so.
// RelayedHeartbeat ignores a heartbeat that Check rejects, and a heartbeat so old that its upstream would have been
// removed by now. A heartbeat that no longer keeps its upstream fresh replaces no other instance.
func (t *Table) RelayedHeartbeat(now time.Duration, up Upstream, remaining time.Duration) (applied bool) {
	if up.Check() != nil {
		return false
	}
	if up.State == Deregistered {
		return t.deregister(now, up.Instance)
	}
	if current := t.upstreams[up.Instance]; current != nil {
		if up.Sequence <= current.Sequence {
			return false
		}
		up = up.withPlacementOf(&current.Upstream)
	} else if atAddress := t.upstreams[t.instanceByAddress[up.Address]]; atAddress != nil && up.Address != "" {
		// A new instance at a known address runs beside the same sidecar. An instance that was removed is
		// restored at that address only if the instance that is now there is stale.
		if _, removed := t.tombstones[up.Instance]; removed && !atAddress.Stale {
			return false
		}
		up = up.withPlacementOf(&atAddress.Upstream)
	}
	if remaining <= -StaleTTL {
		return false
	}
	if remaining <= 0 && t.displacesAny(&up) {
		return false
	}
	return t.upsert(now, up, now+min(remaining, LeaseTTL), fromHeartbeat)
}

// withPlacementOf returns the upstream with its missing node, inbound address, zone and region taken from known.
func (u Upstream) withPlacementOf(known *Upstream) Upstream {
	u.Node, u.Inbound = cmp.Or(u.Node, known.Node), cmp.Or(u.Inbound, known.Inbound)
	u.Zone, u.Region = cmp.Or(u.Zone, known.Zone), cmp.Or(u.Region, known.Region)
	return u
}

// upsert applies a report of an upstream that is fresh until the given time, and records a change if readers see a
// difference. It reports whether the report was newer than the entry.
func (t *Table) upsert(now time.Duration, up Upstream, freshUntil time.Duration, from reportSource) (applied bool) {
	if up.State == Deregistered {
		return t.deregister(now, up.Instance)
	}
	if removed, ok := t.tombstones[up.Instance]; ok && removed.rejects(up.Sequence, from) {
		return false
	}
	current := t.upstreams[up.Instance]
	if current == nil && len(t.upstreams) >= MaxLeases {
		return false
	}
	warmupEnd := now + seconds(up.WarmupRemaining)
	if current != nil {
		if !current.isReplacedBy(&up) {
			if up.Node == current.Node && from == fromLease {
				t.refresh(current, freshUntil)
			}
			return false
		}
		if up.Sequence == current.Sequence {
			warmupEnd = current.warmupEnd
		}
		freshUntil = max(freshUntil, current.freshUntil)
	}
	for _, other := range t.colocated(&up) {
		if other != "" && other != up.Instance {
			t.remove(now, other, replaced)
		}
	}
	delete(t.tombstones, up.Instance)
	up.Stale = freshUntil <= now
	t.store(now, &entry{Upstream: up, warmupEnd: warmupEnd, freshUntil: freshUntil}, current)
	return true
}

// isReplacedBy reports whether a report of the same instance replaces the entry. A report of the same sequence replaces
// the entry if it comes from the same sidecar, or if the entry is stale.
func (e *entry) isReplacedBy(up *Upstream) bool {
	if up.Sequence == e.Sequence {
		return up.Node == e.Node || e.Stale
	}
	return up.Sequence > e.Sequence
}

// colocated returns the instances known at the upstream's node and at its address. An empty string stands for none.
func (t *Table) colocated(up *Upstream) [2]string {
	return [...]string{t.instanceByNode[up.Node], t.instanceByAddress[up.Address]}
}

// displacesAny reports whether another instance is known at the upstream's node or address.
func (t *Table) displacesAny(up *Upstream) bool {
	for _, other := range t.colocated(up) {
		if other != "" && other != up.Instance {
			return true
		}
	}
	return false
}

// store replaces the entry before, which is nil for a new instance, by the entry fresh of the same instance. It records
// the changes that readers see.
func (t *Table) store(now time.Duration, fresh, before *entry) {
	if before != nil {
		t.unindex(before)
	}
	t.upstreams[fresh.Instance] = fresh
	if fresh.Node != "" {
		t.instanceByNode[fresh.Node] = fresh.Instance
	}
	if fresh.Address != "" {
		t.instanceByAddress[fresh.Address] = fresh.Instance
	}
	if before != nil && before.Service != fresh.Service {
		t.recordChange(fresh.Instance, before.Service)
	}
	if before == nil || !sameExceptWarmup(&before.Upstream, &fresh.Upstream) ||
		warmupMoved(now, before.warmupEnd, fresh.warmupEnd) {
		t.recordChange(fresh.Instance, fresh.Service)
	}
}

// refresh extends the time for which an entry is fresh, and makes a stale entry fresh again.
func (t *Table) refresh(e *entry, freshUntil time.Duration) {
	e.freshUntil = max(e.freshUntil, freshUntil)
	if e.Stale {
		e.Stale = false
		t.recordChange(e.Instance, e.Service)
	}
}

// deleteEntry deletes an entry and records the change.
func (t *Table) deleteEntry(e *entry) {
	t.unindex(e)
	delete(t.upstreams, e.Instance)
	t.recordChange(e.Instance, e.Service)
}

// unindex removes an entry from the indexes by node and by address.
func (t *Table) unindex(e *entry) {
	if t.instanceByNode[e.Node] == e.Instance {
		delete(t.instanceByNode, e.Node)
	}
	if t.instanceByAddress[e.Address] == e.Instance {
		delete(t.instanceByAddress, e.Address)
	}
}

// Upstreams returns all upstreams as of now, ordered by instance.
func (t *Table) Upstreams(now time.Duration) []Upstream {
	ups := make([]Upstream, 0, len(t.upstreams))
	for _, e := range t.upstreams {
		ups = append(ups, e.at(now))
	}
	slices.SortFunc(ups, func(a, b Upstream) int { return strings.Compare(a.Instance, b.Instance) })
	return ups
}

// Unleased returns what Leases does not include, in no particular order: the upstreams that no live lease includes, and
// the instances that were deregistered.
func (t *Table) Unleased(now time.Duration) []UpstreamReport {
	var all []UpstreamReport
	for _, e := range t.upstreams {
		if e.freshUntil+StaleTTL <= now {
			continue
		}
		if !t.isLeased(now, e) {
			all = append(all, UpstreamReport{e.at(now), e.freshUntil - now})
		}
	}
	for instance, removed := range t.tombstones {
		if removed.deregistered {
			deregistered := Upstream{Instance: instance, State: Deregistered}
			all = append(all, UpstreamReport{Upstream: deregistered})
		}
	}
	return all
}

// isLeased reports whether the sidecar of an entry's upstream has a live lease that includes the upstream.
func (t *Table) isLeased(now time.Duration, e *entry) bool {
	l := t.leases[e.Node]
	return l != nil && l.isLive(now) && l.Upstream != nil && l.Upstream.Instance == e.Instance
}

// at returns the upstream with its remaining warm-up as of now.
func (e *entry) at(now time.Duration) Upstream {
	up := e.Upstream
	up.WarmupRemaining = remainingSeconds(e.warmupEnd, now)
	return up
}
