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

// responseStream is a call.Body that reads from a connection. It owns the connection until the response ends.
type responseStream struct {
	conn     *conn
	response *http.Response
	body     io.Reader
	buffered []byte    // bytes that were read before streaming started
	deadline time.Time // deadline of the request; zero: only stream.StallTimeout applies
	once     sync.Once
	ending   chan policy.Ending // receives the ending once
}

// streamResponse replaces the body of a response with a responseStream that starts with the buffered bytes. With a
// dialect, the server may pause until the request's deadline.
func (c *conn) streamResponse(t *Transport, res *http.Response, buffered []byte, until time.Duration) *http.Response {
	c.limited.N = math.MaxInt64
	s := &responseStream{conn: c, response: res, body: res.Body, buffered: buffered, ending: make(chan policy.Ending, 1)}
	if t.dialect != nil {
		s.deadline = t.clock.At(until)
	}
	res.Body = streamedBody{s}
	return res
}

// streamedBody adapts a responseStream to io.ReadCloser, whose Close returns an error.
type streamedBody struct{ *responseStream }

func (b streamedBody) Close() error {
	b.responseStream.Close()
	return nil
}

// streamOf returns the stream of a streamed response, or nil for other responses.
func streamOf(res *http.Response) *responseStream {
	if b, ok := res.Body.(streamedBody); ok {
		return b.responseStream
	}
	return nil
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (s *responseStream) Length() int64 { return s.response.ContentLength }

// readDeadline returns the time by which the next bytes must arrive: stream.StallTimeout from now, or the request's
// deadline if that is later.
func (s *responseStream) readDeadline() time.Time {
	soon := time.Now().Add(stream.StallTimeout)
	if s.deadline.After(soon) {
		return s.deadline
	}
	return soon
}

// Read reads the next bytes. It waits until readDeadline for them.
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

// Close cancels the response. It has no effect after the end of the response.
func (s *responseStream) Close() { s.finish(policy.Cancelled) }

// finish reports the ending of the stream. Only the first call has an effect.
func (s *responseStream) finish(ending policy.Ending) {
	s.once.Do(func() {
		if ending != policy.Served {
			s.conn.Conn.Close() // unblocks a pending Read
		}
		s.ending <- ending
	})
}
