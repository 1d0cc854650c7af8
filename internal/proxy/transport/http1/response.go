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
	maxResponseBytes    = 512 << 10 // of a response's head, and of a complete response on the wire, framing included
	maxInterimResponses = 8         // 1xx responses that are discarded before the final one

	// holdUnknownLength is how long a response of unknown length is held, in the hope that it is short and comes
	// completely: then it can still be given up for another attempt.
	holdUnknownLength = 100 * time.Millisecond
)

var (
	errBodyTooLong = errors.New("the body is too long")
	errNoFraming   = errors.New("the answer has neither a length nor chunks")
	errManyInterim = errors.New("too many interim answers")
)

// readResponse reads one response: completely, or with a responseStream for its Body where it is to be streamed.
func (c *conn) readResponse(t *Transport, m *call.Message, until time.Duration) (*http.Response, []byte, error) {
	c.limited.N = maxResponseBytes
	req := &http.Request{Method: m.Method} // tells whether the response has a body
	for range maxInterimResponses {
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
			if !t.dialect.MatchesRequest(m, res) { // it belongs to no request, or to an earlier one
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					return nil, nil, err
				}
				continue
			}
			// One without a length or chunks ends with its connection: a truncated one would pass for complete.
			isFramed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
			ending, _ := t.dialect.Classify(res)
			mayStream = m.Stream && ending == policy.Served && isFramed
		}
		return c.readResponseBody(t, res, mayStream, until)
	}
	return nil, nil, errManyInterim
}

// readResponseBody reads the body of a response whose head was read.
func (c *conn) readResponseBody(
	t *Transport, res *http.Response, mayStream bool, until time.Duration,
) (*http.Response, []byte, error) {
	switch {
	case res.ContentLength > call.MaxBufferedBody && !mayStream:
		if res.StatusCode != http.StatusOK { // its head is enough
			res.Close = true
			return res, nil, nil
		}
		return nil, nil, errBodyTooLong // known before any of it is read
	case res.ContentLength > call.MaxBufferedBody:
		return c.streamResponse(t, res, nil, until), nil, nil
	case res.ContentLength >= 0:
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return res, body, err
	case mayStream:
		return c.readUnknownLength(t, res, until)
	case len(res.TransferEncoding) == 0:
		// It ends with the connection: nothing tells a complete one from a truncated one.
		return nil, nil, errNoFraming
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, call.MaxBufferedBody+1))
	if err == nil && len(body) > call.MaxBufferedBody {
		err = errBodyTooLong
	}
	return res, body, err
}

// readUnknownLength reads a response that does not tell its length: completely where it comes within holdUnknownLength
// and is short, otherwise as one that is streamed.
func (c *conn) readUnknownLength(
	t *Transport, res *http.Response, until time.Duration,
) (*http.Response, []byte, error) {
	c.limited.N = math.MaxInt64 // the limit's end would pass for the response's
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
