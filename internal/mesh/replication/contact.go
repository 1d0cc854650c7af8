package replication

import (
	"sync"
	"time"
)

// maxPendingAcks bounds the acknowledgements that wait for the application to catch up.
const maxPendingAcks = 64

// quorumAck says that everything committed before the time at is applied once index is applied.
type quorumAck struct {
	at    time.Duration
	index Index
}

// contactTracker keeps the quorum's acknowledgements of a leader until the application has applied
// the entries that were committed at the time. It is safe for concurrent use.
type contactTracker struct {
	// mu guards all fields below.
	mu      sync.Mutex
	pending []quorumAck
	// lastAck is the time of the newest acknowledgement whose entries are applied; hasAck says that
	// there is one.
	lastAck time.Duration
	hasAck  bool
}

// record adds an acknowledgement of the leader at a time when everything up to index was committed.
func (c *contactTracker) record(at time.Duration, index Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.pending); n > 0 && (c.pending[n-1].index >= index || n == maxPendingAcks) {
		last := &c.pending[n-1]
		last.at, last.index = max(last.at, at), max(last.index, index)
		return
	}
	c.pending = append(c.pending, quorumAck{at, index})
}

// reset drops all acknowledgements, because the leader has changed.
func (c *contactTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.lastAck, c.hasAck = nil, 0, false
}

// age returns how old the newest acknowledgement is at the time now, given the index up to which
// the application has applied; ok is false when there is none.
func (c *contactTracker) age(now time.Duration, applied Index) (age time.Duration, ok bool) {
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
