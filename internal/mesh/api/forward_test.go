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

// memberFunc is a core machine's response to a request.
type memberFunc func(r *http.Request) (*http.Response, error)

// members are core machines by address, in virtual time.
type members map[string]memberFunc

func (m members) RoundTrip(r *http.Request) (*http.Response, error) { return m[r.URL.Host](r) }

// frozen never answers.
func frozen(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// breaksOff accepts a request and breaks off.
func breaksOff(*http.Request) (*http.Response, error) {
	time.Sleep(100 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// unreachable is behind a partition: no connection can be opened.
func unreachable(*http.Request) (*http.Response, error) {
	time.Sleep(300 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// answers returns a member that answers after a while.
func answers(status int, after time.Duration) memberFunc {
	return func(r *http.Request) (*http.Response, error) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(after)
		w := httptest.NewRecorder()
		w.Header().Set("X-Mesh-Fault", map[int]string{400: "Invalid", 412: "Stale", 503: "NoQuorum"}[status])
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"configVersion":7}`)
		return w.Result(), nil
	}
}

// forwardTo serves the routes of a Forwarder to the members, in that order.
func forwardTo(inOrder ...memberFunc) http.Handler {
	byAddress, addresses := make(members), []string(nil)
	for i, member := range inOrder {
		address := "10.0.0." + string(rune('1'+i)) + ":1"
		byAddress[address], addresses = member, append(addresses, address)
	}
	mux := http.NewServeMux()
	client := &http.Client{Transport: byAddress}
	RegisterOperatorRoutes(mux, Forwarder{Client: client, Addresses: func() []string { return addresses }})
	return mux
}

// A caller has an answer within the second, whatever core machines do with its request: the one that
// decides, or a 5xx that has it try another machine. What may have been applied is not rejected.
func TestForwardInTime(t *testing.T) {
	const quick = 100 * time.Millisecond
	for _, c := range []struct {
		name    string
		members []memberFunc
		status  int
		within  time.Duration
	}{
		{"the first is frozen", []memberFunc{frozen, answers(200, quick)}, 200, hedgeDelay + quick},
		{"all are frozen", []memberFunc{frozen, frozen, frozen}, 503, forwardTimeout},
		{"the first breaks off", []memberFunc{breaksOff, answers(200, quick)}, 200, 2 * quick},
		{"all break off", []memberFunc{breaksOff, breaksOff, breaksOff}, 502, 3 * quick},
		{
			"partitioned from all",
			[]memberFunc{unreachable, unreachable, unreachable, unreachable, unreachable, unreachable},
			503, forwardTimeout,
		},
		{"rejected after a frozen one", []memberFunc{frozen, answers(412, quick)}, 412, hedgeDelay + quick},
		{
			"the first decides",
			[]memberFunc{answers(200, hedgeDelay+quick), answers(503, quick)},
			200, hedgeDelay + quick,
		},
		{"no majority", []memberFunc{answers(503, quick), answers(503, quick)}, 503, 2 * quick},
		{"invalid", []memberFunc{answers(400, quick), breaksOff}, 400, quick},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front := forwardTo(c.members...)
				var requests sync.WaitGroup
				for range 8 { // at once
					requests.Go(func() {
						began := time.Now()
						status, _ := replace(front, `{"configVersion":7}`)
						if took := time.Since(began); status != c.status || took > c.within+time.Millisecond {
							t.Errorf("%d after %v, want %d within %v", status, took, c.status, c.within)
						}
					})
				}
				requests.Wait()
				time.Sleep(time.Minute) // until all members have ended
			})
		})
	}
}

// A large body has more time, as its caller waits longer behind it.
func TestForwardLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := forwardTo(answers(200, 3*time.Second), func(*http.Request) (*http.Response, error) {
			t.Error("the second member was asked as well")
			return nil, io.ErrUnexpectedEOF
		})
		if status, _ := replace(front, `{"configVersion":7`+strings.Repeat(" ", 3<<20)+"}"); status != 200 {
			t.Errorf("%d", status)
		}
	})
}

// slowBody is a response body that takes a second to read.
type slowBody struct{ *strings.Reader }

func (s slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return s.Reader.Read(p)
}

// A response that has begun within the second is waited for: a large configuration takes longer than that.
func TestForwardLargeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := forwardTo(func(r *http.Request) (*http.Response, error) {
			httptrace.ContextClientTrace(r.Context()).GotFirstResponseByte()
			body := io.NopCloser(slowBody{strings.NewReader(`{"configVersion":7}`)})
			return &http.Response{StatusCode: 200, Body: body, ContentLength: -1}, nil
		})
		status, answer := call(front, "GET", "/api/configuration/describe", "")
		if status != 200 || answer != `{"configVersion":7}` {
			t.Errorf("%d %s", status, answer)
		}
	})
}
