package meshclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedResponse is the response of scriptedTransport to one request.
type scriptedResponse struct {
	status       int // 0: no response until the request is cancelled, -1: the connection is refused
	header       http.Header
	body         string
	byteInterval time.Duration // delay before each byte of the body
}

// slowBody is a response body that is received byte by byte, with a delay before each byte, until the request is
// cancelled.
type slowBody struct {
	io.Reader
	byteInterval time.Duration
	ctx          context.Context
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.byteInterval) // in the virtual time of synctest
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(p[:1])
}

// scriptedTransport is an http.RoundTripper that simulates the machines of the mesh. It responds to each request with
// the next of its responses, and records the requests.
type scriptedTransport struct {
	startedAt time.Time

	mu        sync.Mutex
	responses []scriptedResponse
	calls     []string        // address and path of each request
	bodies    []string        // body of each request
	times     []time.Duration // time of each request since startedAt
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	next := s.record(r, body)
	switch next.status {
	case -1:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case 0:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if next.header == nil {
		next.header = http.Header{}
	}
	return &http.Response{
		StatusCode: next.status,
		Status:     fmt.Sprint(next.status),
		Header:     next.header,
		Body:       io.NopCloser(&slowBody{strings.NewReader(next.body), next.byteInterval, r.Context()}),
		Request:    r,
	}, nil
}

// record records a request and returns the next response. After the last response, it returns responses with status
// 200.
func (s *scriptedTransport) record(r *http.Request, body []byte) scriptedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r.URL.Host+" "+r.URL.Path)
	s.bodies = append(s.bodies, string(body))
	s.times = append(s.times, time.Since(s.startedAt))
	if len(s.responses) == 0 {
		return scriptedResponse{status: 200, body: `{"configVersion":7}`}
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	return next
}

// runScript runs a test in virtual time, with a client that has three addresses and starts with the first one.
func runScript(
	t *testing.T, responses []scriptedResponse, run func(ctx context.Context, s *scriptedTransport, c *Client),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{responses: responses, startedAt: time.Now()}
		c := &Client{Addresses: []string{"a:1", "b:1", "c:1"}, HTTP: &http.Client{Transport: s}}
		c.once.Do(c.initialize)
		c.current = 0
		run(t.Context(), s, c)
	})
}

func redirectTo(location string) http.Header { return http.Header{"Location": {location}} }
