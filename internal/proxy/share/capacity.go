// Package share divides resources that the pools of one process have in common: Capacity divides a countable resource,
// and Queue schedules work items that need one of a few permits. The package performs no I/O; callers pass in the time.
package share

import (
	"sync"
	"time"
)

const (
	// reserveFraction is the fraction of a pool's unused share that is never lent to other pools, so that an idle pool
	// can acquire something at once.
	reserveFraction = 0.1
	// reclaimTime is how long other pools may not borrow after a pool was last refused a part of its own share.
	reclaimTime = 3 * time.Second
)

// Capacity divides units of a resource (connections, calls, bytes) among pools by weight. Each pool is guaranteed its
// share, and may borrow the units that other pools leave unused, except for a tenth of them. Borrowed units are not
// revoked: their owner has them back when they are released. After a pool was refused a part of its own share, no
// units are lent until the pool has acquired the units that it asked for, or was not refused any for 3 s. A Capacity
// is safe for concurrent use.
type Capacity struct {
	mu    sync.Mutex // guards the fields below
	size  int64
	used  int64 // by all pools
	pools []poolUsage
}

// poolUsage is the guaranteed share of one pool, and the units that the pool has acquired.
type poolUsage struct {
	guaranteed, used int64
	reclaiming       bool          // the pool was refused a part of its own share
	refusedAt        time.Duration // time of the last such refusal; valid if reclaiming is set
}

// NewCapacity divides size among pools by their weights, which must be above 0. The remainder of the rounding goes to
// the first pool.
func NewCapacity(size int64, weights []float64) *Capacity {
	c := &Capacity{size: size, pools: make([]poolUsage, len(weights))}
	sum, remainder := 0.0, size
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		c.pools[i].guaranteed = int64(float64(size) * w / sum)
		remainder -= c.pools[i].guaranteed
	}
	if len(c.pools) > 0 {
		c.pools[0].guaranteed += remainder
	}
	return c
}

// Acquire takes n units for a pool, or returns false if they are not available. n must not be negative. The caller
// gives the units back with Release.
func (c *Capacity) Acquire(now time.Duration, pool int, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.available(now, pool, n) {
		return false
	}
	c.pools[pool].used += n
	c.used += n
	return true
}

// CanAcquire reports whether Acquire would take n units now. Like a failed Acquire, a result of false within the pool's
// own share stops other pools from borrowing.
func (c *Capacity) CanAcquire(now time.Duration, pool int, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.available(now, pool, n)
}

// available reports whether a pool may take n units, and records a refusal within the pool's own share. The caller
// holds mu.
func (c *Capacity) available(now time.Duration, pool int, n int64) bool {
	p := &c.pools[pool]
	if p.used+n <= p.guaranteed {
		p.reclaiming = c.used+n > c.size // other pools have borrowed its share
		if p.reclaiming {
			p.refusedAt = now
		}
		return !p.reclaiming
	}
	free := c.size - c.used
	for i := range c.pools {
		if i == pool {
			continue
		}
		other := &c.pools[i]
		if other.reclaiming && now-other.refusedAt < reclaimTime {
			return false
		}
		if unused := other.guaranteed - other.used; unused > 0 {
			free -= int64(float64(unused) * reserveFraction)
		}
	}
	return n <= free
}

// Release gives back n units of a pool.
func (c *Capacity) Release(pool int, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[pool].used -= n
	c.used -= n
}

// Usage returns the number of units that a pool is guaranteed, and the number that it has acquired.
func (c *Capacity) Usage(pool int) (guaranteed, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[pool].guaranteed, c.pools[pool].used
}
