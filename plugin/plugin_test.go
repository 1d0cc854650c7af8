package plugin

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/policy"
)

// testConfig returns a valid configuration with the nodes as known servers. It has an idempotent class (look), a
// deduplicated class (reading) and a non-idempotent class (entry).
func testConfig(nodes ...*testbed.Node) Config {
	c := Config{
		Name: "test", Classes: []string{"look", "reading", "entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
			Classes: []policy.Class{
				{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 1, Effect: policy.Idempotent},
				{
					LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 5, Effect: policy.Deduplicated,
					Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond,
				},
				{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 2, Effect: policy.NonIdempotent},
			},
		},
	}
	for _, n := range nodes {
		c.Known = append(c.Known, Node{ID: n.ID, Address: n.Address, Cell: n.Cell, Weight: 1})
	}
	return c
}

func mustOpen(t *testing.T, cfg Config) *Client {
	t.Helper()
	c, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testbed.MaxWait)
		defer cancel()
		_ = c.Close(ctx)
	})
	return c
}

// Open with one invalid field must return an InvalidError that names the field, and must leave no goroutine running.
func TestErrorNamesInvalidField(t *testing.T) {
	valid := func() Config {
		c := testConfig()
		c.Known = []Node{{ID: "s-0", Address: "127.0.0.1:1", Weight: 1}}
		c.Tenants, c.Policy.Tenants = []string{"north"}, []policy.Tenant{{Share: 1}}
		return c
	}
	c, err := Open(valid())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	before := runtime.NumGoroutine()
	for name, test := range map[string]struct {
		field string
		edit  func(*Config)
	}{
		"no servers":           {"Config.Discovery", func(c *Config) { c.Known = nil }},
		"discovery":            {"Config.Discovery", func(c *Config) { c.Discovery = "nowhere" }},
		"list, no discovery":   {"Config.Policy.AskList", func(c *Config) { c.Policy.ListOnDemand = true }},
		"node id":              {"Config.Known", func(c *Config) { c.Known[0].ID = "" }},
		"duplicate node":       {"Config.Known", func(c *Config) { c.Known = append(c.Known, c.Known[0]) }},
		"node address":         {"Config.Known", func(c *Config) { c.Known[0].Address = "nowhere" }},
		"node weight":          {"Config.Known", func(c *Config) { c.Known[0].Weight = math.NaN() }},
		"class names":          {"Config.Classes", func(c *Config) { c.Classes = c.Classes[:2] }},
		"duplicate class name": {"Config.Classes", func(c *Config) { c.Classes[1] = "look" }},
		"class name empty":     {"Config.Classes", func(c *Config) { c.Classes[1] = "" }},
		"tenant names":         {"Config.Tenants", func(c *Config) { c.Tenants = nil }},
		"zone names":           {"Config.Zones", func(c *Config) { c.Zones = []string{"a", "a"} }},
		"zone":                 {"Config.Policy.Zone", func(c *Config) { c.Zones, c.Policy.Zone = []string{"a"}, 1 }},
		"method name":          {"Config.Methods", func(c *Config) { c.Methods = map[string]Method{"x": {Class: "look"}} }},
		"method class":         {"Config.Methods", func(c *Config) { c.Methods = map[string]Method{"/x": {Class: "no"}} }},
		"method tenant": {"Config.Methods", func(c *Config) {
			c.Methods = map[string]Method{"/x": {Class: "look", Tenant: "no"}}
		}},
		"report name": {"Config.LoadReport", func(c *Config) {
			c.LoadReport = map[string]policy.LoadFields{"a=b": policy.HasBusy}
		}},
		"connections":        {"Config.MaxConnections", func(c *Config) { c.MaxConnections = -1 }},
		"calls":              {"Config.MaxCalls", func(c *Config) { c.MaxCalls = -1 }},
		"bytes":              {"Config.MaxBodyBytes", func(c *Config) { c.MaxBodyBytes = -1 }},
		"dial":               {"Config.DialTimeout", func(c *Config) { c.DialTimeout = -1 }},
		"idle":               {"Config.ConnIdle", func(c *Config) { c.ConnIdle = -1 }},
		"balancers":          {"Balancers", func(c *Config) { c.Policy.Balancers = 0 }},
		"index":              {"Index", func(c *Config) { c.Policy.Index = -1 }},
		"no classes":         {"Classes", func(c *Config) { c.Policy.Classes, c.Classes = nil, nil }},
		"attempts":           {"MaxAttempts", func(c *Config) { c.Policy.MaxAttempts = 0 }},
		"slots":              {"Slots", func(c *Config) { c.Policy.Slots = -1 }},
		"cold from":          {"ColdFrom", func(c *Config) { c.Policy.SlowStartShare = 2 }},
		"cold multiple":      {"ColdMultiple", func(c *Config) { c.Policy.SlowStartOverload = math.NaN() }},
		"cold time":          {"ColdTime", func(c *Config) { c.Policy.SlowStartTime = -1 }},
		"crossing":           {"CrossZonePrice", func(c *Config) { c.Policy.CrossZonePrice = -1 }},
		"budget":             {"Budget", func(c *Config) { c.Policy.Budget.Free = 3 }},
		"order":              {"OrderSettle", func(c *Config) { c.Policy.KeyBlockTime = -1 }},
		"close within":       {"CloseWithin", func(c *Config) { c.Policy.IdleCloseTime = -1 }},
		"retry after":        {"MaxRetryAfter", func(c *Config) { c.Policy.MaxRetryAfter = -1 }},
		"tick":               {"Tick", func(c *Config) { c.Policy.Tick = -1 }},
		"ask within":         {"AskWithin", func(c *Config) { c.Policy.ListMaxAge = -1 }},
		"aim":                {"Aim", func(c *Config) { c.Policy.Classes[1].LatencyTarget = 0 }},
		"deadline":           {"Deadline", func(c *Config) { c.Policy.Classes[1].Deadline = 0 }},
		"window":             {"Window", func(c *Config) { c.Policy.Classes[1].DedupWindow = -1 }},
		"worth":              {"Worth", func(c *Config) { c.Policy.Classes[1].Value = -1 }},
		"late share":         {"LateShare", func(c *Config) { c.Policy.Classes[1].LateValue = -1 }},
		"aim stretch":        {"AimStretch", func(c *Config) { c.Policy.Classes[1].TargetPerWork = -1 }},
		"tenant share":       {"Share", func(c *Config) { c.Policy.Tenants[0].Share = -1 }},
		"tenant quota":       {"Quota", func(c *Config) { c.Policy.Tenants[0].Quota = -1 }},
		"zero sum of shares": {"Tenants", func(c *Config) { c.Policy.Tenants[0].Share = 0 }},
	} {
		cfg := valid()
		test.edit(&cfg)
		c, err := Open(cfg)
		var invalid *InvalidError
		if c != nil || !errors.As(err, &invalid) || !strings.Contains(err.Error(), test.field) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want an InvalidError on one line that names %s", name, err, test.field)
		}
	}
	testbed.Until(t, "goroutines of failed clients to end", func() bool { return runtime.NumGoroutine() <= before })
}

