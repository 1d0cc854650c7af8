package http1

import (
	"net/http"
	"strings"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
	"caperarch/policy"
)

// parsedRequest is the result of parsing a request's head: how to handle the request.
type parsedRequest struct {
	target    *Target // nil: the request has no target, see rejection
	request   policy.Request
	timeout   time.Duration
	rejection *Rejection // nil: the request can be accepted
}

// parseRequest routes a request and parses its head. A request that startPipelined has parsed already is not parsed
// again: its stored result is returned.
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

// newMessage returns the request in the form in which it is forwarded, without its body. The message keeps strings of
// the head but not the head itself, which is reused for the next request.
func (c *conn) newMessage(head *h1.Head, request *policy.Request) *call.Message {
	message := &call.Message{Method: head.Method, URI: head.Target, Host: head.Host, Header: head.EndToEnd(), Stream: true}
	if dialect := c.front.cfg.Dialect; dialect != nil {
		dialect.RewriteHeaders(request, message.Header)
	}
	return message
}

// serveRequest responds to a request whose head has been read, and returns whether the connection can stay open.
// Requests are rejected before their body is read where possible.
func (c *conn) serveRequest(head *h1.Head, arrived time.Duration) bool {
	if c.front.cfg.Dialect == nil && isReadinessCheck(head) {
		return c.serveReadiness()
	}
	if head.Target == "*" {
		return c.serveServerOptions(head)
	}
	parsed := c.parseRequest(head)
	if rejection := parsed.rejection; rejection != nil {
		if rejection.KeepAlive && parsed.target != nil {
			return c.respondByHead(head, &h1.Response{
				Status: rejection.Status, RetryAfter: rejection.RetryAfter, Header: c.proxyHeaders(nil),
			})
		}
		return c.reject(rejection)
	}
	c.target, c.metrics = parsed.target, parsed.target.classMetrics(parsed.request.Class)
	c.acceptor.markRequest(c, &parsed.target.owner)
	if c.isOverShare() {
		return c.rejectOverloadByHead(head)
	}
	if c.front.cfg.Dialect == nil {
		id := head.Get("X-Request-Id")
		if !parsed.target.registerID(id) {
			return c.reject(&Rejection{Status: http.StatusConflict, Reason: "a request of this X-Request-ID is open"})
		}
		defer parsed.target.unregisterID(id)
	}
	return c.forwardRequest(head, &parsed, arrived)
}

// forwardRequest reads a request's body, submits the request to the target's engine and writes the response.
func (c *conn) forwardRequest(head *h1.Head, parsed *parsedRequest, arrived time.Duration) bool {
	// The bytes of the body that are buffered at a time. The size of a chunked body is unknown yet and counts as 0.
	length := min(max(head.Length, 0), call.MaxBufferedBody+stream.WindowSize)
	target, request := parsed.target, parsed.request
	pending := pendingRequest{
		target: target, metrics: c.metrics, sharedLimits: target.sharedLimits.Load(), bodyBytes: length,
	}
	if !pending.beginRead() { // bodies sent one byte at a time would occupy all connections otherwise
		return c.rejectOverloadByHead(head)
	}
	defer pending.endRead()
	if !pending.hasCapacity() {
		return c.rejectOverloadByHead(head)
	}
	message := c.newMessage(head, &request)
	var body *bodyReader // reads the rest of a body that is streamed to the server
	var ok bool
	if !head.Chunked && head.Length <= call.MaxBufferedBody {
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
	// The timeout counts from the last byte of the request or, for a streamed body, from this point on.
	arrived = max(arrived, c.receivedAt)
	// Capacity is reserved only now, so that clients that announce a body and don't send it can't use up the capacity
	// for others. Until here only the limits on connections apply to such clients.
	defer pending.release(c.front)
	if !pending.reserve(c.front) {
		return c.rejectOverload(body)
	}
	if body == nil && c.clientAlreadyGone() {
		return false
	}
	pending.reply = make(chan call.Answer, 1)
	c.pipelinable = c.canPipeline(head, &request)
	c.releasePermit()
	pending.id = target.Engine.Submit(request, message, arrived+parsed.timeout, pending.reply)
	return c.awaitReply(&pending, body)
}

// awaitReply waits for the reply to the current request and responds. Meanwhile it reads pipelined requests.
func (c *conn) awaitReply(pending *pendingRequest, body *bodyReader) bool {
	c.readPipelined() // requests received together with the head, or that found no capacity before
	for hangup := c.hangup; ; {
		select {
		case reply := <-pending.reply:
			return c.respond(&reply, body)
		case <-c.dataArrived:
			if c.mayHaveUnread = true; c.readPipelined() {
				hangup = c.hangup // the unread input that kept clientGone from returning true may be read by now
			}
		case <-hangup:
			c.mayHaveUnread = true // bytes received before the hangup may not have been reported
			c.readPipelined()
			if c.clientGone() { // there is no client left to respond to
				pending.target.Engine.ClientGone(pending.id)
				// The reply may have been received already, or may cross the cancellation.
				discardReplies([]chan call.Answer{pending.reply})
				return false
			}
			hangup = nil // unread requests precede the hangup: the client still waits for responses
		case <-pending.target.Engine.Done(): // the pool was removed; the engine has replied to all that it accepted
			select {
			case reply := <-pending.reply:
				return c.respond(&reply, body)
			default: // the engine did not accept the request
				return c.rejectOverload(body)
			}
		}
	}
}

// isReadinessCheck returns whether a request is GET /up, to which a front without a Dialect responds itself.
func isReadinessCheck(head *h1.Head) bool {
	path, _, _ := strings.Cut(head.Target, "?")
	return path == "/up" && head.Method == http.MethodGet && head.Length <= 0
}

// serveReadiness responds to GET /up: 200 if the front is ready, 503 otherwise.
func (c *conn) serveReadiness() bool {
	status := http.StatusOK
	if !c.front.ready.Load() {
		status = http.StatusServiceUnavailable
	}
	return c.writeResponse(&h1.Response{Status: status}, nil)
}

// serveServerOptions responds to OPTIONS *, which applies to the server itself (RFC 9110, 9.3.7).
func (c *conn) serveServerOptions(head *h1.Head) bool {
	response := h1.Response{Status: http.StatusOK, Header: http.Header{"Allow": {"GET, POST, OPTIONS"}}}
	return c.writeResponse(&response, nil) && head.Length <= 0 && !head.Chunked
}

// isOverShare returns whether the connection should close because its target has more than its share of the
// connections and others need room.
func (c *conn) isOverShare() bool {
	return c.front.readPermits.Load() != nil && c.acceptor.overShare(c)
}
