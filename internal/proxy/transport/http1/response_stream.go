package http1

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/proxy/stream"
	"caperarch/policy"
)

// responseStream is a call.Body over the connection that it comes on, which it owns until its end.
type responseStream struct {
	conn     *conn
	response *http.Response
	body     io.Reader
	buffered []byte    // was read before
	deadline time.Time // how long the request may take; zero: only stream.StallTimeout holds
	once     sync.Once
	ending   chan policy.Ending // receives one item at the end
}

// streamResponse makes a response one that is streamed, with what was read of it already. In a dialect, the request's
// deadline is all that ends it: a server's pause within that is no reason to.
func (c *conn) streamResponse(t *Transport, res *http.Response, buffered []byte, until time.Duration) *http.Response {
	c.limited.N = math.MaxInt64
	s := &responseStream{conn: c, response: res, body: res.Body, buffered: buffered, ending: make(chan policy.Ending, 1)}
	if t.dialect != nil {
		s.deadline = t.clock.At(until)
	}
	res.Body = streamedBody{s}
	return res
}

// streamedBody is a responseStream as a response's body, whose Close has another form.
type streamedBody struct{ *responseStream }

func (b streamedBody) Close() error {
	b.responseStream.Close()
	return nil
}

// streamOf is the stream of a response that is streamed, or nil.
func streamOf(res *http.Response) *responseStream {
	if b, ok := res.Body.(streamedBody); ok {
		return b.responseStream
	}
	return nil
}

// Length is the body's in bytes; -1: unknown.
func (s *responseStream) Length() int64 { return s.response.ContentLength }

// readDeadline is when the next bytes have to be here: within stream.StallTimeout, or as long as the request may take.
func (s *responseStream) readDeadline() time.Time {
	soon := time.Now().Add(stream.StallTimeout)
	if s.deadline.After(soon) {
		return s.deadline
	}
	return soon
}

// Read reads the next bytes, and waits until readDeadline for them.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(s.buffered) > 0 {
		n := copy(p, s.buffered)
		s.buffered = s.buffered[n:]
		return n, nil
	}
	if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
		s.finish(policy.ConnectionLost)
		return 0, err
	}
	n, err := s.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.finish(policy.Served)
	case err != nil:
		s.finish(policy.ConnectionLost)
	}
	return n, err
}

// Close cancels the response. Behind its end it changes nothing.
func (s *responseStream) Close() { s.finish(policy.Cancelled) }

// finish is the one place where a stream's end is reported: the first call counts.
func (s *responseStream) finish(ending policy.Ending) {
	s.once.Do(func() {
		if ending != policy.Served {
			s.conn.Conn.Close() // whoever reads is woken
		}
		s.ending <- ending
	})
}