// A valid configuration file is read in full. The error for an invalid one names the field, or the file.
func TestParseConfig(t *testing.T) {
	text := testbed.ConfigText(t, testbed.Listed(1, "ready", "127.0.0.1:80"), func(file, _ map[string]any) {
		delete(file, "listen")
		file["methods"] = map[string]any{"/p.S/M": map[string]any{"class": "entry", "tenant": "south"}}
	})
	c, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Join(c.Classes, " ") != "reading entry look" || strings.Join(c.Tenants, " ") != "north south" ||
		c.Methods["/p.S/M"] != (Method{"entry", "south"}) || c.LoadReport["busy_reqs"] != policy.HasInFlight ||
		c.MaxCalls != 100 || len(c.knownServers().Servers) != 1 || c.Seed == 0 {
		t.Errorf("config %+v, want the classes, tenants, method, load field and limits of the file", c)
	}
	for field, edit := range map[string][2]string{
		"limit":     {`"limits"`, `"limit"`},
		"discovery": {"127.0.0.1:1\"", `nowhere"`},
		"methods":   {`"class":"entry"`, `"klass":"entry"`},
		"settings":  {`"settings"`, `"setting"`},
		"seed":      {"8c1f", "zzzz"},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(text, edit[0], edit[1], 1))); err == nil ||
			!strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want an error that names the field", field, err)
		}
	}
	if _, err := ReadConfig("no/such/file"); err == nil || !strings.Contains(err.Error(), "no/such/file") {
		t.Errorf("ReadConfig of a missing file: error %v, want an error that names the file", err)
	}
}

