package http1

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const (
	maxResponseBytes = 512 << 10 // limit for a response's head, and for a buffered response including its framing
	maxResponsesRead = 8         // limit for responses read per request, including interim (1xx) and unrelated ones

	// holdUnknownLength is how long a response of unknown length is buffered before it is streamed. A response that is
	// short and complete within this time can still be dropped in favour of another attempt.
	holdUnknownLength = 100 * time.Millisecond
)

var (
	errBodyTooLong     = errors.New("response body exceeds the buffer limit")
	errNoFraming       = errors.New("response has neither a Content-Length nor chunked encoding")
	errNoFinalResponse = errors.New("no final response among the first 8 responses read")
)

// readResponse reads one response. The response is read completely, or it has a responseStream as its Body.
func (c *conn) readResponse(t *Transport, m *call.Message, until time.Duration) (*http.Response, []byte, error) {
	c.limited.N = maxResponseBytes
	req := &http.Request{Method: m.Method} // the method determines whether the response has a body
	for range maxResponsesRead {
		res, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		mayStream := m.Stream && res.StatusCode == http.StatusOK
		isProbe := m.Header == nil
		if t.dialect != nil && !isProbe {
			if !t.dialect.MatchesRequest(m, res) { // the response belongs to an earlier request or to none
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					return nil, nil, err
				}
				continue
			}
			// A response with neither a length nor chunks ends when its connection closes, so truncation is undetectable.
			isFramed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
			ending, _ := t.dialect.Classify(res)
			mayStream = m.Stream && ending == policy.Served && isFramed
		}
		return c.readResponseBody(t, res, mayStream, until)
	}
	return nil, nil, errNoFinalResponse
}

// readResponseBody reads or streams the body of a response whose head was read.
func (c *conn) readResponseBody(
	t *Transport, res *http.Response, mayStream bool, until time.Duration,
) (*http.Response, []byte, error) {
	switch {
	case res.ContentLength > call.MaxBufferedBody && !mayStream:
		if res.StatusCode != http.StatusOK { // the head is sufficient
			res.Close = true
			return res, nil, nil
		}
		return nil, nil, errBodyTooLong // known before any of the body is read
	case res.ContentLength > call.MaxBufferedBody:
		return c.streamResponse(t, res, nil, until), nil, nil
	case res.ContentLength >= 0:
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return res, body, err
	case mayStream:
		return c.readUnknownLength(t, res, until)
	case len(res.TransferEncoding) == 0:
		// The body ends when the connection closes, so a complete body cannot be told from a truncated one.
		return nil, nil, errNoFraming
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, call.MaxBufferedBody+1))
	if err == nil && len(body) > call.MaxBufferedBody {
		err = errBodyTooLong
	}
	return res, body, err
}

// readUnknownLength reads a response of unknown length. The response is read completely if it is short and complete
// within holdUnknownLength; otherwise it is streamed.
func (c *conn) readUnknownLength(
	t *Transport, res *http.Response, until time.Duration,
) (*http.Response, []byte, error) {
	c.limited.N = math.MaxInt64 // reaching the limit would look like the end of the response
	chunks := &chunkReader{reader: c.reader}
	if len(res.TransferEncoding) > 0 {
		res.Body = io.NopCloser(chunks)
	}
	hold := min(until, t.clock.Now()+holdUnknownLength)
	body := make([]byte, 0, 4<<10)
	for len(body) < call.MaxBufferedBody {
		if t.clock.Now() >= hold || c.reader.Buffered() == 0 && !c.awaitInput(t, hold, until) {
			break
		}
		if len(body) == cap(body) {
			grown := make([]byte, len(body), 2*cap(body))
			copy(grown, body)
			body = grown
		}
		n, err := res.Body.Read(body[len(body):min(cap(body), call.MaxBufferedBody)])
		body = body[:len(body)+n]
		if errors.Is(err, errIncompleteChunk) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return res, body, nil
		}
		if err != nil {
			return res, nil, err
		}
	}
	chunks.blocking = true
	return c.streamResponse(t, res, body, until), nil, nil
}
