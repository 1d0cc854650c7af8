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

// pipeListener is a listener for in-memory connections, which work within a synctest bubble.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) { return <-p, nil }
func (p pipeListener) Close() error              { return nil }
func (p pipeListener) Addr() net.Addr            { return nil }

// limitedFront is a front with RequestLimits and an engine that replies at once, used in virtual time.
type limitedFront struct {
	t        *testing.T
	front    *Front
	listener pipeListener
	limits   atomic.Pointer[RequestLimits]
}

func newLimitedFront(t *testing.T, initial RequestLimits) *limitedFront {
	l := &limitedFront{t: t, listener: make(pipeListener, 1)}
	l.limits.Store(&initial)
	engine := &fakeEngine{submitted: make(chan submittedRequest), gone: make(chan policy.RequestID, 1)}
	target := &Target{Engine: engine, MaxOpen: 64, MaxBodyBytes: 1 << 20}
	l.front = New(Config{
		Route: RouteTo(target), Dialect: engine.dialect(), ConnLimits: KeepAliveConnLimits(256),
		RequestLimits: func() RequestLimits { return *l.limits.Load() }, Log: slog.New(slog.DiscardHandler),
	}, clock.New())
	l.front.acceptor.listener = l.listener
	l.front.watcher = new(watcher)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case r := <-engine.submitted:
				r.reply()
			case <-ended:
				return
			}
		}
	}()
	t.Cleanup(func() { close(ended) })
	return l
}

// dial opens a connection and returns its client side.
func (l *limitedFront) dial() *pipeClient {
	clientSide, serverSide := net.Pipe()
	l.listener <- serverSide
	c, err := l.front.acceptor.accept()
	if err != nil {
		l.t.Fatal(err)
	}
	go l.front.serve(c)
	l.t.Cleanup(func() { clientSide.Close() })
	return &pipeClient{Conn: clientSide, r: bufio.NewReader(clientSide)}
}

// pipeClient is the client side of an in-memory connection.
type pipeClient struct {
	net.Conn
	r *bufio.Reader
}

// request sends bytes and returns the status of the response, or 0 if the connection ended.
func (c *pipeClient) request(bytes string) int {
	if _, err := io.WriteString(c, bytes); err != nil {
		return 0
	}
	return c.responseStatus()
}

// responseStatus reads a response and returns its status, or 0 if the connection ended.
func (c *pipeClient) responseStatus() int {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// A head may take as long as RequestLimits.HeadTime from its first byte, whether that is longer or shorter than the
// front's own limit, and a body as long as the timeout of its request.
func TestHeadTimeout(t *testing.T) {
	for _, limit := range []time.Duration{3 * time.Second, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l := newLimitedFront(t, RequestLimits{HeadTime: limit, IdleTime: 15 * time.Second})
			begun, rest := "GET /one HTT", "P/1.1\r\nHost: a\r\n\r\n"
			c := l.dial()
			time.Sleep(5 * time.Second) // HeadTime does not begin before the first byte
			for range 2 {
				_, _ = io.WriteString(c, begun)
				time.Sleep(limit - time.Millisecond)
				if status := c.request(rest); status != 200 {
					t.Errorf("head completed within the limit of %v: status %d, want 200", limit, status)
				}
			}
			_, _ = io.WriteString(c, begun)
			before := time.Now()
			if status := c.responseStatus(); status != 408 || time.Since(before) != limit {
				t.Errorf("incomplete head: status %d after %v, want 408 after %v", status, time.Since(before), limit)
			}
			c = l.dial()
			_, _ = io.WriteString(c, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
			for range 9 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, ".")
			}
			if status := c.request("."); status != 200 {
				t.Errorf("body completed within the request's timeout of 1 min: status %d, want 200", status)
			}
		})
	}
}

