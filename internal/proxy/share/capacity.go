// Package share divides what the pools of one process have in common: a Capacity of like things, and a Queue of
// work for a few permits. It does no I/O; time is passed in.
package share

import (
	"sync"
	"time"
)

const (
	// reserveFraction is the fraction of a pool's unused share that is never lent, so that a pool which was idle
	// can begin at once.
	reserveFraction = 0.1
	// reclaimTime is how long after its last refusal a pool whose own share is lent keeps others from borrowing.
	reclaimTime = 3 * time.Second
)

// Capacity divides a number of like things (connections, calls, bytes) among pools by weight. Each pool is
// guaranteed its share and may borrow what others leave unused, except for a tenth of that. What is lent is
// never revoked: it returns when it is released. From the moment that a pool is refused a part of its own share,
// nothing more is lent until it has what it asked for, or has not asked for 3 s. Safe for concurrent use.
type Capacity struct {
	mu    sync.Mutex // guards what follows
	size  int64
	used  int64
	pools []poolUsage
}

// poolUsage is what a pool has of a Capacity.
type poolUsage struct {
	guaranteed, used int64
	reclaiming       bool          // it was refused a part of its own share
	refusedAt        time.Duration // last, while reclaiming
}

// NewCapacity divides size by weights, which must be above 0. The remainder of the rounding goes to the first
// pool.
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

// Acquire takes n for a pool, or says that there is no capacity for it; n must not be below 0. What it took has
// to be given back with Release.
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

// CanAcquire says whether Acquire would take n now. A pool that is refused reclaims its share, as with Acquire.
func (c *Capacity) CanAcquire(now time.Duration, pool int, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.available(now, pool, n)
}

// available says whether a pool may take n, and notes a refusal of its own share. The caller holds mu.
func (c *Capacity) available(now time.Duration, pool int, n int64) bool {
	p := &c.pools[pool]
	if p.used+n <= p.guaranteed {
		p.reclaiming = c.used+n > c.size // its own share is lent
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

// Release gives n of a pool back.
func (c *Capacity) Release(pool int, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[pool].used -= n
	c.used -= n
}

// Usage returns what a pool is guaranteed and what it has.
func (c *Capacity) Usage(pool int) (guaranteed, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[pool].guaranteed, c.pools[pool].used
}
