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
const lingerMost = 512 << 10

// lingerWhole bounds the same behind an early answer: a client that sends so much within leaveTime looks for its answer soon enough.
const lingerWhole = 64 << 20

// conn is one connection of a client, served by one goroutine. At rest it has no buffer: it waits in the poller, and
// takes a scratch with the first byte.
type conn struct {
	net   net.Conn
	raw   syscall.RawConn // nil: not a socket
	fd    int32
	front *Front
	a     *acceptor
	entry entry

	s       *scratch // nil: at rest
	start   int      // of what is unread in s.in
	end     int
	err     error         // of the last first
	wholeAt time.Duration // when what did not come whole at once was here
	try     func(fd uintptr) bool

	// Where the front is shared, see gate:
	of      *Target   // whose its last request was
	permit  chan bool // gets an item with the permit: whether it is a spare one
	in      *gate     // that it has a permit of; nil: none
	asked   int       // the flow that it was asked for
	spare   bool      // it is a spare one
	bytes   int       // read under it
	entered time.Duration

	counts *metrics.Class // that the answer under way counts for; nil: none

	// What is read ahead, see readAhead:
	line   *line         // nil: nothing has been since it rested
	along  bool          // the request whose turn it is may be open together with others
	more   chan struct{} // has an item where armed and bytes may have come; nil: nothing is ever read ahead
	armed  bool          // the watcher tells
	unread bool          // bytes may be in the kernel's buffer
	waited bool          // the first bytes of a request were not there yet when they were looked for
	alone  int           // answers in a row that nothing had come behind

	taken    atomic.Bool   // bytes were read that the books may not know of
	hung     chan struct{} // closed when the client may have gone
	hangOnce sync.Once
}

func newConn(raw net.Conn, a *acceptor) *conn {
	c := &conn{net: raw, a: a, hung: make(chan struct{})}
	c.entry.conn = c
	if s, ok := raw.(syscall.Conn); ok {
		if c.raw, _ = s.SyscallConn(); c.raw != nil {
			c.try = c.readOnce
		}
	}
	return c
}

// serve answers a connection's requests, one after the other, until one side closes it.
func (f *Front) serve(c *conn) {
	c.front = f
	if d := f.cfg.Dialect; d != nil && d.CanPipeline != nil && c.raw != nil {
		c.more, c.armed = make(chan struct{}, 1), true
	}
	f.watch.add(c)
	defer func() {
		if r := recover(); r != nil { // one request's fault must not end all others
			f.panicked(r)
		}
		f.watch.remove(c)
		c.callOff()
		c.freeLine()
		if c.s != nil {
			c.s.free()
		}
		c.net.Close() // first: the books say what is free
		c.a.ended(c)
	}()
	for c.next() {
	}
}

func (f *Front) panicked(r any) {
	f.cfg.Log.Error("a connection's goroutine panicked", "panic", r, "stack", string(debug.Stack()))
}

// hang takes that the client may have ended its side.
func (c *conn) hang() { c.hangOnce.Do(func() { close(c.hung) }) }

// left says whether a client that may have gone has: it ended its side and nothing unread is left, or broke it.
func (c *conn) left() bool {
	gone := true
	err := c.raw.Control(func(fd uintptr) {
		n, err := stream.Peek(fd)
		gone = n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || gone
}

// readOnce reads what is there, into a scratch that it takes for that; false: nothing is.
func (c *conn) readOnce(fd uintptr) bool {
	s := takeScratch()
	c.taken.Store(true)
	for {
		n, err := syscall.Read(int(fd), s.in)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			s.free()
			c.taken.Store(false)
			c.waited = true
			return false
		}
		c.s, c.start, c.end, c.err = s, 0, max(n, 0), err
		return true
	}
}

// readable says whether there is something to read, the end included.
func (c *conn) readable(fd uintptr) bool {
	_, err := stream.Peek(fd)
	return !errors.Is(err, syscall.EAGAIN)
}

// speaks says whether bytes are here that the books don't know of. It is called from other goroutines.
func (c *conn) speaks() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	err := c.raw.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	// In this order: who takes the bytes out of the buffer has said so before.
	return err == nil && (n > 0 || c.taken.Load())
}

