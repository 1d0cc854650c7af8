package http1

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

func newTestTransport(t *testing.T) *Transport {
	t.Helper()
	u := New(Config{
		Clock: clock.New(), DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxConns: 96,
		LoadFields:      []string{"failed_ps", "svc_ms", "served_ps", "busy_reqs"},
		Columns:         wire.Columns{policy.HasErrors, policy.HasService, policy.HasServed, policy.HasInFlight},
		ProcessingStart: AfterLastByte,
	})
	u.reuseDelay = 0 // tests of the reuse delay set their own
	return u
}

// hosts holds the host of each pair of transport and stub.
var hosts sync.Map

func hostOf(u *Transport, s *testbed.Stub) *host {
	type key struct {
		u *Transport
		s *testbed.Stub
	}
	h, _ := hosts.LoadOrStore(key{u, s}, u.Server(s.Address))
	return h.(*host)
}

func testMessage(id string) *call.Message {
	return &call.Message{
		Method: http.MethodPost, URI: "/reading", Host: "service.internal", Body: []byte("weight"),
		Header: http.Header{"X-Request-Id": {id}, "Idempotency-Key": {"k" + id}},
	}
}

// attempt sends an attempt and waits for its result.
func attempt(t *testing.T, u *Transport, to *host, id string, limit time.Duration) call.Result {
	t.Helper()
	done := make(chan call.Result, 2)
	u.send(to, testMessage(id), call.Within(u.clock.Now()+limit), func(r call.Result) { done <- r })
	return testbed.Wait(t, "the result of an attempt", done)
}

// Checks the ending of each kind of response. A connection is kept only after a complete response without extra bytes.
func TestResponseEndings(t *testing.T) {
	long := strings.Repeat("x", call.MaxBufferedBody+1)
	for name, c := range map[string]struct {
		answer string
		ending policy.Ending
		kept   bool
	}{
		"served": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served, true},
		"chunked": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", policy.Served, true,
		},
		"interim first": {
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served, true,
		},
		"to be closed":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", policy.Served, false},
		"no framing":      {"HTTP/1.1 200 OK\r\n\r\nhi", policy.ConnectionLost, false},
		"bytes left over": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", policy.Served, false},
		"error":           {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"not processed": {
			"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.NotProcessed, true,
		},
		"too late": {
			"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.NotProcessed, true,
		},
		"503 alone":         {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"500 not processed": {"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"no HTTP":           {"SMTP ready\r\n\r\n", policy.ConnectionLost, false},
		"truncated body":    {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", policy.ConnectionLost, false},
		"body too long": {
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), policy.ConnectionLost, false,
		},
		"headers without end": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+long+"\r\n", 9), policy.ConnectionLost, false},
		"broken":              {"", policy.ConnectionLost, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := testbed.NewStub(t, func(conn net.Conn, r testbed.Received) bool {
				if r.Conn > 0 {
					return testbed.OK(conn, "again")
				}
				_, _ = conn.Write([]byte(c.answer)) // fails if the transport has closed the connection
				return c.kept || name == "bytes left over" || name == "to be closed" || name == "headers without end"
			})
			u := newTestTransport(t)
			if got := attempt(t, u, hostOf(u, s), "1", testbed.MaxWait); got.Ending != c.ending {
				t.Fatalf("attempt ended as %v, want %v", got.Ending, c.ending)
			} else if got.Ending == policy.Served && string(got.Body) != "hi" {
				t.Fatalf("response body is %q, want hi", got.Body)
			}
			if idle := len(u.idle[hostOf(u, s)]); idle != 0 != c.kept || u.openConns != idle {
				t.Errorf("%d idle and %d open connections, want one connection kept: %v", idle, u.openConns, c.kept)
			}
			if len(s.Seen) != 1 {
				t.Errorf("server received %d requests, want 1", len(s.Seen))
			}
		})
	}
}

// Guards against a retry by the transport when a reused connection breaks after the request's last byte. The server may
// have processed the request, so only the policy may decide on a retry. http.Transport retries in this case, even a
// POST with an Idempotency-Key.
func TestNoAttemptIsSentTwice(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		return r.Header.Get("X-Request-ID") == "1" && testbed.OK(c, "hi")
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	if got := attempt(t, u, hostOf(u, s), "2", testbed.MaxWait); got.Ending != policy.ConnectionLost {
		t.Fatalf("attempt on the broken connection ended as %v, want %v", got.Ending, policy.ConnectionLost)
	}
	first, second := testbed.Wait(t, "1", s.Seen), testbed.Wait(t, "2", s.Seen)
	if first.Conn != second.Conn || len(s.Seen) > 0 {
		t.Fatalf("requests arrived on connections %d and %d, with %d more requests; want one connection and no more requests",
			first.Conn, second.Conn, len(s.Seen))
	}
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	u := newTestTransport(t)
	got := attempt(t, u, &host{transport: u, address: address}, "1", testbed.MaxWait)
	if got.Ending != policy.NoConnection || u.openConns != 0 {
		t.Fatalf("attempt ended as %v with %d open connections, want %v with 0", got.Ending, u.openConns, policy.NoConnection)
	}
}

