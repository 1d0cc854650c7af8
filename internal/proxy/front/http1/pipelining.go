package http1

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// Where a Dialect says so, requests that come behind one that is still open (RFC 9112, 9.3.2) are worked on at the same time, and answered in their order.
//
// It is still the connection's one goroutine that reads, asks and answers: while it waits for the reply whose turn it is, it also waits for c.more, on which the
// watcher tells that bytes have come, and reads those without waiting. So scratch, line and books have one user, and a connection needs no second goroutine. Only
// while an answer is passed on as it comes the goroutine is busy with that; then the one that pass has for the client's leaving reads on, and is waited for.
//
// The watcher's word costs a wake-up for each request, so it is asked for only where it is of use: on a new connection, and on one whose client was seen to
// pipeline (bytes of the next request came with a head, or were there when its answer had been written). After aloneMost answers with nothing behind them the
// connection is one of those again that cost nothing beyond a look at a nil channel.

const (
	// aheadMost bounds how many requests are open on a connection behind the one whose turn it is: one client must not take the places of all, and answers that
	// wait for their turn are held in memory.
	maxPipelined = 8
	// aloneMost is how many answers in a row have nothing behind them before a client is taken for one that does not pipeline: the watcher must not be woken for all requests for good.
	maxUnpipelinedResponses = 4
	// dropAfter is when a request that was called off is looked at once more: an answer that crossed that may hold a server's connection. The engine takes what it is told in far less.
	lateReplyDelay = 5 * time.Second
)

// open is a request that is taken on and has no answer yet.
type pendingRequest struct {
	target       *Target
	metrics      *metrics.Class
	sharedLimits *SharedLimits // nil: there are none
	bodyBytes    int64         // of what is held of its body
	id           policy.RequestID
	reply        chan call.Answer

	reservedAtTarget bool // it has its place at the target
	reserved         bool // it has all its places
}

// enter takes the place for being read, or says that there is none.
func (o *pendingRequest) beginRead() bool {
	return o.sharedLimits == nil || (*o.sharedLimits).BeginRead()
}

// exit gives it back.
func (o *pendingRequest) endRead() {
	if o.sharedLimits != nil {
		(*o.sharedLimits).EndRead()
	}
}

// room says whether take would find places now.
func (o *pendingRequest) hasCapacity() bool {
	return o.target.hasCapacity(1, o.bodyBytes) && (o.sharedLimits == nil || (*o.sharedLimits).HasCapacity(o.bodyBytes))
}

// take takes its places, or says that one is missing; give is called either way.
func (o *pendingRequest) reserve(f *Front) bool {
	if o.reservedAtTarget = o.target.reserve(o.bodyBytes); !o.reservedAtTarget || o.sharedLimits != nil && !(*o.sharedLimits).Reserve(o.bodyBytes) {
		return false
	}
	o.reserved = true
	f.openRequests.Add(1)
	o.metrics.Began()
	return true
}

// give gives back what it has taken.
func (o *pendingRequest) release(f *Front) {
	if o.reserved {
		o.metrics.Ended()
		f.openRequests.Add(-1)
		if o.sharedLimits != nil {
			(*o.sharedLimits).Release(o.bodyBytes)
		}
	}
	if o.reservedAtTarget {
		o.target.release(o.bodyBytes)
	}
}

// look is what a request says of itself.
type parsedRequest struct {
	target    *Target // nil: it goes nowhere, bad says why
	request   policy.Request
	timeout   time.Duration
	rejection *Rejection
}

// slot is a place in a line.
type pipelinedRequest struct {
	pendingRequest
	head h1.Head
}

// line is what is open on a connection behind the request whose turn it is. A connection has one only from the first such request until it rests.
type pipeline struct {
	requests  [maxPipelined]pipelinedRequest
	first     int // whose turn is next
	count     int // that are open
	parser    h1.Parser
	blocked   bool          // what comes next waits until all that is open has its answer, and is served alone
	hasParsed bool          // that was looked at already: a second look would count twice, at a quota for one
	parsed    parsedRequest // what it said
}

// lines are those that no connection has.
var pipelinePool = sync.Pool{New: func() any { return new(pipeline) }}

