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

// parsedRequest is what a request's head says about how to handle it.
type parsedRequest struct {
	target    *Target // nil: it goes nowhere, rejection says why
	request   policy.Request
	timeout   time.Duration
	rejection *Rejection // nil: it can be accepted
}

// parseRequest parses a request's head by the Dialect, once: a second call for the same request returns what the first
// one found.
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

// newMessage is a request as it is forwarded, without its body. It keeps the head's strings but not the head, which is
// used again for the next request.
func (c *conn) newMessage(head *h1.Head, request *policy.Request) *call.Message {
	message := &call.Message{Method: head.Method, URI: head.Target, Host: head.Host, Header: head.EndToEnd(), Stream: true}
	if dialect := c.front.cfg.Dialect; dialect != nil {
		dialect.RewriteHeaders(request, message.Header)
	}
	return message
}

// serveRequest answers a request whose head has been read, and returns whether the connection can stay open. What can
// be rejected is rejected before its body is read.
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

// forwardRequest reads a request's body, hands the request to the target's engine and answers it.
func (c *conn) forwardRequest(head *h1.Head, parsed *parsedRequest, arrived time.Duration) bool {
	// What is buffered of the body at a time; of one in chunks nothing is known yet.
	length := min(max(head.Length, 0), call.MaxBufferedBody+stream.WindowSize)
	target, request := parsed.target, parsed.request
	pending := pendingRequest{
		target: target, metrics: c.metrics, sharedLimits: target.sharedLimits.Load(), bodyBytes: length,
	}
	if !pending.beginRead() { // bodies that come a byte at a time would occupy all connections otherwise
		return c.rejectOverloadByHead(head)
	}
	defer pending.endRead()
	if !pending.hasCapacity() {
		return c.rejectOverloadByHead(head)
	}
	message := c.newMessage(head, &request)
	var body *bodyReader // of a body that is forwarded as it comes
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
	// Its timeout counts from its last byte, or for a body that is forwarded as it comes from here on.
	arrived = max(arrived, c.receivedAt)
	// Counted only now: clients that announce a body and don't send it must not use up the capacity of others. Until
	// here the limits on connections hold for them.
	defer pending.release(c.front)
	if !pending.reserve(c.front) {
		return c.rejectOverload(body)
	}
	if body == nil && c.leftAlready() {
		return false
	}
	pending.reply = make(chan call.Answer, 1)
	c.pipelinable = c.canPipeline(head, &request)
	c.releasePermit()
	pending.id = target.Engine.Submit(request, message, arrived+parsed.timeout, pending.reply)
	return c.awaitReply(&pending, body)
}

// awaitReply waits for the reply to the current request, reads pipelined requests meanwhile, and responds.
func (c *conn) awaitReply(pending *pendingRequest, body *bodyReader) bool {
	c.readPipelined() // what came with its head, or found no capacity before
	for hangup := c.hangup; ; {
		select {
		case reply := <-pending.reply:
			return c.respond(&reply, body)
		case <-c.dataArrived:
			if c.mayHaveUnread = true; c.readPipelined() {
				hangup = c.hangup // the input that kept it from being taken for gone may have been read by now
			}
		case <-hangup:
			c.mayHaveUnread = true // what came before the end may not have been reported
			c.readPipelined()
			if c.clientGone() { // nobody is left to respond to
				pending.target.Engine.ClientGone(pending.id)
				// Its reply may have been here before its turn, or cross this.
				discardReplies([]chan call.Answer{pending.reply})
				return false
			}
			hangup = nil // more requests came before the end: the client still waits for their responses
		case <-pending.target.Engine.Done(): // its pool was removed: what the engine had accepted has its reply by then
			select {
			case reply := <-pending.reply:
				return c.respond(&reply, body)
			default: // the engine never accepted it
				return c.rejectOverload(body)
			}
		}
	}
}

// isReadinessCheck returns whether a request is GET /up, which the front answers itself where it has no Dialect.
func isReadinessCheck(head *h1.Head) bool {
	path, _, _ := strings.Cut(head.Target, "?")
	return path == "/up" && head.Method == http.MethodGet && head.Length <= 0
}

func (c *conn) serveReadiness() bool {
	status := http.StatusOK
	if !c.front.ready.Load() {
		status = http.StatusServiceUnavailable
	}
	return c.writeResponse(&h1.Response{Status: status}, nil)
}

// serveServerOptions answers OPTIONS *, which asks about the server itself (RFC 9110, 9.3.7).
func (c *conn) serveServerOptions(head *h1.Head) bool {
	response := h1.Response{Status: http.StatusOK, Header: http.Header{"Allow": {"GET, POST, OPTIONS"}}}
	return c.writeResponse(&response, nil) && head.Length <= 0 && !head.Chunked
}

// isOverShare returns whether the connection belongs to a target that has more than its share of the connections and
// has to make room for others.
func (c *conn) isOverShare() bool {
	return c.front.readPermits.Load() != nil && c.acceptor.overShare(c)
}
