package http1

import (
	"sync"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/share"
)

const (
	// permitCount bounds how many connections read, parse and hand requests over at a time; all others stay parked. One
	// core has no use for more: the second one keeps it busy while the first is in the middle of a system call.
	permitCount = 2
	// sparePermitCount is how many further permits there are for pools that have had less than their share.
	sparePermitCount = 2
	// costPerByte is what a byte of a body is charged with beside the time that it took to read it: it is copied once
	// more on its way to a server.
	costPerByte = 1 * time.Nanosecond
	// newConnsFlow is the flow of connections on which nothing was requested yet. Nobody knows whose they are.
	newConnsFlow = 0
)

// readPermits shares permits to read among the connections of several targets, which are a flow each: see share.Queue.
// Without permits hundreds of connections of one pool are runnable at once, and each step of another pool's request
// waits behind them.
type readPermits struct {
	clock clock.Clock
	flows int
	mu    sync.Mutex // guards queue
	queue *share.Queue[*conn]
}

// acquirePermit waits for a permit, if the front has several targets and the connection holds none yet.
func (c *conn) acquirePermit() {
	permits := c.front.readPermits.Load()
	if permits == nil || c.permits != nil {
		return
	}
	flow := newConnsFlow
	if c.target != nil {
		flow = int(c.target.permitFlow.Load())
	}
	if flow >= permits.flows { // its target was shared among others
		flow = newConnsFlow
	}
	if c.permitGranted == nil {
		c.permitGranted = make(chan bool, 1)
	}
	permits.mu.Lock()
	behind := permits.queue.IsUnderserved(flow)
	granted, spare := permits.queue.Acquire(flow, c)
	permits.mu.Unlock()
	if !granted {
		spare = <-c.permitGranted
	}
	if !behind {
		// What others have begun goes first, down to the responses that are being streamed, and what has come in
		// meanwhile. So no more is begun than the core gets done, and it is the pool that wants most whose work waits,
		// outside the process.
		c.front.pollWaits.wait()
	}
	c.permits, c.permitFlow, c.sparePermit = permits, flow, spare
	c.bytesUnderPermit, c.permitSince = 0, permits.clock.Now()
}

// releasePermit gives the permit back, if one is held. It is called before everything that may wait.
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

// ShareAmong has several targets share the front from now on: the permits to read and the connections are divided by
// weight, where targets[i] has weights[i]. Connections on which nothing was requested yet have a share as large as the
// smallest. nil: one target has it all, and nothing waits for a permit.
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
