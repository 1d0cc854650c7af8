package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// controlClient makes control calls to a sidecar.
type controlClient struct{ address string }

// startWithControl starts a sidecar with a control port and a directory for the bans file, and waits until the sidecar
// is healthy.
func startWithControl(t *testing.T, addresses ...string) (*testSidecar, controlClient) {
	t.Helper()
	client := controlClient{testbed.FreeAddress(t)}
	t.Setenv("TMPDIR", t.TempDir())
	sidecar := startSidecar(t, func(file, _ map[string]any) { file["control"] = client.address }, addresses...)
	testbed.Until(t, "the control address", func() bool {
		c, err := net.Dial("tcp", client.address)
		if err == nil {
			c.Close()
		}
		return err == nil && strings.HasPrefix(client.call(t, "health"), "200")
	})
	return sidecar, client
}

// call makes a control call and returns the response.
func (client controlClient) call(t *testing.T, line string) string {
	t.Helper()
	text, err := testbed.Operate(client.address, line)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// counters makes a counters call and returns the value of each metric.
func (client controlClient) counters(t *testing.T) map[string]int {
	t.Helper()
	text := client.call(t, "counters")
	if !strings.HasSuffix(text, "\nEOF\n") {
		t.Fatalf("counters response ends with %q, want EOF", text[max(0, len(text)-40):])
	}
	got := make(map[string]int)
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && name != "#" {
			got[name], _ = strconv.Atoi(value)
		}
	}
	return got
}

// wantResponse makes a control call and checks that the response is one line that begins with prefix.
func (client controlClient) wantResponse(t *testing.T, line, prefix string) {
	t.Helper()
	if got := client.call(t, line); !strings.HasPrefix(got, prefix) || strings.Count(got, "\n") != 1 {
		t.Errorf("call %s: response %q, want one line that begins with %s", line, got, prefix)
	}
}

// After the response to a cordon call, the banned upstream gets no new requests. After the response to an uncordon
// call, the upstream gets requests again. If all upstreams are banned, requests are rejected with 503 within 1 s.
func TestBannedUpstreamGetsNoRequests(t *testing.T) {
	a, b := testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Echo)
	sidecar, client := startWithControl(t, a.Address, b.Address)
	client.wantResponse(t, "health", "200")
	sendRequests := func(n int) {
		t.Helper()
		for i := range n {
			if res, _ := do(t, sidecar.request(
				t, "GET", "/look", "", "X-Request-ID", fmt.Sprint("r", i),
			)); res.StatusCode != http.StatusOK {
				t.Fatalf("request: status %s, want 200", res.Status)
			}
		}
	}
	sendRequests(20)
	if len(a.Seen) == 0 || len(b.Seen) == 0 {
		t.Fatalf("upstreams received %d and %d requests, want at least 1 each", len(a.Seen), len(b.Seen))
	}
	client.wantResponse(t, "cordon s-0", "200")
	client.wantResponse(t, "cordon s-0", "200")
	if f := client.counters(t); f["edge_known_upstreams"] != 2 || f["edge_skipped_upstreams"] != 1 {
		t.Errorf("metrics: %d known and %d skipped upstreams, want 2 and 1",
			f["edge_known_upstreams"], f["edge_skipped_upstreams"])
	}
	before := len(a.Seen)
	sendRequests(20)
	if got := len(a.Seen); got != before {
		t.Errorf("banned upstream received %d requests, want 0", got-before)
	}
	client.wantResponse(t, "cordon nobody", "400")
	client.wantResponse(t, "cordon", "400")
	client.wantResponse(t, "cordon s-1", "200") // all upstreams are banned now
	start := time.Now()
	res, _ := do(t, sidecar.request(t, "GET", "/look", "", "X-Timeout", "600m"))
	if res.StatusCode != http.StatusServiceUnavailable || time.Since(start) > time.Second {
		t.Errorf("all upstreams banned: status %s after %v, want 503 within 1 s", res.Status, time.Since(start))
	}
	client.wantResponse(t, "uncordon s-1", "200")
	client.wantResponse(t, "uncordon s-0", "200")
	sendRequests(20)
	if len(a.Seen) == before {
		t.Error("upstream received no requests after its ban was lifted")
	}
}

// With upstreams that serve, fail, reject and reset, and clients that disconnect, the number of requests equals the sum
// of the outcome counters, and the attempts counter matches the attempts that the upstreams received.
func TestCountersAddUp(t *testing.T) {
	var l testbed.ArrivalLog
	var addresses []string
	for i := range 4 {
		n := testbed.NewHTTPNode(t, fmt.Sprint("s-", i), &l)
		act := [...]testbed.Act{testbed.Serve, testbed.Fail, testbed.Reject, testbed.Reset}[i]
		n.Do(testbed.Always(act))
		addresses = append(addresses, n.Address)
	}
	sidecar, client := startWithControl(t, addresses...)
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var all sync.WaitGroup
	for i := range 120 {
		class, method, headers := "look", "GET", []string{"X-Request-ID", fmt.Sprint("r", i)}
		if i%3 == 1 {
			class, method = "entry", "POST"
		}
		if i%3 == 2 {
			class, method, headers = "reading", "POST", append(headers, "Idempotency-Key", fmt.Sprint("k", i))
		}
		body := ""
		if method == "POST" {
			body = "1"
		}
		req := sidecar.request(t, method, "/"+class, body, headers...)
		disconnects := i%10 == 9
		ctx, cancel := context.WithCancel(context.Background())
		all.Go(func() {
			defer cancel()
			if disconnects {
				time.AfterFunc(time.Duration(i)*50*time.Microsecond, cancel)
			}
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req.WithContext(ctx))
			outcome := "left"
			if err == nil {
				defer res.Body.Close()
				if outcome = "bad_gateway"; res.StatusCode == 200 {
					outcome = "passed"
				} else if res.StatusCode == 503 {
					outcome = "dropped"
				}
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	all.Wait()
	var f map[string]int
	testbed.Until(t, "nothing in progress", func() bool { f = client.counters(t); return f["edge_in_progress"] == 0 })
	sum := 0
	for _, outcome := range []string{"passed", "dropped", "bad_gateway"} {
		n := 0
		for _, class := range []string{"look", "entry", "reading"} {
			n += f[fmt.Sprintf(`edge_handled_total{category=%q,outcome=%q}`, class, outcome)]
		}
		sum += n
		if excess := n - outcomes[outcome]; excess < 0 || excess > outcomes["left"] {
			t.Errorf("outcome %s: counter is %d, clients observed %d (%d clients disconnected)",
				outcome, n, outcomes[outcome], outcomes["left"])
		}
	}
	if sum < 120-outcomes["left"] || sum > 120 {
		t.Errorf("counters have %d outcomes for 120 requests, of which %d clients disconnected", sum, outcomes["left"])
	}
	if got, had := f["edge_upstream_tries_total"], len(l.All()); got < had || got > had+outcomes["left"] {
		t.Errorf("attempts counter is %d, upstreams received %d attempts", got, had)
	}
}
