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

// conn is one client connection. One goroutine serves it (see Front.serve) and owns all fields, except where a
// field's comment names a lock or other goroutines. An idle connection holds no buffers: its goroutine waits in the
// runtime's network poller and acquires buffers when the first bytes of a request are received.
type conn struct {
	netConn  net.Conn
	rawConn  syscall.RawConn // nil: the connection is not a socket
	fd       int32           // file descriptor, set once by the watcher
	front    *Front
	acceptor *acceptor
	entry    entry // the connection's entry in the connTable; guarded by the acceptor's lock

	buffers      *buffers // nil: the connection is idle
	unreadStart  int      // buffers.in[unreadStart:unreadEnd] is read from the client but not parsed yet
	unreadEnd    int
	firstReadErr error                 // error of the last read for the first bytes of a request
	receivedAt   time.Duration         // when the last part of a request was received; 0: it came in one part
	tryFirstRead func(fd uintptr) bool // readFirstNonblocking, bound once to avoid an allocation per read

	// Used where several targets share the front, see readPermits:
	target           *Target       // target of the last request; nil: no request yet
	permitGranted    chan bool     // receives an item when a permit is granted: true for a spare permit
	permits          *readPermits  // source of the permit that is held; nil: no permit is held
	permitFlow       int           // flow that the permit was requested for
	sparePermit      bool          // the permit is a spare one
	bytesUnderPermit int           // bytes read while the permit is held
	permitSince      time.Duration // when the permit was acquired

	metrics *metrics.Class // metrics that count the outcome of the current response; nil: not counted

	// Pipelining, see pipelining.go:
	pipeline             *pipeline     // nil: no request was read ahead since the connection was last idle
	pipelinable          bool          // the current request may be open together with other requests of this connection
	dataArrived          chan struct{} // receives an item when bytes may have arrived; nil: no pipelining
	notifyOnData         bool          // the watcher reports arrived bytes in addition to hangups
	mayHaveUnread        bool          // the kernel's receive buffer may hold unread bytes
	sawReset             bool          // readAvailable found a connection reset, which the system reports only once
	firstReadWaited      bool          // the goroutine had to wait for the first bytes of the request
	unpipelinedResponses int           // consecutive responses with no further request received behind them

	hasUnrecordedRead atomic.Bool   // bytes were read that the connTable may not know of yet; any goroutine may read it
	hangup            chan struct{} // closed by the watcher when the client may have left
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

// serve serves the requests of a connection one after the other, until the client or the proxy closes it.
func (f *Front) serve(c *conn) {
	c.front = f
	if d := f.cfg.Dialect; d != nil && d.CanPipeline != nil && c.rawConn != nil {
		c.dataArrived, c.notifyOnData = make(chan struct{}, 1), true
	}
	f.watcher.add(c)
	defer func() {
		if r := recover(); r != nil { // a panic in one request must not end the process and all other requests
			f.logPanic(r)
		}
		f.watcher.remove(c)
		c.cancelPipelined()
		c.releasePipeline()
		if c.buffers != nil {
			c.buffers.release()
		}
		c.netConn.Close() // before remove, so that a free place in the table means a free descriptor
		c.acceptor.remove(c)
	}()
	for c.serveNext() {
	}
}

func (f *Front) logPanic(r any) {
	f.cfg.Log.Error("connection goroutine panicked", "panic", r, "stack", string(debug.Stack()))
}

// serveNext reads one request and responds to it. It returns false if the connection has to be closed.
func (c *conn) serveNext() bool {
	defer c.releasePermit()
	c.metrics, c.receivedAt, c.pipelinable = nil, 0, false
	if c.hasPipelined() {
		return c.finishRequest(c.serveOldestPipelined())
	}
	c.resumePipeline()
	if c.unreadStart == c.unreadEnd { // otherwise bytes of this request were read together with the previous request
		c.unreadStart, c.unreadEnd = 0, 0
		if !c.readFirst() {
			return false
		}
	}
	c.acquirePermit()              // bytes that came with the previous request skipped readFirst and its permit
	arrived := c.front.clock.Now() // the client's timeout began when it sent the request
	inTable := c.acceptor.markBusy(c)
	c.hasUnrecordedRead.Store(false)
	if !inTable {
		return false // the connection was evicted; the client sees its request unread and sends it again
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

// finishRequest ends a request, and returns whether its connection stays open.
func (c *conn) finishRequest(canStayOpen bool) bool {
	switch {
	case !canStayOpen:
		return false
	case c.buffers.head.Close && c.hasPipelined():
		// The client is likely to send more, and a connection reset would make it lose the response.
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

// signalHangup reports that the client may have closed its side of the connection. The watcher calls it.
func (c *conn) signalHangup() { c.hangupOnce.Do(func() { close(c.hangup) }) }

// clientState is the state of a client as far as its connection shows it.
type clientState int

const (
	clientPresent   clientState = iota // the client has not closed its side, or bytes that it sent are still unread
	clientEndedSide                    // the client closed its sending side; it may still read responses
	clientReset                        // the client reset the connection; it neither sends nor reads any more
)

// clientState returns the state of a client that the watcher reported as possibly gone.
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

// clientGone returns whether the client has left: it reset the connection, or it closed its sending side and all that
// it sent is read. A client with an unread request, or an unread part of one, still waits for the responses to the
// requests before it.
func (c *conn) clientGone() bool {
	switch c.clientState() {
	case clientReset:
		return true
	case clientEndedSide:
		return c.unreadStart == c.unreadEnd
	}
	return false
}

// clientAlreadyGone returns whether the client left before its request was forwarded. It makes no system call unless
// the watcher has reported a hangup.
func (c *conn) clientAlreadyGone() bool {
	select {
	case <-c.hangup:
		return c.clientGone()
	default:
		return false
	}
}
