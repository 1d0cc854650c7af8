package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"caperarch/policy"
)

func testUpstream(t *testing.T) *upstream {
	t.Helper()
	u := newUpstream(testConfig(t, listed(1, "ready"), nil), newClock())
	u.settle = 0 // where that is not what a test is about
	return u
}

func testMessage(id string) *message {
	return &message{
		method: http.MethodPost, uri: "/reading", host: "service.internal", body: []byte("weight"),
		header: http.Header{"X-Request-Id": {id}, "Idempotency-Key": {"k" + id}},
	}
}

// attempt sends one and waits for its end.
func attempt(t *testing.T, u *upstream, to *host, id string, limit time.Duration) result {
	t.Helper()
	done := make(chan result, 2)
	u.send(to, testMessage(id), u.clock.now()+limit, func(r result) { done <- r })
	return wait(t, "the end of an attempt", done)
}

// Every kind of answer has its ending; a connection is kept only behind a whole and clean one.
func TestEndings(t *testing.T) {
	long := strings.Repeat("x", bodyLimit+1)
	for name, c := range map[string]struct {
		answer string
		ending policy.Ending
		kept   bool
	}{
		"served":              {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served, true},
		"chunked":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", policy.Served, true},
		"interim first":       {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served, true},
		"to be closed":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", policy.Served, false},
		"until the end":       {"HTTP/1.1 200 OK\r\n\r\nhi", policy.Broken, false},
		"bytes left over":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", policy.Served, false},
		"error":               {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"turned away":         {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.TurnedAway, true},
		"over already":        {"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.TurnedAway, true},
		"503 with no promise": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"500 with a promise":  {"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", policy.Errored, true},
		"no HTTP":             {"SMTP ready\r\n\r\n", policy.Broken, false},
		"cut short":           {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", policy.Broken, false},
		"body too long":       {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), policy.Broken, false},
		"headers without end": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+long+"\r\n", 9), policy.Broken, false},
		"broken":              {"", policy.Broken, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, func(conn net.Conn, r received) bool {
				if r.conn > 0 {
					return ok(conn, "again")
				}
				_, _ = conn.Write([]byte(c.answer)) // fails where the sidecar has had enough of it
				return c.kept || name == "bytes left over" || name == "to be closed" || name == "headers without end"
			})
			u := testUpstream(t)
			if got := attempt(t, u, s.host, "1", generous); got.ending != c.ending {
				t.Fatalf("ending %v, want %v", got.ending, c.ending)
			} else if got.ending == policy.Served && string(got.body) != "hi" {
				t.Fatalf("body %q, want hi", got.body)
			}
			if idle := len(u.idle[s.host]); idle != 0 != c.kept || u.open != idle {
				t.Errorf("%d connections idle, %d open, want one kept: %v", idle, u.open, c.kept)
			}
			if len(s.seen) != 1 {
				t.Errorf("the upstream had %d requests, want one", len(s.seen))
			}
		})
	}
}

// A kept connection that breaks behind the request's last byte: it may have run, so it must not be
// sent again by anything but the module. http.Transport does, also for a POST with Idempotency-Key.
func TestNothingIsSentAgain(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		return r.Header.Get("X-Request-ID") == "1" && ok(c, "hi")
	})
	u := testUpstream(t)
	attempt(t, u, s.host, "1", generous)
	if got := attempt(t, u, s.host, "2", generous); got.ending != policy.Broken {
		t.Fatalf("ending %v, want %v", got.ending, policy.Broken)
	}
	if first, second := wait(t, "1", s.seen), wait(t, "2", s.seen); first.conn != second.conn || len(s.seen) > 0 {
		t.Fatalf("connections %d and %d, %d more requests; want one connection and no more", first.conn, second.conn, len(s.seen))
	}
}

// One that its server closed while it was idle (idle time-out, drain, restart) is found out before
// a request is written to it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	hangUp := make(chan struct{})
	gone := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		answered := echo(c, r)
		if r.conn == 0 {
			<-hangUp
			c.Close()
			close(gone)
		}
		return answered && r.conn > 0
	})
	u := testUpstream(t)
	attempt(t, u, s.host, "1", generous)
	close(hangUp)
	wait(t, "the server to close", gone)
	for end := time.Now().Add(generous); u.idle[s.host][0].usable(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the news has long crossed the loopback
			t.Fatal("the closed connection passes for usable")
		}
	}
	if got := attempt(t, u, s.host, "2", generous); got.ending != policy.Served {
		t.Fatalf("ending %v, want %v", got.ending, policy.Served)
	}
	if u.stale != 1 || u.dialled != 2 || u.open != 1 {
		t.Errorf("stale %d, dialled %d, open %d, want 1, 2, 1", u.stale, u.dialled, u.open)
	}
}

