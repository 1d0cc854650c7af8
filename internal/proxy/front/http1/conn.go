package http1

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/proxy/metrics"
	"caperarch/internal/proxy/stream"
)

// conn is one connection of a client. One goroutine serves it (see Front.serve) and owns all fields but those that say
// otherwise. While it is idle it has no buffers: it waits in the poller and takes some with the first byte.
type conn struct {
	netConn  net.Conn
	rawConn  syscall.RawConn // nil: not a socket
	fd       int32           // set once by the watcher
	front    *Front
	acceptor *acceptor
	entry    entry // guarded by the acceptor's lock

	buffers      *buffers // nil: idle
	unreadStart  int      // buffers.in[unreadStart:unreadEnd] has been read from the client but not parsed
	unreadEnd    int
	firstReadErr error                 // error of the last read of a request's first bytes
	receivedAt   time.Duration         // when the last part of a request that came in parts arrived; 0: it came at once
	tryFirstRead func(fd uintptr) bool // readFirstNonblocking, bound once so that a read does not allocate

	// Where several targets share the front, see readPermits:
	target           *Target      // target of the last request; nil: none yet
	permitGranted    chan bool    // receives one item when a permit is granted: whether it is a spare one
	permits          *readPermits // where the permit held now comes from; nil: none is held
	permitFlow       int          // flow that asked for it
	sparePermit      bool         // it is a spare one
	bytesUnderPermit int          // bytes read under it
	permitSince      time.Duration

	metrics *metrics.Class // what the current response counts for; nil: nothing

	// Pipelining, see pipelining.go:
	pipeline             *pipeline     // nil: nothing was read ahead since the connection was idle
	pipelinable          bool          // the current request may be open together with others
	dataArrived          chan struct{} // has an item if notifyOnData and bytes may have come; nil: never pipelines
	notifyOnData         bool          // the watcher reports bytes, not only a hangup
	mayHaveUnread        bool          // bytes may be in the kernel's buffer
	sawReset             bool          // a look for such bytes found a reset, which the system reports once
	firstReadWaited      bool          // the first bytes of a request were not there yet when they were looked for
	unpipelinedResponses int           // responses in a row that no request had come behind

	hasUnrecordedRead atomic.Bool   // bytes were read that the connTable may not know of; any goroutine may look
	hangup            chan struct{} // closed by the watcher when the client may have gone
	hangupOnce        sync.Once
}

func newConn(raw net.Conn, a *acceptor) *conn {
	c := &conn{netConn: raw, acceptor: a, hangup: make(chan struct{})}
	c.entry.conn = c
	if s, ok := raw.(syscall.Conn); ok {
		if c.rawConn, _ = s.SyscallConn(); c.rawConn != nil {
			c.tryFirstRead = c.readFirstNonblocking
		}
	}
	return c
}

// serve answers a connection's requests, one after the other, until one side closes it.
func (f *Front) serve(c *conn) {
	c.front = f
	if d := f.cfg.Dialect; d != nil && d.CanPipeline != nil && c.rawConn != nil {
		c.dataArrived, c.notifyOnData = make(chan struct{}, 1), true
	}
	f.watcher.add(c)
	defer func() {
		if r := recover(); r != nil { // a fault in one request must not end all others
			f.logPanic(r)
		}
		f.watcher.remove(c)
		c.cancelPipelined()
		c.releasePipeline()
		if c.buffers != nil {
			c.buffers.release()
		}
		c.netConn.Close() // before it leaves the table, which says how many descriptors are free
		c.acceptor.remove(c)
	}()
	for c.serveNext() {
	}
}

func (f *Front) logPanic(r any) {
	f.cfg.Log.Error("connection goroutine panicked", "panic", r, "stack", string(debug.Stack()))
}

// serveNext reads one request and answers it. It returns false if the connection has to be closed.
func (c *conn) serveNext() bool {
	defer c.releasePermit()
	c.metrics, c.receivedAt, c.pipelinable = nil, 0, false
	if c.hasPipelined() {
		return c.finishRequest(c.serveOldestPipelined())
	}
	c.resumePipeline()
	if c.unreadStart == c.unreadEnd { // otherwise the next request's bytes came with the last one's
		c.unreadStart, c.unreadEnd = 0, 0
		if !c.readFirst() {
			return false
		}
	}
	c.acquirePermit()              // a request that came behind another waits for a permit too
	arrived := c.front.clock.Now() // the client's timeout began when it sent the request
	listed := c.acceptor.markBusy(c)
	c.hasUnrecordedRead.Store(false)
	if !listed {
		return false // closed to make room: its client finds the request unread and sends it again
	}
	size, ok := c.readHead()
	if !ok {
		return false
	}
	h := &c.buffers.head
	c.unreadStart += size
	if c.front.draining.Load() {
		h.Close = true
	}
	return c.finishRequest(c.serveRequest(h, arrived))
}

// finishRequest ends a request and returns whether its connection stays open.
func (c *conn) finishRequest(answered bool) bool {
	switch {
	case !answered:
		return false
	case c.buffers.head.Close && c.hasPipelined():
		// Its client is likely to go on sending, and a reset would cost it the response.
		c.cancelPipelined()
		c.lingeringClose(rejectLinger, maxLingerBytes)
		return false
	case c.buffers.head.Close:
		return false
	case c.hasPipelined():
		return true
	}
	if c.unreadStart == c.unreadEnd {
		c.onUnpipelinedResponse()
	}
	c.acceptor.markIdle(c)
	return true
}

// signalHangup reports that the client may have ended its side. The watcher calls it.
func (c *conn) signalHangup() { c.hangupOnce.Do(func() { close(c.hangup) }) }

// clientState is what a connection shows of its client.
type clientState int

const (
	clientPresent   clientState = iota // or it has sent what is not read yet
	clientEndedSide                    // it sends nothing more, and may still read
	clientReset                        // it neither sends nor reads any more
)

// clientState returns the state of a client that may have gone.
func (c *conn) clientState() clientState {
	if c.sawReset {
		return clientReset
	}
	state := clientReset
	err := c.rawConn.Control(func(fd uintptr) {
		n, err := stream.Peek(fd)
		switch {
		case n > 0, errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			state = clientPresent
		case err == nil:
			state = clientEndedSide
		}
	})
	if err != nil {
		return clientReset
	}
	return state
}

// clientGone returns whether a client that may have gone has: it reset the connection, or ended its side with all that
// it sent read. Where a further request, or a part of one, is unread it still waits for the responses before that.
func (c *conn) clientGone() bool {
	switch c.clientState() {
	case clientReset:
		return true
	case clientEndedSide:
		return c.unreadStart == c.unreadEnd
	}
	return false
}

// leftAlready returns whether the client of a request that was not forwarded yet has gone. It costs nothing while the
// watcher has told of no hangup.
func (c *conn) leftAlready() bool {
	select {
	case <-c.hangup:
		return c.clientGone()
	default:
		return false
	}
}