// read reads what comes next. What is there already is read under the permit, if there is one; it is given back for
// as long as nothing is.
func (c *conn) read(p []byte) (int, error) {
	if c.in == nil || c.raw == nil {
		return c.net.Read(p)
	}
	n := 0
	var err error
	tried := c.raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		return true
	})
	if tried == nil && n > 0 {
		c.bytes += n
		return n, nil
	}
	c.leave()
	if err := c.raw.Read(c.readable); err != nil {
		return 0, err
	}
	c.enter()
	n, err = c.net.Read(p)
	c.bytes += n
	return n, err
}

// first waits for the first bytes of a request. It holds no buffer until they are here.
func (c *conn) first() bool {
	if c.s != nil {
		c.s.free()
		c.s = nil
	}
	c.freeLine()
	if c.raw != nil {
		c.waited = false
		if c.front.gate.Load() != nil { // it waits for its turn with the bytes in the kernel's buffer
			if c.raw.Read(c.readable) != nil {
				return false
			}
			c.enter()
		}
		if c.raw.Read(c.try) != nil {
			return false
		}
		if !c.waited {
			c.pipelines()
		}
		return c.err == nil && c.end > 0
	}
	c.s = takeScratch()
	n, err := c.net.Read(c.s.in)
	c.start, c.end = 0, n
	return err == nil && n > 0
}

// next takes one request and answers it; false: the connection is to be closed.
func (c *conn) next() bool {
	defer c.leave()
	c.counts, c.wholeAt, c.along = nil, 0, false
	if c.waiting() {
		return c.goesOn(c.inTurn())
	}
	c.unblock()
	if c.start == c.end { // else the next request's bytes came with the last one's
		c.start, c.end = 0, 0
		if !c.first() {
			return false
		}
	}
	c.enter()                      // a request that came behind another waits for its turn too
	arrived := c.front.clock.Now() // the client's time began when it sent
	known := c.a.busy(c)
	c.taken.Store(false)
	if !known {
		return false // it was closed to make room: unread, its client takes that as a crossing
	}
	size, ok := c.head()
	if !ok {
		return false
	}
	h := &c.s.head
	c.start += size
	if c.front.draining.Load() {
		h.Close = true
	}
	return c.goesOn(c.request(h, arrived))
}

// goesOn takes that a request is over, and says whether its connection goes on.
func (c *conn) goesOn(answered bool) bool {
	switch {
	case !answered:
		return false
	case c.s.head.Close && c.waiting(): // its client is likely to go on sending, which must not cost it the answer
		c.callOff()
		c.linger(rejectTime, lingerMost)
		return false
	case c.s.head.Close:
		return false
	case c.waiting():
		return true
	}
	if c.start == c.end {
		c.calm()
	}
	c.a.rest(c)
	return true
}

// head reads a head; what it can't be read as is answered.
func (c *conn) head() (size int, ok bool) {
	s, timed, limits := c.s, false, c.front.limits()
	s.parser.SetLimit(limits.headBytes())
	s.head = h1.Head{Fields: s.head.Fields[:0]} // what can't be read is not answered by the last one's
	for {
		n, err := s.parser.Parse(s.in[c.start:c.end], &s.head)
		if bad := (*h1.Error)(nil); errors.As(err, &bad) {
			c.reject(&Rejection{Status: bad.Status, Reason: bad.Reason})
			return 0, false
		}
		if n > 0 {
			if timed && !c.whole() {
				return 0, false
			}
			return n, true
		}
		if !timed { // what doesn't come whole at once must not hold its place for ever
			timed = true
			_ = c.net.SetReadDeadline(time.Now().Add(cmp.Or(limits.HeadTime, headerTime)))
			c.a.unread(c)
		}
		c.makeRoom(s.parser.MaxBytes())
		read, err := c.read(s.in[c.end:])
		c.end += read
		if read == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.late(&Rejection{Status: http.StatusRequestTimeout, Reason: "the head doesn't end"}))
			}
			return 0, false
		}
	}
}

// makeRoom has room in the buffer behind what is unread there, which is less than a longest head of so many bytes.
func (c *conn) makeRoom(most int) {
	s := c.s
	switch {
	case c.start > 0: // pipelined bytes move to the front
		c.end = copy(s.in, s.in[c.start:c.end])
		c.start = 0
	case c.end == len(s.in):
		size := min(max(h1.DefaultMaxHeadBytes, 2*len(s.in)), max(h1.DefaultMaxHeadBytes, most))
		s.in = append(s.in, make([]byte, max(0, size-len(s.in)))...)
	}
}

// late is why a request that did not come whole in time is answered with an error: its own fault, unless it
// had to make room.
func (c *conn) late(own *Rejection) *Rejection {
	if c.a.isGone(c) {
		return &Rejection{Status: http.StatusServiceUnavailable, Reason: "too many requests are being read"}
	}
	return own
}

