package http1

import (
	"fmt"
	"net"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// A connection that its server closed while it was idle (idle time-out, drain, restart) is detected before a request is
// written to it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closeConn := make(chan struct{})
	connClosed := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		answered := testbed.Echo(c, r)
		if r.Conn == 0 {
			<-closeConn
			c.Close()
			close(connClosed)
		}
		return answered && r.Conn > 0
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	close(closeConn)
	testbed.Wait(t, "the server to close", connClosed)
	for end := time.Now().Add(testbed.MaxWait); u.idle[hostOf(u, s)][0].isUsable(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the close has crossed the loopback interface by now
			t.Fatal("isUsable returned true for a connection that its server closed")
		}
	}
	if got := attempt(t, u, hostOf(u, s), "2", testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("attempt after the close ended as %v, want %v", got.Ending, policy.Served)
	}
	if u.staleConns != 1 || u.dials != 2 || u.openConns != 1 {
		t.Errorf("%d stale, %d dialled and %d open connections, want 1, 2 and 1", u.staleConns, u.dials, u.openConns)
	}
}

// A connection whose idle time is close to the server's limit is neither reused nor kept open.
func TestOldConnectionsAreRetired(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	u.mu.Lock()
	u.idle[hostOf(u, s)][0].idleSince -= u.maxIdle
	u.mu.Unlock()
	u.sweepIdle()
	testbed.Wait(t, "the old connection to close", s.Closed)
	attempt(t, u, hostOf(u, s), "2", testbed.MaxWait)
	u.mu.Lock()
	u.idle[hostOf(u, s)][0].idleSince -= u.maxIdle
	u.mu.Unlock()
	attempt(t, u, hostOf(u, s), "3", testbed.MaxWait)
	if u.dials != 3 || u.openConns != 1 {
		t.Errorf("%d dialled and %d open connections, want 3 and 1", u.dials, u.openConns)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	for i := range 5 {
		attempt(t, u, hostOf(u, s), fmt.Sprint(i), testbed.MaxWait)
	}
	if u.dials != 1 {
		t.Errorf("%d connections dialled for five sequential requests, want 1", u.dials)
	}
}

// The connection that has been idle for longest is reused first, because a request that is written directly after a
// response may be lost if the server closes the connection after that response.
func TestLongestIdleIsUsedFirst(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if id := r.Header.Get("X-Request-ID"); id == "1" || id == "2" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	done := make(chan call.Result, 2)
	for _, id := range []string{"1", "2"} { // in parallel, so on two connections
		u.send(hostOf(u, s), testMessage(id), call.Within(u.clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
		testbed.Wait(t, "a request", s.Seen)
	}
	close(release)
	testbed.Wait(t, "the first result", done)
	testbed.Wait(t, "the second result", done)
	used := make(map[int]bool)
	for _, id := range []string{"3", "4"} { // sequentially
		attempt(t, u, hostOf(u, s), id, testbed.MaxWait)
		used[testbed.Wait(t, id, s.Seen).Conn] = true
	}
	if len(used) != 2 {
		t.Error("the same connection was used twice, want the connection that was idle for longest")
	}
}

// At the connection limit, an idle connection to another server is closed in favour of the new connection. If no
// connection is idle, nothing is sent.
func TestConnectionsStayUnderTheLimit(t *testing.T) {
	a, b, silent := testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	u.maxConns = 1
	attempt(t, u, hostOf(u, a), "1", testbed.MaxWait)
	if got := attempt(t, u, hostOf(u, b), "2", testbed.MaxWait); got.Ending != policy.Served || u.openConns != 1 {
		t.Errorf("attempt ended as %v with %d open connections, want Served with 1", got.Ending, u.openConns)
	}
	done := make(chan call.Result, 1)
	x := u.send(hostOf(u, silent), testMessage("3"), call.Within(u.clock.Now()+testbed.MaxWait),
		func(r call.Result) { done <- r })
	testbed.Wait(t, "the request", silent.Seen)
	if got := attempt(t, u, hostOf(u, a), "4", testbed.MaxWait); got.Ending != policy.NotSent {
		t.Errorf("attempt at the connection limit ended as %v, want %v", got.Ending, policy.NotSent)
	}
	x.Cancel()
	testbed.Wait(t, "the cancelled attempt", done)
}

// When an attempt times out, the server may be partitioned, and requests on its older connections would time out too.
// So these connections are closed, and the next attempt opens a new connection.
func TestTimeoutClosesOlderConnections(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		id := r.Header.Get("X-Request-ID")
		return id == "brief" || id == "silent" || testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	u.reuseDelay = testbed.MaxWait // so that the following attempts open new connections
	attempt(t, u, hostOf(u, s), "brief", 100*time.Millisecond)
	if len(u.idle[hostOf(u, s)]) != 1 {
		t.Fatal("older connection was closed after a time-out shorter than DialTimeout, want it kept")
	}
	u.dialTimeout = time.Second / 2
	attempt(t, u, hostOf(u, s), "silent", time.Second)
	if testbed.Wait(t, "a connection to close", s.Closed); u.openConns != 0 {
		t.Errorf("%d connections are open, want 0", u.openConns)
	}
}

// A connection that is in use when its server is deregistered is not kept, because the address may be reassigned to
// another server.
func TestConnectionOfDeregisteredServer(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		<-release
		return testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	done := make(chan call.Result, 1)
	u.send(hostOf(u, s), testMessage("1"), call.Within(u.clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	testbed.Wait(t, "the request", s.Seen)
	u.deregister(hostOf(u, s))
	close(release)
	if got := testbed.Wait(t, "the result", done); got.Ending != policy.Served || u.openConns != 0 || len(u.idle) != 0 {
		t.Errorf("attempt ended as %v with %d open connections, want Served with 0", got.Ending, u.openConns)
	}
}
