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

// asked is a request that a desk has, to be answered or told gone.
type asked struct {
	uri, body string
	id        policy.RequestID
	reply     chan<- call.Answer
}

// serve answers it.
func (a asked) serve() {
	a.reply <- call.Answer{Kind: call.Served, Status: http.StatusOK, Body: []byte("done " + a.uri)}
}

// desk is an engine whose answers the test gives, and its one target's front.
type desk struct {
	front  *Front
	target *Target
	at     string
	drain  func() error // once; a second call waits for the first
	asks   chan asked
	gone   chan policy.RequestID
	served chan error

	mu    sync.Mutex
	last  policy.RequestID
	reads []string // what the dialect was asked to read
}

func (d *desk) Submit(_ policy.Request, m *call.Message, _ time.Duration, reply chan<- call.Answer) policy.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.asks <- asked{m.URI, string(m.Body), d.last, reply}
	return d.last
}

func (d *desk) ClientGone(id policy.RequestID) { d.gone <- id }
func (d *desk) Done() <-chan struct{}          { return nil }

// dialect has /safe/... be idempotent and /over/... be over a quota.
func (d *desk) dialect() *Dialect {
	return &Dialect{
		ParseRequest: func(h *h1.Head) (policy.Request, time.Duration, *Rejection) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reads = append(d.reads, h.Target)
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

// newDesk serves on loopback. At the end of the test the front drains, and every place must have been given back.
func newDesk(t *testing.T, most int, dialect bool, change ...func(*Config)) *desk {
	t.Helper()
	d := &desk{asks: make(chan asked, 64), gone: make(chan policy.RequestID, 64), served: make(chan error, 1)}
	d.target = &Target{Engine: d, MaxOpen: most, MaxBodyBytes: 1 << 20, Classes: map[string]int{"look": 0}, ClassOf: []policy.Class{{Effect: policy.Idempotent, Deadline: time.Minute}}}
	cfg := Config{Route: RouteTo(d.target), ConnLimits: NewConnLimits(64, 64), Linger: time.Millisecond, MaxDeadline: testbed.Generous, Log: slog.New(slog.DiscardHandler)}
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
	d.at = l.Addr().String()
	go func() { d.served <- d.front.Serve(l) }()
	t.Cleanup(func() {
		if err := d.drain(); err != nil {
			t.Errorf("drain: %v", err)
		}
		if err := testbed.Wait(t, "the end", d.served); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		if held, open := d.front.openRequests.Load(), d.target.OpenRequests(); held != 0 || open != 0 || len(d.asks) != 0 || len(d.gone) != 0 {
			t.Errorf("at the end %d held, %d at the target, %d not looked at, %d gone", held, open, len(d.asks), len(d.gone))
		}
	})
	return d
}

// caller is a client's connection.
type caller struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

func (d *desk) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testbed.Generous))
	t.Cleanup(func() { c.Close() })
	return &caller{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

// get is the bytes of requests without a body.
func get(targets ...string) string {
	var b strings.Builder
	for _, target := range targets {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target)
	}
	return b.String()
}

func (c *caller) send(bytes string) {
	c.t.Helper()
	if _, err := io.WriteString(c, bytes); err != nil {
		c.t.Fatal(err)
	}
}

