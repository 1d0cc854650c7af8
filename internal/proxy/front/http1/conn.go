package http1

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
	"caperarch/internal/proxy/stream"
)

// lingerMost bounds in bytes what is read over behind a rejected request: several whole ones.
const maxLingerBytes = 512 << 10

// lingerWhole bounds the same behind an early answer: a client that sends so much within leaveTime looks for its answer soon enough.
const maxEarlyResponseLingerBytes = 64 << 20

// conn is one connection of a client, served by one goroutine. At rest it has no buffer: it waits in the poller, and
// takes a scratch with the first byte.
type conn struct {
	netConn  net.Conn
	rawConn  syscall.RawConn // nil: not a socket
	fd       int32
	front    *Front
	acceptor *acceptor
	entry    entry

	buffers      *buffers // nil: at rest
	unreadStart  int      // of what is unread in s.in
	unreadEnd    int
	firstReadErr error         // of the last first
	receivedAt   time.Duration // when what did not come whole at once was here
	tryFirstRead func(fd uintptr) bool

	// Where the front is shared, see gate:
	target           *Target      // whose its last request was
	permitGranted    chan bool    // gets an item with the permit: whether it is a spare one
	permits          *readPermits // that it has a permit of; nil: none
	permitFlow       int          // the flow that it was asked for
	sparePermit      bool         // it is a spare one
	bytesUnderPermit int          // read under it
	permitSince      time.Duration

	metrics *metrics.Class // that the answer under way counts for; nil: none

	// What is read ahead, see readAhead:
	pipeline             *pipeline     // nil: nothing has been since it rested
	pipelinable          bool          // the request whose turn it is may be open together with others
	dataArrived          chan struct{} // has an item where armed and bytes may have come; nil: nothing is ever read ahead
	notifyOnData         bool          // the watcher tells
	mayHaveUnread        bool          // bytes may be in the kernel's buffer
	firstReadWaited      bool          // the first bytes of a request were not there yet when they were looked for
	unpipelinedResponses int           // answers in a row that nothing had come behind

	hasUnrecordedRead atomic.Bool   // bytes were read that the books may not know of
	hangup            chan struct{} // closed when the client may have gone
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
		if r := recover(); r != nil { // one request's fault must not end all others
			f.logPanic(r)
		}
		f.watcher.remove(c)
		c.cancelPipelined()
		c.releasePipeline()
		if c.buffers != nil {
			c.buffers.release()
		}
		c.netConn.Close() // first: the books say what is free
		c.acceptor.remove(c)
	}()
	for c.serveNext() {
	}
}

func (f *Front) logPanic(r any) {
	f.cfg.Log.Error("a connection's goroutine panicked", "panic", r, "stack", string(debug.Stack()))
}

// hang takes that the client may have ended its side.
func (c *conn) signalHangup() { c.hangupOnce.Do(func() { close(c.hangup) }) }

// left says whether a client that may have gone has: it ended its side and nothing unread is left, or broke it.
func (c *conn) clientGone() bool {
	gone := true
	err := c.rawConn.Control(func(fd uintptr) {
		n, err := stream.Peek(fd)
		gone = n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || gone
}

// readOnce reads what is there, into a scratch that it takes for that; false: nothing is.
func (c *conn) readFirstNonblocking(fd uintptr) bool {
	s := takeBuffers()
	c.hasUnrecordedRead.Store(true)
	for {
		n, err := syscall.Read(int(fd), s.in)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			s.release()
			c.hasUnrecordedRead.Store(false)
			c.firstReadWaited = true
			return false
		}
		c.buffers, c.unreadStart, c.unreadEnd, c.firstReadErr = s, 0, max(n, 0), err
		return true
	}
}

// readable says whether there is something to read, the end included.
func (c *conn) hasInput(fd uintptr) bool {
	_, err := stream.Peek(fd)
	return !errors.Is(err, syscall.EAGAIN)
}

// speaks says whether bytes are here that the books don't know of. It is called from other goroutines.
func (c *conn) hasUnrecordedInput() bool {
	if c.rawConn == nil {
		return false
	}
	n := 0
	err := c.rawConn.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	// In this order: who takes the bytes out of the buffer has said so before.
	return err == nil && (n > 0 || c.hasUnrecordedRead.Load())
}

// read reads what comes next. What is there already is read under the permit, if there is one; it is given back for
// as long as nothing is.
func (c *conn) read(p []byte) (int, error) {
	if c.permits == nil || c.rawConn == nil {
		return c.netConn.Read(p)
	}
	n := 0
	var err error
	tried := c.rawConn.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		return true
	})
	if tried == nil && n > 0 {
		c.bytesUnderPermit += n
		return n, nil
	}
	c.releasePermit()
	if err := c.rawConn.Read(c.hasInput); err != nil {
		return 0, err
	}
	c.acquirePermit()
	n, err = c.netConn.Read(p)
	c.bytesUnderPermit += n
	return n, err
}

