package http1

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
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
	errNoStatus        = errors.New("status of the response is outside 100 to 599")
	errNoFinalResponse = errors.New("no final response among the first 8 responses read")
)

// response is a response that was read completely, or whose head has a responseStream as its Body. The zero value
// stands for no response.
type response struct {
	head *http.Response
	body []byte
}

// received reports whether there is a response.
func (r response) received() bool { return r.head != nil }

// responseReader reads the response to one request from its connection.
type responseReader struct {
	transport *Transport
	conn      *conn
	message   *call.Message
	request   *http.Request // its method determines whether the response has a body
	remaining int           // responses that may still be read
}

func newResponseReader(t *Transport, c *conn, m *call.Message) *responseReader {
	c.limited.N = maxResponseBytes
	return &responseReader{
		transport: t, conn: c, message: m, request: &http.Request{Method: m.Method}, remaining: maxResponsesRead,
	}
}

// hasInput reports whether the server has sent bytes that were not read yet.
func (r *responseReader) hasInput() bool { return r.conn.reader.Buffered() > 0 || r.conn.hasInput() }

// read reads the final response to the request.
func (r *responseReader) read(until time.Duration) (response, error) {
	for {
		if res, err := r.next(until); res.received() || err != nil {
			return res, err
		}
	}
}

// next reads one response. It discards an interim response, and one that belongs to an earlier request or to none, and
// then returns no response.
func (r *responseReader) next(until time.Duration) (response, error) {
	if r.remaining--; r.remaining < 0 {
		return response{}, errNoFinalResponse
	}
	head, err := http.ReadResponse(r.conn.reader, r.request)
	if err != nil {
		return response{}, err
	}
	switch {
	case !h1.IsStatus(head.StatusCode): // net/http accepts every three digits
		return response{}, errNoStatus
	case head.StatusCode/100 == 1:
		return response{}, nil
	}
	mayStream := r.message.Stream && head.StatusCode == http.StatusOK
	dialect, isProbe := r.transport.dialect, r.message.Header == nil
	if dialect != nil && !isProbe {
		if !dialect.MatchesRequest(r.message, head) {
			_, err := io.Copy(io.Discard, head.Body)
			return response{}, err
		}
		// A response with neither a length nor chunks ends when its connection closes, so truncation is undetectable.
		isFramed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		ending, _ := dialect.Classify(head)
		mayStream = r.message.Stream && ending == policy.Served && isFramed
	}
	head, body, err := r.conn.readResponseBody(r.transport, head, mayStream, until)
	if err != nil {
		return response{}, err
	}
	return response{head: head, body: body}, nil
}

// readResponseBody reads or streams the body of a response whose head was read.
func (c *conn) readResponseBody(
	t *Transport, res *http.Response, mayStream bool, until time.Duration,
) (*http.Response, []byte, error) {
	switch {
	case res.ContentLength > call.MaxBufferedBody && !mayStream:
		isForwarded := t.dialect != nil && !t.isRejection(res)
		if res.StatusCode == http.StatusOK || isForwarded {
			return nil, nil, errBodyTooLong // known before any of the body is read
		}
		res.Close = true // the head is sufficient
		return res, nil, nil
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
