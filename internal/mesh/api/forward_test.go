package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// memberFunc processes a request as a core machine does.
type memberFunc func(r *http.Request) (*http.Response, error)

// memberTransport is an HTTP transport that passes each request to the core machine with the request's
// address. It opens no sockets, so tests can use virtual time.
type memberTransport map[string]memberFunc

func (m memberTransport) RoundTrip(r *http.Request) (*http.Response, error) { return m[r.URL.Host](r) }

// frozen is a core machine that accepts a request and never answers.
func frozen(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// disconnects is a core machine that accepts a request and closes the connection after 100 ms.
func disconnects(*http.Request) (*http.Response, error) {
	time.Sleep(100 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// unreachable is a core machine behind a network partition: opening a connection fails after 300 ms.
func unreachable(*http.Request) (*http.Response, error) {
	time.Sleep(300 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// answers returns a core machine that answers with the status after a delay.
func answers(status int, delay time.Duration) memberFunc {
	return func(r *http.Request) (*http.Response, error) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(delay)
		w := httptest.NewRecorder()
		w.Header().Set("X-Mesh-Fault", map[int]string{400: "Invalid", 412: "Stale", 503: "NoQuorum"}[status])
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"configVersion":7}`)
		return w.Result(), nil
	}
}

// forwardTo returns the operators' routes, processed by a Forwarder to the core machines in the given
// order.
func forwardTo(inOrder ...memberFunc) http.Handler {
	byAddress, addresses := make(memberTransport), []string(nil)
	for i, member := range inOrder {
		address := "10.0.0." + string(rune('1'+i)) + ":1"
		byAddress[address], addresses = member, append(addresses, address)
	}
	mux := http.NewServeMux()
	client := &http.Client{Transport: byAddress}
	RegisterOperatorRoutes(mux, Forwarder{Client: client, Addresses: func() []string { return addresses }})
	return mux
}

// TestForwardInTime checks that a caller has an answer within one second, whatever the core machines do
// with its request: either the final result, or a 5xx status after which the caller tries another
// machine. A request that may have been applied must not be rejected.
func TestForwardInTime(t *testing.T) {
	const quick = 100 * time.Millisecond
	for _, tt := range []struct {
		name    string
		members []memberFunc
		status  int
		within  time.Duration
	}{
		{"the first is frozen", []memberFunc{frozen, answers(200, quick)}, 200, hedgeDelay + quick},
		{"all are frozen", []memberFunc{frozen, frozen, frozen}, 503, forwardTimeout},
		{"the first disconnects", []memberFunc{disconnects, answers(200, quick)}, 200, 2 * quick},
		{"all disconnect", []memberFunc{disconnects, disconnects, disconnects}, 502, 3 * quick},
		{
			"partitioned from all",
			[]memberFunc{unreachable, unreachable, unreachable, unreachable, unreachable, unreachable},
			503, forwardTimeout,
		},
		{"frozen, then rejected", []memberFunc{frozen, answers(412, quick)}, 412, hedgeDelay + quick},
		{
			"the first answers after the hedge",
			[]memberFunc{answers(200, hedgeDelay+quick), answers(503, quick)},
			200, hedgeDelay + quick,
		},
		{"no majority reachable", []memberFunc{answers(503, quick), answers(503, quick)}, 503, 2 * quick},
		{"invalid", []memberFunc{answers(400, quick), disconnects}, 400, quick},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := forwardTo(tt.members...)
				var requests sync.WaitGroup
				for range 8 { // concurrently
					requests.Go(func() {
						began := time.Now()
						status, _ := replace(forwarder, `{"configVersion":7}`)
						if took := time.Since(began); status != tt.status || took > tt.within+time.Millisecond {
							t.Errorf("status %d after %v, want %d within %v", status, took, tt.status, tt.within)
						}
					})
				}
				requests.Wait()
				time.Sleep(time.Minute) // until all sends have ended
			})
		})
	}
}

// For a large request body the hedge delay and the time limit are longer, since the caller waits longer,
// too.
func TestForwardLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := forwardTo(answers(200, 3*time.Second), func(*http.Request) (*http.Response, error) {
			t.Error("the request was also sent to the second core machine")
			return nil, io.ErrUnexpectedEOF
		})
		if status, _ := replace(forwarder, `{"configVersion":7`+strings.Repeat(" ", 3<<20)+"}"); status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	})
}

// slowBody is a response body of which each read takes one second.
type slowBody struct{ *strings.Reader }

func (s slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return s.Reader.Read(p)
}

// A response that has begun within the time limit is received in full, since a large configuration takes
// longer to receive than that limit.
func TestForwardLargeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := forwardTo(func(r *http.Request) (*http.Response, error) {
			httptrace.ContextClientTrace(r.Context()).GotFirstResponseByte()
			body := io.NopCloser(slowBody{strings.NewReader(`{"configVersion":7}`)})
			return &http.Response{StatusCode: 200, Body: body, ContentLength: -1}, nil
		})
		status, answer := call(forwarder, "GET", "/api/configuration/describe", "")
		if status != 200 || answer != `{"configVersion":7}` {
			t.Errorf("status %d with body %s, want 200 with version 7", status, answer)
		}
	})
}
