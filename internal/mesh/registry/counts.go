package registry

import (
	"cmp"
	"slices"
	"time"
)

// Counts are the numbers of sidecars that a member tells the others and the sidecars.
type Counts struct {
	// Live is the number of live leases, Peak the largest recent one.
	Live int `json:"members"`
	Peak int `json:"largest"`
	// ShareHolders is how many sidecars may hold a share of the tenants' limits. It is 0 from a member of an
	// earlier release, which remembers nobody for longer than Peak does.
	ShareHolders int `json:"holders,omitempty"`
}

// Raised is the larger of each of the numbers.
func (c Counts) Raised(other Counts) Counts {
	return Counts{
		Live: max(c.Live, other.Live), Peak: max(c.Peak, other.Peak),
		ShareHolders: max(c.ShareHolders, other.ShareHolders),
	}
}

// Counts are this table's numbers.
func (t *Table) Counts(now time.Duration) Counts {
	return Counts{Live: t.liveLeases, Peak: t.PeakMembers(now), ShareHolders: t.ShareHolders(now)}
}

// markLive counts a lease that is not live yet.
func (t *Table) markLive(now time.Duration, l *lease) {
	t.markNotSilent(l)
	l.live = true
	t.liveLeases++
	t.liveByVersion[l.Applied]++
	t.recordPeaks(now)
}

// markEnded removes a lease from the counts of live ones, if it is counted.
func (t *Table) markEnded(l *lease) {
	if !l.live {
		return
	}
	l.live = false
	t.liveLeases--
	if t.liveByVersion[l.Applied]--; t.liveByVersion[l.Applied] == 0 {
		delete(t.liveByVersion, l.Applied)
	}
}

// markSilent counts a lease that has expired.
func (t *Table) markSilent(l *lease) {
	if !l.silent {
		l.silent = true
		t.silentLeases++
	}
}

// markNotSilent removes a lease from the count of silent ones, if it is counted.
func (t *Table) markNotSilent(l *lease) {
	if l.silent {
		l.silent = false
		t.silentLeases--
	}
}

// recordPeaks samples the numbers of which the recent maximum counts.
func (t *Table) recordPeaks(now time.Duration) {
	t.recentLive.record(now, t.liveLeases)
	t.recentHolders.record(now, t.liveLeases+t.silentLeases)
}

// Members is the number of live leases.
func (t *Table) Members() int { return t.liveLeases }

// PeakMembers is the largest number of live leases within the last PeakWindow.
func (t *Table) PeakMembers(now time.Duration) int {
	return max(t.liveLeases, t.recentLive.at(now))
}

// ShareHolders is how many sidecars may hold a share of the tenants' limits: those with a live lease, those
// that have been silent for less than SilentRetention, and those that left in order within LeaveWindow.
func (t *Table) ShareHolders(now time.Duration) int {
	return max(t.liveLeases+t.silentLeases, t.recentHolders.at(now))
}

// MembersBehind is the number of live leases whose sidecar has not applied the given configuration
// version yet.
func (t *Table) MembersBehind(version int64) int {
	behind := 0
	for applied, n := range t.liveByVersion {
		if applied < version {
			behind += n
		}
	}
	return behind
}

// Lagging is a sidecar with a live lease that has not applied a configuration version.
type Lagging struct {
	Node    string
	Applied int64
}

// Lagging lists the sidecars of MembersBehind, by node.
func (t *Table) Lagging(version int64) []Lagging {
	if t.MembersBehind(version) == 0 {
		return nil
	}
	var all []Lagging
	for node, l := range t.leases {
		if l.live && l.Applied < version {
			all = append(all, Lagging{Node: node, Applied: l.Applied})
		}
	}
	slices.SortFunc(all, func(a, b Lagging) int { return cmp.Compare(a.Node, b.Node) })
	return all
}