// If a server does not respond, the attempt ends with the time-out and its connection is closed.
func TestServerWithoutResponse(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	if got := attempt(t, u, hostOf(u, s), "1", 30*time.Millisecond); got.Ending != policy.TimedOut {
		// On a busy test machine the request may not have been sent within 30 ms.
		if got.Ending != policy.NoConnection || len(s.Seen) > 0 {
			t.Fatalf("attempt ended as %v, want %v", got.Ending, policy.TimedOut)
		}
	}
	if u.openConns != 0 {
		t.Errorf("%d connections are open, want 0", u.openConns)
	}
}

// A cancelled attempt closes its connection, which notifies the server, and reports exactly one result.
func TestCancelClosesTheConnection(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	done := make(chan call.Result, 2)
	x := u.send(hostOf(u, s), testMessage("1"), call.Within(u.clock.Now()+testbed.MaxWait),
		func(r call.Result) { done <- r })
	testbed.Wait(t, "the request", s.Seen)
	x.Cancel()
	x.Cancel()
	if got := testbed.Wait(t, "the result", done); got.Ending != policy.Cancelled {
		t.Errorf("cancelled attempt ended as %v, want %v", got.Ending, policy.Cancelled)
	}
	testbed.Wait(t, "the connection to close", s.Closed)
	if len(done) > 0 || u.openConns != 0 {
		t.Errorf("%d more results and %d open connections, want 0 and 0", len(done), u.openConns)
	}
}

// Guards against sending a request whose attempt was cancelled before it had a connection, for instance because another
// attempt delivered the final response.
func TestCancelledBeforeItIsWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	x := new(exchange)
	x.Cancel()
	m := testMessage("2")
	for i := range 2 { // with an idle connection, then with a new connection
		if _, _, ending := u.roundTrip(
			x, hostOf(u, s), m, call.Within(u.clock.Now()+testbed.MaxWait),
		); ending != policy.Cancelled {
			t.Errorf("cancelled attempt ended as %v, want %v", ending, policy.Cancelled)
		}
		x.Cancel() // a second Cancel must not close the connection, which the exchange no longer owns
		if list := u.idle[hostOf(u, s)]; i == 0 && (len(list) != 1 || !list[0].isUsable()) {
			t.Fatal("the connection was not kept although nothing was written to it")
		}
		u.closeIdle(hostOf(u, s))
	}
	attempt(t, u, hostOf(u, s), "3", testbed.MaxWait)
	if testbed.Wait(t, "1", s.Seen); testbed.Wait(t, "3", s.Seen).Header.Get("X-Request-ID") != "3" {
		t.Error("the cancelled request was sent")
	}
}

// The server receives the client's request unchanged, except for the time-out field, which has the remaining time.
func TestForwardedRequest(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "7", testbed.MaxWait)
	r := testbed.Wait(t, "the request", s.Seen)
	number, ok := strings.CutSuffix(r.Header.Get("X-Timeout"), "m")
	left, err := strconv.Atoi(number)
	if r.Method != http.MethodPost || r.URI != "/reading" || r.Body != "weight" || r.Host != "service.internal" ||
		r.Header.Get("X-Request-ID") != "7" || r.Header.Get("Idempotency-Key") != "k7" ||
		!ok || err != nil || left <= 0 || left > int(testbed.MaxWait.Milliseconds()) {
		t.Errorf("server received %s %s %q for %s with header %v, want the client's request",
			r.Method, r.URI, r.Body, r.Host, r.Header)
	}
}

// Guards against reading a second copy of a response as the response to the next request. The copy may arrive after the
// connection is reused, so a connection stays idle for reuseDelay, and bytes that arrive during that time are detected.
func TestDuplicateResponseIsNotTheNextOne(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if id := r.Header.Get("X-Request-ID"); r.Conn == 0 && id != "1" {
			return testbed.OK(c, "done 1")
		}
		return testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	u.reuseDelay = testbed.MaxWait
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	if got := attempt(t, u, hostOf(u, s), "2", testbed.MaxWait); string(got.Body) != "done 2" {
		t.Errorf("second attempt ended as %v with body %q, want the body done 2", got.Ending, got.Body)
	}
}

