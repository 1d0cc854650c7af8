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

// members are core members by address, in virtual time.
type members map[string]func(r *http.Request) (*http.Response, error)

func (m members) RoundTrip(r *http.Request) (*http.Response, error) { return m[r.URL.Host](r) }

// silent says nothing, as a machine that is frozen.
func silent(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// dies takes a call and breaks off.
func dies(*http.Request) (*http.Response, error) {
	time.Sleep(100 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// unreachable is behind a cut: no connection comes up.
func unreachable(*http.Request) (*http.Response, error) {
	time.Sleep(300 * time.Millisecond)
	return nil, io.ErrUnexpectedEOF
}

// says gives a member that answers after a while.
func says(status int, after time.Duration) func(*http.Request) (*http.Response, error) {
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

// A caller has an answer within the second, whatever core members do with its call: the one that settles it, or a 5xx that tells it to go on. Of what may have been taken nothing is refused.
func TestForwardInTime(t *testing.T) {
	const quick = 100 * time.Millisecond
	for name, c := range map[string]struct {
		members []func(*http.Request) (*http.Response, error)
		status  int
		within  time.Duration
	}{
		"the first is frozen":          {members: []func(*http.Request) (*http.Response, error){silent, says(200, quick)}, status: 200, within: hedgeDelay + quick},
		"all are frozen":               {[]func(*http.Request) (*http.Response, error){silent, silent, silent}, 503, forwardTimeout},
		"the first dies with the call": {[]func(*http.Request) (*http.Response, error){dies, says(200, quick)}, 200, 2 * quick},
		"all die with the call":        {[]func(*http.Request) (*http.Response, error){dies, dies, dies}, 502, 3 * quick},
		"cut off from all":             {[]func(*http.Request) (*http.Response, error){unreachable, unreachable, unreachable, unreachable, unreachable, unreachable}, 503, forwardTimeout},
		"refused behind a silence":     {[]func(*http.Request) (*http.Response, error){silent, says(412, quick)}, 412, hedgeDelay + quick},
		"the first one settles it":     {[]func(*http.Request) (*http.Response, error){says(200, hedgeDelay+quick), says(503, quick)}, 200, hedgeDelay + quick},
		"no majority":                  {[]func(*http.Request) (*http.Response, error){says(503, quick), says(503, quick)}, 503, 2 * quick},
		"invalid":                      {[]func(*http.Request) (*http.Response, error){says(400, quick), dies}, 400, quick},
	} {
		synctest.Test(t, func(t *testing.T) {
			all, order := make(members), []string(nil)
			for i, m := range c.members {
				address := "10.0.0." + string(rune('1'+i)) + ":1"
				all[address], order = m, append(order, address)
			}
			mux := http.NewServeMux()
			RegisterOperatorRoutes(mux, Forwarder{Client: &http.Client{Transport: all}, Addresses: func() []string { return order }})
			var calls sync.WaitGroup
			for range 8 { // under way at once
				calls.Go(func() {
					began := time.Now()
					status, _ := call(mux, "POST", "/api/configuration/replace", `{"configVersion":7}`)
					if took := time.Since(began); status != c.status || took > c.within+time.Millisecond {
						t.Errorf("%s: %d after %v, want %d within %v", name, status, took, c.status, c.within)
					}
				})
			}
			calls.Wait()
			time.Sleep(time.Minute) // members that were asked in vain end
		})
	}
}

// A large body has longer, as its caller waits longer behind it.
func TestForwardLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := members{"10.0.0.1:1": says(200, 3*time.Second), "10.0.0.2:1": func(*http.Request) (*http.Response, error) {
			t.Error("it went to the next one as well")
			return nil, io.ErrUnexpectedEOF
		}}
		mux := http.NewServeMux()
		RegisterOperatorRoutes(mux, Forwarder{Client: &http.Client{Transport: all}, Addresses: func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1"} }})
		if status, _ := call(mux, "POST", "/api/configuration/replace", `{"configVersion":7`+strings.Repeat(" ", 3<<20)+"}"); status != 200 {
			t.Errorf("%d", status)
		}
	})
}

// slow is the rest of an answer that takes its time.
type slow struct{ *strings.Reader }

func (s slow) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return s.Reader.Read(p)
}

// An answer that has begun within the second is waited for: a large configuration takes longer than that.
func TestForwardLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := members{"10.0.0.1:1": func(r *http.Request) (*http.Response, error) {
			httptrace.ContextClientTrace(r.Context()).GotFirstResponseByte()
			return &http.Response{StatusCode: 200, Body: io.NopCloser(slow{strings.NewReader(`{"configVersion":7}`)}), ContentLength: -1}, nil
		}}
		mux := http.NewServeMux()
		RegisterOperatorRoutes(mux, Forwarder{Client: &http.Client{Transport: all}, Addresses: func() []string { return []string{"10.0.0.1:1"} }})
		if status, said := call(mux, "GET", "/api/configuration/describe", ""); status != 200 || said != `{"configVersion":7}` {
			t.Errorf("%d %s", status, said)
		}
	})
}
