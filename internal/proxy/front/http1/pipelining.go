package http1

import (
	"errors"
	"sync"
	"syscall"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// Where a Dialect allows it, requests that come behind one that is still open (RFC 9112, 9.3.2) are worked on at the
// same time, and answered in their order.
//
// It is still the connection's one goroutine that reads, asks the engine and responds: while it waits for the current
// request's reply it also waits for dataArrived, on which the watcher reports that bytes have come, and reads those
// without waiting. So the connection's fields have one user, and it needs no second goroutine. Only while a response
// is streamed the goroutine is busy with that; then the one that streamResponse starts to notice the client's leaving
// reads ahead, and is waited for.
//
// Each report of the watcher costs a wake-up, so it is asked for only where it is of use: on a new connection, and on
// one whose client was seen to pipeline (bytes of the next request came with a head, or were there when its response
// had been written). After maxUnpipelinedResponses responses with no request behind them the connection costs nothing
// beyond a look at a nil channel again.

const (
	// maxPipelined bounds how many requests are open on a connection behind the current one: one client must not use up
	// the capacity of all, and replies that wait for their turn are held in memory.
	maxPipelined = 8
	// maxUnpipelinedResponses is how many responses in a row have no request behind them before a client is taken for
	// one that does not pipeline: the watcher must not be woken for all requests for good.
	maxUnpipelinedResponses = 4
)

// pipelinedRequest is a request that was read ahead.
type pipelinedRequest struct {
	pendingRequest
	head h1.Head
}

// pipeline is the queue of requests that are open on a connection behind the current one. A connection has one only
// from the first such request until it is idle.
type pipeline struct {
	requests  [maxPipelined]pipelinedRequest // a ring buffer
	first     int                            // index of the oldest
	count     int
	parser    h1.Parser
	blocked   bool          // the next request waits until all open ones have their response, and is served alone
	hasParsed bool          // that request was parsed already: a second time would count it twice, at a quota for one
	parsed    parsedRequest // the result of that
}

// pipelinePool has the pipelines that no connection uses.
var pipelinePool = sync.Pool{New: func() any { return new(pipeline) }}

// popOldest removes the oldest request. It is valid until the next one is read ahead.
func (p *pipeline) popOldest() *pipelinedRequest {
	r := &p.requests[p.first]
	p.first = (p.first + 1) % maxPipelined
	p.count--
	return r
}

// nextFree is where the next request is read to.
func (p *pipeline) nextFree() *pipelinedRequest { return &p.requests[(p.first+p.count)%maxPipelined] }

func (p *pipeline) release() {
	for i := range p.requests {
		r := &p.requests[i]
		clear(r.head.Fields)
		*r = pipelinedRequest{head: h1.Head{Fields: r.head.Fields[:0]}}
	}
	*p = pipeline{requests: p.requests} // the next connection sets its own limit
	pipelinePool.Put(p)
}

// hasPipelined returns whether requests are open behind the current one.
func (c *conn) hasPipelined() bool { return c.pipeline != nil && c.pipeline.count > 0 }

// releasePipeline gives the pipeline back. No request is open in it.
func (c *conn) releasePipeline() {
	if c.pipeline != nil {
		c.pipeline.release()
		c.pipeline = nil
	}
}

// resumePipeline unblocks the pipeline: the request that it waits with is served next.
func (c *conn) resumePipeline() {
	if c.pipeline != nil {
		c.pipeline.blocked = false
		c.pipeline.parser.Reset()
	}
}

// isHeadOnly returns whether a request has no body and leaves its connection open.
func isHeadOnly(h *h1.Head) bool { return h.Length <= 0 && !h.Chunked && !h.ExpectContinue && !h.Close }

// canPipeline returns whether a request may be open together with others of its connection. A front that several
// targets share reads nothing ahead: what it reads waits for its permit.
func (c *conn) canPipeline(head *h1.Head, request *policy.Request) bool {
	dialect := c.front.cfg.Dialect
	if dialect == nil || dialect.CanPipeline == nil || c.front.readPermits.Load() != nil || !isHeadOnly(head) {
		return false
	}
	return dialect.CanPipeline(request)
}

// mayReadAhead returns whether a further request may be started behind the open ones.
func (c *conn) mayReadAhead() bool {
	if !c.pipelinable || c.buffers.head.Close || c.front.draining.Load() {
		return false
	}
	return c.pipeline == nil || !c.pipeline.blocked && c.pipeline.count < maxPipelined
}

// readPipelined starts the requests that have come behind the open ones, and returns whether there were any. It never
// waits. It is called from one goroutine at a time, while the connection's own waits for a reply or streams a response.
func (c *conn) readPipelined() (started bool) {
	for c.mayReadAhead() {
		if c.unreadStart == c.unreadEnd && !c.readAvailable() {
			return started
		}
		c.onPipelinedRequest()
		if c.pipeline == nil {
			c.pipeline = pipelinePool.Get().(*pipeline)
			c.pipeline.parser.SetLimit(c.front.requestLimits().headBytes())
		}
		p := c.pipeline
		next := p.nextFree()
		size, err := p.parser.Parse(c.buffers.in[c.unreadStart:c.unreadEnd], &next.head)
		switch {
		case err != nil: // it is rejected in its turn
			p.blocked = true
		case size == 0:
			if !c.readAvailable() {
				return started
			}
		case !c.startPipelined(next):
			p.blocked = true
		default:
			p.parser.SetLimit(c.front.requestLimits().headBytes())
			c.unreadStart += size
			p.count++
			started = true
		}
	}
	return started
}

// readAvailable reads what is there, without waiting. It returns false if there is nothing.
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
		c.sawReset = c.sawReset || errors.Is(err, syscall.ECONNRESET)
	})
	c.mayHaveUnread = n == len(free) // otherwise that was all, and the watcher reports what comes later
	c.unreadEnd += max(n, 0)
	return n > 0
}

