package http1

import (
	"sync"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/share"
)

const (
	// permitCount is how many connections may read, parse and submit requests at a time; the goroutines of all others
	// stay parked. One CPU core needs no more than two: the second connection keeps the core busy while the first one
	// is in a system call.
	permitCount = 2
	// sparePermitCount is how many additional permits there are for targets that received less than their share.
	sparePermitCount = 2
	// costPerByte is the cost of a body byte in addition to the time to read it: each byte is copied once more on its
	// way to a server.
	costPerByte = 1 * time.Nanosecond
	// newConnsFlow is the flow of connections on which no request was received yet, so that their target is unknown.
	newConnsFlow = 0
)

// readPermits shares read permits among the connections of several targets, with one flow per target: see
// share.Queue. Without permits, hundreds of connections of one target may be runnable at once, and each step of another
// target's request waits behind all of them.
type readPermits struct {
	clock clock.Clock
	flows int
	mu    sync.Mutex // guards queue
	queue *share.Queue[*conn]
}

// acquirePermit waits for a permit, if several targets share the front and the connection holds no permit yet.
func (c *conn) acquirePermit() {
	permits := c.front.readPermits.Load()
	if permits == nil || c.permits != nil {
		return
	}
	flow := newConnsFlow
	if c.target != nil {
		flow = int(c.target.permitFlow.Load())
	}
	if flow >= permits.flows { // the target's flow number is from another call of ShareAmong
		flow = newConnsFlow
	}
	if c.permitGranted == nil {
		c.permitGranted = make(chan bool, 1)
	}
	permits.mu.Lock()
	underserved := permits.queue.IsUnderserved(flow)
	granted, spare := permits.queue.Acquire(flow, c)
	permits.mu.Unlock()
	if !granted {
		spare = <-c.permitGranted
	}
	if !underserved {
		// Goroutines that are already runnable proceed first, including those that stream responses, and input that
		// has arrived is noticed. So the process begins no more work than the core can finish, and the work of the
		// target with the highest demand waits outside the process.
		c.front.pollWaits.wait()
	}
	c.permits, c.permitFlow, c.sparePermit = permits, flow, spare
	c.bytesUnderPermit, c.permitSince = 0, permits.clock.Now()
}

// releasePermit releases the permit, if the connection holds one. It is called before every operation that may block.
func (c *conn) releasePermit() {
	permits := c.permits
	if permits == nil {
		return
	}
	c.permits = nil
	chargedFlow := c.permitFlow
	if c.target != nil {
		if flow := int(c.target.permitFlow.Load()); flow < permits.flows {
			chargedFlow = flow
		}
	}
	cost := permits.clock.Now() - c.permitSince + time.Duration(c.bytesUnderPermit)*costPerByte
	permits.mu.Lock()
	next, ok := permits.queue.Release(c.permitFlow, chargedFlow, c.sparePermit, float64(cost))
	permits.mu.Unlock()
	if ok {
		next.permitGranted <- c.sparePermit
	}
}

// ShareAmong makes several targets share the front: read permits and connections are divided by weight, where
// targets[i] has weights[i]. Connections on which no request was received yet get a share as large as the smallest.
// With no targets the front is not shared, and no read needs a permit.
func (f *Front) ShareAmong(targets []*Target, weights []float64) {
	if len(targets) == 0 {
		f.readPermits.Store(nil)
		f.acceptor.setShares(nil, nil)
		return
	}
	all, smallest := []float64{0}, weights[0]
	for i, t := range targets {
		t.permitFlow.Store(int64(i + 1))
		smallest = min(smallest, weights[i])
		all = append(all, weights[i])
	}
	all[newConnsFlow] = smallest
	f.readPermits.Store(&readPermits{
		clock: f.clock, flows: len(all), queue: share.NewQueue[*conn](permitCount, sparePermitCount, all),
	})
	owners := make([]*owner, len(targets))
	for i, t := range targets {
		owners[i] = &t.owner
	}
	f.acceptor.setShares(owners, weights)
}
