package http1

import (
	"sync"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/share"
)

const (
	// gatePermits bounds how many connections read, parse and hand over at a time; all others stay parked. One core has
	// no use for more: the second one keeps it busy while the first is in the middle of a system call.
	permitCount = 2
	// gateSpare are for pools that are behind their part.
	sparePermitCount = 2
	// byteCost is what a byte of a body is charged with beside the time that it took to read it: it is copied once
	// more on its way to a server.
	costPerByte = 1 * time.Nanosecond
	// newcomers is the flow of connections that have asked for nothing yet. Nobody knows whose they are.
	newConnsFlow = 0
)

// gate gives the permits to read out among pools, see share.Queue. Without it hundreds of connections of one pool are runnable at
// once, and each hop of another pool's request waits behind them.
type readPermits struct {
	clock clock.Clock
	mu    sync.Mutex
	queue *share.Queue[*conn]
	flows int
}

// enter waits for a permit.
func (c *conn) acquirePermit() {
	permits := c.front.readPermits.Load()
	if permits == nil || c.permits != nil {
		return
	}
	flow := newConnsFlow
	if c.target != nil {
		flow = int(c.target.permitFlow.Load())
	}
	if flow >= permits.flows { // its pool is of another table
		flow = newConnsFlow
	}
	if c.permitGranted == nil {
		c.permitGranted = make(chan bool, 1)
	}
	permits.mu.Lock()
	behind := permits.queue.Behind(flow)
	granted, spare := permits.queue.Ask(flow, c)
	permits.mu.Unlock()
	if !granted {
		spare = <-c.permitGranted
	}
	if !behind {
		// What others have begun goes first, down to the answers that are being passed on, and what has come in meanwhile. So
		// no more is begun than the core gets done, and it is the pool that wants most whose work waits, outside.
		c.front.pollWaits.wait()
	}
	c.permits, c.permitFlow, c.sparePermit, c.bytesUnderPermit, c.permitSince = permits, flow, spare, 0, permits.clock.Now()
}

// leave gives the permit back, if there is one. It comes before everything that may wait.
func (c *conn) releasePermit() {
	permits := c.permits
	if permits == nil {
		return
	}
	c.permits = nil
	owner := c.permitFlow
	if c.target != nil {
		if f := int(c.target.permitFlow.Load()); f < permits.flows {
			owner = f
		}
	}
	cost := permits.clock.Now() - c.permitSince + time.Duration(c.bytesUnderPermit)*costPerByte
	permits.mu.Lock()
	next, ok := permits.queue.Done(c.permitFlow, owner, c.sparePermit, float64(cost))
	permits.mu.Unlock()
	if ok {
		next.permitGranted <- c.sparePermit
	}
}

// ShareAmong has several targets share the front from now on: the permits to read and the connections are divided by weight, where
// targets[i] has weights[i]. What has asked for nothing yet has a part as large as the smallest. nil: one target
// has it all, and nothing waits for a permit.
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
	f.readPermits.Store(&readPermits{clock: f.clock, queue: share.NewQueue[*conn](permitCount, sparePermitCount, all), flows: len(all)})
	owners := make([]*owner, len(targets))
	for i, t := range targets {
		owners[i] = &t.owner
	}
	f.acceptor.setShares(owners, weights)
}