// pop takes the oldest off.
func (l *pipeline) popOldest() *pipelinedRequest {
	s := &l.requests[l.first]
	l.first = (l.first + 1) % maxPipelined
	l.count--
	return s
}

func (l *pipeline) release() {
	for i := range l.requests {
		s := &l.requests[i]
		clear(s.head.Fields)
		*s = pipelinedRequest{head: h1.Head{Fields: s.head.Fields[:0]}}
	}
	*l = pipeline{requests: l.requests} // the next connection sets its own limit
	pipelinePool.Put(l)
}

// waiting says whether requests are open behind the one whose turn it is.
func (c *conn) hasPipelined() bool { return c.pipeline != nil && c.pipeline.count > 0 }

// freeLine gives the line back. Nothing is open in it.
func (c *conn) releasePipeline() {
	if c.pipeline != nil {
		c.pipeline.release()
		c.pipeline = nil
	}
}

// unblock has what the line waits with come next.
func (c *conn) resumePipeline() {
	if c.pipeline != nil {
		c.pipeline.blocked = false
		c.pipeline.parser.Reset()
	}
}

// look takes what a request says of itself, once.
func (c *conn) parseRequest(head *h1.Head) parsedRequest {
	if c.pipeline != nil && c.pipeline.hasParsed {
		parsed := c.pipeline.parsed
		c.pipeline.hasParsed, c.pipeline.parsed = false, parsedRequest{}
		return parsed
	}
	front := c.front
	target, rejection := front.cfg.Route(head)
	if rejection != nil {
		return parsedRequest{rejection: rejection}
	}
	parsed := parsedRequest{target: target}
	parsed.request, parsed.timeout, parsed.rejection = target.parseRequest(front.cfg.Dialect, head)
	return parsed
}

// message is a request as it goes on, but for its body. The head's strings are its own; the rest of the head is used again for what follows.
func (c *conn) newMessage(head *h1.Head, request *policy.Request) *call.Message {
	message := &call.Message{Method: head.Method, URI: head.Target, Host: head.Host, Header: head.EndToEnd(), Stream: true}
	if dialect := c.front.cfg.Dialect; dialect != nil {
		dialect.RewriteHeaders(request, message.Header)
	}
	return message
}

// single says whether a request is its head alone and leaves its connection open.
func isHeadOnly(h *h1.Head) bool { return h.Length <= 0 && !h.Chunked && !h.ExpectContinue && !h.Close }

// alongside says whether a request may be open together with others of its connection. A shared front reads nothing ahead: what it reads waits for its permit.
func (c *conn) canPipeline(head *h1.Head, request *policy.Request) bool {
	dialect := c.front.cfg.Dialect
	return dialect != nil && dialect.CanPipeline != nil && c.front.readPermits.Load() == nil && isHeadOnly(head) && dialect.CanPipeline(request)
}

// readAhead takes on what has come behind the requests that are open, and says whether that was something. It never waits. It is called from one goroutine at a
// time, while the connection's own waits for a reply or passes an answer on.
func (c *conn) readPipelined() (started bool) {
	for c.pipelinable && !c.buffers.head.Close && !c.front.draining.Load() && (c.pipeline == nil || !c.pipeline.blocked && c.pipeline.count < maxPipelined) {
		if c.unreadStart == c.unreadEnd && !c.readAvailable() {
			return started
		}
		c.notePipelining()
		if c.pipeline == nil {
			c.pipeline = pipelinePool.Get().(*pipeline)
			c.pipeline.parser.SetLimit(c.front.requestLimits().headBytes())
		}
		line := c.pipeline
		next := &line.requests[(line.first+line.count)%maxPipelined]
		size, err := line.parser.Parse(c.buffers.in[c.unreadStart:c.unreadEnd], &next.head)
		switch {
		case err != nil: // what it can't be read as is answered in its turn
			line.blocked = true
		case size == 0:
			if !c.readAvailable() {
				return started
			}
		case !c.startPipelined(next):
			line.blocked = true
		default:
			line.parser.SetLimit(c.front.requestLimits().headBytes())
			c.unreadStart += size
			line.count++
			started = true
		}
	}
	return started
}

