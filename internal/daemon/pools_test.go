package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/lab/testbed"
)

// testPools is a daemon with two pools: ledger, with two thirds of the total weight, and meters.
type testPools struct {
	dir, address   string
	ledger, meters *testbed.ArrivalLog
	nodes          map[string]*testbed.Node
	lists          map[string]*testbed.Discovery
	reload         chan os.Signal
	ended          chan error
	stop           context.CancelFunc
}

const poolsText = `[pools.ledger]
config = "ledger.json"
weight = 2
[pools.meters]
config = "meters.json"
[[routes]]
host = "ledger.example.org"
pool = "ledger"
[[routes]]
host = "meters.example.org"
prefix = "/reading"
pool = "meters"
[[routes]]
host = "[::1]"
pool = "ledger"
`

// startPools starts a daemon with the pools ledger and meters. edit changes the daemon's own configuration.
func startPools(t *testing.T, edit func(file, settings map[string]any)) *testPools {
	t.Helper()
	w := &testPools{
		dir: t.TempDir(), ledger: new(testbed.ArrivalLog), meters: new(testbed.ArrivalLog),
		nodes: make(map[string]*testbed.Node), lists: make(map[string]*testbed.Discovery),
		reload: make(chan os.Signal, 1), ended: make(chan error, 1),
	}
	for name, l := range map[string]*testbed.ArrivalLog{"ledger": w.ledger, "meters": w.meters} {
		n := testbed.NewHTTPNode(t, name+"-0", l)
		w.nodes[name], w.lists[name] = n, testbed.NewDiscovery(t, n)
		w.write(t, name+".json", w.config(t, name, nil))
	}
	w.write(t, "pools.toml", poolsText)
	cfg, err := config.Parse([]byte(testbed.ConfigText(t, testbed.Listed(1, "ready"), edit)),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	pools, err := config.ReadPools(filepath.Join(w.dir, "pools.toml"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = l.Addr().String()
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	go func() { w.ended <- ServePools(ctx, cfg, pools, l, w.reload) }()
	t.Cleanup(w.stop)
	return w
}

// config returns the configuration file of a pool, changed by edit.
func (w *testPools) config(t *testing.T, name string, edit func(file, settings map[string]any)) string {
	return testbed.ConfigText(t, testbed.Known(w.nodes[name]), func(file, settings map[string]any) {
		file["discovery"] = w.lists[name].Address
		for _, c := range settings["classes"].([]any) { // deadlines longer than any test case takes
			class := c.(map[string]any)
			class["aim_ms"], class["hard_limit_ms"] = 2000.0, 4000.0
		}
		if edit != nil {
			edit(file, settings)
		}
	})
}

// write writes a file into the directory of the pools file.
func (w *testPools) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(w.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// poolCall numbers the requests of call that have no given id.
var poolCall atomic.Int64

// call sends a request for a host and returns the status and body of the response.
func (w *testPools) call(t *testing.T, host, path, id string) (int, string) {
	t.Helper()
	if id == "" {
		id = fmt.Sprint("p", poolCall.Add(1))
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	req, err := http.NewRequest(http.MethodPost, "http://"+w.address+path, strings.NewReader("1"))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": class, "X-Tenant-Id": "north", "X-Timeout": "4000m",
	} {
		req.Header.Set(name, value)
	}
	if class == "reading" {
		req.Header.Set("Idempotency-Key", "k"+id)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testbed.MaxWait}
	res, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Error(err)
	}
	return res.StatusCode, string(body)
}

// Each request reaches the pool that its route selects and no other pool. A request without a route reaches no pool.
func TestRequestsReachTheRoutedPool(t *testing.T) {
	w := startPools(t, nil)
	for _, c := range []struct {
		host, path string
		status     int
		pool       string
	}{
		{"ledger.example.org", "/entry", 200, "ledger"},
		{"LEDGER.Example.org.:8080", "/entry", 200, "ledger"},
		{"[0::1]:80", "/entry", 200, "ledger"},
		{"meters.example.org", "/reading/7", 200, "meters"},
		{"meters.example.org", "/entry", 404, ""},
		{"meters.example.org", "/reading/../entry", 400, ""},
		{"other.example.org", "/entry", 404, ""},
	} {
		ledger, meters := w.ledger.Len(), w.meters.Len()
		status, body := w.call(t, c.host, c.path, "")
		if status != c.status {
			t.Errorf("%s%s: status %d, body %q, want status %d", c.host, c.path, status, body, c.status)
		}
		ledger, meters = w.ledger.Len()-ledger, w.meters.Len()-meters
		if (c.pool == "ledger") != (ledger == 1) || (c.pool == "meters") != (meters == 1) {
			t.Errorf("%s%s: ledger received %d requests and meters %d, want 1 at pool %q and 0 elsewhere",
				c.host, c.path, ledger, meters, c.pool)
		}
	}
}

// A request head that two parsers may route to different pools is answered 400 and reaches no pool.
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	w := startPools(t, nil)
	const rest = "X-Request-ID: r\r\nX-Priority-Class: entry\r\nX-Tenant-Id: north\r\nX-Timeout: 900m\r\n" +
		"Content-Length: 1\r\n\r\n1"
	const host = "Host: ledger.example.org\r\n"
	for name, head := range map[string]string{
		"no host":             "POST /entry HTTP/1.1\r\n",
		"two hosts":           "POST /entry HTTP/1.1\r\n" + host + "Host: meters.example.org\r\n",
		"two hosts, the same": "POST /entry HTTP/1.1\r\n" + host + host,
		"empty host":          "POST /entry HTTP/1.1\r\nHost:\r\n",
		"a list of hosts":     "POST /entry HTTP/1.1\r\nHost: ledger.example.org, meters.example.org\r\n",
		"with a scheme":       "POST http://meters.example.org/entry HTTP/1.1\r\n" + host,
		"dot segments":        "POST /reading/../entry HTTP/1.1\r\n" + host,
		"encoded dots":        "POST /reading/%2e%2e/entry HTTP/1.1\r\n" + host,
		"encoded slash":       "POST /entry%2f7 HTTP/1.1\r\n" + host,
		"backslash":           "POST /entry\\7 HTTP/1.1\r\n" + host,
		"double slash":        "POST //entry HTTP/1.1\r\n" + host,
		"twice encoded":       "POST /entry/%252e%252e HTTP/1.1\r\n" + host,
		"no path":             "POST entry HTTP/1.1\r\n" + host,
		"user in host":        "POST /entry HTTP/1.1\r\nHost: x@ledger.example.org\r\n",
		"port of no form":     "POST /entry HTTP/1.1\r\nHost: ledger.example.org:8x\r\n",
	} {
		c, err := net.Dial("tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
		if _, err := io.WriteString(c, head+rest); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: response %v, error %v, want status 400", name, res, err)
		}
		c.Close()
	}
	if n := w.ledger.Len() + w.meters.Len(); n > 0 {
		t.Errorf("%d requests reached an upstream, want 0", n)
	}
}

// Two open requests with the same id in different pools are different requests, and both are served.
func TestSameIDInTwoPools(t *testing.T) {
	w := startPools(t, nil)
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	for _, n := range w.nodes {
		n.Do(func(testbed.Arrival) testbed.Act {
			arrived <- struct{}{}
			<-release
			return testbed.Serve
		})
	}
	answers := make(chan int, 2)
	for _, host := range []string{"ledger.example.org", "meters.example.org"} {
		go func() {
			status, _ := w.call(t, host, "/reading", "twin")
			answers <- status
		}()
		testbed.Wait(t, "a request", arrived)
	}
	close(release)
	for range 2 {
		if status := testbed.Wait(t, "an answer", answers); status != 200 {
			t.Errorf("request status %d, want 200", status)
		}
	}
}

// An outage of the discovery service and the upstream of one pool, together with a flood of requests that fill the
// pool's bulkhead, does not affect requests to the other pool.
func TestOutageDoesNotAffectOtherPools(t *testing.T) {
	w := startPools(t, func(_, settings map[string]any) { settings["caps"].(map[string]any)["max_open"] = 60 })
	if status, _ := w.call(t, "meters.example.org", "/reading", ""); status != 200 {
		t.Fatalf("status %d before the outage, want 200", status)
	}
	w.lists["ledger"].Down(true)
	w.nodes["ledger"].Do(testbed.Always(testbed.Hang))
	var flood sync.WaitGroup
	var rejected atomic.Int64
	for range 200 {
		flood.Go(func() {
			if status, _ := w.call(t, "ledger.example.org", "/entry", ""); status == 503 {
				rejected.Add(1)
			}
		})
	}
	testbed.Until(t, "the flood", func() bool { return rejected.Load() > 50 })
	for range 50 {
		start := time.Now()
		if status, body := w.call(t, "meters.example.org", "/reading", ""); status != 200 ||
			time.Since(start) > time.Second {
			t.Errorf("status %d, body %q after %v, want 200 within 1 s, because the flood is in the other pool",
				status, body, time.Since(start))
		}
	}
	if w.lists["meters"].Watches() != 1 {
		t.Error("the other pool has no watch on its discovery service")
	}
	flood.Wait()
}

// Repeated reloads under load add and remove a pool with its routes. Every request gets a valid response, and an
// invalid pools file changes nothing.
func TestReloadUnderLoad(t *testing.T) {
	w := startPools(t, nil)
	const extra = "[pools.extra]\nconfig = \"ledger.json\"\n[[routes]]\nhost = \"extra.example.org\"\npool = \"extra\"\n"
	stop := make(chan struct{})
	var load sync.WaitGroup
	var served, unrouted, unexpected atomic.Int64
	for worker := range 6 {
		load.Go(func() {
			host := []string{"ledger.example.org", "meters.example.org", "extra.example.org"}[worker%3]
			for {
				select {
				case <-stop:
					return
				default:
				}
				switch status, body := w.call(t, host, "/reading", ""); {
				case status == 200:
					served.Add(1)
				case status == 404 && worker%3 == 2:
					unrouted.Add(1)
				default:
					unexpected.Add(1)
					t.Errorf("host %s: status %d, body %q", host, status, body)
				}
			}
		})
	}
	path := filepath.Join(w.dir, "pools.toml")
	for i := range 100 {
		text := poolsText
		switch i % 4 {
		case 0, 1:
			text += extra
		case 3:
			text += "[pools.broken]\n"
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.reload <- syscall.SIGHUP
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	load.Wait()
	if served.Load() < 100 || unrouted.Load() == 0 {
		t.Errorf("%d requests served and %d without a route, want at least 100 and 1", served.Load(), unrouted.Load())
	}
	w.stop()
	if err := testbed.Wait(t, "the end", w.ended); err != nil {
		t.Errorf("daemon ended with error %v", err)
	}
}

// Explain names the pool, the line of the rule or the missing route, and rejects an ambiguous path.
func TestExplain(t *testing.T) {
	w := startPools(t, nil)
	pools, err := config.ReadPools(filepath.Join(w.dir, "pools.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for url, want := range map[string]string{
		"http://ledger.example.org/entry/7": "pool ledger",
		"http://meters.example.org/reading": "line 9",
		"http://meters.example.org/entry":   "no route",
	} {
		if text, err := Explain(pools, "POST", url, ""); err != nil || !strings.Contains(text, want) {
			t.Errorf("%s: explanation %q, error %v, want a text with %q", url, text, err, want)
		}
	}
	if _, err := Explain(pools, "POST", "http://a/b/../c", ""); err == nil {
		t.Error("Explain accepted a path with dot segments")
	}
}
