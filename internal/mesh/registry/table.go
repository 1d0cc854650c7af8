// Package registry holds the leases of the sidecars and the upstreams beside the sidecars, as one core member or one
// sidecar knows them. Members exchange leases, renewals and upstream reports until all their tables agree. A message
// that arrives late, twice or out of order never undoes a newer message.
//
// A Table is a pure state machine: the caller passes in the current time as an offset on a monotonic clock, and the
// package has no I/O, timers or goroutines. A Table is not safe for concurrent use.
package registry

import "time"

const (
	// LeaseTTL is how long a lease is valid after its receipt. A sidecar that has ended is counted no longer than
	// that. The time spans two lost renewals.
	LeaseTTL = 2400 * time.Millisecond
	// StaleTTL is how long a stale upstream is kept. A sidecar that is partitioned from the core machines stops
	// refreshing its upstream although the upstream is alive.
	StaleTTL = 20 * time.Second
	// TombstoneTTL is how long removed instances and leases of sidecars that left are remembered, in order to reject
	// messages that arrive late. A lease that expired is remembered for SilentRetention.
	TombstoneTTL = 60 * time.Second
	// SilentRetention is how long a sidecar is counted as a share holder after its lease expired without the sidecar
	// having left in order. Such a sidecar may be out of contact and still serve requests within its share of the
	// tenants' limits; it gives up the share before this time has passed. The time spans a partition between regions.
	// The longer it is, the longer the share of a machine that has failed permanently stays unused.
	SilentRetention = 2 * time.Hour
	// PeakWindow is the period over which PeakLiveLeases takes the maximum.
	PeakWindow = 30 * time.Second
	// LeaveWindow is how long a sidecar that left in order still holds a share. It spans a restart, so that the number
	// of share holders does not change at each restart.
	LeaveWindow = 10 * time.Second
	// MaxLeases bounds the number of leases and, separately, the number of upstreams. It limits the memory that
	// invented names use, and is over three times the largest fleet foreseen.
	MaxLeases = 8192
	// maxTombstones bounds the number of tombstones. When it is reached, a new tombstone replaces the oldest one.
	maxTombstones = 8192
	// maxChangeLog bounds the changes kept for Since. A reader that is further behind gets the full state.
	maxChangeLog = 1024
)

// Table holds the leases and the upstreams. It is not safe for concurrent use.
type Table struct {
	epoch     Epoch
	number    ChangeNumber
	changeLog []change // the last changes in order; the last one has the number in the field number

	leases     map[string]*lease    // by node
	upstreams  map[string]*entry    // by instance
	tombstones map[string]tombstone // by instance

	instanceByNode    map[string]string
	instanceByAddress map[string]string

	liveLeases    int
	silentLeases  int           // leases that expired without the sidecar having left, see SilentRetention
	liveByVersion map[int64]int // number of live leases by the configuration version applied
	recentLive    recentMaximum // maximum of liveLeases within PeakWindow
	recentHolders recentMaximum // maximum of liveLeases + silentLeases within LeaveWindow
}

// New returns an empty table. The epoch must be above zero and differ from the epoch of every other table.
func New(epoch Epoch) *Table {
	return &Table{
		epoch:             epoch,
		leases:            map[string]*lease{},
		upstreams:         map[string]*entry{},
		tombstones:        map[string]tombstone{},
		instanceByNode:    map[string]string{},
		instanceByAddress: map[string]string{},
		liveByVersion:     map[int64]int{},
		recentLive:        newRecentMaximum(PeakWindow),
		recentHolders:     newRecentMaximum(LeaveWindow),
	}
}

// Expire marks expired leases as silent and upstreams that were not refreshed as stale, removes upstreams that have
// been stale for StaleTTL, and deletes leases and tombstones that are due. Counts and Stale marks are as of the last
// call of Expire.
func (t *Table) Expire(now time.Duration) {
	for node, l := range t.leases {
		if l.live && l.expiresAt <= now {
			t.markEnded(l)
			t.markSilent(l)
		}
		if !l.live && l.forgetAt <= now {
			t.forget(node)
		}
	}
	for _, e := range t.upstreams {
		if e.freshUntil+StaleTTL <= now {
			t.remove(now, e.Instance, expired)
		} else if !e.Stale && e.freshUntil <= now {
			e.Stale = true
			t.recordChange(e.Instance, e.Service)
		}
	}
	for instance, removed := range t.tombstones {
		if removed.forgetAt <= now {
			delete(t.tombstones, instance)
		}
	}
	t.recordPeaks(now)
}
