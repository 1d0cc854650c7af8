package plugin

import (
	"context"
	"errors"
	"io"
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

// usable is a configuration for some nodes: a safe class (look), a keyed (reading) and an unsafe one (entry).
func usable(nodes ...*testbed.Node) Config {
	c := Config{
		Name: "test", Classes: []string{"look", "reading", "entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
			Classes: []policy.Class{
				{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 1, Effect: policy.Idempotent},
				{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 5, Effect: policy.Deduplicated, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond},
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

// A configuration that is wrong in one field: the error names that field, and nothing is left running.
func TestEveryWrongFieldIsNamed(t *testing.T) {
	good := func() Config {
		c := usable()
		c.Known = []Node{{ID: "s-0", Address: "127.0.0.1:1", Weight: 1}}
		c.Tenants, c.Policy.Tenants = []string{"north"}, []policy.Tenant{{Share: 1}}
		return c
	}
	c, err := Open(good())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	before := runtime.NumGoroutine()
	for name, wrong := range map[string]struct {
		field string
		edit  func(*Config)
	}{
		"no servers":           {"Config.Discovery", func(c *Config) { c.Known = nil }},
		"discovery":            {"Config.Discovery", func(c *Config) { c.Discovery = "nowhere" }},
		"asked, no discovery":  {"Config.Policy.AskList", func(c *Config) { c.Policy.ListOnDemand = true }},
		"node id":              {"Config.Known", func(c *Config) { c.Known[0].ID = "" }},
		"node twice":           {"Config.Known", func(c *Config) { c.Known = append(c.Known, c.Known[0]) }},
		"node address":         {"Config.Known", func(c *Config) { c.Known[0].Address = "nowhere" }},
		"node weight":          {"Config.Known", func(c *Config) { c.Known[0].Weight = math.NaN() }},
		"class names":          {"Config.Classes", func(c *Config) { c.Classes = c.Classes[:2] }},
		"class name twice":     {"Config.Classes", func(c *Config) { c.Classes[1] = "look" }},
		"class name empty":     {"Config.Classes", func(c *Config) { c.Classes[1] = "" }},
		"tenant names":         {"Config.Tenants", func(c *Config) { c.Tenants = nil }},
		"zone names":           {"Config.Zones", func(c *Config) { c.Zones = []string{"a", "a"} }},
		"zone":                 {"Config.Policy.Zone", func(c *Config) { c.Zones, c.Policy.Zone = []string{"a"}, 1 }},
		"method name":          {"Config.Methods", func(c *Config) { c.Methods = map[string]Method{"x": {Class: "look"}} }},
		"method class":         {"Config.Methods", func(c *Config) { c.Methods = map[string]Method{"/x": {Class: "no"}} }},
		"method tenant":        {"Config.Methods", func(c *Config) { c.Methods = map[string]Method{"/x": {Class: "look", Tenant: "no"}} }},
		"report name":          {"Config.LoadReport", func(c *Config) { c.LoadReport = map[string]policy.LoadFields{"a=b": policy.HasBusy} }},
		"connections":          {"Config.MaxConnections", func(c *Config) { c.MaxConnections = -1 }},
		"calls":                {"Config.MaxCalls", func(c *Config) { c.MaxCalls = -1 }},
		"bytes":                {"Config.MaxBodyBytes", func(c *Config) { c.MaxBodyBytes = -1 }},
		"dial":                 {"Config.DialTimeout", func(c *Config) { c.DialTimeout = -1 }},
		"idle":                 {"Config.ConnIdle", func(c *Config) { c.ConnIdle = -1 }},
		"balancers":            {"Balancers", func(c *Config) { c.Policy.Balancers = 0 }},
		"index":                {"Index", func(c *Config) { c.Policy.Index = -1 }},
		"no classes":           {"Classes", func(c *Config) { c.Policy.Classes, c.Classes = nil, nil }},
		"attempts":             {"MaxAttempts", func(c *Config) { c.Policy.MaxAttempts = 0 }},
		"slots":                {"Slots", func(c *Config) { c.Policy.Slots = -1 }},
		"cold from":            {"ColdFrom", func(c *Config) { c.Policy.SlowStartShare = 2 }},
		"cold multiple":        {"ColdMultiple", func(c *Config) { c.Policy.SlowStartOverload = math.NaN() }},
		"cold time":            {"ColdTime", func(c *Config) { c.Policy.SlowStartTime = -1 }},
		"crossing":             {"CrossZonePrice", func(c *Config) { c.Policy.CrossZonePrice = -1 }},
		"budget":               {"Budget", func(c *Config) { c.Policy.Budget.Free = 3 }},
		"order":                {"OrderSettle", func(c *Config) { c.Policy.KeyBlockTime = -1 }},
		"close within":         {"CloseWithin", func(c *Config) { c.Policy.IdleCloseTime = -1 }},
		"retry after":          {"MaxRetryAfter", func(c *Config) { c.Policy.MaxRetryAfter = -1 }},
		"tick":                 {"Tick", func(c *Config) { c.Policy.Tick = -1 }},
		"ask within":           {"AskWithin", func(c *Config) { c.Policy.ListMaxAge = -1 }},
		"aim":                  {"Aim", func(c *Config) { c.Policy.Classes[1].LatencyTarget = 0 }},
		"deadline":             {"Deadline", func(c *Config) { c.Policy.Classes[1].Deadline = 0 }},
		"window":               {"Window", func(c *Config) { c.Policy.Classes[1].DedupWindow = -1 }},
		"worth":                {"Worth", func(c *Config) { c.Policy.Classes[1].Value = -1 }},
		"late share":           {"LateShare", func(c *Config) { c.Policy.Classes[1].LateValue = -1 }},
		"aim stretch":          {"AimStretch", func(c *Config) { c.Policy.Classes[1].TargetPerWork = -1 }},
		"tenant share":         {"Share", func(c *Config) { c.Policy.Tenants[0].Share = -1 }},
		"tenant quota":         {"Quota", func(c *Config) { c.Policy.Tenants[0].Quota = -1 }},
		"shares that add to 0": {"Tenants", func(c *Config) { c.Policy.Tenants[0].Share = 0 }},
	} {
		cfg := good()
		wrong.edit(&cfg)
		c, err := Open(cfg)
		var invalid *InvalidError
		if c != nil || !errors.As(err, &invalid) || !strings.Contains(err.Error(), wrong.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want an InvalidError in one line that names %s", name, err, wrong.field)
		}
	}
	testbed.Until(t, "goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
}

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
		t.Errorf("config %+v", c)
	}
	for field, edit := range map[string][2]string{
		"limit":     {`"limits"`, `"limit"`},
		"discovery": {"127.0.0.1:1\"", `nowhere"`},
		"methods":   {`"class":"entry"`, `"klass":"entry"`},
		"settings":  {`"settings"`, `"setting"`},
		"seed":      {"8c1f", "zzzz"},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(text, edit[0], edit[1], 1))); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want one that names it", field, err)
		}
	}
	if _, err := ReadConfig("no/such/file"); err == nil || !strings.Contains(err.Error(), "no/such/file") {
		t.Errorf("error %v, want one that names the file", err)
	}
}

// A guest: after Close all goroutines and connections are gone, and nothing of the process has changed.
func TestCloseLeavesNothingBehind(t *testing.T) {
	procs, logger, transport := runtime.GOMAXPROCS(0), slog.Default(), http.DefaultTransport
	n := testbed.NewHTTPNode(t, "s-0", new(testbed.ArrivalLog))
	d := testbed.NewDiscovery(t, n)
	idle := runtime.NumGoroutine()
	cfg := usable(n)
	cfg.Discovery = d.Address
	c := mustOpen(t, cfg)
	for range 20 {
		if _, err := c.Do(context.Background(), Request{Class: "look"}); err != nil {
			t.Fatal(err)
		}
	}
	testbed.Until(t, "the watch", func() bool { return d.Watches() == 1 })
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the watch to end", func() bool { return d.Watches() == 0 })
	testbed.Until(t, "the connections to end", func() bool { return n.Open() == 0 })
	testbed.Until(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= idle+1 }) // discovery's own accept loop
	if runtime.GOMAXPROCS(0) != procs || slog.Default() != logger || http.DefaultTransport != transport {
		t.Error("something global has changed")
	}
	_, err := c.Do(context.Background(), Request{Class: "look"})
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Errorf("after Close: %v, want a refusal", err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Errorf("a second Close: %v", err)
	}
}

