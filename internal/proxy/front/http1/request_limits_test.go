package http1

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// pipeListener is a listener of connections within a bubble of synctest.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) { return <-p, nil }
func (p pipeListener) Close() error              { return nil }
func (p pipeListener) Addr() net.Addr            { return nil }

// limitedFront is a front under limits whose requests are answered at once, in virtual time.
type limitedFront struct {
	t        *testing.T
	front    *Front
	listener pipeListener
	limits   atomic.Pointer[RequestLimits]
}

func newLimitedFront(t *testing.T, of RequestLimits) *limitedFront {
	l := &limitedFront{t: t, listener: make(pipeListener, 1)}
	l.limits.Store(&of)
	d := &fakeEngine{submitted: make(chan submittedRequest), gone: make(chan policy.RequestID, 1)}
	target := &Target{Engine: d, MaxOpen: 64, MaxBodyBytes: 1 << 20}
	l.front = New(Config{
		Route: RouteTo(target), Dialect: d.dialect(), ConnLimits: KeepAliveConnLimits(256),
		RequestLimits: func() RequestLimits { return *l.limits.Load() }, Log: slog.New(slog.DiscardHandler),
	}, clock.New())
	l.front.acceptor.listener = l.listener
	l.front.watcher = new(watcher)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case a := <-d.submitted:
				a.reply()
			case <-ended:
				return
			}
		}
	}()
	t.Cleanup(func() { close(ended) })
	return l
}

// dial is a client's side of a new connection.
func (l *limitedFront) dial() *pipeClient {
	here, there := net.Pipe()
	l.listener <- there
	c, err := l.front.acceptor.accept()
	if err != nil {
		l.t.Fatal(err)
	}
	go l.front.serve(c)
	l.t.Cleanup(func() { here.Close() })
	return &pipeClient{Conn: here, r: bufio.NewReader(here)}
}

type pipeClient struct {
	net.Conn
	r *bufio.Reader
}

// request sends bytes and returns the status of the response; 0: the connection ended.
func (c *pipeClient) request(bytes string) int {
	if _, err := io.WriteString(c, bytes); err != nil {
		return 0
	}
	return c.responseStatus()
}

func (c *pipeClient) responseStatus() int {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// A head has the time of the limits from its first byte on, longer than the front's own bound or shorter, and a body
// the time that its client waits for it.
func TestHeadTimeout(t *testing.T) {
	for _, limit := range []time.Duration{3 * time.Second, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l := newLimitedFront(t, RequestLimits{HeadTime: limit, IdleTime: 15 * time.Second})
			begun, rest := "GET /one HTT", "P/1.1\r\nHost: a\r\n\r\n"
			c := l.dial()
			time.Sleep(5 * time.Second) // the time does not run before the first byte
			for range 2 {
				_, _ = io.WriteString(c, begun)
				time.Sleep(limit - time.Millisecond)
				if status := c.request(rest); status != 200 {
					t.Errorf("a head within %v: %d", limit, status)
				}
			}
			_, _ = io.WriteString(c, begun)
			before := time.Now()
			if status := c.responseStatus(); status != 408 || time.Since(before) != limit {
				t.Errorf("a head that does not end has %d after %v, want 408 after %v", status, time.Since(before), limit)
			}
			c = l.dial()
			_, _ = io.WriteString(c, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
			for range 9 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, ".")
			}
			if status := c.request("."); status != 200 {
				t.Errorf("a body within the minute that its client waits: %d", status)
			}
		})
	}
}

// Connections stay idle as long as the limits say, however many there are: to the moment, not a fraction of it. What
// changes meanwhile never shortens a rest that has begun.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle, late = 15 * time.Second, maxSweepInterval + time.Millisecond
		l := newLimitedFront(t, RequestLimits{IdleTime: idle})
		var all []*pipeClient
		for i := range 120 {
			all = append(all, l.dial())
			for range i % 3 { // some have said nothing, others come back
				if status := all[i].request(get("/one")); status != 200 {
					t.Fatalf("%d", status)
				}
				synctest.Wait() // a request counts as open until its goroutine goes on behind the response
			}
		}
		open := func() int { synctest.Wait(); return l.front.Counters().Open }
		for range 2 {
			time.Sleep(idle - time.Millisecond)
			for i, c := range all {
				if status := c.request(get("/one")); status != 200 {
					t.Fatalf("connection %d was closed within its time: %d", i, status)
				}
				synctest.Wait()
			}
		}
		l.limits.Store(&RequestLimits{IdleTime: idle / 5})
		time.Sleep(idle - time.Millisecond)
		if n := open(); n != len(all) {
			t.Errorf("%d of %d are left that began to rest under the longer limit", n, len(all))
		}
		for _, c := range all[:60] {
			c.request(get("/one"))
		}
		time.Sleep(late)
		if n := open(); n != 60 {
			t.Errorf("%d are left behind their time, want the 60 that were used", n)
		}
		l.limits.Store(&RequestLimits{IdleTime: 2 * idle})
		time.Sleep(2*idle - late - time.Millisecond)
		if n := open(); n != 60 {
			t.Errorf("%d of 60 are left under a longer limit", n)
		}
		time.Sleep(late)
		if n := open(); n != 0 {
			t.Errorf("%d are left behind the longer limit", n)
		}
	})
}