// Nor is one used, or kept open, that has been idle for nearly as long as its server allows.
func TestOldConnectionsAreRetired(t *testing.T) {
	s := newStub(t, echo)
	u := testUpstream(t)
	attempt(t, u, s.host, "1", generous)
	u.mu.Lock()
	u.idle[s.host][0].idleSince -= u.keep
	u.mu.Unlock()
	u.sweep()
	wait(t, "the old connection to close", s.closed)
	attempt(t, u, s.host, "2", generous)
	u.mu.Lock()
	u.idle[s.host][0].idleSince -= u.keep
	u.mu.Unlock()
	attempt(t, u, s.host, "3", generous)
	if u.dialled != 3 || u.open != 1 {
		t.Errorf("dialled %d, open %d, want 3, 1", u.dialled, u.open)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := newStub(t, echo)
	u := testUpstream(t)
	for i := range 5 {
		attempt(t, u, s.host, fmt.Sprint(i), generous)
	}
	if u.dialled != 1 {
		t.Errorf("%d connections for five requests one after the other, want 1", u.dialled)
	}
}

// A server that closes right after an answer crosses requests that come soon after: so the connection
// that has rested longest is used first.
func TestLongestRestedGoesFirst(t *testing.T) {
	both := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		if id := r.Header.Get("X-Request-ID"); id == "1" || id == "2" {
			<-both
		}
		return echo(c, r)
	})
	u := testUpstream(t)
	done := make(chan result, 2)
	for _, id := range []string{"1", "2"} { // at the same time, so on two connections
		u.send(s.host, testMessage(id), u.clock.now()+generous, func(r result) { done <- r })
		wait(t, "a request", s.seen)
	}
	close(both)
	wait(t, "an end", done)
	wait(t, "an end", done)
	used := make(map[int]bool)
	for _, id := range []string{"3", "4"} { // one after the other
		attempt(t, u, s.host, id, generous)
		used[wait(t, id, s.seen).conn] = true
	}
	if len(used) != 2 {
		t.Error("the connection just used was used again while the other rested")
	}
}

// At the limit on descriptors an idle connection to another server makes room; where there is
// none, nothing is sent.
func TestConnectionsStayUnderTheLimit(t *testing.T) {
	a, b, mute := newStub(t, echo), newStub(t, echo), newStub(t, silent)
	u := testUpstream(t)
	u.most = 1
	attempt(t, u, a.host, "1", generous)
	if got := attempt(t, u, b.host, "2", generous); got.ending != policy.Served || u.open != 1 {
		t.Errorf("ending %v, %d open, want served over the one connection", got.ending, u.open)
	}
	done := make(chan result, 1)
	x := u.send(mute.host, testMessage("3"), u.clock.now()+generous, func(r result) { done <- r })
	wait(t, "the request", mute.seen)
	if got := attempt(t, u, a.host, "4", generous); got.ending != policy.NotSent { // no word on the server
		t.Errorf("ending %v, want %v", got.ending, policy.NotSent)
	}
	x.cancel()
	wait(t, "the cancelled attempt", done)
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	u := testUpstream(t)
	if got := attempt(t, u, &host{address: address}, "1", generous); got.ending != policy.NoConnection || u.open != 0 {
		t.Fatalf("ending %v, %d open, want %v and none", got.ending, u.open, policy.NoConnection)
	}
}

// A machine that vanished says nothing: only the time-out ends the attempt, and its connection goes.
func TestSilentServer(t *testing.T) {
	s := newStub(t, silent)
	u := testUpstream(t)
	if got := attempt(t, u, s.host, "1", 30*time.Millisecond); got.ending != policy.TimedOut {
		// where the machine was too busy to send at all in that time, it never ran
		if got.ending != policy.NoConnection || len(s.seen) > 0 {
			t.Fatalf("ending %v, want %v", got.ending, policy.TimedOut)
		}
	}
	if u.open != 0 {
		t.Errorf("%d connections open, want none", u.open)
	}
}

// A cancelled attempt closes its connection, which tells the upstream, and still has its one end.
func TestCancelClosesTheConnection(t *testing.T) {
	s := newStub(t, silent)
	u := testUpstream(t)
	done := make(chan result, 2)
	x := u.send(s.host, testMessage("1"), u.clock.now()+generous, func(r result) { done <- r })
	wait(t, "the request", s.seen)
	x.cancel()
	x.cancel()
	if got := wait(t, "its end", done); got.ending != policy.Cancelled {
		t.Errorf("ending %v, want %v", got.ending, policy.Cancelled)
	}
	wait(t, "the connection to close", s.closed)
	if len(done) > 0 || u.open != 0 {
		t.Errorf("%d more ends, %d open, want none", len(done), u.open)
	}
}

