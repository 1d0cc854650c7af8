// Package registry keeps the leases of the sidecars and the upstreams beside them, as one core
// member or one sidecar knows them. Members exchange leases, renewals and reports until all their
// tables agree; every message may arrive late, twice or out of order without undoing a newer one.
//
// A Table is a pure state machine: the caller passes the time in as an offset on a steady clock, and
// nothing here waits, sends or stores. It is not safe for concurrent use.
package registry

import "time"

const (
	// LeaseTTL is how long a lease is valid after its receipt. It guards against counting a sidecar
	// that has ended, and spans two lost renewals.
	LeaseTTL = 2400 * time.Millisecond
	// StaleTTL is how long an upstream is kept after its last refresh ran out, so that a sidecar
	// that is partitioned from the core isn't taken for a dead upstream.
	StaleTTL = 20 * time.Second
	// TombstoneTTL is how long removed instances, and leases of sidecars that left, are remembered against
	// messages that arrive late. A lease that expired is remembered for SilentRetention.
	TombstoneTTL = 60 * time.Second
	// SilentRetention is how long a sidecar whose lease expired, and that didn't leave in order, counts as
	// one that may still serve: it goes on by its share of the tenants' limits while it is out of contact,
	// and gives that up before this time is over. It spans a partition between regions; the longer it is,
	// the longer the share of a machine that is gone for good isn't used.
	SilentRetention = 2 * time.Hour
	// PeakWindow is how far back PeakMembers looks.
	PeakWindow = 30 * time.Second
	// LeaveWindow is for how long a sidecar that left in order holds a share. It spans a restart, so that the
	// number of share holders doesn't fall and rise again by each.
	LeaveWindow = 10 * time.Second
	// MaxLeases bounds the leases and, separately, the upstreams, against memory taken by invented
	// names. It is over three times the largest fleet foreseen.
	MaxLeases = 8192
	// maxTombstones bounds the tombstones; the one that is due first makes way for a new one.
	maxTombstones = 8192
	// maxChangeLog bounds the changes kept for Since; a reader further behind gets the full state.
	maxChangeLog = 1024
)

// Table holds the leases and the upstreams. It is not safe for concurrent use.
type Table struct {
	epoch     Epoch
	number    ChangeNumber
	changeLog []change // the last changes; the newest has the table's number

	leases     map[string]*lease    // by node
	upstreams  map[string]*entry    // by instance
	tombstones map[string]tombstone // by instance

	instanceByNode    map[string]string
	instanceByAddress map[string]string

	liveLeases    int
	silentLeases  int           // expired and not left, see SilentRetention
	liveByVersion map[int64]int // live leases by the configuration version applied
	recentLive    recentMaximum // of liveLeases, within PeakWindow
	recentHolders recentMaximum // of live and silent leases together, within LeaveWindow
}

// New makes an empty table. The epoch must differ from that of every other table and be above zero.
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

// Expire ends leases and marks or removes upstreams whose time has run out, and forgets old
// tombstones and silent sidecars. Counts and Stale marks are as of its last call.
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
