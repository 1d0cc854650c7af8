package daemon

import (
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/share"
)

// bulkhead is a pool's share of what all pools hold, so that none can crowd out the others. It implements the front's
// shared limits.
type bulkhead struct {
	clock   clock.Clock
	clients *share.Capacity // connections with a request
	calls   *share.Capacity
	bodies  *share.Capacity // bytes
	pool    int             // its index in the capacities
	bounded bool            // calls are bounded
}

// BeginRead reserves capacity for a connection with a request.
func (b *bulkhead) BeginRead() bool { return b.clients.Acquire(b.clock.Now(), b.pool, 1) }

// EndRead releases it.
func (b *bulkhead) EndRead() { b.clients.Release(b.pool, 1) }

// HasCapacity says whether Reserve would take one nob.
func (b *bulkhead) HasCapacity(size int64) bool {
	now := b.clock.Now()
	return (!b.bounded || b.calls.CanAcquire(now, b.pool, 1)) && b.bodies.CanAcquire(now, b.pool, size)
}

// Reserve reserves capacity for a request with a body of so many bytes; false: there is none.
func (b *bulkhead) Reserve(size int64) bool {
	now := b.clock.Now()
	if b.bounded && !b.calls.Acquire(now, b.pool, 1) {
		return false
	}
	if !b.bodies.Acquire(now, b.pool, size) {
		if b.bounded {
			b.calls.Release(b.pool, 1)
		}
		return false
	}
	return true
}

// Release returns what Reserve took.
func (b *bulkhead) Release(size int64) {
	if b.bounded {
		b.calls.Release(b.pool, 1)
	}
	b.bodies.Release(b.pool, size)
}
