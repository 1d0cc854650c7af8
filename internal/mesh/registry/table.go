package registry

import (
	"time"
)

const (
	// LeaseTTL is how long a lease lasts from its receipt. It guards against
	// counting a sidecar that is gone, and spans two lost renewals.
	LeaseTTL = 2400 * time.Millisecond
	// StaleTTL is how long an upstream that nobody vouches for is kept, so
	// that a sidecar cut off from the core is not taken for a dead upstream.
	StaleTTL = 20 * time.Second
	// TombstoneTTL is how long the ids of gone instances and the order of lapsed
	// leases are remembered, against messages that come late.
	TombstoneTTL = 60 * time.Second
	// PeakWindow is how far back Largest looks.
	PeakWindow = 30 * time.Second
	// MaxLeases bounds the leases and the upstreams held, against memory taken
	// by invented names. It is over three times the largest fleet foreseen.
	MaxLeases = 8192
	// maxTombstones bounds the ids of gone instances that are remembered.
	maxTombstones = 8192
	// maxChangeLog bounds the changes kept for Since; who is further behind gets all.
	maxChangeLog = 1024
	// warmupTolerance is how far the end of a warm-up must move to be a change; a
	// smaller move is the delay of messages.
	warmupTolerance = time.Second
)

// Table holds the leases and the upstreams. It is not safe for concurrent use.
type Table struct {
	epoch             uint64
	number            uint64
	changeLog         []change // the last changes; the newest has the table's number
	leases            map[string]*lease
	upstreams         map[string]*entry
	instanceByNode    map[string]string
	instanceByAddress map[string]string
	tombstones        map[string]tombstone
	liveLeases        int
	liveByVersion     map[int64]int // live leases by version applied
	recentPeaks       [PeakWindow/time.Second + 1]peakSample
}

// New makes an empty table. The epoch must differ from that of every other
// table and be above zero: numbers of one epoch mean nothing in another.
func New(epoch uint64) *Table {
	return &Table{
		epoch:             epoch,
		leases:            map[string]*lease{},
		upstreams:         map[string]*entry{},
		instanceByNode:    map[string]string{},
		instanceByAddress: map[string]string{},
		tombstones:        map[string]tombstone{},
		liveByVersion:     map[int64]int{},
	}
}

// Expire lets leases lapse, flags and drops the upstreams that nobody vouches
// for, and forgets old graves. Counts and flags are as of the last call.
func (t *Table) Expire(now time.Duration) {
	for node, l := range t.leases {
		if l.live && l.until <= now {
			t.setLive(now, l, false)
		}
		if !l.live && l.until+TombstoneTTL <= now {
			delete(t.leases, node)
		}
	}
	for _, e := range t.upstreams {
		if e.until+StaleTTL <= now {
			t.expire(now, e.Instance)
		} else if !e.Stale && e.until <= now {
			e.Stale = true
			t.recordChange(e.Instance, e.Service)
		}
	}
	for instance, g := range t.tombstones {
		if g.until <= now {
			delete(t.tombstones, instance)
		}
	}
	t.recordPeak(now)
}