// Close must end the watch, the connections and the goroutines of the client. A client must not change global state of
// its process.
func TestCloseReleasesResources(t *testing.T) {
	procs, logger, transport := runtime.GOMAXPROCS(0), slog.Default(), http.DefaultTransport
	n := testbed.NewHTTPNode(t, "s-0", new(testbed.ArrivalLog))
	d := testbed.NewDiscovery(t, n)
	idle := runtime.NumGoroutine()
	cfg := testConfig(n)
	cfg.Discovery = d.Address
	c := mustOpen(t, cfg)
	for range 20 {
		if _, err := c.Do(context.Background(), Request{Class: "look"}); err != nil {
			t.Fatal(err)
		}
	}
	testbed.Until(t, "the discovery watch to start", func() bool { return d.Watches() == 1 })
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the discovery watch to end", func() bool { return d.Watches() == 0 })
	testbed.Until(t, "the connections to end", func() bool { return n.Open() == 0 })
	testbed.Until(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= idle+1 }) // 1: discovery
	if runtime.GOMAXPROCS(0) != procs || slog.Default() != logger || http.DefaultTransport != transport {
		t.Error("the client changed GOMAXPROCS, the default logger or the default transport")
	}
	_, err := c.Do(context.Background(), Request{Class: "look"})
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Errorf("call after Close: error %v, want a RefusedError", err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Errorf("second Close: error %v, want none", err)
	}
}

