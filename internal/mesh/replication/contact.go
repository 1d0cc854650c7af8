package replication

import (
	"sync"
	"time"
)

// maxPendingAcks bounds the number of acknowledgements that wait for the application to catch up.
const maxPendingAcks = 64

// quorumAck is a confirmation of the leader by a majority. All entries committed before confirmedAt
// have been applied once the entry at index has been applied.
type quorumAck struct {
	confirmedAt time.Duration
	index       Index
}

// contactTracker holds the confirmations of a leader by a majority until the application has applied
// the entries that were committed when the leader was confirmed. It is safe for concurrent use.
type contactTracker struct {
	// mu guards all fields below.
	mu      sync.Mutex
	pending []quorumAck
	// lastAck is the time of the newest acknowledgement whose entries have been applied. It is valid
	// if hasAck is set.
	lastAck time.Duration
	hasAck  bool
}

// record adds a confirmation of the leader. All entries committed before confirmedAt have indexes up
// to index. If the queue is full or index has not increased, the newest acknowledgement is updated in
// place.
func (c *contactTracker) record(confirmedAt time.Duration, index Index) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.pending); n > 0 && (c.pending[n-1].index >= index || n == maxPendingAcks) {
		last := &c.pending[n-1]
		last.confirmedAt, last.index = max(last.confirmedAt, confirmedAt), max(last.index, index)
		return
	}
	c.pending = append(c.pending, quorumAck{confirmedAt, index})
}

// reset deletes all acknowledgements. It is called when the leader or the term has changed.
func (c *contactTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.lastAck, c.hasAck = nil, 0, false
}

// age returns the time from the newest acknowledgement whose entries have been applied until now.
// applied is the index up to which the application has applied entries. ok is false if there is no
// such acknowledgement.
func (c *contactTracker) age(now time.Duration, applied Index) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && c.pending[0].index <= applied {
		if !c.hasAck || c.pending[0].confirmedAt > c.lastAck {
			c.lastAck, c.hasAck = c.pending[0].confirmedAt, true
		}
		c.pending = c.pending[1:]
	}
	return max(0, now-c.lastAck), c.hasAck
}