// whole takes that a part of a request that came slowly is here; false: its connection had to make room, which is
// answered, as its client may have sent the last byte by now.
func (c *conn) whole() bool {
	c.wholeAt = c.front.clock.Now()
	_ = c.net.SetReadDeadline(time.Time{})
	if c.a.busy(c) {
		return true
	}
	c.reject(&Rejection{Status: http.StatusServiceUnavailable, Reason: "too many requests are being read"})
	return false
}

// request answers a request whose head is here. What can be refused is refused before its body is read.
func (c *conn) request(h *h1.Head, arrived time.Duration) bool {
	f := c.front
	if path, _, _ := strings.Cut(h.Target, "?"); f.cfg.Dialect == nil && path == "/up" && h.Method == http.MethodGet && h.Length <= 0 {
		status := http.StatusOK
		if !f.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		return c.answer(&h1.Response{Status: status}, nil)
	}
	if h.Target == "*" { // of the server itself (RFC 9110, 9.3.7)
		return c.answer(&h1.Response{Status: http.StatusOK, Header: http.Header{"Allow": {"GET, POST, OPTIONS"}}}, nil) && h.Length <= 0 && !h.Chunked
	}
	v := c.look(h)
	if bad := v.bad; bad != nil {
		if bad.KeepAlive && v.t != nil {
			return c.turnAway(h, &h1.Response{Status: bad.Status, RetryAfter: bad.RetryAfter, Header: c.own(nil)})
		}
		return c.reject(bad)
	}
	t, q := v.t, v.q
	counts := t.class(q.Class)
	c.of, c.counts = t, counts
	c.a.asked(c, &t.owner)
	if f.gate.Load() != nil && c.a.crowded(c) { // a pool that has more than its part makes room for those that come
		return c.refuseHead(h)
	}
	// What is held of the body at a time; of one in chunks nothing is known yet.
	length := min(max(h.Length, 0), call.MaxBufferedBody+stream.WindowSize)
	if f.cfg.Dialect == nil {
		id := h.Get("X-Request-Id")
		if !t.enter(id) {
			return c.reject(&Rejection{Status: http.StatusConflict, Reason: "a request of this X-Request-ID is open"})
		}
		defer t.leave(id)
	}
	o := open{t: t, counts: counts, walls: t.walls.Load(), size: length}
	if !o.enter() { // bodies that come a byte at a time would hold all connections otherwise
		return c.refuseHead(h)
	}
	defer o.exit()
	if !o.room() {
		return c.refuseHead(h)
	}
	m := c.message(h, &q)
	var body *bodyReader // of one that is passed on as it comes
	var ok bool
	if !h.Chunked && h.Length <= call.MaxBufferedBody {
		m.Body, ok = c.body(h, int(length), v.left)
	} else if body, ok = c.begin(h, m, v.left); ok {
		o.size = int64(len(m.Body))
		if body != nil {
			o.size += stream.WindowSize
		}
	}
	if !ok {
		return false
	}
	arrived = max(arrived, c.wholeAt) // its time counts from its last byte, and that of one that is passed on from there on
	// Counted only now: clients that tell of a body and don't send it must not use up what the others
	// may hold. Until here the bounds on connections hold for them.
	defer o.give(f)
	if !o.take(f) {
		return c.refuseBody(body)
	}
	o.reply = make(chan call.Answer, 1)
	c.along = c.alongside(h, &q)
	c.leave()
	o.number = t.Engine.Submit(q, m, arrived+v.left, o.reply)
	return c.conclude(&o, body)
}

// conclude waits for the reply to the request whose turn it is, reads ahead meanwhile, and answers.
func (c *conn) conclude(o *open, body *bodyReader) bool {
	c.readAhead() // what came with its head, or found no place before
	for hung := c.hung; ; {
		select {
		case a := <-o.reply:
			return c.behind(&a, body)
		case <-c.more:
			if c.unread = true; c.readAhead() {
				hung = c.hung // what it had waited with may be taken by now
			}
		case <-hung:
			if c.start == c.end && c.left() { // with no answer: nobody is left to take it
				o.t.Engine.ClientGone(o.number)
				if c.along { // its answer may have been here before its turn
					forget([]chan call.Answer{o.reply})
				}
				return false
			}
			hung = nil // more requests came before the end: it still waits for their answers
		case <-o.t.Engine.Done(): // its pool was taken away: what it had taken is answered by then
			select {
			case a := <-o.reply:
				return c.behind(&a, body)
			default: // it never came to the module
				return c.refuseBody(body)
			}
		}
	}
}

