package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// submittedRequest is a request that a fakeEngine has, to be replied to or reported gone.
type submittedRequest struct {
	uri, body string
	id        policy.RequestID
	replies   chan<- call.Answer
}

// reply replies to it.
func (a submittedRequest) reply() {
	a.replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Body: []byte("done " + a.uri)}
}

// fakeEngine is an engine whose replies the test gives, and its one target's front.
type fakeEngine struct {
	front     *Front
	target    *Target
	address   string
	drain     func() error // once; a second call waits for the first
	submitted chan submittedRequest
	gone      chan policy.RequestID
	served    chan error
	onGone    func() // called when a request is reported gone; nil: nothing is

	mu            sync.Mutex
	last          policy.RequestID
	parsedTargets []string // what the dialect was asked to read
}

func (d *fakeEngine) Submit(
	_ policy.Request, m *call.Message, _ time.Duration, reply chan<- call.Answer,
) policy.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.submitted <- submittedRequest{m.URI, string(m.Body), d.last, reply}
	return d.last
}

func (d *fakeEngine) ClientGone(id policy.RequestID) {
	if d.onGone != nil {
		d.onGone()
	}
	d.gone <- id
}

func (d *fakeEngine) Done() <-chan struct{} { return nil }

// dialect has /safe/... be idempotent and /over/... be over a quota.
func (d *fakeEngine) dialect() *Dialect {
	return &Dialect{
		ParseRequest: func(h *h1.Head) (policy.Request, time.Duration, *Rejection) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.parsedTargets = append(d.parsedTargets, h.Target)
			if strings.HasPrefix(h.Target, "/over") {
				return policy.Request{}, 0, &Rejection{Status: http.StatusTooManyRequests, KeepAlive: true}
			}
			return policy.Request{IsRetry: strings.HasPrefix(h.Target, "/safe")}, time.Minute, nil
		},
		RewriteHeaders: func(*policy.Request, http.Header) {},
		CanPipeline:    func(q *policy.Request) bool { return q.IsRetry },
		ProxyHeaders:   func(h *h1.Head, _ *call.Answer) http.Header { return http.Header{"Of": {h.Target}} },
	}
}

// newFakeEngine serves on loopback. At the end of the test the front drains, and all capacity must have been released.
func newFakeEngine(t *testing.T, maxOpen int, dialect bool, change ...func(*Config)) *fakeEngine {
	t.Helper()
	d := &fakeEngine{
		submitted: make(chan submittedRequest, 64), gone: make(chan policy.RequestID, 64), served: make(chan error, 1),
	}
	d.target = &Target{
		Engine: d, MaxOpen: maxOpen, MaxBodyBytes: 1 << 20,
		Classes: map[string]int{"look": 0}, ClassOf: []policy.Class{{Effect: policy.Idempotent, Deadline: time.Minute}},
	}
	cfg := Config{
		Route: RouteTo(d.target), ConnLimits: NewConnLimits(64, 64),
		Linger: time.Millisecond, MaxDeadline: testbed.Generous, Log: slog.New(slog.DiscardHandler),
	}
	if dialect {
		cfg.Dialect = d.dialect()
	}
	for _, c := range change {
		c(&cfg)
	}
	d.front = New(cfg, clock.New())
	d.drain = sync.OnceValue(d.front.Drain)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = l.Addr().String()
	go func() { d.served <- d.front.Serve(l) }()
	t.Cleanup(func() {
		if err := d.drain(); err != nil {
			t.Errorf("drain: %v", err)
		}
		if err := testbed.Wait(t, "the end", d.served); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		ofFront, ofTarget := d.front.openRequests.Load(), d.target.OpenRequests()
		if ofFront != 0 || ofTarget != 0 || len(d.submitted) != 0 || len(d.gone) != 0 {
			t.Errorf("at the end %d open requests, %d of the target, %d not looked at, %d gone",
				ofFront, ofTarget, len(d.submitted), len(d.gone))
		}
	})
	return d
}

// testClient is a client's connection.
type testClient struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

func (d *fakeEngine) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testbed.Generous))
	t.Cleanup(func() { c.Close() })
	return &testClient{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

// get is the bytes of requests without a body.
func get(targets ...string) string {
	var b strings.Builder
	for _, target := range targets {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target)
	}
	return b.String()
}

func (c *testClient) send(bytes string) {
	c.t.Helper()
	if _, err := io.WriteString(c, bytes); err != nil {
		c.t.Fatal(err)
	}
}

// expectResponse reads one response.
func (c *testClient) expectResponse(status int, body string) *http.Response {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("instead of %q: %v", body, err)
	}
	got, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || string(got) != body {
		c.t.Fatalf("%s %q (%v), want %d %q", res.Status, got, err, status, body)
	}
	return res
}

// expectEnd reads that the connection ends with nothing more on it.
func (c *testClient) expectEnd() {
	c.t.Helper()
	if b, err := io.ReadAll(c.r); err != nil || len(b) > 0 {
		c.t.Fatalf("the connection ends with %q, %v", b, err)
	}
	c.Close()
}

// serveUnpipelined has a client send so many requests one by one that it is taken for one that does not pipeline.
func (d *fakeEngine) serveUnpipelined(t *testing.T, c *testClient) {
	t.Helper()
	for i := range 2 * maxUnpipelinedResponses {
		uri := fmt.Sprint("/safe/", i)
		c.send(get(uri))
		d.expectSubmitted(t, uri)[0].reply()
		c.expectResponse(200, "done "+uri)
	}
}

// expectSubmitted waits for requests, in this order.
func (d *fakeEngine) expectSubmitted(t *testing.T, uris ...string) (all []submittedRequest) {
	t.Helper()
	for _, uri := range uris {
		a := testbed.Wait(t, uri, d.submitted)
		if a.uri != uri {
			t.Fatalf("%s was asked, want %s", a.uri, uri)
		}
		all = append(all, a)
	}
	return all
}

// expectNoneAsked checks that nothing else was asked while so many are open: the dialect has read this target, if one
// is named, and another connection had a whole request since.
func (d *fakeEngine) expectNoneSubmitted(t *testing.T, openRequests int64, parsedTarget string) {
	t.Helper()
	waitUntil(t, parsedTarget+" is read", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return parsedTarget == "" || slices.Contains(d.parsedTargets, parsedTarget)
	})
	c := d.dial(t)
	c.send(get("/safe/between"))
	d.expectSubmitted(t, "/safe/between")[0].reply()
	c.expectResponse(200, "done /safe/between")
	c.Close()
	// Each request is released behind its response.
	waitUntil(t, "all others are released", func() bool { return d.target.OpenRequests() == openRequests })
}

// waitUntil waits until something is so.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testbed.Generous); !is(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// expectGone waits until requests are reported gone.
func (d *fakeEngine) expectGone(t *testing.T, all ...submittedRequest) {
	t.Helper()
	for _, a := range all {
		if id := testbed.Wait(t, "that one is gone", d.gone); id != a.id {
			t.Errorf("%d is reported gone, want %d, %s", id, a.id, a.uri)
		}
	}
}

// testBody is a response's body that the test writes.
type testBody struct {
	*io.PipeReader
	closed chan struct{}
	once   *sync.Once
}

func newTestBody() (testBody, *io.PipeWriter) {
	r, w := io.Pipe()
	return testBody{r, make(chan struct{}), new(sync.Once)}, w
}

func (testBody) Length() int64 { return -1 }

func (b testBody) Close() {
	b.once.Do(func() { close(b.closed) })
	b.PipeReader.Close()
}