// Connections stay idle for exactly RequestLimits.IdleTime, however many there are. A change of the limit never
// shortens an idle period that has begun.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle, late = 15 * time.Second, maxSweepInterval + time.Millisecond
		l := newLimitedFront(t, RequestLimits{IdleTime: idle})
		var all []*pipeClient
		for i := range 120 {
			all = append(all, l.dial())
			for range i % 3 { // a third each: no request, one request, two requests
				if status := all[i].request(get("/one")); status != 200 {
					t.Fatalf("status %d, want 200", status)
				}
				synctest.Wait() // a request counts as open until its goroutine continues after the response
			}
		}
		open := func() int { synctest.Wait(); return l.front.Counters().Open }
		for range 2 {
			time.Sleep(idle - time.Millisecond)
			for i, c := range all {
				if status := c.request(get("/one")); status != 200 {
					t.Fatalf("connection %d was closed before IdleTime: status %d, want 200", i, status)
				}
				synctest.Wait()
			}
		}
		l.limits.Store(&RequestLimits{IdleTime: idle / 5})
		time.Sleep(idle - time.Millisecond)
		if n := open(); n != len(all) {
			t.Errorf("%d of %d connections are open that became idle under the longer limit, want all", n, len(all))
		}
		for _, c := range all[:60] {
			c.request(get("/one"))
		}
		time.Sleep(late)
		if n := open(); n != 60 {
			t.Errorf("%d connections are open after IdleTime, want the 60 that were used", n)
		}
		l.limits.Store(&RequestLimits{IdleTime: 2 * idle})
		time.Sleep(2*idle - late - time.Millisecond)
		if n := open(); n != 60 {
			t.Errorf("%d of 60 connections are open under a longer limit, want all", n)
		}
		time.Sleep(late)
		if n := open(); n != 0 {
			t.Errorf("%d connections are open after the longer limit, want 0", n)
		}
	})
}

// A head may be as long as HeadBytes, whether it is received alone, in parts or behind another request, and a chunked
// body as long as BodyBytes.
func TestRequestSizeLimits(t *testing.T) {
	for _, limit := range []int{1000, 16 << 10, 40000} {
		synctest.Test(t, func(t *testing.T) {
			l := newLimitedFront(t, RequestLimits{HeadBytes: int64(limit), BodyBytes: 1000})
			head := func(size int) string { // 150 fields, with size bytes in all
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
					t.Errorf("head of exactly %d bytes in %d parts: status %d, want 200", limit, parts, status)
				}
			}
			go func() { _, _ = io.WriteString(c, head(limit)+head(limit)) }()
			for range 2 {
				if status := c.responseStatus(); status != 200 {
					t.Errorf("pipelined head of exactly %d bytes: status %d, want 200", limit, status)
				}
			}
			go func() { _, _ = io.WriteString(c, head(limit+1)) }()
			if status := c.responseStatus(); status != 431 {
				t.Errorf("head one byte over the limit of %d bytes: status %d, want 431", limit, status)
			}
			for size, status := range map[int]int{1000: 200, 1001: 413} {
				c = l.dial()
				go func() {
					const format = "POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
					fmt.Fprintf(c, format, size, strings.Repeat("b", size))
				}()
				if got := c.responseStatus(); got != status {
					t.Errorf("chunked body of %d bytes: status %d, want %d", size, got, status)
				}
			}
		})
	}
}

// HeadBytes applies to heads that are read ahead from a socket, too.
func TestPipelinedHeadSizeLimit(t *testing.T) {
	engine := newFakeEngine(t, 10, true, func(cfg *Config) {
		cfg.RequestLimits = func() RequestLimits { return RequestLimits{HeadBytes: 40000} }
	})
	c := engine.dial(t)
	c.send(get("/safe/1"))
	first := engine.expectSubmitted(t, "/safe/1")[0]
	c.send("GET /safe/2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 39000) + "\r\n\r\n")
	second := engine.expectSubmitted(t, "/safe/2")[0]
	second.reply()
	first.reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	c.send("GET /safe/3 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 40000) + "\r\n\r\n")
	c.expectResponse(http.StatusRequestHeaderFieldsTooLarge, "the head is too long\n")
	c.expectEnd()
}

// Without RequestLimits a front uses its own limits.
func TestDefaultLimits(t *testing.T) {
	f := New(Config{ConnLimits: NewConnLimits(64, 64)}, clock.New())
	if limits := f.requestLimits(); limits != (RequestLimits{}) || limits.headBytes() != 0 {
		t.Errorf("limits are %+v, want none", limits)
	}
	var p h1.Parser
	if p.SetLimit(f.requestLimits().headBytes()); p.MaxBytes() != h1.DefaultMaxHeadBytes {
		t.Errorf("heads may have %d bytes, want h1.DefaultMaxHeadBytes", p.MaxBytes())
	}
	for state := range stateCount {
		if maxIdle := f.acceptor.table.maxIdle(new(entry), state); maxIdle != defaultMaxIdle[state] {
			t.Errorf("in state %d a connection may stay %v, want %v", state, maxIdle, defaultMaxIdle[state])
		}
	}
}