// bodyTime is how long a body, or what is held of it, may take once its head is here. Where the front has limits, none is on that: a request has the time that its client waits for it.
func (c *conn) bodyTime(left time.Duration) time.Duration {
	if c.front.cfg.RequestLimits == nil {
		return bodyTime
	}
	return max(bodyTime, left)
}

// body reads a body of the length that was told, within bodyTime; false: it did not come, which is answered.
func (c *conn) body(h *h1.Head, length int, left time.Duration) ([]byte, bool) {
	have := min(c.end-c.start, length)
	if length == 0 {
		return nil, true
	}
	body := make([]byte, have, min(length, max(2*have, 2*scratchSize)))
	copy(body, c.s.in[c.start:c.start+have])
	c.start += have
	if have == length {
		return body, true
	}
	if h.ExpectContinue && have == 0 && c.write([]byte(h1.Continue), nil) != nil {
		return nil, false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(c.bodyTime(left)))
	c.a.unread(c)
	moved := len(body)
	for len(body) < length {
		if len(body)-moved >= goodPiece {
			moved = len(body)
			c.a.moves(c)
		}
		if len(body) == cap(body) { // no more memory than twice what has come
			grown := make([]byte, len(body), min(length, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		n, err := c.read(body[len(body):cap(body)])
		if body = body[:len(body)+n]; n == 0 {
			if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.late(&Rejection{Status: http.StatusRequestTimeout, Reason: "the body is shorter than Content-Length"}))
			}
			return nil, false
		}
	}
	return body, c.whole()
}

// begin reads what is held of a body that comes in chunks or is longer. The reader is nil where that was all of it; else the message's rest comes from it.
func (c *conn) begin(h *h1.Head, m *call.Message, left time.Duration) (*bodyReader, bool) {
	none := c.start == c.end
	b := c.newBodyReader(h)
	if h.ExpectContinue && none && c.write([]byte(h1.Continue), nil) != nil {
		return nil, false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(c.bodyTime(left)))
	c.a.unread(c)
	body, whole, err := b.prefix()
	if err != nil {
		if bad := b.fault(err); bad != nil {
			c.reject(bad)
		}
		return nil, false
	}
	m.Body = body
	if whole {
		b.giveBack()
		return nil, c.whole()
	}
	if !c.whole() {
		return nil, false
	}
	m.Upload = &call.Upload{Length: h.Length, Read: b.Read}
	return b, true
}

// behind sends the final answer of a request whose body may still be coming.
func (c *conn) behind(a *call.Answer, body *bodyReader) bool {
	if body == nil {
		return c.final(a)
	}
	if body.stop() {
		body.giveBack()
		return c.final(a)
	}
	c.s.head.Close = true // where its next request begins nobody knows
	_ = c.net.SetReadDeadline(time.Time{})
	if !c.final(a) {
		return false
	}
	c.linger(leaveTime, lingerWhole)
	return false
}

// refuseBody refuses a request whose body may still be coming.
func (c *conn) refuseBody(body *bodyReader) bool {
	return c.behind(&call.Answer{Kind: call.Refused, RetryAfter: time.Second, RejectedByFront: true}, body)
}

// refuseHead refuses a request by its head, at once. A body that is still to come is read over, so that the
// connection goes on; it is one of those that are being read as long as that takes. One that would take long ends the connection.
func (c *conn) refuseHead(h *h1.Head) bool {
	a := call.Answer{Kind: call.Refused, RetryAfter: time.Second, RejectedByFront: true}
	return c.turnAway(h, &h1.Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Header: c.own(&a)})
}

// turnAway answers a request by its head; see refuseHead.
func (c *conn) turnAway(h *h1.Head, a *h1.Response) bool {
	have := int64(c.end - c.start)
	if rest := h.Length - have; !h.Chunked && rest > call.MaxBufferedBody || c.s.head.Close && (h.Chunked || rest > 0) {
		c.s.head.Close = true
		if c.answer(a, nil) {
			c.linger(leaveTime, lingerWhole)
		}
		return false
	}
	if !c.answer(a, nil) {
		return false
	}
	if h.Length <= 0 && !h.Chunked {
		return true
	}
	b := c.newBodyReader(h)
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTime))
	c.a.unread(c)
	if !b.over() {
		return false
	}
	b.giveBack()
	return c.a.busy(c)
}

