// Package share divides what pools of one process have in common. It is free of I/O; time is passed in.
package share

import (
	"sync"
	"time"
)

const (
	// keepBack is the share of an owner's unused part that is never lent: one that wakes up begins at once.
	keepBack = 0.1
	// askFor is how long an owner that met its own part lent away keeps others from borrowing more, after it last asked.
	askFor = 3 * time.Second
)

// Space divides a number of like things (places, bytes) among pools by weight. Each is sure of its part and may
// borrow what others leave, but for a tenth of what each of them has unused. What is lent is not taken back: it
// returns as what it is used for ends. From the moment that an owner has to be refused part of its own, nothing more is
// lent until it has what it asked for, or has not asked for 3 s. Safe for concurrent use.
type Space struct {
	mu    sync.Mutex
	size  int64
	used  int64
	parts []part
}

type part struct {
	sure, used int64
	asked      time.Duration // it was refused part of its own then
	asks       bool
}

// New divides size by weights, which must be above 0. What rounding leaves is the first pool's.
func New(size int64, weights []float64) *Space {
	s := &Space{size: size, parts: make([]part, len(weights))}
	sum, left := 0.0, size
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		s.parts[i].sure = int64(float64(size) * w / sum)
		left -= s.parts[i].sure
	}
	if len(s.parts) > 0 {
		s.parts[0].sure += left
	}
	return s
}

// Take takes n for a pool, or says that there is no room; n must not be below 0. What it took has to be given back
// with Give.
func (s *Space) Take(now time.Duration, pool int, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.room(now, pool, n) {
		return false
	}
	s.parts[pool].used += n
	s.used += n
	return true
}

// Room says whether Take would take n now. An owner that is told no has asked, as with Take.
func (s *Space) Room(now time.Duration, pool int, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room(now, pool, n)
}

func (s *Space) room(now time.Duration, pool int, n int64) bool {
	p := &s.parts[pool]
	if p.used+n <= p.sure {
		if s.used+n > s.size { // its own, but lent
			p.asks, p.asked = true, now
			return false
		}
		p.asks = false
		return true
	}
	free := s.size - s.used
	for i := range s.parts {
		if i == pool {
			continue
		}
		o := &s.parts[i]
		if o.asks && now-o.asked < askFor {
			return false
		}
		if unused := o.sure - o.used; unused > 0 {
			free -= int64(float64(unused) * keepBack)
		}
	}
	return n <= free
}

// Give gives n of a pool back.
func (s *Space) Give(pool int, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[pool].used -= n
	s.used -= n
}

// Part is what a pool is sure of and what it has.
func (s *Space) Part(pool int) (sure, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[pool].sure, s.parts[pool].used
}
