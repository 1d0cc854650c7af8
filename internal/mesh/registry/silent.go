package registry

import "time"

// SilentSidecar is a sidecar whose lease expired without the sidecar having left in order, as one member reports it to
// another. Remaining is the time for which the reporting member still remembers the sidecar. Incarnation is 0 if it is
// not known.
type SilentSidecar struct {
	Node        string        `json:"node"`
	Incarnation Incarnation   `json:"life,omitempty"`
	Remaining   time.Duration `json:"remaining"`
}

// Holders returns the nodes of the sidecars that have not left in order, in no particular order. A member stores the
// list for its next process.
func (t *Table) Holders() []string {
	var names []string
	for node, l := range t.leases {
		if l.live || l.silent {
			names = append(names, node)
		}
	}
	return names
}

// RestoreHolders restores the sidecars that an earlier process of this member stored. It marks them as silent, and
// records their number as a recent number of live leases, because after a restart the leases arrive one by one.
func (t *Table) RestoreHolders(now time.Duration, names []string) {
	t.recentLive.record(now, len(names))
	for _, name := range names {
		t.MergeSilent(now, []SilentSidecar{{Node: name, Remaining: SilentRetention}})
	}
}

// Silent returns the silent sidecars in no particular order. The result is sent to a member that starts.
func (t *Table) Silent(now time.Duration) []SilentSidecar {
	var all []SilentSidecar
	for node, l := range t.leases {
		if l.silent {
			all = append(all, SilentSidecar{node, l.Incarnation, max(l.forgetAt-now, 0)})
		}
	}
	return all
}

// MergeSilent adds silent sidecars that another member remembers. It ignores a sidecar that is invalid, that has a live
// lease here, that has left, or for which the table has no capacity.
func (t *Table) MergeSilent(now time.Duration, sidecars []SilentSidecar) {
	for _, s := range sidecars {
		if s.Node == "" || len(s.Node) > maxName || s.Remaining <= 0 || !t.hasCapacityFor(s.Node) {
			continue
		}
		current := t.leases[s.Node]
		if current == nil { // sequence 0, so that every lease of the incarnation is newer
			current = &lease{Lease: Lease{Node: s.Node, Incarnation: s.Incarnation}, expiresAt: now}
			t.leases[s.Node] = current
		} else if !current.silent {
			continue
		}
		t.markSilent(current)
		current.forgetAt = max(current.forgetAt, now+min(s.Remaining, SilentRetention))
	}
}

// hasCapacityFor reports whether the table can hold a lease of the node. If the table is full, the sidecar that has
// been silent for longest is removed to make room for a new node.
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

// forget deletes a lease that is not live.
func (t *Table) forget(node string) {
	t.markNotSilent(t.leases[node])
	delete(t.leases, node)
}
