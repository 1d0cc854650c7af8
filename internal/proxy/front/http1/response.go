package http1

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
)

// overloadRetryAfter is the Retry-After value of a response to a request for which the front has no capacity.
const overloadRetryAfter = time.Second

// respond writes the response to a request whose body may still be incomplete; reader is nil if it is complete. Like
// all functions here that write a response, it returns whether the connection can stay open.
func (c *conn) respond(reply *call.Answer, reader *bodyReader) bool {
	if reader == nil {
		return c.writeReply(reply)
	}
	if reader.stop() {
		reader.returnUnread()
		return c.writeReply(reply)
	}
	c.respondEarly(reply)
	return false
}

// respondEarly writes the response to a request whose body is incomplete, after which the connection closes. Meanwhile
// it discards the rest of the body: a client may read the response only after it has sent the complete body.
func (c *conn) respondEarly(reply *call.Answer) {
	c.buffers.head.Close = true // the start of the next request is unknown
	_ = c.netConn.SetReadDeadline(time.Time{})
	c.unreadStart, c.unreadEnd = 0, 0
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		discardInput(c.netConn.Read, maxEarlyResponseLingerBytes) // not c.read: the writes below hold the read permit
	}()
	lingers := c.writeReply(reply) && c.closeWrite(earlyResponseLinger)
	if !lingers {
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0)) // ends the read
	}
	<-discarded
}

// rejectOverload rejects a request whose body may still be incomplete.
func (c *conn) rejectOverload(reader *bodyReader) bool {
	return c.respond(&call.Answer{Kind: call.Refused, RetryAfter: overloadRetryAfter, RejectedByFront: true}, reader)
}

// rejectOverloadByHead rejects a request at once, before its body is read. The body is then discarded so that the
// connection can stay open; until its end the connection is in the reading state. If the body would take long, the
// connection closes instead.
func (c *conn) rejectOverloadByHead(head *h1.Head) bool {
	reply := call.Answer{Kind: call.Refused, RetryAfter: overloadRetryAfter, RejectedByFront: true}
	return c.respondByHead(head, &h1.Response{
		Status: http.StatusServiceUnavailable, RetryAfter: reply.RetryAfter, Header: c.proxyHeaders(&reply),
	})
}

// respondByHead responds to a request before its body is read; see rejectOverloadByHead.
func (c *conn) respondByHead(head *h1.Head, response *h1.Response) bool {
	remaining := head.Length - int64(c.unreadEnd-c.unreadStart)
	tooLong := !head.Chunked && remaining > call.MaxBufferedBody
	closesBeforeEnd := c.buffers.head.Close && (head.Chunked || remaining > 0)
	if tooLong || closesBeforeEnd {
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

// reject responds to a request that can't be accepted and closes its connection, because the end of the request is
// not reliably known.
func (c *conn) reject(rejection *Rejection) bool {
	response := h1.Response{
		Status: rejection.Status, Length: int64(len(rejection.Reason) + 1), PlainText: true, Close: true,
		Header: c.proxyHeaders(nil),
	}
	if rejection.Status == http.StatusServiceUnavailable { // nothing was forwarded, so a retry is safe
		response.RetryAfter = overloadRetryAfter
	}
	if c.writeResponse(&response, []byte(rejection.Reason+"\n")) {
		c.lingeringClose(rejectLinger, maxLingerBytes)
	}
	return false
}

// writeReply writes an engine's reply as a response.
func (c *conn) writeReply(reply *call.Answer) bool {
	switch {
	case reply.Kind == call.Served && !h1.IsFinalStatus(reply.Status): // internal error: nothing says what was served
		if reply.Stream != nil {
			reply.Stream.Close()
		}
		return c.writeResponse(&h1.Response{Status: http.StatusBadGateway, Header: c.proxyHeaders(reply)}, nil)
	case reply.Kind == call.Served && reply.Stream != nil:
		if body, ok := reply.Stream.(call.Body); ok {
			return c.streamResponse(reply, body)
		}
		reply.Stream.Close() // internal error: the stream is from a transport of another protocol
		return c.writeResponse(&h1.Response{Status: http.StatusBadGateway}, nil)
	case reply.Kind == call.Served:
		return c.writeResponse(&h1.Response{
			Status: reply.Status, Header: reply.Header, Length: int64(len(reply.Body)),
		}, reply.Body)
	case reply.Kind == call.Refused: // a retry is safe, after the Retry-After time
		return c.writeResponse(&h1.Response{
			Status: http.StatusServiceUnavailable, RetryAfter: reply.RetryAfter, Header: c.proxyHeaders(reply),
		}, nil)
	case reply.LastResult != nil && c.front.cfg.Dialect != nil: // the server's own error response
		return c.writeResponse(&h1.Response{
			Status: reply.LastResult.Status, Header: reply.LastResult.Header, Length: int64(len(reply.LastResult.Body)),
		}, reply.LastResult.Body)
	case reply.TimedOut:
		return c.writeResponse(&h1.Response{Status: http.StatusGatewayTimeout, Header: c.proxyHeaders(reply)}, nil)
	}
	return c.writeResponse(&h1.Response{Status: http.StatusBadGateway, Header: c.proxyHeaders(reply)}, nil)
}

// proxyHeaders returns the header fields of a response that the proxy generates itself. reply is nil for a rejection.
func (c *conn) proxyHeaders(reply *call.Answer) http.Header {
	if c.front.cfg.Dialect == nil {
		return nil
	}
	return c.front.cfg.Dialect.ProxyHeaders(&c.buffers.head, reply)
}

// writeResponse writes a response and counts its outcome. It returns false if the client did not accept it.
func (c *conn) writeResponse(response *h1.Response, body []byte) bool {
	if c.front.draining.Load() || c.isOverShare() {
		c.buffers.head.Close = true // the connection closes with this response
	}
	response.Close = response.Close || c.buffers.head.Close
	response.Date = dateNow(c.front.clock.Now())
	c.buffers.out = response.Append(c.buffers.out[:0])
	if err := c.write(c.buffers.out, body); err != nil {
		c.front.cfg.Log.Debug("client did not take the response", "error", err, slog.Int("status", response.Status))
		return false
	}
	c.metrics.CountOutcome(outcomeOf(response.Status))
	c.metrics = nil // a request is counted once
	return true
}

// outcomeOf returns the outcome as which a response's status is counted.
func outcomeOf(status int) metrics.Outcome {
	switch status {
	case http.StatusOK:
		return metrics.Passed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return metrics.Dropped
	}
	return metrics.BadGateway
}

// write writes head and body in one system call if the socket accepts them at once. Otherwise it waits at most
// responseWriteTimeout.
func (c *conn) write(head, body []byte) error {
	if len(head)+len(body) <= 2*bufferSize {
		head, body = append(head, body...), nil
	}
	if c.rawConn != nil && body == nil { // no write deadline has to be set and cleared here
		n, err := c.writeNonblocking(head)
		if n == len(head) {
			return nil
		}
		if err != nil {
			return err
		}
		head = head[max(n, 0):] // after a socket error (n < 0) the write below returns the error again
	}
	c.releasePermit() // the write may block
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

// writeNonblocking writes the bytes that the socket accepts at once. n is negative if the write failed. An error
// means that the connection is closed.
func (c *conn) writeNonblocking(b []byte) (n int, err error) {
	err = c.rawConn.Write(func(fd uintptr) bool {
		for {
			var err error
			if n, err = syscall.Write(int(fd), b); !errors.Is(err, syscall.EINTR) {
				return true
			}
		}
	})
	return n, err
}
