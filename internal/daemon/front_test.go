package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
)

// A request and its response pass through the sidecar with path, query, body and end-to-end headers unchanged. Headers
// that apply to one connection only are not forwarded.
func TestRequestIsForwarded(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/hive\r\nX-Server-Load: TEXT inflight=1\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
		return err == nil
	})
	sidecar := startSidecar(t, nil, s.Address)
	if res, _ := do(t, sidecar.request(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Fatalf("GET /up: %s", res.Status)
	}
	req := sidecar.request(t, "POST", "/reading/hive%2F7?scale=a%20b&x", "41.5 kg",
		"Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1")
	res, body := do(t, req)
	if res.StatusCode != http.StatusOK || body != "41.5 kg" || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("response: status %s, body %q, headers %v", res.Status, body, res.Header)
	}
	got := testbed.Wait(t, "the request", s.Seen)
	if got.Method != "POST" || got.URI != "/reading/hive%2F7?scale=a%20b&x" || got.Body != "41.5 kg" ||
		got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("upstream received %s %s with body %q, headers %v", got.Method, got.URI, got.Body, got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("hop-by-hop headers were forwarded: request headers %v, response headers %v", got.Header, res.Header)
	}
}

// An invalid request gets a response with status 400 or 405, and the sidecar makes no attempt.
func TestInvalidRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, nil, s.Address)
	for name, c := range map[string]struct {
		status int
		req    *http.Request
	}{
		"no id":             {400, sidecar.request(t, "GET", "/look", "", "X-Request-ID", "")},
		"no class":          {400, sidecar.request(t, "GET", "/look", "", "X-Priority-Class", "")},
		"unknown class":     {400, sidecar.request(t, "GET", "/nothing", "")},
		"two classes":       {400, sidecar.request(t, "GET", "/look", "", "X-Priority-Class", "entry")},
		"no tenant":         {400, sidecar.request(t, "GET", "/look", "", "X-Tenant-Id", "")},
		"unknown tenant":    {400, sidecar.request(t, "GET", "/look", "", "X-Tenant-Id", "east")},
		"no time":           {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "")},
		"time without unit": {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "480")},
		"time is NaN":       {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "NaNm")},
		"time below 0":      {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "-5m")},
		"time is 0":         {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "0m")},
		"bad cost":          {400, sidecar.request(t, "GET", "/look", "", "X-Cost", "cheap")},
		"keyed without key": {400, sidecar.request(t, "POST", "/reading", "1")},
		"time too long":     {400, sidecar.request(t, "GET", "/look", "", "X-Timeout", "900000000m")},
		"wrong method":      {405, sidecar.request(t, "POST", "/look", "")},
		"head":              {405, sidecar.request(t, "HEAD", "/look", "")},
		"body on GET":       {400, sidecar.request(t, "GET", "/look", "1")},
		"key on unkeyed":    {400, sidecar.request(t, "POST", "/entry", "1", "Idempotency-Key", "k")},
	} {
		if res, _ := do(t, c.req); res.StatusCode != c.status {
			t.Errorf("%s: status %s, want %d", name, res.Status, c.status)
		}
	}
	if res, body := do(t, sidecar.request(
		t, "POST", "/entry", strings.Repeat("x", call.MaxBufferedBody),
	)); res.StatusCode != 200 || body != "done r1" {
		t.Errorf("longest body: status %s, body %q, want 200", res.Status, body)
	}
	if len(s.Seen) != 1 {
		t.Errorf("upstream received %d requests, want only the valid request", len(s.Seen))
	}
}

// A non-idempotent request that may have been executed is not retried: the client gets status 502 after one attempt.
func TestFailedRequestIsNotRetried(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, _ testbed.Received) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	sidecar := startSidecar(t, nil, s.Address)
	if res, _ := do(t, sidecar.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusBadGateway {
		t.Errorf("status %s, want 502", res.Status)
	}
	if len(s.Seen) != 1 {
		t.Errorf("%d attempts, want 1", len(s.Seen))
	}
}

// A rejected request gets status 503 and a Retry-After header in decimal seconds.
func TestRejectionHasRetryAfter(t *testing.T) {
	// Without servers, requests wait in the queue until the sidecar rejects them.
	sidecar := startSidecar(t, nil)
	const requests = 50
	type result struct {
		res *http.Response
		err error
	}
	results := make(chan result, requests)
	for i := range requests {
		req := sidecar.request(t, "GET", "/look", "", "X-Timeout", "500m", "X-Request-ID", "r"+strconv.Itoa(i))
		go func() {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			results <- result{res, err}
		}()
	}
	for range requests {
		r := testbed.Wait(t, "a rejection", results)
		if r.err != nil {
			t.Fatal(r.err)
		}
		r.res.Body.Close()
		retryAfter := r.res.Header.Get("Retry-After")
		delay, err := strconv.ParseFloat(retryAfter, 64)
		if err != nil || delay <= 0 || delay > 1.2 || r.res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %s, Retry-After %q, want 503 and at most 1.2 s", r.res.Status, retryAfter)
		}
	}
}