// reject answers a request that can't be taken on and closes its connection: where it ends is not to be trusted.
func (c *conn) reject(bad *Rejection) bool {
	a := h1.Response{Status: bad.Status, Length: int64(len(bad.Reason) + 1), PlainText: true, Close: true, Header: c.own(nil)}
	if bad.Status == http.StatusServiceUnavailable { // nothing of it was sent: harmless to repeat
		a.RetryAfter = time.Second
	}
	if c.answer(&a, []byte(bad.Reason+"\n")) {
		c.linger(rejectTime, lingerMost)
	}
	return false
}

// linger ends our side and reads over what a client still sends, for a time and so many bytes: closed with
// something unread a connection is reset, and the client finds that instead of its answer (RFC 9112, 9.6).
// That is no place which others wait for: it goes first where room is short.
func (c *conn) linger(within time.Duration, most int64) {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(within)) != nil {
		return
	}
	c.a.last(c)
	c.readOver(most)
}

// readOver reads so many bytes over; false: they did not come.
func (c *conn) readOver(rest int64) bool {
	b := stream.AcquireWindow()
	defer stream.ReleaseWindow(b)
	c.start, c.end = 0, 0 // what was here is part of it
	for rest > 0 {
		n, err := c.read(b[:min(rest, stream.WindowSize)])
		if rest -= int64(n); err != nil || n == 0 {
			return false
		}
	}
	return true
}

// final sends the final answer.
func (c *conn) final(a *call.Answer) bool {
	switch {
	case a.Kind == call.Served && a.Stream != nil:
		if body, ok := a.Stream.(call.Body); ok {
			return c.pass(a, body)
		}
		a.Stream.Close() // of another protocol's transport: a fault of ours
		return c.answer(&h1.Response{Status: http.StatusBadGateway}, nil)
	case a.Kind == call.Served:
		return c.answer(&h1.Response{Status: cmp.Or(a.Status, http.StatusOK), Header: a.Header, Length: int64(len(a.Body))}, a.Body)
	case a.Kind == call.Refused: // trying again is harmless, best after the pause
		return c.answer(&h1.Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Header: c.own(a)}, nil)
	case a.LastResult != nil && c.front.cfg.Dialect != nil: // the server's own word
		return c.answer(&h1.Response{Status: a.LastResult.Status, Header: a.LastResult.Header, Length: int64(len(a.LastResult.Body))}, a.LastResult.Body)
	case a.TimedOut:
		return c.answer(&h1.Response{Status: http.StatusGatewayTimeout, Header: c.own(a)}, nil)
	}
	return c.answer(&h1.Response{Status: http.StatusBadGateway, Header: c.own(a)}, nil)
}

// own are the fields of an answer that is not a server's; nil for a rejection.
func (c *conn) own(a *call.Answer) http.Header {
	if c.front.cfg.Dialect == nil {
		return nil
	}
	return c.front.cfg.Dialect.ProxyHeaders(&c.s.head, a)
}

// answer sends an answer; false: the connection can't go on.
func (c *conn) answer(a *h1.Response, body []byte) bool {
	if c.front.draining.Load() || c.front.gate.Load() != nil && c.a.crowded(c) {
		c.s.head.Close = true // with this answer
	}
	a.Close = a.Close || c.s.head.Close
	a.Date = dateNow(c.front.clock.Now())
	c.s.out = a.Append(c.s.out[:0])
	if err := c.write(c.s.out, body); err != nil {
		c.front.cfg.Log.Debug("an answer was not taken", "error", err, slog.Int("status", a.Status))
		return false
	}
	c.counts.Handled(outcome(a.Status))
	c.counts = nil // one request has one
	return true
}

// outcome is what a client takes a status for.
func outcome(status int) metrics.Outcome {
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
	if len(head)+len(body) <= 2*scratchSize {
		head, body = append(head, body...), nil
	}
	if c.raw != nil && body == nil { // with no deadline to set and take back
		var n int
		err := c.raw.Write(func(fd uintptr) bool {
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
	c.leave() // the client takes its time
	if err := c.net.SetWriteDeadline(time.Now().Add(answerTime)); err != nil {
		return err
	}
	defer c.net.SetWriteDeadline(time.Time{})
	buffers := net.Buffers{head}
	if body != nil {
		buffers = append(buffers, body)
	}
	_, err := buffers.WriteTo(c.net)
	return err
}
