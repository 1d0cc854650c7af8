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

// response is what the stand-in answers to one request; status 0: nothing until the request is
// cancelled, -1: no connection comes up.
type response struct {
	status       int
	header       http.Header
	body         string
	byteInterval time.Duration // between the bytes of the body
}

// slowBody is a body whose bytes come one by one, until the request is cancelled.
type slowBody struct {
	io.Reader
	byteInterval time.Duration
	ctx          context.Context
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.byteInterval) // of the bubble's time
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(p[:1])
}

// scriptedTransport stands in for the machines. It answers each request with the next of its
// responses, and records the requests.
type scriptedTransport struct {
	startedAt time.Time

	mu        sync.Mutex
	responses []response
	calls     []string // address, method and path
	bodies    []string
	times     []time.Duration // since startedAt
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

// record records a request and takes the next response; after the last one the answer is 200.
func (s *scriptedTransport) record(r *http.Request, body []byte) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r.URL.Host+" "+r.URL.Path)
	s.bodies = append(s.bodies, string(body))
	s.times = append(s.times, time.Since(s.startedAt))
	if len(s.responses) == 0 {
		return response{status: 200, body: `{"configVersion":7}`}
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	return next
}

// runScript runs a test in virtual time with a client of three machines that starts at the first.
func runScript(t *testing.T, responses []response, run func(ctx context.Context, s *scriptedTransport, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{responses: responses, startedAt: time.Now()}
		c := &Client{Addresses: []string{"a:1", "b:1", "c:1"}, HTTP: &http.Client{Transport: s}}
		c.once.Do(c.start)
		c.current = 0
		run(t.Context(), s, c)
	})
}

func redirectTo(location string) http.Header { return http.Header{"Location": {location}} }
