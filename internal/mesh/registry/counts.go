package registry

import (
	"cmp"
	"slices"
	"time"
)

// Counts are the numbers of sidecars that a member sends to other members and to sidecars.
type Counts struct {
	// Live is the number of live leases. Peak is the largest number of live leases within PeakWindow.
	Live int `json:"members"`
	Peak int `json:"largest"`
	// ShareHolders is the number of sidecars that may hold a share of the tenants' limits. It is 0 in a message from
	// a member of an earlier release, which forgets a sidecar as soon as Peak no longer includes the sidecar.
	ShareHolders int `json:"holders,omitempty"`
}

// Max returns the larger value of each number.
func (c Counts) Max(other Counts) Counts {
	return Counts{
		Live: max(c.Live, other.Live), Peak: max(c.Peak, other.Peak),
		ShareHolders: max(c.ShareHolders, other.ShareHolders),
	}
}

// Counts returns the table's numbers as of now.
func (t *Table) Counts(now time.Duration) Counts {
	return Counts{Live: t.liveLeases, Peak: t.PeakLiveLeases(now), ShareHolders: t.ShareHolders(now)}
}

// markLive marks a lease that is not live as live, and counts it.
func (t *Table) markLive(now time.Duration, l *lease) {
	t.markNotSilent(l)
	l.live = true
	t.liveLeases++
	t.liveByVersion[l.Applied]++
	t.recordPeaks(now)
}

// markEnded marks a lease as no longer live and removes it from the counts of live leases, if it was live.
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

// markSilent marks a lease that has expired as silent, and counts it.
func (t *Table) markSilent(l *lease) {
	if !l.silent {
		l.silent = true
		t.silentLeases++
	}
}

// markNotSilent marks a lease as not silent and removes it from the count of silent leases, if it was silent.
func (t *Table) markNotSilent(l *lease) {
	if l.silent {
		l.silent = false
		t.silentLeases--
	}
}

// recordPeaks records the current numbers for the maxima over PeakWindow and LeaveWindow.
func (t *Table) recordPeaks(now time.Duration) {
	t.recentLive.record(now, t.liveLeases)
	t.recentHolders.record(now, t.liveLeases+t.silentLeases)
}

// LiveLeases returns the number of live leases.
func (t *Table) LiveLeases() int { return t.liveLeases }

// PeakLiveLeases returns the largest number of live leases within the last PeakWindow.
func (t *Table) PeakLiveLeases(now time.Duration) int {
	return max(t.liveLeases, t.recentLive.at(now))
}

// ShareHolders returns the number of sidecars that may hold a share of the tenants' limits: sidecars with a live lease,
// sidecars that have been silent for less than SilentRetention, and sidecars that left in order within LeaveWindow.
func (t *Table) ShareHolders(now time.Duration) int {
	return max(t.liveLeases+t.silentLeases, t.recentHolders.at(now))
}

// LaggingCount returns the number of live leases whose sidecar has not applied the given configuration version yet.
func (t *Table) LaggingCount(version int64) int {
	behind := 0
	for applied, n := range t.liveByVersion {
		if applied < version {
			behind += n
		}
	}
	return behind
}

// Lagging is a sidecar with a live lease that has not applied a given configuration version. Applied is the version
// that the sidecar has applied.
type Lagging struct {
	Node    string
	Applied int64
}

// Lagging returns the sidecars that LaggingCount counts, ordered by node.
func (t *Table) Lagging(version int64) []Lagging {
	if t.LaggingCount(version) == 0 {
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