// takes takes one answer.
func (c *caller) takes(status int, body string) *http.Response {
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

// ends takes that the connection ends with nothing more on it.
func (c *caller) ends() {
	c.t.Helper()
	if b, err := io.ReadAll(c.r); err != nil || len(b) > 0 {
		c.t.Fatalf("the connection ends with %q, %v", b, err)
	}
	c.Close()
}

// has waits for requests, in this order.
func (d *desk) has(t *testing.T, uris ...string) (all []asked) {
	t.Helper()
	for _, uri := range uris {
		a := testbed.Wait(t, uri, d.asks)
		if a.uri != uri {
			t.Fatalf("%s was asked, want %s", a.uri, uri)
		}
		all = append(all, a)
	}
	return all
}

// hasNone says that nothing else was asked while so many are held: the dialect has read this target, if one is named, and another connection had a whole request since.
func (d *desk) hasNone(t *testing.T, held int64, read string) {
	t.Helper()
	until(t, read+" is read", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return read == "" || slices.Contains(d.reads, read)
	})
	c := d.dial(t)
	c.send(get("/safe/between"))
	d.has(t, "/safe/between")[0].serve()
	c.takes(200, "done /safe/between")
	c.Close()
	until(t, "all others' places are free", func() bool { return d.target.OpenRequests() == held }) // each is given back behind its answer
}

// until waits until something is so.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testbed.Generous); !is(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// tells waits for those that are told gone.
func (d *desk) tells(t *testing.T, all ...asked) {
	t.Helper()
	for _, a := range all {
		if id := testbed.Wait(t, "that one is gone", d.gone); id != a.id {
			t.Errorf("%d is told gone, want %d, %s", id, a.id, a.uri)
		}
	}
}

// What comes behind an open request, with it or later, is worked on at the same time, the last one's end first; answers keep the order. A connection with open
// requests never rests.
func TestAheadInOrder(t *testing.T) {
	for name, split := range map[string]bool{"one write": false, "separate writes": true} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 0, true)
			c := d.dial(t)
			for round := range 3 {
				uris := []string{fmt.Sprint("/safe/a", round), fmt.Sprint("/safe/b", round), fmt.Sprint("/safe/c", round)}
				var all []asked
				if split {
					for _, uri := range uris {
						whole := get(uri)
						c.send(whole[:9]) // in parts, which must not be lost
						c.send(whole[9:])
						all = append(all, d.has(t, uri)...)
					}
				} else {
					c.send(get(uris...))
					all = d.has(t, uris...)
				}
				until(t, "the last round's places are free", func() bool { return d.target.OpenRequests() == 3 })
				d.front.acceptor.closeIdle(0)
				if rest := d.front.Counters().Rest; rest != [stateCount]int{} {
					t.Errorf("at rest %v, want none", rest)
				}
				all[2].serve()
				all[0].serve()
				c.takes(200, "done "+uris[0])
				d.hasNone(t, 2, "")
				d.front.acceptor.closeIdle(0) // nor does one with requests behind an answer
				all[1].serve()
				c.takes(200, "done "+uris[1])
				c.takes(200, "done "+uris[2])
			}
		})
	}
}

// A client that pipelines late is seen to do it, though it was taken for one that does not.
func TestAheadSeenLate(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	for i := range 2 * maxUnpipelinedResponses {
		uri := fmt.Sprint("/safe/", i)
		c.send(get(uri))
		d.has(t, uri)[0].serve()
		c.takes(200, "done "+uri)
	}
	c.send(get("/safe/a"))
	a := d.has(t, "/safe/a")[0]
	c.send(get("/safe/b")) // nobody looks for it before the answer
	a.serve()
	c.takes(200, "done /safe/a")
	b := d.has(t, "/safe/b")[0]
	c.send(get("/safe/c"))
	d.has(t, "/safe/c")[0].serve()
	b.serve()
	c.takes(200, "done /safe/b")
	c.takes(200, "done /safe/c")
}