// fill reads what is there, without waiting; false: nothing is.
func (c *conn) readAvailable() bool {
	if !c.mayHaveUnread {
		return false
	}
	maxBytes := 0
	if c.pipeline != nil {
		maxBytes = c.pipeline.parser.MaxBytes()
	}
	c.growInput(maxBytes)
	free := c.buffers.in[c.unreadEnd:]
	n := 0
	_ = c.rawConn.Control(func(fd uintptr) {
		var err error
		for n, err = syscall.Read(int(fd), free); errors.Is(err, syscall.EINTR); n, err = syscall.Read(int(fd), free) {
		}
	})
	c.mayHaveUnread = n == len(free) // else that was all, and what comes later is told again
	c.unreadEnd += max(n, 0)
	return n > 0
}

// ahead takes a request on whose head is here, if that may be done now.
func (c *conn) startPipelined(next *pipelinedRequest) bool {
	if !isHeadOnly(&next.head) || next.head.Target == "*" {
		return false
	}
	line, front := c.pipeline, c.front
	arrived := front.clock.Now()
	line.parsed = c.parseRequest(&next.head)
	line.hasParsed = true
	parsed := &line.parsed
	if parsed.rejection != nil || !c.canPipeline(&next.head, &parsed.request) {
		return false
	}
	request := parsed.request
	message := c.newMessage(&next.head, &request)
	pending := pendingRequest{target: parsed.target, metrics: parsed.target.classMetrics(request.Class), sharedLimits: parsed.target.sharedLimits.Load(), reply: make(chan call.Answer, 1)}
	if !pending.beginRead() {
		return false
	}
	if !pending.hasCapacity() || !pending.reserve(front) {
		pending.release(front)
		pending.endRead()
		return false
	}
	c.acceptor.markRequest(c, &pending.target.owner)
	pending.id = pending.target.Engine.Ask(request, message, arrived+parsed.timeout, pending.reply)
	next.pendingRequest = pending
	line.hasParsed, line.parsed = false, parsedRequest{}
	return true
}

// inTurn answers the request that was read ahead first.
func (c *conn) serveOldestPipelined() bool {
	oldest := c.pipeline.popOldest()
	c.buffers.head, oldest.head = oldest.head, c.buffers.head // its answer goes by its own head
	pending := oldest.pendingRequest
	oldest.pendingRequest = pendingRequest{}
	defer pending.endRead()
	defer pending.release(c.front)
	c.target, c.metrics, c.pipelinable = pending.target, pending.metrics, true
	return c.awaitReply(&pending, nil)
}

// callOff gives up what was read ahead: its connection ends, and its clients take that as not read.
func (c *conn) cancelPipelined() {
	if !c.hasPipelined() {
		return
	}
	replies := make([]chan call.Answer, 0, c.pipeline.count)
	for c.pipeline.count > 0 {
		pending := &c.pipeline.popOldest().pendingRequest
		pending.target.Engine.Gone(pending.id)
		pending.release(c.front)
		pending.endRead()
		replies = append(replies, pending.reply)
		*pending = pendingRequest{}
	}
	discardReplies(replies)
}

// forget closes what came for requests that were called off, and what comes for them yet.
func discardReplies(replies []chan call.Answer) {
	discardPendingReplies(replies)
	time.AfterFunc(lateReplyDelay, func() { discardPendingReplies(replies) })
}

func discardPendingReplies(replies []chan call.Answer) {
	for _, reply := range replies {
		select {
		case a := <-reply:
			if a.Stream != nil {
				a.Stream.Close()
			}
		default:
		}
	}
}

// pipelines takes that a client was seen to send a request before it had the last one's answer.
func (c *conn) notePipelining() {
	c.unpipelinedResponses = 0
	if c.dataArrived != nil && !c.notifyOnData {
		c.notifyOnData = true
		c.front.watcher.update(c)
	}
}

// calm takes that a request was answered and that nothing had come behind it.
func (c *conn) noteUnpipelined() {
	if !c.notifyOnData {
		return
	}
	if c.unpipelinedResponses++; c.unpipelinedResponses >= maxUnpipelinedResponses {
		c.notifyOnData = false
		c.front.watcher.update(c)
	}
}

// comes takes that bytes may have come. It is called from the watcher.
func (c *conn) notifyData() {
	select {
	case c.dataArrived <- struct{}{}:
	default: // it knows, or does not want to
	}
}