// first waits for the first bytes of a request. It holds no buffer until they are here.
func (c *conn) readFirst() bool {
	if c.buffers != nil {
		c.buffers.release()
		c.buffers = nil
	}
	c.releasePipeline()
	if c.rawConn != nil {
		c.firstReadWaited = false
		if c.front.readPermits.Load() != nil { // it waits for its turn with the bytes in the kernel's buffer
			if c.rawConn.Read(c.hasInput) != nil {
				return false
			}
			c.acquirePermit()
		}
		if c.rawConn.Read(c.tryFirstRead) != nil {
			return false
		}
		if !c.firstReadWaited {
			c.notePipelining()
		}
		return c.firstReadErr == nil && c.unreadEnd > 0
	}
	c.buffers = takeBuffers()
	n, err := c.netConn.Read(c.buffers.in)
	c.unreadStart, c.unreadEnd = 0, n
	return err == nil && n > 0
}

// next takes one request and answers it; false: the connection is to be closed.
func (c *conn) serveNext() bool {
	defer c.releasePermit()
	c.metrics, c.receivedAt, c.pipelinable = nil, 0, false
	if c.hasPipelined() {
		return c.finishRequest(c.serveOldestPipelined())
	}
	c.resumePipeline()
	if c.unreadStart == c.unreadEnd { // else the next request's bytes came with the last one's
		c.unreadStart, c.unreadEnd = 0, 0
		if !c.readFirst() {
			return false
		}
	}
	c.acquirePermit()              // a request that came behind another waits for its turn too
	arrived := c.front.clock.Now() // the client's time began when it sent
	listed := c.acceptor.markBusy(c)
	c.hasUnrecordedRead.Store(false)
	if !listed {
		return false // it was closed to make room: unread, its client takes that as a crossing
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

// goesOn takes that a request is over, and says whether its connection goes on.
func (c *conn) finishRequest(answered bool) bool {
	switch {
	case !answered:
		return false
	case c.buffers.head.Close && c.hasPipelined(): // its client is likely to go on sending, which must not cost it the answer
		c.cancelPipelined()
		c.lingeringClose(rejectLinger, maxLingerBytes)
		return false
	case c.buffers.head.Close:
		return false
	case c.hasPipelined():
		return true
	}
	if c.unreadStart == c.unreadEnd {
		c.noteUnpipelined()
	}
	c.acceptor.markIdle(c)
	return true
}

// head reads a head; what it can't be read as is answered.
func (c *conn) readHead() (size int, ok bool) {
	buffers, timed, limits := c.buffers, false, c.front.requestLimits()
	buffers.parser.SetLimit(limits.headBytes())
	buffers.head = h1.Head{Fields: buffers.head.Fields[:0]} // what can't be read is not answered by the last one's
	for {
		n, err := buffers.parser.Parse(buffers.in[c.unreadStart:c.unreadEnd], &buffers.head)
		if malformed := (*h1.Error)(nil); errors.As(err, &malformed) {
			c.reject(&Rejection{Status: malformed.Status, Reason: malformed.Reason})
			return 0, false
		}
		if n > 0 {
			if timed && !c.finishSlowRead() {
				return 0, false
			}
			return n, true
		}
		if !timed { // what doesn't come whole at once must not hold its place for ever
			timed = true
			_ = c.netConn.SetReadDeadline(time.Now().Add(cmp.Or(limits.HeadTime, headTimeout)))
			c.acceptor.markReading(c)
		}
		c.growInput(buffers.parser.MaxBytes())
		read, err := c.read(buffers.in[c.unreadEnd:])
		c.unreadEnd += read
		if read == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the head doesn't end"}))
			}
			return 0, false
		}
	}
}

