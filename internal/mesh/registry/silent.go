package registry

import "time"

// SilentSidecar is a sidecar whose lease has expired and that has not left in order, as one member tells
// another. Remaining is the time for which it is still remembered. The incarnation is 0 if it isn't known.
type SilentSidecar struct {
	Node        string        `json:"node"`
	Incarnation Incarnation   `json:"life,omitempty"`
	Remaining   time.Duration `json:"remaining"`
}

// Holders lists by name the sidecars that have not left in order, in no particular order: a member keeps them
// for its next process.
func (t *Table) Holders() []string {
	var names []string
	for node, l := range t.leases {
		if l.live || l.silent {
			names = append(names, node)
		}
	}
	return names
}

// RestoreHolders counts as silent those that an earlier process of this member kept, and their number as a
// recent one of live leases, as these arrive one by one.
func (t *Table) RestoreHolders(now time.Duration, names []string) {
	t.recentLive.record(now, len(names))
	for _, name := range names {
		t.MergeSilent(now, []SilentSidecar{{Node: name, Remaining: SilentRetention}})
	}
}

// Silent lists the silent sidecars for a member that starts, in no particular order.
func (t *Table) Silent(now time.Duration) []SilentSidecar {
	var all []SilentSidecar
	for node, l := range t.leases {
		if l.silent {
			all = append(all, SilentSidecar{node, l.Incarnation, max(l.forgetAt-now, 0)})
		}
	}
	return all
}

// MergeSilent counts silent sidecars that another member remembers. One that is invalid, whose lease is live
// here, that has left, or for which the table has no capacity is ignored.
func (t *Table) MergeSilent(now time.Duration, sidecars []SilentSidecar) {
	for _, s := range sidecars {
		if s.Node == "" || len(s.Node) > maxName || s.Remaining <= 0 || !t.hasCapacityFor(s.Node) {
			continue
		}
		current := t.leases[s.Node]
		if current == nil { // any lease of this incarnation is newer than one without a sequence
			current = &lease{Lease: Lease{Node: s.Node, Incarnation: s.Incarnation}, expiresAt: now}
			t.leases[s.Node] = current
		} else if !current.silent {
			continue
		}
		t.markSilent(current)
		current.forgetAt = max(current.forgetAt, now+min(s.Remaining, SilentRetention))
	}
}

// hasCapacityFor reports whether a node's lease may be held. Where the table is full of them, the sidecar
// that has been silent for longest makes way for a new one.
func (t *Table) hasCapacityFor(node string) bool {
	if t.leases[node] != nil || len(t.leases) < MaxLeases {
		return true
	}
	oldest := ""
	for other, l := range t.leases {
		if l.silent && (oldest == "" || l.forgetAt < t.leases[oldest].forgetAt) {
			oldest = other
		}
	}
	if oldest == "" {
		return false
	}
	t.forget(oldest)
	return true
}

// forget removes a lease that isn't live.
func (t *Table) forget(node string) {
	t.markNotSilent(t.leases[node])
	delete(t.leases, node)
}
