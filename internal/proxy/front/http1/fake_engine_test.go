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

// submittedRequest is a request that was submitted to a fakeEngine. The test replies to it, or expects that its
// client is reported gone.
type submittedRequest struct {
	uri, body string
	id        policy.RequestID
	replies   chan<- call.Answer
}

// reply sends the reply "done URI" with status 200.
func (r submittedRequest) reply() {
	r.replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Body: []byte("done " + r.uri)}
}

// fakeEngine is an engine whose replies the test gives, together with a front that has this engine's target as its
// only target.
type fakeEngine struct {
	front     *Front
	target    *Target
	address   string
	drain     func() error // runs Front.Drain once; a second call waits for the first
	submitted chan submittedRequest
	gone      chan policy.RequestID
	served    chan error
	onGone    func() // called when a request's client is reported gone; may be nil

	mu            sync.Mutex
	last          policy.RequestID
	parsedTargets []string // request targets that the dialect has parsed
}

func (e *fakeEngine) Submit(
	_ policy.Request, m *call.Message, _ time.Duration, reply chan<- call.Answer,
) policy.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	e.submitted <- submittedRequest{m.URI, string(m.Body), e.last, reply}
	return e.last
}

func (e *fakeEngine) ClientGone(id policy.RequestID) {
	if e.onGone != nil {
		e.onGone()
	}
	e.gone <- id
}

func (e *fakeEngine) Done() <-chan struct{} { return nil }

// dialect returns a Dialect in which /safe/... is idempotent and can be pipelined, and /over/... is rejected as over
// a quota.
func (e *fakeEngine) dialect() *Dialect {
	return &Dialect{
		ParseRequest: func(h *h1.Head) (policy.Request, time.Duration, *Rejection) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.parsedTargets = append(e.parsedTargets, h.Target)
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

// newFakeEngine serves on a loopback address. At the end of the test the front drains, and all reserved capacity must
// have been released.
func newFakeEngine(t *testing.T, maxOpen int, dialect bool, change ...func(*Config)) *fakeEngine {
	t.Helper()
	e := &fakeEngine{
		submitted: make(chan submittedRequest, 64), gone: make(chan policy.RequestID, 64), served: make(chan error, 1),
	}
	e.target = &Target{
		Engine: e, MaxOpen: maxOpen, MaxBodyBytes: 1 << 20,
		Classes: map[string]int{"look": 0}, ClassOf: []policy.Class{{Effect: policy.Idempotent, Deadline: time.Minute}},
	}
	cfg := Config{
		Route: RouteTo(e.target), ConnLimits: NewConnLimits(64, 64),
		Linger: time.Millisecond, MaxDeadline: testbed.MaxWait, Log: slog.New(slog.DiscardHandler),
	}
	if dialect {
		cfg.Dialect = e.dialect()
	}
	for _, c := range change {
		c(&cfg)
	}
	e.front = New(cfg, clock.New())
	e.drain = sync.OnceValue(e.front.Drain)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = l.Addr().String()
	go func() { e.served <- e.front.Serve(l) }()
	t.Cleanup(func() {
		if err := e.drain(); err != nil {
			t.Errorf("drain: %v", err)
		}
		if err := testbed.Wait(t, "Front.Serve to return", e.served); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		frontOpen, targetOpen := e.front.openRequests.Load(), e.target.OpenRequests()
		if frontOpen != 0 || targetOpen != 0 || len(e.submitted) != 0 || len(e.gone) != 0 {
			t.Errorf("open requests after the drain: front %d, target %d; unread: %d submissions, %d ClientGone; want 0",
				frontOpen, targetOpen, len(e.submitted), len(e.gone))
		}
	})
	return e
}

// testClient is the client side of a connection.
type testClient struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

func (e *fakeEngine) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	t.Cleanup(func() { c.Close() })
	return &testClient{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

// get returns the bytes of GET requests for the targets.
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

// expectResponse reads one response and checks its status and body.
func (c *testClient) expectResponse(status int, body string) *http.Response {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("want a response with body %q, got error %v", body, err)
	}
	got, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || string(got) != body {
		c.t.Fatalf("response is %s %q (error %v), want %d %q", res.Status, got, err, status, body)
	}
	return res
}

// expectEnd checks that the connection ends without further bytes.
func (c *testClient) expectEnd() {
	c.t.Helper()
	if b, err := io.ReadAll(c.r); err != nil || len(b) > 0 {
		c.t.Fatalf("read %q, error %v, want the end of the connection", b, err)
	}
	c.Close()
}

// serveUnpipelined has a client send requests one at a time until the front takes it for a client that does not
// pipeline.
func (e *fakeEngine) serveUnpipelined(t *testing.T, c *testClient) {
	t.Helper()
	for i := range 2 * maxUnpipelinedResponses {
		uri := fmt.Sprint("/safe/", i)
		c.send(get(uri))
		e.expectSubmitted(t, uri)[0].reply()
		c.expectResponse(200, "done "+uri)
	}
}

// expectSubmitted waits until the requests are submitted to the engine, in this order.
func (e *fakeEngine) expectSubmitted(t *testing.T, uris ...string) (all []submittedRequest) {
	t.Helper()
	for _, uri := range uris {
		r := testbed.Wait(t, uri, e.submitted)
		if r.uri != uri {
			t.Fatalf("%s was submitted, want %s", r.uri, uri)
		}
		all = append(all, r)
	}
	return all
}

// expectNoneSubmitted checks that no other request is submitted while openRequests are open. If parsedTarget is
// named, the dialect must have parsed it first. A request on another connection is then completed, so that the front
// had time to submit more.
func (e *fakeEngine) expectNoneSubmitted(t *testing.T, openRequests int64, parsedTarget string) {
	t.Helper()
	waitUntil(t, parsedTarget+" was parsed by the dialect", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return parsedTarget == "" || slices.Contains(e.parsedTargets, parsedTarget)
	})
	c := e.dial(t)
	c.send(get("/safe/between"))
	e.expectSubmitted(t, "/safe/between")[0].reply()
	c.expectResponse(200, "done /safe/between")
	c.Close()
	// A request's capacity is released after its response is written.
	waitUntil(t, "all other requests are released", func() bool { return e.target.OpenRequests() == openRequests })
}

// waitUntil polls a condition until it is true. what describes the condition.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testbed.MaxWait); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// expectGone waits until the clients of the requests are reported gone, in this order.
func (e *fakeEngine) expectGone(t *testing.T, all ...submittedRequest) {
	t.Helper()
	for _, r := range all {
		if id := testbed.Wait(t, "a ClientGone report", e.gone); id != r.id {
			t.Errorf("request %d is reported gone, want request %d, %s", id, r.id, r.uri)
		}
	}
}

// testBody is the body of a streamed response. The test writes it.
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