// makeRoom has room in the buffer behind what is unread there, which is less than a longest head of so many bytes.
func (c *conn) growInput(maxBytes int) {
	buffers := c.buffers
	switch {
	case c.unreadStart > 0: // pipelined bytes move to the front
		c.unreadEnd = copy(buffers.in, buffers.in[c.unreadStart:c.unreadEnd])
		c.unreadStart = 0
	case c.unreadEnd == len(buffers.in):
		size := min(max(h1.DefaultMaxHeadBytes, 2*len(buffers.in)), max(h1.DefaultMaxHeadBytes, maxBytes))
		buffers.in = append(buffers.in, make([]byte, max(0, size-len(buffers.in)))...)
	}
}

// late is why a request that did not come whole in time is answered with an error: its own fault, unless it
// had to make room.
func (c *conn) timeoutRejection(otherwise *Rejection) *Rejection {
	if c.acceptor.isRemoved(c) {
		return &Rejection{Status: http.StatusServiceUnavailable, Reason: "too many requests are being read"}
	}
	return otherwise
}

// whole takes that a part of a request that came slowly is here; false: its connection had to make room, which is
// answered, as its client may have sent the last byte by now.
func (c *conn) finishSlowRead() bool {
	c.receivedAt = c.front.clock.Now()
	_ = c.netConn.SetReadDeadline(time.Time{})
	if c.acceptor.markBusy(c) {
		return true
	}
	c.reject(&Rejection{Status: http.StatusServiceUnavailable, Reason: "too many requests are being read"})
	return false
}

// request answers a request whose head is here. What can be refused is refused before its body is read.
func (c *conn) serveRequest(head *h1.Head, arrived time.Duration) bool {
	front := c.front
	if path, _, _ := strings.Cut(head.Target, "?"); front.cfg.Dialect == nil && path == "/up" && head.Method == http.MethodGet && head.Length <= 0 {
		status := http.StatusOK
		if !front.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		return c.writeResponse(&h1.Response{Status: status}, nil)
	}
	if head.Target == "*" { // of the server itself (RFC 9110, 9.3.7)
		return c.writeResponse(&h1.Response{Status: http.StatusOK, Header: http.Header{"Allow": {"GET, POST, OPTIONS"}}}, nil) && head.Length <= 0 && !head.Chunked
	}
	parsed := c.parseRequest(head)
	if rejection := parsed.rejection; rejection != nil {
		if rejection.KeepAlive && parsed.target != nil {
			return c.respondByHead(head, &h1.Response{Status: rejection.Status, RetryAfter: rejection.RetryAfter, Header: c.proxyHeaders(nil)})
		}
		return c.reject(rejection)
	}
	target, request := parsed.target, parsed.request
	classMetrics := target.classMetrics(request.Class)
	c.target, c.metrics = target, classMetrics
	c.acceptor.markRequest(c, &target.owner)
	if front.readPermits.Load() != nil && c.acceptor.overShare(c) { // a pool that has more than its part makes room for those that come
		return c.rejectOverloadByHead(head)
	}
	// What is held of the body at a time; of one in chunks nothing is known yet.
	length := min(max(head.Length, 0), call.BodyLimit+stream.WindowSize)
	if front.cfg.Dialect == nil {
		id := head.Get("X-Request-Id")
		if !target.registerID(id) {
			return c.reject(&Rejection{Status: http.StatusConflict, Reason: "a request of this X-Request-ID is open"})
		}
		defer target.unregisterID(id)
	}
	pending := pendingRequest{target: target, metrics: classMetrics, sharedLimits: target.sharedLimits.Load(), bodyBytes: length}
	if !pending.beginRead() { // bodies that come a byte at a time would hold all connections otherwise
		return c.rejectOverloadByHead(head)
	}
	defer pending.endRead()
	if !pending.hasCapacity() {
		return c.rejectOverloadByHead(head)
	}
	message := c.newMessage(head, &request)
	var body *bodyReader // of one that is passed on as it comes
	var ok bool
	if !head.Chunked && head.Length <= call.BodyLimit {
		message.Body, ok = c.readBody(head, int(length), parsed.timeout)
	} else if body, ok = c.readBodyPrefix(head, message, parsed.timeout); ok {
		pending.bodyBytes = int64(len(message.Body))
		if body != nil {
			pending.bodyBytes += stream.WindowSize
		}
	}
	if !ok {
		return false
	}
	arrived = max(arrived, c.receivedAt) // its time counts from its last byte, and that of one that is passed on from there on
	// Counted only now: clients that tell of a body and don't send it must not use up what the others
	// may hold. Until here the bounds on connections hold for them.
	defer pending.release(front)
	if !pending.reserve(front) {
		return c.rejectOverload(body)
	}
	pending.reply = make(chan call.Answer, 1)
	c.pipelinable = c.canPipeline(head, &request)
	c.releasePermit()
	pending.id = target.Engine.Ask(request, message, arrived+parsed.timeout, pending.reply)
	return c.awaitReply(&pending, body)
}

