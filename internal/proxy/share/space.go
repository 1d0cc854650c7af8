// Package share divides what pools of one process have in common. It is free of I/O; time is passed in.
package share

import (
	"sync"
	"time"
)

const (
	// reserveFraction is the share of an owner's unused part that is never lent: one that wakes up begins at once.
	reserveFraction = 0.1
	// reclaimTime is how long an owner that met its own part lent away keeps others from borrowing more, after it last asked.
	reclaimTime = 3 * time.Second
)

// Capacity divides a number of like things (places, bytes) among pools by weight. Each is sure of its part and may
// borrow what others leave, but for a tenth of what each of them has unused. What is lent is not taken back: it
// returns as what it is used for ends. From the moment that an owner has to be refused part of its own, nothing more is
// lent until it has what it asked for, or has not asked for 3 s. Safe for concurrent use.
type Capacity struct {
	mu    sync.Mutex
	size  int64
	used  int64
	pools []poolUsage
}

type poolUsage struct {
	guaranteed, used int64
	refusedAt        time.Duration // it was refused part of its own then
	reclaiming       bool
}

// New divides size by weights, which must be above 0. What rounding leaves is the first pool's.
func New(size int64, weights []float64) *Capacity {
	s := &Capacity{size: size, pools: make([]poolUsage, len(weights))}
	sum, left := 0.0, size
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		s.pools[i].guaranteed = int64(float64(size) * w / sum)
		left -= s.pools[i].guaranteed
	}
	if len(s.pools) > 0 {
		s.pools[0].guaranteed += left
	}
	return s
}

// Acquire takes n for a pool, or says that there is no room; n must not be below 0. What it took has to be given back
// with Give.
func (s *Capacity) Acquire(now time.Duration, pool int, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.available(now, pool, n) {
		return false
	}
	s.pools[pool].used += n
	s.used += n
	return true
}

// CanAcquire says whether Take would take n now. An owner that is told no has asked, as with Take.
func (s *Capacity) CanAcquire(now time.Duration, pool int, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available(now, pool, n)
}

func (s *Capacity) available(now time.Duration, pool int, n int64) bool {
	p := &s.pools[pool]
	if p.used+n <= p.guaranteed {
		if s.used+n > s.size { // its own, but lent
			p.reclaiming, p.refusedAt = true, now
			return false
		}
		p.reclaiming = false
		return true
	}
	free := s.size - s.used
	for i := range s.pools {
		if i == pool {
			continue
		}
		o := &s.pools[i]
		if o.reclaiming && now-o.refusedAt < reclaimTime {
			return false
		}
		if unused := o.guaranteed - o.used; unused > 0 {
			free -= int64(float64(unused) * reserveFraction)
		}
	}
	return n <= free
}

// Release gives n of a pool back.
func (s *Capacity) Release(pool int, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[pool].used -= n
	s.used -= n
}

// Usage is what a pool is sure of and what it has.
func (s *Capacity) Usage(pool int) (sure, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[pool].guaranteed, s.pools[pool].used
}
