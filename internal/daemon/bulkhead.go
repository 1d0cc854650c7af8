package daemon

import (
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/share"
)

// bulkhead limits a pool to its share of the capacities that all pools share, so that a pool can't exhaust the capacity
// of other pools. It implements fronthttp1.SharedLimits.
type bulkhead struct {
	clock   clock.Clock
	clients *share.Capacity // client connections on which a request body is to be read
	calls   *share.Capacity // requests in flight
	bodies  *share.Capacity // buffered request bodies, in bytes
	pool    int             // index of the pool in the capacities
	bounded bool            // the number of requests in flight is limited
}

// BeginRead reserves capacity for a connection on which a request body is to be read, and reports whether there was
// any.
func (b *bulkhead) BeginRead() bool { return b.clients.Acquire(b.clock.Now(), b.pool, 1) }

// EndRead releases the capacity that BeginRead reserved.
func (b *bulkhead) EndRead() { b.clients.Release(b.pool, 1) }

// HasCapacity reports whether Reserve would succeed now for a request with a body of size bytes.
func (b *bulkhead) HasCapacity(size int64) bool {
	now := b.clock.Now()
	return (!b.bounded || b.calls.CanAcquire(now, b.pool, 1)) && b.bodies.CanAcquire(now, b.pool, size)
}

// Reserve reserves capacity for a request with a body of size bytes, and reports whether there was enough.
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

// Release releases the capacity that Reserve reserved for a request with a body of size bytes.
func (b *bulkhead) Release(size int64) {
	if b.bounded {
		b.calls.Release(b.pool, 1)
	}
	b.bodies.Release(b.pool, size)
}