// Two plug-ins of one process share one watch and see a drain both; one that closes under load leaves the
// other alone.
func TestTwoClientsShareOneWatch(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewHTTPNode(t, "s-a", l), testbed.NewHTTPNode(t, "s-b", l)
	d := testbed.NewDiscovery(t, a, b)
	cfg := usable(a, b)
	cfg.Discovery = d.Address
	one, two := mustOpen(t, cfg), mustOpen(t, cfg)
	testbed.Until(t, "the watch", func() bool { return d.Watches() == 1 })

	var failed atomic.Int64
	var done atomic.Bool
	var load sync.WaitGroup
	for _, c := range []*Client{one, two} {
		for range 4 {
			load.Go(func() {
				for !done.Load() {
					_, err := c.Do(context.Background(), Request{Class: "entry"})
					var refused *RefusedError
					if err != nil && !(c == one && errors.As(err, &refused)) {
						failed.Add(1)
						t.Errorf("two: %v, one closed: %v", c == two, err)
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	testbed.Until(t, "some load", func() bool { return l.Len() > 100 })
	d.Set(a, "draining")
	testbed.Until(t, "the drain to be told", func() bool { return !d.NotifiedAt(a).IsZero() })
	told := d.NotifiedAt(a)
	if n := d.Watches(); n > 1 {
		t.Errorf("%d watches for two plug-ins", n)
	}
	time.Sleep(300 * time.Millisecond)
	if err := one.Close(context.Background()); err != nil {
		t.Errorf("closing one: %v", err)
	}
	mark := l.Len()
	testbed.Until(t, "load by the other", func() bool { return l.Len() > mark+50 })
	testbed.Until(t, "its watch", func() bool { return d.Watches() == 1 })
	done.Store(true)
	load.Wait()
	for _, r := range l.All() {
		if r.Node == "s-a" && r.At.After(told.Add(200*time.Millisecond)) {
			t.Errorf("%s went to the draining node %v after it was told", r.ID, r.At.Sub(told))
		}
	}
	d.Set(b, "gone")
	testbed.Until(t, "the news by the one that is left", func() bool {
		_, err := two.Do(context.Background(), Request{Class: "entry", Timeout: 200 * time.Millisecond})
		return err != nil
	})
}

// Close during a flood, with less time than the calls need: each has its one answer, and nothing is left.
func TestCloseDuringAFlood(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	n.Do(testbed.Always(testbed.Hang))
	before := runtime.NumGoroutine()
	cfg := usable(n)
	cfg.Policy.Slots = 20
	c := mustOpen(t, cfg)
	answers := make(chan error, 200)
	for range 200 {
		go func() {
			_, err := c.Do(context.Background(), Request{Class: "entry"})
			answers <- err
		}()
	}
	testbed.Until(t, "the flood", func() bool { return l.Len() == 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := c.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close: %v, want its context's error", err)
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
			t.Errorf("answer %v", err)
		}
	}
	if failures != 20 || refusals != 180 {
		t.Errorf("%d failed and %d refused, want the 20 that were out failed", failures, refusals)
	}
	testbed.Until(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= before+1 })
}

// The caller's context ends while an attempt is out: a failure that is its error, and the attempt is called off.
func TestCallerGivesUp(t *testing.T) {
	for want, under := range map[error]func(context.Context) (context.Context, context.CancelFunc){
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
		c := mustOpen(t, usable(n))
		ctx, cancel := under(context.Background())
		_, err := c.Do(ctx, Request{Class: "entry"})
		cancel()
		var failed *FailedError
		if !errors.As(err, &failed) {
			t.Errorf("%v, want a failure", err)
		}
		if want == context.Canceled && !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
		if want == context.DeadlineExceeded && !errors.Is(err, want) && !failed.Timeout() {
			t.Errorf("%v, want %v or a time-out", err, want)
		}
		testbed.Until(t, "the connections to end", func() bool { return n.Open() == 0 })
	}
}

// A RoundTripper's answers, and what it can't carry.
func TestRoundTrip(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	cfg := usable(n)
	cfg.Methods = map[string]Method{"/ledger.v1.Ledger/Enter": {Class: "entry"}}
	cfg.Policy.Classes[2].LatencyTarget = 400 * time.Millisecond // a call that its one server turned away waits for another that long
	var h http.Client
	anew := func(act testbed.Act) { // a client that has seen no failure yet: after some the module lets in less
		n.Do(testbed.Always(act))
		h.Transport = mustOpen(t, cfg).RoundTripper()
	}
	anew(testbed.Serve)
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
		t.Errorf("%s %q", res.Status, body)
	}
	anew(testbed.Fail)
	if res, err := post(url, "1"); err != nil || res.StatusCode != http.StatusInternalServerError {
		t.Errorf("%v, %v: the server's own answer is passed on", res, err)
	}
	anew(testbed.Busy) // a 503 with no promise: whoever takes it for a refusal would enter a harvest twice
	if _, err := post(url, "1"); !errors.As(err, new(*FailedError)) {
		t.Errorf("%v, want a failure", err)
	}
	anew(testbed.Reject)
	if _, err := post(url, "1"); !errors.As(err, new(*RefusedError)) {
		t.Errorf("%v, want a refusal", err)
	}
	anew(testbed.Serve)
	seen := l.Len()
	for name, c := range map[string][]string{
		"no class":        {"http://ledger/unheard/of", "1"},
		"https":           {"https://ledger/ledger.v1.Ledger/Enter", "1"},
		"long body":       {url, strings.Repeat("x", MaxBody+1)},
		"two ids":         {url, "1", "X-Request-ID", "a", "X-Request-ID", "b"},
		"bad time":        {url, "1", "X-Timeout", "soon"},
		"bad cost":        {url, "1", "X-Cost", "cheap"},
		"key of no use":   {url, "1", "Idempotency-Key", "k"},
		"far time":        {url, "1", "X-Timeout", "999999999m"},
		"class by header": {url, "1", "X-Priority-Class", "nothing"},
	} {
		var invalid *InvalidError
		if _, err := post(c[0], c[1], c[2:]...); !errors.As(err, &invalid) {
			t.Errorf("%s: %v, want an InvalidError", name, err)
		}
	}
	if l.Len() != seen {
		t.Errorf("%d of them were sent", l.Len()-seen)
	}
}

// A request whose parts would end its head early, or begin another request in it, is not sent.
func TestNoSmuggling(t *testing.T) {
	l := new(testbed.ArrivalLog)
	c := mustOpen(t, usable(testbed.NewHTTPNode(t, "s-0", l)))
	for name, r := range map[string]Request{
		"header value": {Header: http.Header{"X-A": {"1\r\nX-B: 2"}}},
		"header name":  {Header: http.Header{"X-A: 1\r\nX-B": {"2"}}},
		"path":         {Path: "/a HTTP/1.1\r\n\r\n"},
		"no path":      {Path: "a"},
		"host":         {Host: "a\r\nX-B: 2"},
		"method":       {Method: "GET /x"},
		"id":           {ID: "a\r\nX-B: 2"},
		"route key":    {RouteKey: "a\nb"},
		"long id":      {ID: strings.Repeat("x", maxIDBytes+1)},
	} {
		r.Class = "look"
		var invalid *InvalidError
		if _, err := c.Do(context.Background(), r); !errors.As(err, &invalid) {
			t.Errorf("%s: %v, want an InvalidError", name, err)
		}
	}
	if l.Len() != 0 {
		t.Errorf("%d were sent", l.Len())
	}
}

// The bounds on what is held refuse, with a pause, and give way again.
func TestMaxCallsAndMaxBodyBytes(t *testing.T) {
	l := new(testbed.ArrivalLog)
	n := testbed.NewHTTPNode(t, "s-0", l)
	release := make(chan struct{})
	n.Do(func(testbed.Arrival) testbed.Act {
		<-release
		return testbed.Serve
	})
	cfg := usable(n)
	cfg.MaxCalls, cfg.MaxBodyBytes = 2, 1000
	c := mustOpen(t, cfg)
	answers := make(chan error, 2)
	go func() {
		_, err := c.Do(context.Background(), Request{Class: "entry", Body: make([]byte, 900)})
		answers <- err
	}()
	testbed.Until(t, "the first", func() bool { return n.Open() == 1 })
	var refused *RefusedError
	if _, err := c.Do(context.Background(), Request{Class: "entry", Body: make([]byte, 101)}); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("over the bound on bodies: %v", err)
	}
	go func() {
		_, err := c.Do(context.Background(), Request{Class: "entry"})
		answers <- err
	}()
	testbed.Until(t, "the second", func() bool { return n.Open() == 2 })
	if _, err := c.Do(context.Background(), Request{Class: "entry"}); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("over the bound on calls: %v", err)
	}
	close(release)
	for range 2 {
		if err := testbed.Wait(t, "an answer", answers); err != nil {
			t.Error(err)
		}
	}
	if _, err := c.Do(context.Background(), Request{Class: "entry"}); err != nil {
		t.Errorf("with room again: %v", err)
	}
}
