package http1

import (
	"errors"
	"sync"
	"syscall"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// Pipelining (RFC 9112, 9.3.2): if the Dialect allows it, requests that are received while an earlier request of the
// connection is still open are processed concurrently, and their responses are sent in the order of the requests.
//
// The connection's single goroutine reads requests, submits them to the engine and writes responses. While it waits
// for the reply to the current request, it also waits for dataArrived, on which the watcher reports received bytes, and
// reads these without blocking. So one goroutine uses the connection's fields, and no second goroutine is needed. The
// exception is a streamed response, which keeps the goroutine busy: the goroutine that streamResponse starts to detect
// a client that leaves then reads ahead, and streamResponse waits for its end.
//
// Each report of the watcher costs a wake-up, so reports are enabled only where they are useful: on a new connection,
// and on a connection whose client was seen to pipeline (bytes of the next request were received together with a head,
// or were available when the response had been written). After maxUnpipelinedResponses responses with no request
// behind them, reports are disabled again.

const (
	// maxPipelined limits how many requests are open on a connection behind the current one. One client must not use
	// up the capacity for all clients, and replies that wait for their turn are held in memory.
	maxPipelined = 8
	// maxUnpipelinedResponses is how many consecutive responses without a request behind them make a client count as
	// one that does not pipeline. Without this limit the watcher would wake up for every request.
	maxUnpipelinedResponses = 4
)

// pipelinedRequest is a request that was read ahead.
type pipelinedRequest struct {
	pendingRequest
	head h1.Head
}

// pipeline is the queue of requests that are open on a connection behind the current one. A connection holds a
// pipeline from the first such request until the connection is idle.
type pipeline struct {
	requests  [maxPipelined]pipelinedRequest // a ring buffer
	first     int                            // index of the oldest request
	count     int
	parser    h1.Parser
	blocked   bool          // the next request is served alone, after all open requests have their responses
	hasParsed bool          // the next request is already parsed: parsing it again would count it twice in a quota
	parsed    parsedRequest // the parsed next request, if hasParsed
}

// pipelinePool holds the pipelines that no connection uses.
var pipelinePool = sync.Pool{New: func() any { return new(pipeline) }}

// popOldest removes and returns the oldest request. The result is valid until the next request is read ahead.
func (p *pipeline) popOldest() *pipelinedRequest {
	r := &p.requests[p.first]
	p.first = (p.first + 1) % maxPipelined
	p.count--
	return r
}

// nextFree returns the slot for the next request.
func (p *pipeline) nextFree() *pipelinedRequest { return &p.requests[(p.first+p.count)%maxPipelined] }

// release clears the pipeline and returns it to the pool.
func (p *pipeline) release() {
	for i := range p.requests {
		r := &p.requests[i]
		clear(r.head.Fields)
		*r = pipelinedRequest{head: h1.Head{Fields: r.head.Fields[:0]}}
	}
	*p = pipeline{requests: p.requests} // the next connection sets its own head size limit
	pipelinePool.Put(p)
}

// hasPipelined returns whether requests are open behind the current one.
func (c *conn) hasPipelined() bool { return c.pipeline != nil && c.pipeline.count > 0 }

// releasePipeline releases the connection's pipeline, in which no request is open.
func (c *conn) releasePipeline() {
	if c.pipeline != nil {
		c.pipeline.release()
		c.pipeline = nil
	}
}

// resumePipeline unblocks the pipeline: the request that blocked it is served next.
func (c *conn) resumePipeline() {
	if c.pipeline != nil {
		c.pipeline.blocked = false
		c.pipeline.parser.Reset()
	}
}

// isHeadOnly returns whether a request has no body and leaves its connection open.
func isHeadOnly(h *h1.Head) bool { return h.Length <= 0 && !h.Chunked && !h.ExpectContinue && !h.Close }

// canPipeline returns whether a request may be open together with other requests of its connection. A front shared by
// several targets never reads ahead, because each read has to wait for a permit.
func (c *conn) canPipeline(head *h1.Head, request *policy.Request) bool {
	dialect := c.front.cfg.Dialect
	if dialect == nil || dialect.CanPipeline == nil || c.front.readPermits.Load() != nil || !isHeadOnly(head) {
		return false
	}
	return dialect.CanPipeline(request)
}

// mayReadAhead returns whether another request may be started behind the open ones.
func (c *conn) mayReadAhead() bool {
	if !c.pipelinable || c.buffers.head.Close || c.front.draining.Load() {
		return false
	}
	return c.pipeline == nil || !c.pipeline.blocked && c.pipeline.count < maxPipelined
}

// readPipelined starts the requests that were received behind the open ones, without blocking, and returns whether
// there were any. One goroutine at a time calls it: the connection's own while it waits for a reply, or the goroutine
// that watches the client while a response is streamed.
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
		case err != nil: // the request is rejected when its turn comes
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

// readAvailable reads the available bytes without blocking. It returns false if there are none.
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
	c.mayHaveUnread = n == len(free) // a shorter read took all bytes; the watcher reports later ones
	c.unreadEnd += max(n, 0)
	return n > 0
}

// startPipelined submits a request whose head has been read to its engine, and returns whether that was possible now.
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

// serveOldestPipelined makes the oldest request that was read ahead the current one, and responds to it.
func (c *conn) serveOldestPipelined() bool {
	oldest := c.pipeline.popOldest()
	c.buffers.head, oldest.head = oldest.head, c.buffers.head // the response depends on the head of its own request
	pending := oldest.pendingRequest
	oldest.pendingRequest = pendingRequest{}
	defer pending.endRead()
	defer pending.release(c.front)
	c.target, c.metrics, c.pipelinable = pending.target, pending.metrics, true
	return c.awaitReply(&pending, nil)
}

// cancelPipelined cancels the requests that were read ahead. Their connection closes, so their client treats them as
// not processed and may send them again.
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

// onPipelinedRequest records that the client sent a request before it had the response to the previous one, and
// enables reports of received bytes.
func (c *conn) onPipelinedRequest() {
	c.unpipelinedResponses = 0
	if c.dataArrived != nil && !c.notifyOnData {
		c.notifyOnData = true
		c.front.watcher.update(c)
	}
}

// onUnpipelinedResponse records a response with no further request behind it.
func (c *conn) onUnpipelinedResponse() {
	if !c.notifyOnData {
		return
	}
	if c.unpipelinedResponses++; c.unpipelinedResponses >= maxUnpipelinedResponses {
		c.notifyOnData = false
		c.front.watcher.update(c)
	}
}

// notifyData reports that bytes may have been received. The watcher calls it.
func (c *conn) notifyData() {
	select {
	case c.dataArrived <- struct{}{}:
	default: // already notified, or the connection does not pipeline
	}
}
