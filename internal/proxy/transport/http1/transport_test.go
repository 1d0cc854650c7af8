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
		LoadFields: []string{"failed_ps", "svc_ms", "served_ps", "busy_reqs"},
		Columns:    wire.Columns{policy.HasErrors, policy.HasService, policy.HasServed, policy.HasInFlight},
	})
	u.reuseDelay = 0 // where that is not what a test is about
	return u
}

// hosts are the stubs as servers of a transport.
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

// attempt sends one and waits for its end.
func attempt(t *testing.T, u *Transport, to *host, id string, limit time.Duration) call.Result {
	t.Helper()
	done := make(chan call.Result, 2)
	u.send(to, testMessage(id), call.Within(u.clock.Now()+limit), func(r call.Result) { done <- r })
	return testbed.Wait(t, "the end of an attempt", done)
}

// Every kind of response has its ending; a connection is kept only behind a complete and clean one.
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
		"until the end":   {"HTTP/1.1 200 OK\r\n\r\nhi", policy.ConnectionLost, false},
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
		"cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", policy.ConnectionLost, false},
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
				_, _ = conn.Write([]byte(c.answer)) // fails where the sidecar has had enough of it
				return c.kept || name == "bytes left over" || name == "to be closed" || name == "headers without end"
			})
			u := newTestTransport(t)
			if got := attempt(t, u, hostOf(u, s), "1", testbed.MaxWait); got.Ending != c.ending {
				t.Fatalf("ending %v, want %v", got.Ending, c.ending)
			} else if got.Ending == policy.Served && string(got.Body) != "hi" {
				t.Fatalf("body %q, want hi", got.Body)
			}
			if idle := len(u.idle[hostOf(u, s)]); idle != 0 != c.kept || u.openConns != idle {
				t.Errorf("%d connections idle, %d open, want one kept: %v", idle, u.openConns, c.kept)
			}
			if len(s.Seen) != 1 {
				t.Errorf("the upstream had %d requests, want one", len(s.Seen))
			}
		})
	}
}

// A kept connection that breaks behind the request's last byte: it may have run, so it must not be
// sent again by anything but the module. http.Transport does, also for a POST with Idempotency-Key.
func TestNoAttemptIsSentTwice(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		return r.Header.Get("X-Request-ID") == "1" && testbed.OK(c, "hi")
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	if got := attempt(t, u, hostOf(u, s), "2", testbed.MaxWait); got.Ending != policy.ConnectionLost {
		t.Fatalf("ending %v, want %v", got.Ending, policy.ConnectionLost)
	}
	first, second := testbed.Wait(t, "1", s.Seen), testbed.Wait(t, "2", s.Seen)
	if first.Conn != second.Conn || len(s.Seen) > 0 {
		t.Fatalf("connections %d and %d, %d more requests; want one connection and no more",
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
		t.Fatalf("ending %v, %d open, want %v and none", got.Ending, u.openConns, policy.NoConnection)
	}
}

// A machine that vanished says nothing: only the time-out ends the attempt, and its connection goes.
func TestServerWithoutResponse(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	if got := attempt(t, u, hostOf(u, s), "1", 30*time.Millisecond); got.Ending != policy.TimedOut {
		// where the machine was too busy to send at all in that time, it never ran
		if got.Ending != policy.NoConnection || len(s.Seen) > 0 {
			t.Fatalf("ending %v, want %v", got.Ending, policy.TimedOut)
		}
	}
	if u.openConns != 0 {
		t.Errorf("%d connections open, want none", u.openConns)
	}
}

// A cancelled attempt closes its connection, which tells the upstream, and still has its one end.
func TestCancelClosesTheConnection(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	done := make(chan call.Result, 2)
	x := u.send(hostOf(u, s), testMessage("1"), call.Within(u.clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	testbed.Wait(t, "the request", s.Seen)
	x.Cancel()
	x.Cancel()
	if got := testbed.Wait(t, "its end", done); got.Ending != policy.Cancelled {
		t.Errorf("ending %v, want %v", got.Ending, policy.Cancelled)
	}
	testbed.Wait(t, "the connection to close", s.Closed)
	if len(done) > 0 || u.openConns != 0 {
		t.Errorf("%d more ends, %d open, want none", len(done), u.openConns)
	}
}

// After the final answer nothing more goes out for a request, also if its attempt was still
// waiting for a connection when it was cancelled.
func TestCancelledBeforeItIsWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	x := new(exchange)
	x.Cancel()
	m := testMessage("2")
	for i := range 2 { // over the kept connection, then over a new one
		if _, _, ending := u.roundTrip(x, hostOf(u, s), m, call.Within(u.clock.Now()+testbed.MaxWait)); ending != policy.Cancelled {
			t.Errorf("ending %v, want %v", ending, policy.Cancelled)
		}
		x.Cancel() // once more: the connection is not its own any more
		if list := u.idle[hostOf(u, s)]; i == 0 && (len(list) != 1 || !list[0].isUsable()) {
			t.Fatal("the connection, which nothing was written to, is not kept")
		}
		u.closeIdle(hostOf(u, s))
	}
	attempt(t, u, hostOf(u, s), "3", testbed.MaxWait)
	if testbed.Wait(t, "1", s.Seen); testbed.Wait(t, "3", s.Seen).Header.Get("X-Request-ID") != "3" {
		t.Error("the cancelled request went out")
	}
}

// What the upstream must have unchanged, and the time-out, which it must be told anew.
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
		t.Errorf("%s %s %q for %s, headers %v", r.Method, r.URI, r.Body, r.Host, r.Header)
	}
}