// What is not idempotent or has a body is served alone, when all before it has its answer, and what follows waits for that; each is looked at once.
func TestAheadWaitsForOthers(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/run/3") + "POST /safe/4 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42" + get("/safe/5", "/safe/6"))
	first := d.has(t, "/safe/1", "/safe/2")
	d.hasNone(t, 2, "/run/3")
	first[1].serve()
	first[0].serve()
	c.takes(200, "done /safe/1")
	c.takes(200, "done /safe/2")
	alone := d.has(t, "/run/3")[0]
	d.hasNone(t, 1, "")
	alone.serve()
	c.takes(200, "done /run/3")
	if alone = d.has(t, "/safe/4")[0]; alone.body != "42" {
		t.Errorf("body %q", alone.body)
	}
	d.hasNone(t, 1, "")
	alone.serve()
	c.takes(200, "done /safe/4")
	for _, a := range slices.Backward(d.has(t, "/safe/5", "/safe/6")) {
		a.serve()
	}
	c.takes(200, "done /safe/5")
	c.takes(200, "done /safe/6")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads = slices.DeleteFunc(d.reads, func(uri string) bool { return uri == "/safe/between" })
	if want := []string{"/safe/1", "/safe/2", "/run/3", "/safe/4", "/safe/5", "/safe/6"}; !slices.Equal(d.reads, want) {
		t.Errorf("looked at %q, want %q", d.reads, want)
	}
}

// What closes the connection, or can't be read, has its answer in its turn, and nothing behind it is taken.
func TestAheadCloses(t *testing.T) {
	for name, last := range map[string]string{"asked to": "GET /safe/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "unreadable": "GET /safe/2 HTTP/1.1\r\nHost: a\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 0, true)
			c := d.dial(t)
			c.send(get("/safe/0", "/safe/1") + last)
			for _, a := range slices.Backward(d.has(t, "/safe/0", "/safe/1")) {
				a.serve()
			}
			c.takes(200, "done /safe/0")
			c.takes(200, "done /safe/1")
			if name == "unreadable" {
				if res := c.takes(400, "a line ends in a bare LF or holds a bare CR\n"); !res.Close || res.Header.Get("Of") != "" {
					t.Errorf("headers %v, want none of the request before", res.Header)
				}
			} else {
				d.has(t, "/safe/2")[0].serve()
				if res := c.takes(200, "done /safe/2"); !res.Close {
					t.Error("the answer does not say that its connection closes")
				}
			}
			c.ends()
		})
	}
}

// body is an answer's that the test passes on piece by piece.
type body struct {
	*io.PipeReader
	closed chan struct{}
	once   *sync.Once
}

func newBody() (body, *io.PipeWriter) {
	r, w := io.Pipe()
	return body{r, make(chan struct{}), new(sync.Once)}, w
}

func (body) Length() int64 { return -1 }

func (b body) Close() {
	b.once.Do(func() { close(b.closed) })
	b.PipeReader.Close()
}

// Of a client that hangs up all that is open is told gone, and an answer that has begun is given up. One that sent half a request more still has its answers.
func TestAheadHangsUp(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.has(t, "/safe/1", "/safe/2", "/safe/3")
	b, _ := newBody()
	all[1].reply <- call.Answer{Kind: call.Served, Stream: b}
	c.Close()
	d.tells(t, all...)
	testbed.Wait(t, "that the answer is given up", b.closed)

	for range 10 { // whether its end or its last request is noticed first
		c = d.dial(t)
		c.send(get("/safe/1"))
		all = d.has(t, "/safe/1")
		c.send(get("/safe/2"))
		c.Close()
		d.tells(t, append(all, d.has(t, "/safe/2")...)...)
	}

	c = d.dial(t)
	c.send(get("/safe/1", "/safe/2") + "GET /safe/3")
	all = d.has(t, "/safe/1", "/safe/2")
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	d.hasNone(t, 2, "")
	all[1].serve()
	all[0].serve()
	c.takes(200, "done /safe/1")
	c.takes(200, "done /safe/2")
	c.ends()
}

// With a drain the next answer is the connection's last; what was read behind it is called off.
func TestAheadDrains(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.has(t, "/safe/1", "/safe/2", "/safe/3")
	drained := make(chan error, 1)
	go func() { drained <- d.drain() }()
	until(t, "it drains", d.front.draining.Load)
	c.send(get("/safe/4"))
	all[1].serve()
	all[0].serve()
	if res := c.takes(200, "done /safe/1"); !res.Close {
		t.Error("the answer does not say that its connection closes")
	}
	d.tells(t, all[1:]...)
	c.ends()
	if err := testbed.Wait(t, "the drain", drained); err != nil {
		t.Error(err)
	}
}

