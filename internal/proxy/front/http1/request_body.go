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

// bodyTimeout returns how long a body, or its buffered prefix, may take from the end of the head. With RequestLimits
// it is at least the timeout of the request, because the client waits that long for the response.
func (c *conn) bodyTimeout(timeout time.Duration) time.Duration {
	if c.front.cfg.RequestLimits == nil {
		return bodyTimeout
	}
	return max(bodyTimeout, timeout)
}

// readBody reads a body of length bytes within bodyTimeout. If the body is not received, it rejects the request and
// returns false.
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

// growBody returns a copy of a full buffer with twice the capacity, at most maxBytes. So a body takes at most twice
// the memory of the bytes received, whatever length its head announces.
func growBody(body []byte, maxBytes int) []byte {
	grown := make([]byte, len(body), min(maxBytes, 2*cap(body)))
	copy(grown, body)
	return grown
}

// readBodyPrefix reads the buffered prefix of a chunked body, or of a body longer than call.MaxBufferedBody, into
// message.Body. If the prefix is the complete body, the returned reader is nil; otherwise message.Upload reads the
// rest from the reader. If the prefix is not received, readBodyPrefix rejects the request and returns false.
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
