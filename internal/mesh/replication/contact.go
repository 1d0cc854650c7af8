package replication

import (
	"sync"
	"time"
)

// maxPendingAcks bounds the confirmations that wait for the application to catch up.
const maxPendingAcks = 64

// quorumAck says that all that was committed before at is applied once index is.
type quorumAck struct {
	at    time.Duration
	index uint64
}

// contactTracker keeps the majority's confirmations of a leader until the application has applied what they
// stand for.
type contactTracker struct {
	mu      sync.Mutex
	pending []quorumAck
	// lastAck is the last confirmation that counts; known says that there is one.
	lastAck time.Duration
	hasAck  bool
}

// record notes that a majority confirmed the leader at a time, with all up to index committed then.
func (c *contactTracker) record(at time.Duration, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.pending); n > 0 && (c.pending[n-1].index >= index || n == maxPendingAcks) {
		last := &c.pending[n-1]
		last.at, last.index = max(last.at, at), max(last.index, index)
		return
	}
	c.pending = append(c.pending, quorumAck{at, index})
}

// reset forgets everything, as the leader is another one now.
func (c *contactTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.lastAck, c.hasAck = nil, 0, false
}

// age is how old the newest confirmation is at the time now, given what is applied.
func (c *contactTracker) age(now time.Duration, applied uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.pending[0].index <= applied {
		if !c.hasAck || c.pending[0].at > c.lastAck {
			c.lastAck, c.hasAck = c.pending[0].at, true
		}
		c.pending = c.pending[1:]
	}
	return max(0, now-c.lastAck), c.hasAck
}