// raw sends bytes on a new connection and returns the status of each response until the sidecar closes the connection.
func (s *testSidecar) raw(t *testing.T, bytes string) []int {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	var statuses []int
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("request %.60q: the sidecar did not close the connection", bytes)
			}
			return statuses
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
}

// rawHead is a format for the head of a request without its framing headers. Its argument is the request id.
const rawHead = "POST /entry HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: entry\r\n" +
	"X-Tenant-Id: north\r\nX-Timeout: 9000m\r\n"

// A malformed or ambiguous request gets one error response, and the sidecar closes the connection without reading
// further. No part of the request reaches an upstream, in particular no second request that is smuggled in the body.
func TestMalformedRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, nil, s.Address)
	head, hidden := fmt.Sprintf(rawHead, "r1"), fmt.Sprintf(rawHead, "hidden")+"Content-Length: 1\r\n\r\n1"
	for name, c := range map[string]struct {
		status int
		bytes  string
	}{
		"hidden request": {400, head + fmt.Sprintf(
			"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)},
		"hidden, a coding": {400, head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hidden},
		"bad chunk":        {400, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n" + hidden},
		"hidden, 1.0": {505, strings.Replace(head, "1.1", "1.0", 1) +
			"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1" + hidden},
		"no length":       {411, head + "\r\n" + hidden},
		"two lengths":     {400, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n1" + hidden},
		"negative length": {400, head + "Content-Length: -1\r\n\r\n" + hidden},
		"huge length":     {408, head + "Content-Length: 60000000\r\n\r\n" + hidden},
		"two ids":         {400, head + "X-Request-ID: r2\r\nContent-Length: 1\r\n\r\n1" + hidden},
		"no path":         {400, strings.Replace(head, "/entry", "entry", 1) + "Content-Length: 1\r\n\r\n1" + hidden},
		"half a body":     {408, head + "Content-Length: 100\r\n\r\n1"},
		"noise":           {400, "\x00\x01\x02 nonsense\r\n\r\n" + hidden},
		"endless head":    {431, head + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 40)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The test cases run in parallel, so each request needs its own id.
			bytes := strings.ReplaceAll(c.bytes, "X-Request-ID: r1",
				"X-Request-ID: "+strings.ReplaceAll(name, " ", "-"))
			if got := sidecar.raw(t, bytes); len(got) != 1 || got[0] != c.status {
				t.Errorf("response statuses are %v, want only %d before the connection is closed", got, c.status)
			}
		})
	}
	t.Run("half a head", func(t *testing.T) {
		t.Parallel()
		sidecar.raw(t, head)
	})
	t.Run("nothing", func(t *testing.T) {
		t.Parallel()
		sidecar.raw(t, "")
	})
	t.Cleanup(func() {
		if len(s.Seen) > 0 {
			t.Errorf("upstream received %d requests, want 0", len(s.Seen))
		}
	})
}

// The sidecar does not reset the connection of a client whose request is rejected while the client still sends the
// body: the client can finish the body and read the response. The sidecar closes the connection of a client that never
// finishes.
func TestRejectedClientIsNotReset(t *testing.T) {
	sidecar := startSidecar(t, nil)
	for name, rest := range map[string]int{"ends": 60000, "never ends": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(sidecar.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			start := time.Now()
			_ = c.SetDeadline(start.Add(testbed.MaxWait))
			_, err = fmt.Fprintf(c, "POST /entry HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", rest)
			if err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil) // before any of the body is sent
			if err != nil || res.StatusCode != http.StatusBadRequest {
				t.Fatalf("%v, error %v, want 400", res, err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_, _ = c.Read(make([]byte, 1)) // end of stream: the daemon now discards the body, or has closed the connection
			for sent := 0; sent < rest && err == nil; {
				var n int
				n, err = c.Write(make([]byte, min(4096, rest-sent)))
				sent += n
			}
			if rest < discardLimit && err != nil {
				t.Errorf("sending the rest of the body failed: %v, want the daemon to discard the rest", err)
			}
			if rest > discardLimit && (err == nil || time.Since(start) > 3*time.Second) {
				t.Errorf("after %v: error %v, want the connection closed within 3 s", time.Since(start), err)
			}
		})
	}
}

// discardLimit separates the body sizes that the daemon discards completely from the sizes at which it closes the
// connection, in bytes.
const discardLimit = 256 << 10
