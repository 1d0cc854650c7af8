package http1

import (
	"testing"
	"time"
)

// addIdleConn adds a connection that has sent the given number of requests and is idle.
func addIdleConn(table *connTable, now time.Duration, requests int) *entry {
	e := &entry{}
	table.add(now, e)
	table.markBusy(e)
	for range requests {
		table.markRequest(e)
	}
	table.markIdle(now, e)
	return e
}

// Many clients connect, send nothing or one request, and keep their connections. No more of these connections are
// open than the limits allow plus those accepted within the last minIdleTime, and no connection of a client that
// sends further requests is closed for them.
func TestIdleConnectionsAreEvictedForNewOnes(t *testing.T) {
	table := connTable{limits: NewConnLimits(192, 128)}
	var clients []*entry
	for range 24 {
		clients = append(clients, addIdleConn(&table, 0, 2))
	}
	for i := range 10000 { // 500 connections per second
		now := time.Second + time.Duration(i)*2*time.Millisecond
		if _, _, ok := table.evictForNew(now); !ok {
			t.Fatalf("connection %d was not accepted with %d connections open, want room made for it", i, table.open)
		}
		addIdleConn(&table, now, i%2)
	}
	// 50 connections are accepted within minIdleTime; these are open in addition to what the limits allow.
	c := table.counters()
	if c.Most > len(clients)+50+2 || c.Closed[stateReused] != 0 || c.Closed[stateHealthCheck] < 4900 ||
		c.Closed[stateUsedOnce] < 4900 {
		t.Errorf("counters are %+v, want at most %d open, no reused connection closed and 4900 closed of each other kind",
			c, len(clients)+52)
	}
	for i, e := range clients {
		if e.removed {
			t.Errorf("reused connection %d was closed in favour of connections used at most once", i)
		}
	}
}

// Idle connections over a limit are closed by later sweeps even if no client connects any more.
func TestSweepIsDueAgain(t *testing.T) {
	table := connTable{limits: NewConnLimits(192, 128)}
	for range 128 {
		addIdleConn(&table, time.Second, 1)
	}
	removed, again := table.sweep(time.Second)
	if len(removed) != 0 || again != minIdleTime {
		t.Fatalf("first sweep removed %d connections and the next is due after %v, want 0 after minIdleTime",
			len(removed), again)
	}
	removed, again = table.sweep(time.Second + again)
	if len(removed) != 112 || again != defaultMaxIdle[stateUsedOnce]-minIdleTime {
		t.Errorf("second sweep removed %d, next due after %v; want 112 removed (over the limit of 16) and a later sweep",
			len(removed), again)
	}
}

// When the limit on all connections is reached, connections on which no request was received are closed first, then the
// connection that has been idle for the longest time. Connections with an open request, and connections that have just
// become idle, stay open.
func TestLongestIdleIsClosed(t *testing.T) {
	table := connTable{limits: ConnLimits{Max: 3, MaxIdle: [stateCount]int{3, 3, 3, 3, 3, 3}}}
	first, second := addIdleConn(&table, 0, 2), addIdleConn(&table, time.Second, 2)
	unused := addIdleConn(&table, 2*time.Second, 0)
	if _, _, ok := table.evictForNew(2 * time.Second); !ok || !first.removed || unused.removed {
		t.Errorf("room made: %v, longest idle connection removed: %v; want true, true, and the new connection kept",
			ok, first.removed)
	}
	third := addIdleConn(&table, 2*time.Second, 2)
	if _, _, ok := table.evictForNew(3 * time.Second); !ok || !unused.removed || second.removed {
		t.Error("the unused connection was not closed before the used ones")
	}
	table.markBusy(second)
	table.markBusy(third)
	addIdleConn(&table, 3*time.Second, 2)
	if removed, wait, ok := table.evictForNew(3 * time.Second); ok ||
		removed != nil || wait != minIdleWhenFull[stateReused] {
		t.Errorf("no connection may be evicted: wait %v, ok %v; want wait minIdleWhenFull[stateReused], ok false", wait, ok)
	}
}

// An owner with more than its share closes connections with its responses once the reserve for new connections is in
// use, and not before.
func TestOwnerOverItsShareClosesWithResponses(t *testing.T) {
	table := connTable{limits: ConnLimits{Max: 16, MaxIdle: [stateCount]int{16, 16, 16, 16, 16, 16}}}
	overloaded, lowTraffic := new(owner), new(owner)
	table.setShares([]*owner{overloaded, lowTraffic}, []float64{1, 1}) // 7 connections each
	var overloadedConns []*entry
	for range 10 {
		e := &entry{}
		table.add(0, e)
		table.markRequest(e)
		table.setOwner(e, overloaded)
		overloadedConns = append(overloadedConns, e)
	}
	if table.overShare(overloadedConns[0]) {
		t.Error("overShare returned true while the reserve is free, want false")
	}
	lowTrafficConn := &entry{}
	for range 5 {
		lowTrafficConn = &entry{}
		table.add(0, lowTrafficConn)
		table.markRequest(lowTrafficConn)
		table.setOwner(lowTrafficConn, lowTraffic)
	}
	if !table.overShare(overloadedConns[0]) || table.overShare(lowTrafficConn) {
		t.Errorf("overShare is %v for the overloaded owner and %v for the other one, want true and false",
			table.overShare(overloadedConns[0]), table.overShare(lowTrafficConn))
	}
	for range 3 {
		table.remove(overloadedConns[overloaded.count-1])
	}
	if table.overShare(overloadedConns[0]) || overloaded.count != 7 {
		t.Errorf("%d connections open with a share of %d, want 7 connections and overShare false",
			overloaded.count, overloaded.share)
	}
	table.setOwner(overloadedConns[0], lowTraffic) // the next request on the connection is for the other target
	if overloaded.count != 6 || lowTraffic.count != 6 {
		t.Errorf("after a connection changed its owner the owners have %d and %d connections, want 6 and 6",
			overloaded.count, lowTraffic.count)
	}
}

