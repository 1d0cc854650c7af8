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

// askedRequest is a request that a fakeEngine was asked, to be replied to or reported gone.
type askedRequest struct {
	uri, body string
	id        policy.RequestID
	replies   chan<- call.Answer
}

// serve answers it.
func (a askedRequest) reply() {
	a.replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Body: []byte("done " + a.uri)}
}

// fakeEngine is an engine whose replies the test gives, and its one target's front.
type fakeEngine struct {
	front   *Front
	target  *Target
	address string
	drain   func() error // once; a second call waits for the first
	asked   chan askedRequest
	gone    chan policy.RequestID
	served  chan error

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
	d.asked <- askedRequest{m.URI, string(m.Body), d.last, reply}
	return d.last
}

func (d *fakeEngine) ClientGone(id policy.RequestID) { d.gone <- id }
func (d *fakeEngine) Done() <-chan struct{}          { return nil }

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

// newFakeEngine serves on loopback. At the end of the test the front drains, and every place must have been given back.
func newFakeEngine(t *testing.T, maxOpen int, dialect bool, change ...func(*Config)) *fakeEngine {
	t.Helper()
	d := &fakeEngine{
		asked: make(chan askedRequest, 64), gone: make(chan policy.RequestID, 64), served: make(chan error, 1),
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
		if ofFront != 0 || ofTarget != 0 || len(d.asked) != 0 || len(d.gone) != 0 {
			t.Errorf("at the end %d open requests, %d of the target, %d not looked at, %d gone",
				ofFront, ofTarget, len(d.asked), len(d.gone))
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

// expectAsked waits for requests, in this order.
func (d *fakeEngine) expectAsked(t *testing.T, uris ...string) (all []askedRequest) {
	t.Helper()
	for _, uri := range uris {
		a := testbed.Wait(t, uri, d.asked)
		if a.uri != uri {
			t.Fatalf("%s was asked, want %s", a.uri, uri)
		}
		all = append(all, a)
	}
	return all
}

// expectNoneAsked checks that nothing else was asked while so many are open: the dialect has read this target, if one
// is named, and another connection had a whole request since.
func (d *fakeEngine) expectNoneAsked(t *testing.T, held int64, read string) {
	t.Helper()
	waitUntil(t, read+" is read", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return read == "" || slices.Contains(d.parsedTargets, read)
	})
	c := d.dial(t)
	c.send(get("/safe/between"))
	d.expectAsked(t, "/safe/between")[0].reply()
	c.expectResponse(200, "done /safe/between")
	c.Close()
	// Each request is released behind its response.
	waitUntil(t, "all others are released", func() bool { return d.target.OpenRequests() == held })
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
func (d *fakeEngine) expectGone(t *testing.T, all ...askedRequest) {
	t.Helper()
	for _, a := range all {
		if id := testbed.Wait(t, "that one is gone", d.gone); id != a.id {
			t.Errorf("%d is reported gone, want %d, %s", id, a.id, a.uri)
		}
	}
}

// What comes behind an open request, with it or later, is worked on at the same time, the last one's end first;
// answers keep the order. A connection with open requests never rests.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	for name, split := range map[string]bool{"one write": false, "separate writes": true} {
		t.Run(name, func(t *testing.T) {
			d := newFakeEngine(t, 0, true)
			c := d.dial(t)
			for round := range 3 {
				uris := []string{fmt.Sprint("/safe/a", round), fmt.Sprint("/safe/b", round), fmt.Sprint("/safe/c", round)}
				var all []askedRequest
				if split {
					for _, uri := range uris {
						whole := get(uri)
						c.send(whole[:9]) // in parts, which must not be lost
						c.send(whole[9:])
						all = append(all, d.expectAsked(t, uri)...)
					}
				} else {
					c.send(get(uris...))
					all = d.expectAsked(t, uris...)
				}
				waitUntil(t, "the last round's places are free", func() bool { return d.target.OpenRequests() == 3 })
				d.front.acceptor.closeIdle(0)
				if rest := d.front.Counters().Rest; rest != [stateCount]int{} {
					t.Errorf("at rest %v, want none", rest)
				}
				all[2].reply()
				all[0].reply()
				c.expectResponse(200, "done "+uris[0])
				d.expectNoneAsked(t, 2, "")
				d.front.acceptor.closeIdle(0) // nor does one with requests behind an answer
				all[1].reply()
				c.expectResponse(200, "done "+uris[1])
				c.expectResponse(200, "done "+uris[2])
			}
		})
	}
}

// A client that pipelines late is seen to do it, though it was taken for one that does not.
func TestLatePipeliningIsNoticed(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	for i := range 2 * maxUnpipelinedResponses {
		uri := fmt.Sprint("/safe/", i)
		c.send(get(uri))
		d.expectAsked(t, uri)[0].reply()
		c.expectResponse(200, "done "+uri)
	}
	c.send(get("/safe/a"))
	a := d.expectAsked(t, "/safe/a")[0]
	c.send(get("/safe/b")) // nobody looks for it before the answer
	a.reply()
	c.expectResponse(200, "done /safe/a")
	b := d.expectAsked(t, "/safe/b")[0]
	c.send(get("/safe/c"))
	d.expectAsked(t, "/safe/c")[0].reply()
	b.reply()
	c.expectResponse(200, "done /safe/b")
	c.expectResponse(200, "done /safe/c")
}

// What is not idempotent or has a body is served alone, when all before it has its answer, and what follows waits for
// that; each is looked at once.
func TestNonIdempotentRequestsAreServedAlone(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/run/3") +
		"POST /safe/4 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42" +
		get("/safe/5", "/safe/6"))
	first := d.expectAsked(t, "/safe/1", "/safe/2")
	d.expectNoneAsked(t, 2, "/run/3")
	first[1].reply()
	first[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	alone := d.expectAsked(t, "/run/3")[0]
	d.expectNoneAsked(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /run/3")
	if alone = d.expectAsked(t, "/safe/4")[0]; alone.body != "42" {
		t.Errorf("body %q", alone.body)
	}
	d.expectNoneAsked(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /safe/4")
	for _, a := range slices.Backward(d.expectAsked(t, "/safe/5", "/safe/6")) {
		a.reply()
	}
	c.expectResponse(200, "done /safe/5")
	c.expectResponse(200, "done /safe/6")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parsedTargets = slices.DeleteFunc(d.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	want := []string{"/safe/1", "/safe/2", "/run/3", "/safe/4", "/safe/5", "/safe/6"}
	if !slices.Equal(d.parsedTargets, want) {
		t.Errorf("looked at %q, want %q", d.parsedTargets, want)
	}
}

// A request that closes the connection or can't be read has its response in its turn, and nothing behind it is read.
func TestPipelinedRequestThatCloses(t *testing.T) {
	for name, last := range map[string]string{
		"asked to":   "GET /safe/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"unreadable": "GET /safe/2 HTTP/1.1\r\nHost: a\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeEngine(t, 0, true)
			c := d.dial(t)
			c.send(get("/safe/0", "/safe/1") + last)
			for _, a := range slices.Backward(d.expectAsked(t, "/safe/0", "/safe/1")) {
				a.reply()
			}
			c.expectResponse(200, "done /safe/0")
			c.expectResponse(200, "done /safe/1")
			if name == "unreadable" {
				res := c.expectResponse(400, "a line ends in a bare LF or holds a bare CR\n")
				if !res.Close || res.Header.Get("Of") != "" {
					t.Errorf("headers %v, want none of the request before", res.Header)
				}
			} else {
				d.expectAsked(t, "/safe/2")[0].reply()
				if res := c.expectResponse(200, "done /safe/2"); !res.Close {
					t.Error("the answer does not say that its connection closes")
				}
			}
			c.expectEnd()
		})
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

// Of a client that hangs up all that is open is told gone, and an answer that has begun is given up. One that sent
// half a request more still has its answers.
func TestHangupCancelsPipelined(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectAsked(t, "/safe/1", "/safe/2", "/safe/3")
	b, _ := newTestBody()
	all[1].replies <- call.Answer{Kind: call.Served, Stream: b}
	c.Close()
	d.expectGone(t, all...)
	testbed.Wait(t, "that the answer is given up", b.closed)

	for range 10 { // whether its end or its last request is noticed first
		c = d.dial(t)
		c.send(get("/safe/1"))
		all = d.expectAsked(t, "/safe/1")
		c.send(get("/safe/2"))
		c.Close()
		d.expectGone(t, append(all, d.expectAsked(t, "/safe/2")...)...)
	}

	c = d.dial(t)
	c.send(get("/safe/1", "/safe/2") + "GET /safe/3")
	all = d.expectAsked(t, "/safe/1", "/safe/2")
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	d.expectNoneAsked(t, 2, "")
	all[1].reply()
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	c.expectEnd()
}

// With a drain the next response is the connection's last; what was read behind it is cancelled.
func TestDrainCancelsPipelined(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectAsked(t, "/safe/1", "/safe/2", "/safe/3")
	drained := make(chan error, 1)
	go func() { drained <- d.drain() }()
	waitUntil(t, "it drains", d.front.draining.Load)
	c.send(get("/safe/4"))
	all[1].reply()
	all[0].reply()
	if res := c.expectResponse(200, "done /safe/1"); !res.Close {
		t.Error("the answer does not say that its connection closes")
	}
	d.expectGone(t, all[1:]...)
	c.expectEnd()
	if err := testbed.Wait(t, "the drain", drained); err != nil {
		t.Error(err)
	}
}

// Requests that are rejected, or find no capacity while others are open, have their response in their turn: each by its
// own head.
func TestPipelinedRejections(t *testing.T) {
	d := newFakeEngine(t, 2, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/over/2", "/safe/3", "/safe/4", "/safe/5"))
	first := d.expectAsked(t, "/safe/1")[0]
	d.expectNoneAsked(t, 1, "/over/2")
	first.reply()
	c.expectResponse(200, "done /safe/1")
	if res := c.expectResponse(429, ""); res.Header.Get("Of") != "/over/2" {
		t.Errorf("headers %v", res.Header)
	}
	both := d.expectAsked(t, "/safe/3", "/safe/4")
	both[1].replies <- call.Answer{Kind: call.Refused}
	both[0].replies <- call.Answer{Kind: call.Failed}
	if res := c.expectResponse(502, ""); res.Header.Get("Of") != "/safe/3" {
		t.Errorf("headers %v", res.Header)
	}
	if res := c.expectResponse(503, ""); res.Header.Get("Of") != "/safe/4" {
		t.Errorf("headers %v", res.Header)
	}
	d.expectAsked(t, "/safe/5")[0].reply()
	c.expectResponse(200, "done /safe/5")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parsedTargets = slices.DeleteFunc(d.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	if len(d.parsedTargets) != 5 {
		t.Errorf("looked at %q, want each once", d.parsedTargets)
	}
}

// No more than maxPipelined are read ahead; each response allows one more.
func TestPipelineLimit(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	var uris []string
	for i := range 3 * maxPipelined {
		// Together they are more than a buffer holds.
		uris = append(uris, fmt.Sprintf("/safe/%d?%s", i, strings.Repeat("x", bufferSize/maxPipelined)))
	}
	c.send(get(uris...))
	all := d.expectAsked(t, uris[:1+maxPipelined]...)
	for i, uri := range uris {
		if i+maxPipelined < len(uris) {
			d.expectNoneAsked(t, 1+maxPipelined, "")
		}
		all[i].reply()
		c.expectResponse(200, "done "+uri)
		if next := i + 1 + maxPipelined; next < len(uris) {
			all = append(all, d.expectAsked(t, uris[next])...)
		}
	}
}

// A response that is streamed has its place among the others; requests are accepted meanwhile.
func TestPipelinedStream(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectAsked(t, "/safe/1", "/safe/2", "/safe/3")
	b, w := newTestBody()
	all[2].reply()
	all[1].replies <- call.Answer{Kind: call.Served, Stream: b}
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	if _, err := io.WriteString(w, "some "); err != nil {
		t.Fatal(err)
	}
	c.send(get("/safe/4"))
	fourth := d.expectAsked(t, "/safe/4")[0]
	if _, err := io.WriteString(w, "more"); err != nil {
		t.Fatal(err)
	}
	w.Close()
	c.expectResponse(200, "some more")
	c.expectResponse(200, "done /safe/3")
	fourth.reply()
	c.expectResponse(200, "done /safe/4")
}

// Without a dialect a connection serves one request at a time.
func TestNoPipeliningWithoutDialect(t *testing.T) {
	d := newFakeEngine(t, 0, false)
	c := d.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\n"+
			"X-Priority-Class: look\r\nX-Timeout: 1000m\r\n\r\n", i, i))
	}
	for i := range 3 {
		uri := fmt.Sprint("/look/", i)
		a := d.expectAsked(t, uri)[0]
		if held := d.target.OpenRequests(); held != 1 || len(d.asked) != 0 {
			t.Errorf("%d held, %d more asked; want one at a time", held, len(d.asked))
		}
		a.reply()
		c.expectResponse(200, "done "+uri)
	}
}
