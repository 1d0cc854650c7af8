package replication

import (
	"sync"
	"time"
)

// maxConfirmations bounds the confirmations that wait for the application to catch up.
const maxConfirmations = 64

// confirmation says that all that was committed before at is applied once index is.
type confirmation struct {
	at    time.Duration
	index uint64
}

// contact keeps the majority's confirmations of a leader until the application has applied what they
// stand for.
type contact struct {
	mu      sync.Mutex
	waiting []confirmation
	// newest is the last confirmation that counts; known says that there is one.
	newest time.Duration
	known  bool
}

// confirm notes that a majority confirmed the leader at a time, with all up to index committed then.
func (c *contact) confirm(at time.Duration, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.waiting); n > 0 && (c.waiting[n-1].index >= index || n == maxConfirmations) {
		last := &c.waiting[n-1]
		last.at, last.index = max(last.at, at), max(last.index, index)
		return
	}
	c.waiting = append(c.waiting, confirmation{at, index})
}

// reset forgets everything, as the leader is another one now.
func (c *contact) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.newest, c.known = nil, 0, false
}

// age is how old the newest confirmation is at the time now, given what is applied.
func (c *contact) age(now time.Duration, applied uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) > 0 && c.waiting[0].index <= applied {
		if !c.known || c.waiting[0].at > c.newest {
			c.newest, c.known = c.waiting[0].at, true
		}
		c.waiting = c.waiting[1:]
	}
	return max(0, now-c.newest), c.known
}