// A new connection with received but unread bytes does not count as idle: only the proxy has not read the bytes yet.
func TestUnreadInputIsNotIdle(t *testing.T) {
	hasInput := map[*entry]bool{}
	table := connTable{
		limits:             ConnLimits{Max: 2, MaxIdle: [stateCount]int{2, 2, 2, 2, 2, 2}},
		hasUnrecordedInput: func(e *entry) bool { return hasInput[e] },
	}
	late, silent := &entry{}, &entry{}
	table.add(0, late)
	table.add(0, silent)
	hasInput[late] = true
	if removed, _, ok := table.evictForNew(minIdleWhenFull[stateNew]); !ok || len(removed) != 1 || removed[0] != silent {
		t.Errorf("%d connections removed, ok %v; want only the connection without input removed", len(removed), ok)
	}
}

// Long idle connections of an owner within its share are not closed in favour of an overloaded owner that keeps using
// its connections.
func TestOwnerWithinItsShareKeepsIdleConnections(t *testing.T) {
	table := connTable{limits: ConnLimits{Max: 16, MaxIdle: [stateCount]int{16, 16, 16, 16, 16, 2}}}
	overloaded, lowTraffic := new(owner), new(owner)
	table.setShares([]*owner{overloaded, lowTraffic}, []float64{1, 1})
	addOwned := func(now time.Duration, o *owner) *entry {
		e := &entry{}
		table.add(now, e)
		table.markBusy(e)
		table.markRequest(e)
		table.markRequest(e)
		table.setOwner(e, o)
		table.markIdle(now, e)
		return e
	}
	spare := []*entry{addOwned(0, lowTraffic), addOwned(0, lowTraffic)}
	for range 14 {
		addOwned(10*time.Second, overloaded)
	}
	if removed, _, ok := table.evictForNew(10*time.Second + maxIdleOverShare); !ok || len(removed) != 7 {
		t.Errorf("%d connections removed, ok %v; want the 7 connections over the share removed", len(removed), ok)
	}
	if spare[0].removed || spare[1].removed {
		t.Error("an idle connection of the owner within its share was closed")
	}
	if removed, _ := table.sweep(defaultMaxIdle[stateReused]); len(removed) < 2 || !spare[0].removed {
		t.Errorf("sweep removed %d connections after defaultMaxIdle, want at least 2 including those within the share",
			len(removed))
	}
}

// When too many requests are being read, connections without progress are closed, and slow connections that make
// progress stay open.
func TestSlowRequestsStayWhileStuckOnesAreClosed(t *testing.T) {
	table := connTable{limits: NewConnLimits(128, 85)}
	add := func() *entry {
		e := &entry{}
		table.add(0, e)
		table.markBusy(e)
		table.markReading(0, e)
		return e
	}
	slow := add() // the first in its list, so it would be removed first without progress
	for range 40 {
		add()
	}
	for now := time.Duration(0); now <= 2*time.Second; now += 250 * time.Millisecond {
		table.markProgress(now, slow)
		table.sweep(now)
	}
	if slow.removed || table.open > table.limits.MaxIdle[stateReading] {
		t.Errorf("slow connection removed: %v; %d connections open, at most %d may be in the reading state",
			slow.removed, table.open, table.limits.MaxIdle[stateReading])
	}
}

// While an old and a new process run, the new one accepts all connections that the application may open, each with an
// open request. With an equal part of the limit only, connections beyond that part would stay unaccepted until the
// old process has sent its last responses.
func TestLimitsPerProcessLeaveRoomForTheApplication(t *testing.T) {
	const maxConns, application = 128, 85
	table := connTable{limits: NewConnLimits(maxConns, application).perProcess(2)}
	for i := range application {
		if _, _, ok := table.evictForNew(0); !ok {
			t.Fatalf("connection %d of the application's %d was not accepted", i+1, application)
		}
		e := &entry{}
		table.add(0, e)
		table.markBusy(e)
	}
	if undivided := NewConnLimits(maxConns, application).perProcess(1); undivided.Max != maxConns {
		t.Errorf("with one process the limit is %d connections, want %d", undivided.Max, maxConns)
	}
}