// conclude waits for the reply to the request whose turn it is, reads ahead meanwhile, and answers.
func (c *conn) awaitReply(pending *pendingRequest, body *bodyReader) bool {
	c.readPipelined() // what came with its head, or found no place before
	for hangup := c.hangup; ; {
		select {
		case reply := <-pending.reply:
			return c.respond(&reply, body)
		case <-c.dataArrived:
			if c.mayHaveUnread = true; c.readPipelined() {
				hangup = c.hangup // what it had waited with may be taken by now
			}
		case <-hangup:
			if c.unreadStart == c.unreadEnd && c.clientGone() { // with no answer: nobody is left to take it
				pending.target.Engine.Gone(pending.id)
				if c.pipelinable { // its answer may have been here before its turn
					discardReplies([]chan call.Answer{pending.reply})
				}
				return false
			}
			hangup = nil // more requests came before the end: it still waits for their answers
		case <-pending.target.Engine.Ended(): // its pool was taken away: what it had taken is answered by then
			select {
			case reply := <-pending.reply:
				return c.respond(&reply, body)
			default: // it never came to the module
				return c.rejectOverload(body)
			}
		}
	}
}

// bodyTime is how long a body, or what is held of it, may take once its head is here. Where the front has limits, none is on that: a request has the time that its client waits for it.
func (c *conn) bodyTimeout(timeout time.Duration) time.Duration {
	if c.front.cfg.RequestLimits == nil {
		return bodyTimeout
	}
	return max(bodyTimeout, timeout)
}

