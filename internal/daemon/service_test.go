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

// operator has the control address of a sidecar.
type operator struct{ address string }

// operated starts a sidecar with a control address and a folder for bans.
func operated(t *testing.T, addresses ...string) (*running, operator) {
	t.Helper()
	o := operator{testbed.FreeAddress(t)}
	t.Setenv("TMPDIR", t.TempDir())
	side := start(t, func(file, _ map[string]any) { file["control"] = o.address }, addresses...)
	testbed.Until(t, "the control address", func() bool {
		c, err := net.Dial("tcp", o.address)
		if err == nil {
			c.Close()
		}
		return err == nil && strings.HasPrefix(o.call(t, "health"), "200")
	})
	return side, o
}

func (o operator) call(t *testing.T, line string) string {
	t.Helper()
	text, err := testbed.Operate(o.address, line)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (o operator) figures(t *testing.T) map[string]int {
	t.Helper()
	text := o.call(t, "counters")
	if !strings.HasSuffix(text, "\nEOF\n") {
		t.Fatalf("figures end with %q", text[max(0, len(text)-40):])
	}
	got := make(map[string]int)
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && name != "#" {
			got[name], _ = strconv.Atoi(value)
		}
	}
	return got
}

func (o operator) want(t *testing.T, line, begin string) {
	t.Helper()
	if got := o.call(t, line); !strings.HasPrefix(got, begin) || strings.Count(got, "\n") != 1 {
		t.Errorf("%s: %q, want one line that begins with %s", line, got, begin)
	}
}

// From the yes on nothing new goes to an upstream that is out by hand, whatever the next list says; from the
// call back on it is used again.
func TestBannedUpstreamGetsNoRequests(t *testing.T) {
	a, b := testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Echo)
	side, o := operated(t, a.Address, b.Address)
	o.want(t, "health", "200")
	ask := func(n int) {
		t.Helper()
		for i := range n {
			if res, _ := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", fmt.Sprint("r", i))); res.StatusCode != http.StatusOK {
				t.Fatalf("%s", res.Status)
			}
		}
	}
	ask(20)
	if len(a.Seen) == 0 || len(b.Seen) == 0 {
		t.Fatalf("%d and %d requests: both are to be used", len(a.Seen), len(b.Seen))
	}
	o.want(t, "cordon s-0", "200")
	o.want(t, "cordon s-0", "200")
	if f := o.figures(t); f["edge_known_upstreams"] != 2 || f["edge_skipped_upstreams"] != 1 {
		t.Errorf("known %d, skipped %d", f["edge_known_upstreams"], f["edge_skipped_upstreams"])
	}
	before := len(a.Seen)
	ask(20)
	if got := len(a.Seen); got != before {
		t.Errorf("%d requests went to what is out by hand", got-before)
	}
	o.want(t, "cordon nobody", "400")
	o.want(t, "cordon", "400")
	o.want(t, "cordon s-1", "200") // all are out: refused at once
	begun := time.Now()
	res, _ := do(t, side.request(t, "GET", "/look", "", "X-Timeout", "600m"))
	if res.StatusCode != http.StatusServiceUnavailable || time.Since(begun) > time.Second {
		t.Errorf("all out: %s after %v", res.Status, time.Since(begun))
	}
	o.want(t, "uncordon s-1", "200")
	o.want(t, "uncordon s-0", "200")
	ask(20)
	if len(a.Seen) == before {
		t.Error("it is not used again")
	}
}

// Whatever ends how: what was taken is what was passed, dropped, failed and what is in progress, and the
// upstreams had as many attempts as were counted.
func TestCountersAddUp(t *testing.T) {
	var l testbed.ArrivalLog
	var addresses []string
	for i := range 4 {
		n := testbed.NewHTTPNode(t, fmt.Sprint("s-", i), &l)
		act := [...]testbed.Act{testbed.Serve, testbed.Fail, testbed.Reject, testbed.Reset}[i]
		n.Do(testbed.Always(act))
		addresses = append(addresses, n.Address)
	}
	side, o := operated(t, addresses...)
	var mu sync.Mutex
	told := make(map[string]int)
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
		req := side.request(t, method, "/"+class, body, headers...)
		leaves := i%10 == 9
		ctx, cancel := context.WithCancel(context.Background())
		all.Go(func() {
			defer cancel()
			if leaves {
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
			told[outcome]++
		})
	}
	all.Wait()
	var f map[string]int
	testbed.Until(t, "nothing in progress", func() bool { f = o.figures(t); return f["edge_in_progress"] == 0 })
	sum := 0
	for _, outcome := range []string{"passed", "dropped", "bad_gateway"} {
		n := 0
		for _, class := range []string{"look", "entry", "reading"} {
			n += f[fmt.Sprintf(`edge_handled_total{category=%q,outcome=%q}`, class, outcome)]
		}
		sum += n
		if off := n - told[outcome]; off < 0 || off > told["left"] {
			t.Errorf("%s: %d counted, clients had %d (%d left)", outcome, n, told[outcome], told["left"])
		}
	}
	if sum < 120-told["left"] || sum > 120 {
		t.Errorf("%d outcomes for 120 requests of which %d left", sum, told["left"])
	}
	if got, had := f["edge_upstream_tries_total"], len(l.All()); got < had || got > had+told["left"] {
		t.Errorf("%d attempts counted, upstreams had %d", got, had)
	}
}
