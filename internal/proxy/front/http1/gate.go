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
	gatePermits = 2
	// gateSpare are for pools that are behind their part.
	gateSpare = 2
	// byteCost is what a byte of a body is charged with beside the time that it took to read it: it is copied once
	// more on its way to a server.
	byteCost = 1 * time.Nanosecond
	// newcomers is the flow of connections that have asked for nothing yet. Nobody knows whose they are.
	newcomers = 0
)

// gate gives the permits to read out among pools, see share.Queue. Without it hundreds of connections of one pool are runnable at
// once, and each hop of another pool's request waits behind them.
type gate struct {
	clock clock.Clock
	mu    sync.Mutex
	queue *share.Queue[*conn]
	flows int
}

// enter waits for a permit.
func (c *conn) enter() {
	g := c.front.gate.Load()
	if g == nil || c.in != nil {
		return
	}
	f := newcomers
	if c.of != nil {
		f = int(c.of.flow.Load())
	}
	if f >= g.flows { // its pool is of another table
		f = newcomers
	}
	if c.permit == nil {
		c.permit = make(chan bool, 1)
	}
	g.mu.Lock()
	behind := g.queue.IsUnderserved(f)
	granted, spare := g.queue.Acquire(f, c)
	g.mu.Unlock()
	if !granted {
		spare = <-c.permit
	}
	if !behind {
		// What others have begun goes first, down to the answers that are being passed on, and what has come in meanwhile. So
		// no more is begun than the core gets done, and it is the pool that wants most whose work waits, outside.
		c.front.turns.wait()
	}
	c.in, c.asked, c.spare, c.bytes, c.entered = g, f, spare, 0, g.clock.Now()
}

// leave gives the permit back, if there is one. It comes before everything that may wait.
func (c *conn) leave() {
	g := c.in
	if g == nil {
		return
	}
	c.in = nil
	of := c.asked
	if c.of != nil {
		if f := int(c.of.flow.Load()); f < g.flows {
			of = f
		}
	}
	cost := g.clock.Now() - c.entered + time.Duration(c.bytes)*byteCost
	g.mu.Lock()
	next, ok := g.queue.Release(c.asked, of, c.spare, float64(cost))
	g.mu.Unlock()
	if ok {
		next.permit <- c.spare
	}
}

// ShareAmong has several targets share the front from now on: the permits to read and the connections are divided by weight, where
// targets[i] has weights[i]. What has asked for nothing yet has a part as large as the smallest. nil: one target
// has it all, and nothing waits for a permit.
func (f *Front) ShareAmong(targets []*Target, weights []float64) {
	if len(targets) == 0 {
		f.gate.Store(nil)
		f.conns.divide(nil, nil)
		return
	}
	all, least := []float64{0}, weights[0]
	for i, t := range targets {
		t.flow.Store(int64(i + 1))
		least = min(least, weights[i])
		all = append(all, weights[i])
	}
	all[newcomers] = least
	f.gate.Store(&gate{clock: f.clock, queue: share.NewQueue[*conn](gatePermits, gateSpare, all), flows: len(all)})
	owners := make([]*owner, len(targets))
	for i, t := range targets {
		owners[i] = &t.owner
	}
	f.conns.divide(owners, weights)
}