// What is turned away, and what finds no place while others are open, has its answer in its turn: each by its own head.
func TestAheadRefused(t *testing.T) {
	d := newDesk(t, 2, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/over/2", "/safe/3", "/safe/4", "/safe/5"))
	first := d.has(t, "/safe/1")[0]
	d.hasNone(t, 1, "/over/2")
	first.serve()
	c.takes(200, "done /safe/1")
	if res := c.takes(429, ""); res.Header.Get("Of") != "/over/2" {
		t.Errorf("headers %v", res.Header)
	}
	both := d.has(t, "/safe/3", "/safe/4")
	both[1].reply <- call.Answer{Kind: call.Refused}
	both[0].reply <- call.Answer{Kind: call.Failed}
	if res := c.takes(502, ""); res.Header.Get("Of") != "/safe/3" {
		t.Errorf("headers %v", res.Header)
	}
	if res := c.takes(503, ""); res.Header.Get("Of") != "/safe/4" {
		t.Errorf("headers %v", res.Header)
	}
	d.has(t, "/safe/5")[0].serve()
	c.takes(200, "done /safe/5")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reads = slices.DeleteFunc(d.reads, func(uri string) bool { return uri == "/safe/between" }); len(d.reads) != 5 {
		t.Errorf("looked at %q, want each once", d.reads)
	}
}

// No more than aheadMost are read ahead; each answer makes room for one.
func TestAheadBound(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	var uris []string
	for i := range 3 * maxPipelined {
		uris = append(uris, fmt.Sprintf("/safe/%d?%s", i, strings.Repeat("x", bufferSize/maxPipelined))) // more than a scratch holds
	}
	c.send(get(uris...))
	all := d.has(t, uris[:1+maxPipelined]...)
	for i, uri := range uris {
		if i+maxPipelined < len(uris) {
			d.hasNone(t, 1+maxPipelined, "")
		}
		all[i].serve()
		c.takes(200, "done "+uri)
		if next := i + 1 + maxPipelined; next < len(uris) {
			all = append(all, d.has(t, uris[next])...)
		}
	}
}

// An answer that is passed on as it comes has its place among the others; requests are taken on meanwhile.
func TestAheadStreams(t *testing.T) {
	d := newDesk(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.has(t, "/safe/1", "/safe/2", "/safe/3")
	b, w := newBody()
	all[2].serve()
	all[1].reply <- call.Answer{Kind: call.Served, Stream: b}
	all[0].serve()
	c.takes(200, "done /safe/1")
	if _, err := io.WriteString(w, "some "); err != nil {
		t.Fatal(err)
	}
	c.send(get("/safe/4"))
	fourth := d.has(t, "/safe/4")[0]
	if _, err := io.WriteString(w, "more"); err != nil {
		t.Fatal(err)
	}
	w.Close()
	c.takes(200, "some more")
	c.takes(200, "done /safe/3")
	fourth.serve()
	c.takes(200, "done /safe/4")
}

// Without a dialect a connection serves one request at a time.
func TestNothingAheadWithoutDialect(t *testing.T) {
	d := newDesk(t, 0, false)
	c := d.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Priority-Class: look\r\nX-Timeout: 1000m\r\n\r\n", i, i))
	}
	for i := range 3 {
		uri := fmt.Sprint("/look/", i)
		a := d.has(t, uri)[0]
		if held := d.target.OpenRequests(); held != 1 || len(d.asks) != 0 {
			t.Errorf("%d held, %d more asked; want one at a time", held, len(d.asks))
		}
		a.serve()
		c.takes(200, "done "+uri)
	}
}