// A head may be as long as the limits say, whether it comes alone, in parts or behind another request, and a body in
// chunks too.
func TestRequestSizeLimits(t *testing.T) {
	for _, limit := range []int{1000, 16 << 10, 40000} {
		synctest.Test(t, func(t *testing.T) {
			l := newLimitedFront(t, RequestLimits{HeadBytes: int64(limit), BodyBytes: 1000})
			head := func(size int) string { // 150 fields, and so many bytes of them
				fields := "Host: a\r\n"
				if size > 4000 {
					fields += strings.Repeat("F: 1\r\n", 150)
				}
				padding := strings.Repeat("x", size-len(fields)-len("X: \r\n\r\n"))
				return "GET /safe/one HTTP/1.1\r\n" + fields + "X: " + padding + "\r\n\r\n"
			}
			c := l.dial()
			for _, parts := range []int{1, 3} {
				for bytes := head(limit); len(bytes) > 0; {
					n := min(len(bytes), limit/parts)
					_, _ = io.WriteString(c, bytes[:n])
					bytes = bytes[n:]
				}
				if status := c.responseStatus(); status != 200 {
					t.Errorf("a head of the limit of %d in %d parts: %d", limit, parts, status)
				}
			}
			go func() { _, _ = io.WriteString(c, head(limit)+head(limit)) }()
			for range 2 {
				if status := c.responseStatus(); status != 200 {
					t.Errorf("a pipelined head of the limit of %d: %d", limit, status)
				}
			}
			go func() { _, _ = io.WriteString(c, head(limit+1)) }()
			if status := c.responseStatus(); status != 431 {
				t.Errorf("a head over the limit of %d: %d", limit, status)
			}
			for size, status := range map[int]int{1000: 200, 1001: 413} {
				c = l.dial()
				go func() {
					const format = "POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
					fmt.Fprintf(c, format, size, strings.Repeat("b", size))
				}()
				if got := c.responseStatus(); got != status {
					t.Errorf("%d bytes in chunks: %d, want %d", size, got, status)
				}
			}
		})
	}
}

// Read ahead from a socket, heads have the same limit.
func TestPipelinedHeadSizeLimit(t *testing.T) {
	d := newFakeEngine(t, 10, true, func(cfg *Config) {
		cfg.RequestLimits = func() RequestLimits { return RequestLimits{HeadBytes: 40000} }
	})
	c := d.dial(t)
	c.send(get("/safe/1"))
	first := d.expectSubmitted(t, "/safe/1")[0]
	c.send("GET /safe/2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 39000) + "\r\n\r\n")
	second := d.expectSubmitted(t, "/safe/2")[0]
	second.reply()
	first.reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	c.send("GET /safe/3 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 40000) + "\r\n\r\n")
	c.expectResponse(http.StatusRequestHeaderFieldsTooLarge, "the head is too long\n")
	c.expectEnd()
}

// A front without RequestLimits keeps its own limits.
func TestDefaultLimits(t *testing.T) {
	f := New(Config{ConnLimits: NewConnLimits(64, 64)}, clock.New())
	if of := f.requestLimits(); of != (RequestLimits{}) || of.headBytes() != 0 {
		t.Errorf("%+v", of)
	}
	var p h1.Parser
	if p.SetLimit(f.requestLimits().headBytes()); p.MaxBytes() != h1.DefaultMaxHeadBytes {
		t.Errorf("heads have %d bytes", p.MaxBytes())
	}
	for k := range stateCount {
		if left := f.acceptor.table.maxIdle(new(entry), k); left != defaultMaxIdle[k] {
			t.Errorf("kind %d is left %v at rest, want %v", k, left, defaultMaxIdle[k])
		}
	}
}