func TestProbe(t *testing.T) {
	type probeResult struct {
		ok   bool
		load policy.Load
	}
	for status, want := range map[int]bool{200: true, 503: false} {
		s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
			report := "TEXT inflight=7, busy_reqs=7, served_ps=2.5, svc_ms=40, failed_ps=oops"
			if r.URI != "/metrics/load" {
				report = ""
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report)
			return err == nil
		})
		u := newTestTransport(t)
		done := make(chan probeResult, 2)
		u.probe(hostOf(u, s), u.clock.Now(), func(ok bool, load policy.Load) { done <- probeResult{ok, load} })
		got := testbed.Wait(t, "the result", done)
		load := policy.Load{
			Has:      policy.HasInFlight | policy.HasService | policy.HasServed,
			InFlight: 7, Served: 2.5, Service: 40 * time.Millisecond,
		}
		if got.ok != want || got.load != load {
			t.Errorf("status %d: probe result is %+v, want %v with %+v", status, got, want, load)
		}
	}
}

// Guards against failed probes of servers that close a reused connection on the next request: the policy treats a
// server whose probe fails as unable to report its load.
func TestProbeOnBrokenConnectionIsRetried(t *testing.T) {
	var first sync.Once
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.URI == "/metrics/load" {
			closes := false
			first.Do(func() { closes = true })
			if closes {
				return false
			}
		}
		return testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	done := make(chan bool, 2)
	u.probe(hostOf(u, s), u.clock.Now(), func(ok bool, _ policy.Load) { done <- ok })
	if !testbed.Wait(t, "the result", done) {
		t.Error("the probe failed, want a retry on a new connection")
	}
}

// Guards against losing a request that must not be processed twice to a connection that its server has dropped. If
// connections break often, the last byte is delayed, and a reset that arrives before the last byte is sent proves that
// the server did not process the request.
//
// With the delay of 2 ms the test failed in 3 of 3,600 runs, with 12 processes at once: "ending 5, want NoConnection",
// and the complete request arrived. The resetting server is a goroutine of this test and was not scheduled within 2 ms.
// The ending was correct, because the request may have been processed. So the test sets the delay to testbed.MaxWait.
func TestLastByteIsDelayedWhereConnectionsBreak(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	resetting, err := net.Listen("tcp", "127.0.0.1:0") // resets connections on the first bytes
	if err != nil {
		t.Fatal(err)
	}
	defer resetting.Close()
	got := make(chan string, 16)
	go func() {
		for {
			c, err := resetting.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 64<<10)
			n, _ := c.Read(b)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			got <- string(b[:n])
		}
	}()
	u := newTestTransport(t)
	h := u.Server(resetting.Addr().String()).(*host)
	end := attempt(t, u, h, "1", testbed.MaxWait).Ending
	if end != policy.ConnectionLost || !strings.HasSuffix(testbed.Wait(t, "the request", got), "weight") {
		t.Fatalf("first attempt ended as %v, want ConnectionLost after the complete request", end)
	}
	for range 10 {
		u.recordUse(h, new(conn), true)
	}
	u.startDelay = testbed.MaxWait
	if end := attempt(t, u, h, "2", startDelayFraction*testbed.MaxWait).Ending; end != policy.NoConnection {
		t.Errorf("attempt with delayed last byte ended as %v, want NoConnection", end)
	}
	if received := testbed.Wait(t, "the request", got); !strings.HasSuffix(received, "weigh") {
		t.Errorf("server received %q, want the request without its last byte", received)
	}
	u.startDelay = startDelay
	if end := attempt(t, u, hostOf(u, s), "3", testbed.MaxWait).Ending; end != policy.Served {
		t.Errorf("attempt at a healthy server ended as %v, want Served", end)
	}
}

// At a healthy server, delaying the last byte adds at most 2 ms to a request.
func TestLastByteDelayIsShort(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	if u.startDelay != 2*time.Millisecond {
		t.Fatalf("the last byte is delayed by %v, want 2 ms", u.startDelay)
	}
	u.startDelay = 50 * time.Millisecond // long enough to distinguish it from the rest of the exchange
	u.connsBreakOften.Store(true)
	started := time.Now()
	if end := attempt(t, u, hostOf(u, s), "1", testbed.MaxWait).Ending; end != policy.Served {
		t.Errorf("attempt ended as %v, want Served because the connection did not break", end)
	}
	if took := time.Since(started); took < 50*time.Millisecond {
		t.Errorf("attempt ended after %v, want at least the delay of 50 ms", took)
	}
}

// Guards against writing a late request after the process was suspended between the decision to send and the write.
func TestLateAttemptIsNotWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	u.clock = clock.NewAdjustable()
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	for _, stop := range []time.Duration{5 * time.Second, time.Hour} { // the idle connection is still usable, or too old
		until := u.clock.Now() + time.Second
		u.clock.Advance(stop)
		if _, _, ending := u.roundTrip(
			new(exchange), hostOf(u, s), testMessage("2"), call.Within(until),
		); ending != policy.NotSent {
			t.Errorf("late attempt ended as %v, want NotSent", ending)
		}
	}
	attempt(t, u, hostOf(u, s), "3", testbed.MaxWait)
	if testbed.Wait(t, "1", s.Seen); testbed.Wait(t, "3", s.Seen).ID() != "3" {
		t.Error("the late attempt was sent")
	}
}
