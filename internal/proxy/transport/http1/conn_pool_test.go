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

// One that its server closed while it was idle (idle time-out, drain, restart) is found out before
// a request is written to it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	hangUp := make(chan struct{})
	gone := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		answered := testbed.Echo(c, r)
		if r.Conn == 0 {
			<-hangUp
			c.Close()
			close(gone)
		}
		return answered && r.Conn > 0
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	close(hangUp)
	testbed.Wait(t, "the server to close", gone)
	for end := time.Now().Add(testbed.MaxWait); u.idle[hostOf(u, s)][0].isUsable(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the news has long crossed the loopback
			t.Fatal("the closed connection passes for usable")
		}
	}
	if got := attempt(t, u, hostOf(u, s), "2", testbed.MaxWait); got.Ending != policy.Served {
		t.Fatalf("ending %v, want %v", got.Ending, policy.Served)
	}
	if u.staleConns != 1 || u.dials != 2 || u.openConns != 1 {
		t.Errorf("stale %d, dialled %d, open %d, want 1, 2, 1", u.staleConns, u.dials, u.openConns)
	}
}

// Nor is one used, or kept open, that has been idle for nearly as long as its server allows.
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
		t.Errorf("dialled %d, open %d, want 3, 1", u.dials, u.openConns)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	u := newTestTransport(t)
	for i := range 5 {
		attempt(t, u, hostOf(u, s), fmt.Sprint(i), testbed.MaxWait)
	}
	if u.dials != 1 {
		t.Errorf("%d connections for five requests one after the other, want 1", u.dials)
	}
}

// A server that closes right after an answer crosses requests that come soon after: so the connection
// that has rested longest is used first.
func TestLongestIdleIsUsedFirst(t *testing.T) {
	both := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if id := r.Header.Get("X-Request-ID"); id == "1" || id == "2" {
			<-both
		}
		return testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	done := make(chan call.Result, 2)
	for _, id := range []string{"1", "2"} { // at the same time, so on two connections
		u.send(hostOf(u, s), testMessage(id), call.Within(u.clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
		testbed.Wait(t, "a request", s.Seen)
	}
	close(both)
	testbed.Wait(t, "an end", done)
	testbed.Wait(t, "an end", done)
	used := make(map[int]bool)
	for _, id := range []string{"3", "4"} { // one after the other
		attempt(t, u, hostOf(u, s), id, testbed.MaxWait)
		used[testbed.Wait(t, id, s.Seen).Conn] = true
	}
	if len(used) != 2 {
		t.Error("the connection just used was used again while the other rested")
	}
}

// At the limit on descriptors an idle connection to another server makes room; where there is
// none, nothing is sent.
func TestConnectionsStayUnderTheLimit(t *testing.T) {
	a, b, mute := testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Echo), testbed.NewStub(t, testbed.Silent)
	u := newTestTransport(t)
	u.maxConns = 1
	attempt(t, u, hostOf(u, a), "1", testbed.MaxWait)
	if got := attempt(t, u, hostOf(u, b), "2", testbed.MaxWait); got.Ending != policy.Served || u.openConns != 1 {
		t.Errorf("ending %v, %d open, want served over the one connection", got.Ending, u.openConns)
	}
	done := make(chan call.Result, 1)
	x := u.send(hostOf(u, mute), testMessage("3"), call.Within(u.clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	testbed.Wait(t, "the request", mute.Seen)
	if got := attempt(t, u, hostOf(u, a), "4", testbed.MaxWait); got.Ending != policy.NotSent { // no word on the server
		t.Errorf("ending %v, want %v", got.Ending, policy.NotSent)
	}
	x.Cancel()
	testbed.Wait(t, "the cancelled attempt", done)
}

// A machine that lets an attempt run into its time-out may be cut off: its idle connections would
// take requests and say nothing, too. A new one tells.
func TestTimeoutClosesOlderConnections(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		id := r.Header.Get("X-Request-ID")
		return id == "brief" || id == "silent" || testbed.Echo(c, r)
	})
	u := newTestTransport(t)
	attempt(t, u, hostOf(u, s), "1", testbed.MaxWait)
	u.reuseDelay = testbed.MaxWait // so that the next ones take a new connection
	attempt(t, u, hostOf(u, s), "brief", 100*time.Millisecond)
	if len(u.idle[hostOf(u, s)]) != 1 {
		t.Fatal("an attempt that had less time than a connection may take tells nothing")
	}
	u.dialTimeout = time.Second / 2
	attempt(t, u, hostOf(u, s), "silent", time.Second)
	if testbed.Wait(t, "a connection to close", s.Closed); u.openConns != 0 {
		t.Errorf("%d connections are kept, want none", u.openConns)
	}
}

// One that is in use while its server leaves the list is not kept: its address may be another's.
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
	if got := testbed.Wait(t, "its end", done); got.Ending != policy.Served || u.openConns != 0 || len(u.idle) != 0 {
		t.Errorf("ending %v, %d connections open, want served and none", got.Ending, u.openConns)
	}
}