// body reads a body of the length that was told, within bodyTime; false: it did not come, which is answered.
func (c *conn) readBody(head *h1.Head, length int, timeout time.Duration) ([]byte, bool) {
	have := min(c.unreadEnd-c.unreadStart, length)
	if length == 0 {
		return nil, true
	}
	body := make([]byte, have, min(length, max(2*have, 2*bufferSize)))
	copy(body, c.buffers.in[c.unreadStart:c.unreadStart+have])
	c.unreadStart += have
	if have == length {
		return body, true
	}
	if head.ExpectContinue && have == 0 && c.write([]byte(h1.Continue), nil) != nil {
		return nil, false
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(c.bodyTimeout(timeout)))
	c.acceptor.markReading(c)
	reported := len(body)
	for len(body) < length {
		if len(body)-reported >= progressBytes {
			reported = len(body)
			c.acceptor.markProgress(c)
		}
		if len(body) == cap(body) { // no more memory than twice what has come
			grown := make([]byte, len(body), min(length, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		n, err := c.read(body[len(body):cap(body)])
		if body = body[:len(body)+n]; n == 0 {
			if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.timeoutRejection(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body is shorter than Content-Length"}))
			}
			return nil, false
		}
	}
	return body, c.finishSlowRead()
}

// begin reads what is held of a body that comes in chunks or is longer. The reader is nil where that was all of it; else the message's rest comes from it.
func (c *conn) readBodyPrefix(head *h1.Head, message *call.Message, timeout time.Duration) (*bodyReader, bool) {
	nothingYet := c.unreadStart == c.unreadEnd
	reader := c.newBodyReader(head)
	if head.ExpectContinue && nothingYet && c.write([]byte(h1.Continue), nil) != nil {
		return nil, false
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(c.bodyTimeout(timeout)))
	c.acceptor.markReading(c)
	body, complete, err := reader.readPrefix()
	if err != nil {
		if rejection := reader.rejectionFor(err); rejection != nil {
			c.reject(rejection)
		}
		return nil, false
	}
	message.Body = body
	if complete {
		reader.returnUnread()
		return nil, c.finishSlowRead()
	}
	if !c.finishSlowRead() {
		return nil, false
	}
	message.More = &call.Upload{Length: head.Length, Read: reader.Read}
	return reader, true
}

// behind sends the final answer of a request whose body may still be coming.
func (c *conn) respond(reply *call.Answer, reader *bodyReader) bool {
	if reader == nil {
		return c.writeReply(reply)
	}
	if reader.stop() {
		reader.returnUnread()
		return c.writeReply(reply)
	}
	c.buffers.head.Close = true // where its next request begins nobody knows
	_ = c.netConn.SetReadDeadline(time.Time{})
	if !c.writeReply(reply) {
		return false
	}
	c.lingeringClose(earlyResponseLinger, maxEarlyResponseLingerBytes)
	return false
}

// refuseBody refuses a request whose body may still be coming.
func (c *conn) rejectOverload(reader *bodyReader) bool {
	return c.respond(&call.Answer{Kind: call.Refused, Pause: time.Second, Unasked: true}, reader)
}

// refuseHead refuses a request by its head, at once. A body that is still to come is read over, so that the
// connection goes on; it is one of those that are being read as long as that takes. One that would take long ends the connection.
func (c *conn) rejectOverloadByHead(head *h1.Head) bool {
	reply := call.Answer{Kind: call.Refused, Pause: time.Second, Unasked: true}
	return c.respondByHead(head, &h1.Response{Status: http.StatusServiceUnavailable, RetryAfter: reply.Pause, Header: c.proxyHeaders(&reply)})
}

// turnAway answers a request by its head; see refuseHead.
func (c *conn) respondByHead(head *h1.Head, response *h1.Response) bool {
	have := int64(c.unreadEnd - c.unreadStart)
	if rest := head.Length - have; !head.Chunked && rest > call.BodyLimit || c.buffers.head.Close && (head.Chunked || rest > 0) {
		c.buffers.head.Close = true
		if c.writeResponse(response, nil) {
			c.lingeringClose(earlyResponseLinger, maxEarlyResponseLingerBytes)
		}
		return false
	}
	if !c.writeResponse(response, nil) {
		return false
	}
	if head.Length <= 0 && !head.Chunked {
		return true
	}
	reader := c.newBodyReader(head)
	_ = c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	c.acceptor.markReading(c)
	if !reader.discardRest() {
		return false
	}
	reader.returnUnread()
	return c.acceptor.markBusy(c)
}

// reject answers a request that can't be taken on and closes its connection: where it ends is not to be trusted.
func (c *conn) reject(rejection *Rejection) bool {
	response := h1.Response{Status: rejection.Status, Length: int64(len(rejection.Reason) + 1), PlainText: true, Close: true, Header: c.proxyHeaders(nil)}
	if rejection.Status == http.StatusServiceUnavailable { // nothing of it was sent: harmless to repeat
		response.RetryAfter = time.Second
	}
	if c.writeResponse(&response, []byte(rejection.Reason+"\n")) {
		c.lingeringClose(rejectLinger, maxLingerBytes)
	}
	return false
}

// linger ends our side and reads over what a client still sends, for a time and so many bytes: closed with
// something unread a connection is reset, and the client finds that instead of its answer (RFC 9112, 9.6).
// That is no place which others wait for: it goes first where room is short.
func (c *conn) lingeringClose(within time.Duration, maxBytes int64) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(within)) != nil {
		return
	}
	c.acceptor.markLingering(c)
	c.discardInput(maxBytes)
}

// readOver reads so many bytes over; false: they did not come.
func (c *conn) discardInput(remaining int64) bool {
	b := stream.Take()
	defer stream.Give(b)
	c.unreadStart, c.unreadEnd = 0, 0 // what was here is part of it
	for remaining > 0 {
		n, err := c.read(b[:min(remaining, stream.WindowSize)])
		if remaining -= int64(n); err != nil || n == 0 {
			return false
		}
	}
	return true
}

// final sends the final answer.
func (c *conn) writeReply(reply *call.Answer) bool {
	switch {
	case reply.Kind == call.Served && reply.Stream != nil:
		if body, ok := reply.Stream.(call.Body); ok {
			return c.streamResponse(reply, body)
		}
		reply.Stream.Close() // of another protocol's transport: a fault of ours
		return c.writeResponse(&h1.Response{Status: http.StatusBadGateway}, nil)
	case reply.Kind == call.Served:
		return c.writeResponse(&h1.Response{Status: cmp.Or(reply.Status, http.StatusOK), Header: reply.Header, Length: int64(len(reply.Body))}, reply.Body)
	case reply.Kind == call.Refused: // trying again is harmless, best after the pause
		return c.writeResponse(&h1.Response{Status: http.StatusServiceUnavailable, RetryAfter: reply.Pause, Header: c.proxyHeaders(reply)}, nil)
	case reply.Last != nil && c.front.cfg.Dialect != nil: // the server's own word
		return c.writeResponse(&h1.Response{Status: reply.Last.Status, Header: reply.Last.Header, Length: int64(len(reply.Last.Body))}, reply.Last.Body)
	case reply.TimedOut:
		return c.writeResponse(&h1.Response{Status: http.StatusGatewayTimeout, Header: c.proxyHeaders(reply)}, nil)
	}
	return c.writeResponse(&h1.Response{Status: http.StatusBadGateway, Header: c.proxyHeaders(reply)}, nil)
}

// own are the fields of an answer that is not a server's; nil for a rejection.
func (c *conn) proxyHeaders(reply *call.Answer) http.Header {
	if c.front.cfg.Dialect == nil {
		return nil
	}
	return c.front.cfg.Dialect.ProxyHeaders(&c.buffers.head, reply)
}

// answer sends an answer; false: the connection can't go on.
func (c *conn) writeResponse(response *h1.Response, body []byte) bool {
	if c.front.draining.Load() || c.front.readPermits.Load() != nil && c.acceptor.overShare(c) {
		c.buffers.head.Close = true // with this answer
	}
	response.Close = response.Close || c.buffers.head.Close
	response.Date = dateNow(c.front.clock.Now())
	c.buffers.out = response.Append(c.buffers.out[:0])
	if err := c.write(c.buffers.out, body); err != nil {
		c.front.cfg.Log.Debug("an answer was not taken", "error", err, slog.Int("status", response.Status))
		return false
	}
	c.metrics.Handled(outcomeOf(response.Status))
	c.metrics = nil // one request has one
	return true
}

// outcome is what a client takes a status for.
func outcomeOf(status int) metrics.Outcome {
	switch status {
	case http.StatusOK:
		return metrics.Passed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return metrics.Dropped
	}
	return metrics.BadGateway
}

// write sends head and body in one system call where the client takes that at once, and waits for answerTime at most.
func (c *conn) write(head, body []byte) error {
	if len(head)+len(body) <= 2*bufferSize {
		head, body = append(head, body...), nil
	}
	if c.rawConn != nil && body == nil { // with no deadline to set and take back
		var n int
		err := c.rawConn.Write(func(fd uintptr) bool {
			for {
				var err error
				if n, err = syscall.Write(int(fd), head); !errors.Is(err, syscall.EINTR) {
					return true
				}
			}
		})
		if n == len(head) {
			return nil
		}
		if err != nil {
			return err
		}
		head = head[max(n, 0):] // an error comes again
	}
	c.releasePermit() // the client takes its time
	if err := c.netConn.SetWriteDeadline(time.Now().Add(responseWriteTimeout)); err != nil {
		return err
	}
	defer c.netConn.SetWriteDeadline(time.Time{})
	buffers := net.Buffers{head}
	if body != nil {
		buffers = append(buffers, body)
	}
	_, err := buffers.WriteTo(c.netConn)
	return err
}