// Two clients of one process share one discovery watch, and both apply a drain. A client that closes under load must
// not affect the other client.
func TestTwoClientsShareOneWatch(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewHTTPNode(t, "s-a", l), testbed.NewHTTPNode(t, "s-b", l)
	d := testbed.NewDiscovery(t, a, b)
	cfg := testConfig(a, b)
	cfg.Discovery = d.Address
	first, second := mustOpen(t, cfg), mustOpen(t, cfg)
	testbed.Until(t, "the discovery watch to start", func() bool { return d.Watches() == 1 })

	var failed atomic.Int64
	var done atomic.Bool
	var load sync.WaitGroup
	for _, c := range []*Client{first, second} {
		for range 4 {
			load.Go(func() {
				for !done.Load() {
					_, err := c.Do(context.Background(), Request{Class: "entry"})
					var refused *RefusedError
					if err != nil && !(c == first && errors.As(err, &refused)) {
						failed.Add(1)
						t.Errorf("call failed (by the second client: %v): error %v, want none while the client is open",
							c == second, err)
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	testbed.Until(t, "100 requests to arrive", func() bool { return l.Len() > 100 })
	d.Set(a, "draining")
	testbed.Until(t, "discovery to announce the drain", func() bool { return !d.NotifiedAt(a).IsZero() })
	announced := d.NotifiedAt(a)
	if n := d.Watches(); n > 1 {
		t.Errorf("%d watches for two clients, want at most 1", n)
	}
	time.Sleep(300 * time.Millisecond)
	if err := first.Close(context.Background()); err != nil {
		t.Errorf("Close of the first client: error %v, want none", err)
	}
	arrivalsBefore := l.Len()
	testbed.Until(t, "50 requests of the second client to arrive", func() bool { return l.Len() > arrivalsBefore+50 })
	testbed.Until(t, "the watch of the second client to remain", func() bool { return d.Watches() == 1 })
	done.Store(true)
	load.Wait()
	for _, r := range l.All() {
		if r.Node == "s-a" && r.At.After(announced.Add(200*time.Millisecond)) {
			t.Errorf("request %s arrived at the draining node %v after the drain was announced, want at most 200 ms",
				r.ID, r.At.Sub(announced))
		}
	}
	d.Set(b, "gone")
	testbed.Until(t, "the second client to remove the last node", func() bool {
		_, err := second.Do(context.Background(), Request{Class: "entry", Timeout: 200 * time.Millisecond})
		return err != nil
	})
}

// Close under overload whose context ends before the calls do: each call must get exactly one answer, and no goroutine
// may be left.
func TestCloseUnderOverload(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	n.Do(testbed.Always(testbed.Hang))
	before := runtime.NumGoroutine()
	cfg := testConfig(n)
	cfg.Policy.Slots = 20
	c := mustOpen(t, cfg)
	answers := make(chan error, 200)
	for range 200 {
		go func() {
			_, err := c.Do(context.Background(), Request{Class: "entry"})
			answers <- err
		}()
	}
	testbed.Until(t, "20 requests to arrive", func() bool { return l.Len() == 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := c.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close: error %v, want the error of its context", err)
	}
	refusals, failures := 0, 0
	for range 200 {
		var refused *RefusedError
		var failed *FailedError
		switch err := testbed.Wait(t, "an answer", answers); {
		case errors.As(err, &refused):
			refusals++
		case errors.As(err, &failed):
			failures++
		default:
			t.Errorf("error %v, want a RefusedError or FailedError", err)
		}
	}
	if failures != 20 || refusals != 180 {
		t.Errorf("%d calls failed and %d were refused, want 20 (in flight) and 180 (queued)", failures, refusals)
	}
	testbed.Until(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= before+1 })
}

// The caller's context ends while an attempt is in flight: the call must fail with the error of the context, and the
// attempt must be cancelled.
func TestCallerContextEnds(t *testing.T) {
	for want, withEnd := range map[error]func(context.Context) (context.Context, context.CancelFunc){
		context.DeadlineExceeded: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		},
		context.Canceled: func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		},
	} {
		n := testbed.NewHTTPNode(t, "s-0", new(testbed.ArrivalLog))
		n.Do(testbed.Always(testbed.Hang))
		c := mustOpen(t, testConfig(n))
		ctx, cancel := withEnd(context.Background())
		_, err := c.Do(ctx, Request{Class: "entry"})
		cancel()
		var failed *FailedError
		if !errors.As(err, &failed) {
			t.Errorf("error %v, want a FailedError", err)
		}
		if want == context.Canceled && !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
		if want == context.DeadlineExceeded && !errors.Is(err, want) && !failed.Timeout() {
			t.Errorf("error %v, want %v or a time-out", err, want)
		}
		testbed.Until(t, "the connections to end", func() bool { return n.Open() == 0 })
	}
}

// Calls over MaxCalls or MaxBodyBytes are refused with a RetryAfter, and accepted again after earlier calls end.
func TestMaxCallsAndMaxBodyBytes(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	release := make(chan struct{})
	n.Do(func(testbed.Arrival) testbed.Act {
		<-release
		return testbed.Serve
	})
	cfg := testConfig(n)
	cfg.MaxCalls, cfg.MaxBodyBytes = 2, 1000
	c := mustOpen(t, cfg)
	answers := make(chan error, 2)
	go func() {
		_, err := c.Do(context.Background(), Request{Class: "entry", Body: make([]byte, 900)})
		answers <- err
	}()
	testbed.Until(t, "the first request", func() bool { return n.Open() == 1 })
	var refused *RefusedError
	if _, err := c.Do(context.Background(), Request{Class: "entry", Body: make([]byte, 101)}); !errors.As(err, &refused) ||
		refused.RetryAfter <= 0 {
		t.Errorf("call over MaxBodyBytes: error %v, want a RefusedError with a RetryAfter", err)
	}
	go func() {
		_, err := c.Do(context.Background(), Request{Class: "entry"})
		answers <- err
	}()
	testbed.Until(t, "the second request", func() bool { return n.Open() == 2 })
	if _, err := c.Do(context.Background(), Request{Class: "entry"}); !errors.As(err, &refused) ||
		refused.RetryAfter <= 0 {
		t.Errorf("call over MaxCalls: error %v, want a RefusedError with a RetryAfter", err)
	}
	close(release)
	for range 2 {
		if err := testbed.Wait(t, "an answer", answers); err != nil {
			t.Error(err)
		}
	}
	if _, err := c.Do(context.Background(), Request{Class: "entry"}); err != nil {
		t.Errorf("call after the limits have room again: error %v, want none", err)
	}
}
