package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
)

// bodyTimeout is how long a body, or the part of it that is buffered, may take once its head is here. Where the front
// has RequestLimits, that is at least the request's own timeout: as long as its client waits for it.
func (c *conn) bodyTimeout(timeout time.Duration) time.Duration {
	if c.front.cfg.RequestLimits == nil {
		return bodyTimeout
	}
	return max(bodyTimeout, timeout)
}

// readBody reads a body of length bytes within bodyTimeout. It returns false if the body did not come, and has
// rejected the request then.
func (c *conn) readBody(head *h1.Head, length int, timeout time.Duration) ([]byte, bool) {
	if length == 0 {
		return nil, true
	}
	have := min(c.unreadEnd-c.unreadStart, length)
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
		if len(body) == cap(body) {
			body = growBody(body, length)
		}
		n, err := c.read(body[len(body):cap(body)])
		if body = body[:len(body)+n]; n == 0 {
			if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
				c.reject(c.timeoutRejection(&Rejection{
					Status: http.StatusRequestTimeout, Reason: "the body is shorter than Content-Length",
				}))
			}
			return nil, false
		}
	}
	return body, c.finishSlowRead()
}

// growBody returns a full buffer with twice the capacity, maxBytes at most: a body takes no more memory than twice what
// has come of it, whatever its head announces.
func growBody(body []byte, maxBytes int) []byte {
	grown := make([]byte, len(body), min(maxBytes, 2*cap(body)))
	copy(grown, body)
	return grown
}

// readBodyPrefix reads the part that is buffered of a body that comes in chunks or is longer than
// call.MaxBufferedBody. The reader is nil if that was all of the body; otherwise the message's rest comes from it. It
// returns false if the prefix did not come, and has rejected the request then.
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
	message.Upload = &call.Upload{Length: head.Length, Read: reader.Read}
	return reader, true
}