// After the final answer nothing more goes out for a request, also if its attempt was still
// waiting for a connection when it was cancelled.
func TestCancelledBeforeItIsWritten(t *testing.T) {
	s := newStub(t, echo)
	u := testUpstream(t)
	attempt(t, u, s.host, "1", generous)
	x := new(exchange)
	x.cancel()
	m := testMessage("2")
	for i := range 2 { // over the kept connection, then over a new one
		if _, _, ending := u.exchange(x, s.host, m, u.clock.now()+generous); ending != policy.Cancelled {
			t.Errorf("ending %v, want %v", ending, policy.Cancelled)
		}
		x.cancel() // once more: the connection is not its own any more
		if list := u.idle[s.host]; i == 0 && (len(list) != 1 || !list[0].usable()) {
			t.Fatal("the connection, which nothing was written to, is not kept")
		}
		u.close(s.host)
	}
	attempt(t, u, s.host, "3", generous)
	if wait(t, "1", s.seen); wait(t, "3", s.seen).Header.Get("X-Request-ID") != "3" {
		t.Error("the cancelled request went out")
	}
}

// What the upstream must have unchanged, and the time-out, which it must be told anew.
func TestWhatGoesOn(t *testing.T) {
	s := newStub(t, echo)
	attempt(t, testUpstream(t), s.host, "7", generous)
	r := wait(t, "the request", s.seen)
	left, ok := duration(r.Header.Get("X-Timeout"))
	if r.Method != http.MethodPost || r.uri != "/reading" || r.body != "weight" || r.Host != "service.internal" ||
		r.Header.Get("X-Request-ID") != "7" || r.Header.Get("Idempotency-Key") != "k7" || !ok || left <= 0 || left > generous {
		t.Errorf("%s %s %q for %s, headers %v", r.Method, r.uri, r.body, r.Host, r.Header)
	}
}

// A second copy behind an answer, which comes only once the connection is in use again, would be
// read as the next request's answer. So it rests first, and what has come by then is found.
func TestSecondCopyIsNotTheNextAnswer(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		if id := r.Header.Get("X-Request-ID"); r.conn == 0 && id != "1" {
			return ok(c, "done 1")
		}
		return echo(c, r)
	})
	u := testUpstream(t)
	u.settle = generous
	attempt(t, u, s.host, "1", generous)
	if got := attempt(t, u, s.host, "2", generous); string(got.body) != "done 2" {
		t.Errorf("ending %v, body %q, want the answer to the request", got.ending, got.body)
	}
}

// A machine that lets an attempt run into its time-out may be cut off: its idle connections would
// take requests and say nothing, too. A new one tells.
func TestTimeOutRetiresOlderConnections(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		id := r.Header.Get("X-Request-ID")
		return id == "brief" || id == "silent" || echo(c, r)
	})
	u := testUpstream(t)
	attempt(t, u, s.host, "1", generous)
	u.settle = generous // so that the next ones take a new connection
	attempt(t, u, s.host, "brief", 100*time.Millisecond)
	if len(u.idle[s.host]) != 1 {
		t.Fatal("an attempt that had less time than a connection may take tells nothing")
	}
	u.dialTimeout = time.Second / 2
	attempt(t, u, s.host, "silent", time.Second)
	if wait(t, "a connection to close", s.closed); u.open != 0 {
		t.Errorf("%d connections are kept, want none", u.open)
	}
}

// One that is in use while its server leaves the list is not kept: its address may be another's.
func TestConnectionOfOneThatLeft(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		<-release
		return echo(c, r)
	})
	u := testUpstream(t)
	done := make(chan result, 1)
	u.send(s.host, testMessage("1"), u.clock.now()+generous, func(r result) { done <- r })
	wait(t, "the request", s.seen)
	u.leave(s.host)
	close(release)
	if got := wait(t, "its end", done); got.ending != policy.Served || u.open != 0 || len(u.idle) != 0 {
		t.Errorf("ending %v, %d connections open, want served and none", got.ending, u.open)
	}
}

func TestProbe(t *testing.T) {
	type told struct {
		ok   bool
		load policy.Load
	}
	for status, want := range map[int]bool{200: true, 503: false} {
		s := newStub(t, func(c net.Conn, r received) bool {
			report := "TEXT inflight=7, busy_reqs=7, served_ps=2.5, svc_ms=40, failed_ps=oops"
			if r.uri != "/metrics/load" {
				report = ""
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report)
			return err == nil
		})
		u := testUpstream(t)
		done := make(chan told, 2)
		u.probe(s.host, u.clock.now(), func(ok bool, load policy.Load) { done <- told{ok, load} })
		got := wait(t, "the result", done)
		load := policy.Load{
			Has:      policy.HasInFlight | policy.HasService | policy.HasServed,
			InFlight: 7, Served: 2.5, Service: 40 * time.Millisecond,
		}
		if got.ok != want || got.load != load {
			t.Errorf("status %d: %+v, want %v with %+v", status, got, want, load)
		}
	}
}