// A second copy behind an answer, which comes only once the connection is in use again, would be
// read as the next request's answer. So it rests first, and what has come by then is found.
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
		t.Errorf("ending %v, body %q, want the answer to the request", got.Ending, got.Body)
	}
}

func TestProbe(t *testing.T) {
	type told struct {
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
		done := make(chan told, 2)
		u.probe(hostOf(u, s), u.clock.Now(), func(ok bool, load policy.Load) { done <- told{ok, load} })
		got := testbed.Wait(t, "the result", done)
		load := policy.Load{
			Has:      policy.HasInFlight | policy.HasService | policy.HasServed,
			InFlight: 7, Served: 2.5, Service: 40 * time.Millisecond,
		}
		if got.ok != want || got.load != load {
			t.Errorf("status %d: %+v, want %v with %+v", status, got, want, load)
		}
	}
}

// Guards against servers that close kept connections with the next request: their probes failed, which the module
// takes for servers that can't tell their load.
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
		t.Error("the probe failed, though a new connection stands")
	}
}

// Guards against requests that must not run twice and are lost to a connection which its server had given up: where
// connections break, the last byte is kept back, and a reset that comes before it proves that the request never ran.
//
// It failed in 3 of 3,600 plays, 12 processes at once: "ending 5, want NoConnection", and the whole request came. The
// server that resets is a goroutine of this test, and had no processor within the 2 ms for which the byte is kept back.
// Nothing false is said then: the attempt ends as one that may have run. So the test waits for the reset for as long as
// it waits for anything.
func TestLastByteIsDelayedWhereConnectionsBreak(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	dead, err := net.Listen("tcp", "127.0.0.1:0") // resets as soon as anything comes
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	got := make(chan string, 16)
	go func() {
		for {
			c, err := dead.Accept()
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
	h := u.Server(dead.Addr().String()).(*host)
	end := attempt(t, u, h, "1", testbed.MaxWait).Ending
	if end != policy.ConnectionLost || !strings.HasSuffix(testbed.Wait(t, "the request", got), "weight") {
		t.Fatalf("ending %v, want it written whole and broken", end)
	}
	for range 10 {
		u.recordUse(h, new(conn), true)
	}
	u.lastByteDelay = testbed.MaxWait
	if end := attempt(t, u, h, "2", lastByteDelayFraction*testbed.MaxWait).Ending; end != policy.NoConnection {
		t.Errorf("ending %v, want NoConnection: it was never whole", end)
	}
	if came := testbed.Wait(t, "the request", got); !strings.HasSuffix(came, "weigh") {
		t.Errorf("%q came, want all but the last byte", came)
	}
	u.lastByteDelay = lastByteDelay
	if end := attempt(t, u, hostOf(u, s), "3", testbed.MaxWait).Ending; end != policy.Served {
		t.Errorf("ending %v at a server that is well, want it served", end)
	}
}

// A server that is well costs a request two milliseconds at most.
func TestLastByteIsNotKeptForLong(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	if u.lastByteDelay != 2*time.Millisecond {
		t.Fatalf("the last byte is kept back for %v", u.lastByteDelay)
	}
	u.lastByteDelay = 50 * time.Millisecond // to be told from the time that the rest takes
	u.connsBreak.Store(true)
	begun := time.Now()
	if end := attempt(t, u, hostOf(u, s), "1", testbed.MaxWait).Ending; end != policy.Served {
		t.Errorf("ending %v, want served: the last byte follows where nothing breaks", end)
	}
	if took := time.Since(begun); took < 50*time.Millisecond {
		t.Errorf("served after %v, want the last byte kept back for 50 ms", took)
	}
}

// A process that was stopped between the decision and the write sends nothing once the time is up.
func TestLateAttemptIsNotWritten(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	u.clock = clock.NewAdjustable()
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	for _, stop := range []time.Duration{5 * time.Second, time.Hour} { // the kept connection stands, or is too old
		until := u.clock.Now() + time.Second
		u.clock.Advance(stop)
		if _, _, ending := u.roundTrip(new(exchange), hostOf(u, s), testMessage("2"), call.Within(until)); ending != policy.NotSent {
			t.Errorf("ending %v, want NotSent: our own stop is no word on the server", ending)
		}
	}
	attempt(t, u, hostOf(u, s), "3", testbed.MaxWait)
	if testbed.Wait(t, "1", s.Seen); testbed.Wait(t, "3", s.Seen).ID() != "3" {
		t.Error("the late attempt went out")
	}
}
