package plugin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// A RoundTripper returns responses and errors as documented, and does not send requests that it can't support.
func TestRoundTrip(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	cfg := testConfig(n)
	cfg.Methods = map[string]Method{"/ledger.v1.Ledger/Enter": {Class: "entry"}}
	// A call that its only server rejected waits this long for another server.
	cfg.Policy.Classes[2].LatencyTarget = 400 * time.Millisecond
	var h http.Client
	// newClient opens a client without a history of failures, because the policy admits fewer calls after failures.
	newClient := func(act testbed.Act) {
		n.Do(testbed.Always(act))
		h.Transport = mustOpen(t, cfg).RoundTripper()
	}
	newClient(testbed.Serve)
	post := func(url, body string, headers ...string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Add(headers[i], headers[i+1])
		}
		return h.Do(req)
	}
	const url = "http://ledger/ledger.v1.Ledger/Enter"
	res, err := post(url, "1", "X-Request-ID", "r1")
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(res.Body); string(body) != "done r1" || res.StatusCode != http.StatusOK {
		t.Errorf("status %s, body %q, want status 200 and \"done r1\"", res.Status, body)
	}
	newClient(testbed.Fail)
	if res, err := post(url, "1"); err != nil || res.StatusCode != http.StatusInternalServerError {
		t.Errorf("response %v, error %v, want the server's own status 500", res, err)
	}
	newClient(testbed.Busy) // a 503 that does not rule out a run: a caller that repeats the call could run it twice
	if _, err := post(url, "1"); !errors.As(err, new(*FailedError)) {
		t.Errorf("error %v, want a FailedError", err)
	}
	newClient(testbed.Reject)
	if _, err := post(url, "1"); !errors.As(err, new(*RefusedError)) {
		t.Errorf("error %v, want a RefusedError", err)
	}
	newClient(testbed.Serve)
	seen := l.Len()
	for name, c := range map[string][]string{
		"no class":        {"http://ledger/unheard/of", "1"},
		"https":           {"https://ledger/ledger.v1.Ledger/Enter", "1"},
		"long body":       {url, strings.Repeat("x", MaxBody+1)},
		"duplicate id":    {url, "1", "X-Request-ID", "a", "X-Request-ID", "b"},
		"bad time-out":    {url, "1", "X-Timeout", "soon"},
		"bad cost":        {url, "1", "X-Cost", "cheap"},
		"needless key":    {url, "1", "Idempotency-Key", "k"},
		"long time-out":   {url, "1", "X-Timeout", "999999999m"},
		"class by header": {url, "1", "X-Priority-Class", "nothing"},
	} {
		var invalid *InvalidError
		if _, err := post(c[0], c[1], c[2:]...); !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want an InvalidError", name, err)
		}
	}
	if l.Len() != seen {
		t.Errorf("%d invalid requests were sent, want 0", l.Len()-seen)
	}
}

// A request whose fields could end the header section early or inject another request must not be sent.
func TestNoRequestSmuggling(t *testing.T) {
	l := new(testbed.ArrivalLog)
	c := mustOpen(t, testConfig(testbed.NewHTTPNode(t, "s-0", l)))
	for name, r := range map[string]Request{
		"header value": {Header: http.Header{"X-A": {"1\r\nX-B: 2"}}},
		"header name":  {Header: http.Header{"X-A: 1\r\nX-B": {"2"}}},
		"path":         {Path: "/a HTTP/1.1\r\n\r\n"},
		"no slash":     {Path: "a"},
		"host":         {Host: "a\r\nX-B: 2"},
		"method":       {Method: "GET /x"},
		"id":           {ID: "a\r\nX-B: 2"},
		"route key":    {RouteKey: "a\nb"},
		"long id":      {ID: strings.Repeat("x", maxIDBytes+1)},
	} {
		r.Class = "look"
		var invalid *InvalidError
		if _, err := c.Do(context.Background(), r); !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want an InvalidError", name, err)
		}
	}
	if l.Len() != 0 {
		t.Errorf("%d invalid requests were sent, want 0", l.Len())
	}
}

// Guards against a failure that looks complete without its body: a failure whose body is too long for the client's
// buffer was returned with an empty body.
func TestFailureWithLongBodyIsAnError(t *testing.T) {
	for _, length := range []int{10, MaxBody, MaxBody + 1} {
		address := testbed.NewHandler(t, func(c net.Conn, r *http.Request) bool {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			body := strings.Repeat("x", length)
			_, err := fmt.Fprintf(c, "HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n%s", length, body)
			return err == nil
		})
		cfg := testConfig()
		cfg.Known = []Node{{ID: "s-0", Address: address, Weight: 1}}
		cfg.Methods = map[string]Method{"/ledger.v1.Ledger/Enter": {Class: "entry"}}
		client := http.Client{Transport: mustOpen(t, cfg).RoundTripper()}
		res, err := client.Post("http://ledger/ledger.v1.Ledger/Enter", "text/plain", strings.NewReader("1"))
		if length > MaxBody {
			if !errors.As(err, new(*FailedError)) {
				t.Errorf("a failure of %d bytes: response %v, error %v, want a FailedError", length, res, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || len(body) != length {
			t.Errorf("a failure of %d bytes arrived with %d bytes, error %v", length, len(body), err)
		}
	}
}