// startPipelined hands a request whose head has been read to its engine, and returns whether that could be done now.
func (c *conn) startPipelined(next *pipelinedRequest) bool {
	if !isHeadOnly(&next.head) || next.head.Target == "*" {
		return false
	}
	p, front := c.pipeline, c.front
	arrived := front.clock.Now()
	p.parsed = c.parseRequest(&next.head)
	p.hasParsed = true
	parsed := &p.parsed
	if parsed.rejection != nil || !c.canPipeline(&next.head, &parsed.request) {
		return false
	}
	target, request := parsed.target, parsed.request
	message := c.newMessage(&next.head, &request)
	pending := pendingRequest{
		target: target, metrics: target.classMetrics(request.Class), sharedLimits: target.sharedLimits.Load(),
		reply: make(chan call.Answer, 1),
	}
	if !pending.beginRead() {
		return false
	}
	if !pending.hasCapacity() || !pending.reserve(front) {
		pending.release(front)
		pending.endRead()
		return false
	}
	c.acceptor.markRequest(c, &target.owner)
	pending.id = target.Engine.Submit(request, message, arrived+parsed.timeout, pending.reply)
	next.pendingRequest = pending
	p.hasParsed, p.parsed = false, parsedRequest{}
	return true
}

// serveOldestPipelined answers the request that was read ahead first. It is the current one from now on.
func (c *conn) serveOldestPipelined() bool {
	oldest := c.pipeline.popOldest()
	c.buffers.head, oldest.head = oldest.head, c.buffers.head // its response goes by its own head
	pending := oldest.pendingRequest
	oldest.pendingRequest = pendingRequest{}
	defer pending.endRead()
	defer pending.release(c.front)
	c.target, c.metrics, c.pipelinable = pending.target, pending.metrics, true
	return c.awaitReply(&pending, nil)
}

// cancelPipelined cancels the requests that were read ahead: their connection ends, and their client takes them for not
// read.
func (c *conn) cancelPipelined() {
	if !c.hasPipelined() {
		return
	}
	replies := make([]chan call.Answer, 0, c.pipeline.count)
	for c.pipeline.count > 0 {
		pending := &c.pipeline.popOldest().pendingRequest
		pending.target.Engine.ClientGone(pending.id)
		pending.release(c.front)
		pending.endRead()
		replies = append(replies, pending.reply)
		*pending = pendingRequest{}
	}
	discardReplies(replies)
}

// onPipelinedRequest records that a client was seen to send a request before it had the last one's response.
func (c *conn) onPipelinedRequest() {
	c.unpipelinedResponses = 0
	if c.dataArrived != nil && !c.notifyOnData {
		c.notifyOnData = true
		c.front.watcher.update(c)
	}
}

// onUnpipelinedResponse records that a request was answered and that none had come behind it.
func (c *conn) onUnpipelinedResponse() {
	if !c.notifyOnData {
		return
	}
	if c.unpipelinedResponses++; c.unpipelinedResponses >= maxUnpipelinedResponses {
		c.notifyOnData = false
		c.front.watcher.update(c)
	}
}

// notifyData reports that bytes may have come. The watcher calls it.
func (c *conn) notifyData() {
	select {
	case c.dataArrived <- struct{}{}:
	default: // it has been told already, or does not pipeline
	}
}
