package http1

import (
	"testing"
	"time"
)

// addIdleConn adds a connection that has sent so many requests and is idle.
func addIdleConn(b *connTable, now time.Duration, times int) *entry {
	e := &entry{}
	b.add(now, e)
	b.markBusy(e)
	for range times {
		b.markRequest(e)
	}
	b.markIdle(now, e)
	return e
}

// Crowds that connect and send nothing, send GET /up or one request and stay have no more connections than the limits
// and what came within minIdleTime. None of those that come back is closed for them.
func TestIdleCrowdsMakeRoom(t *testing.T) {
	b := connTable{limits: NewConnLimits(192, 128)}
	var clients []*entry
	for range 24 {
		clients = append(clients, addIdleConn(&b, 0, 2))
	}
	for i := range 10000 { // 500 a second
		now := time.Second + time.Duration(i)*2*time.Millisecond
		if _, _, ok := b.evictForNew(now); !ok {
			t.Fatalf("no room for connection %d, %d open", i, b.open)
		}
		addIdleConn(&b, now, i%2)
	}
	// Those that are not idle for minIdleTime yet are 50, more than the limits removed.
	c := b.counters()
	if c.Most > len(clients)+50+2 || c.Closed[stateReused] != 0 || c.Closed[stateHealthCheck] < 4900 ||
		c.Closed[stateUsedOnce] < 4900 {
		t.Errorf("counters %+v, at most %d open", c, len(clients)+52)
	}
	for i, e := range clients {
		if e.removed {
			t.Errorf("client %d was closed for a crowd", i)
		}
	}
}

// Where nobody connects any more, idle connections over a limit are closed all the same.
func TestSweepIsDueAgain(t *testing.T) {
	b := connTable{limits: NewConnLimits(192, 128)}
	for range 128 {
		addIdleConn(&b, time.Second, 1)
	}
	removed, again := b.sweep(time.Second)
	if len(removed) != 0 || again != minIdleTime {
		t.Fatalf("%d removed at once, another sweep after %v", len(removed), again)
	}
	removed, again = b.sweep(time.Second + again)
	if len(removed) != 112 || again != defaultMaxIdle[stateUsedOnce]-minIdleTime {
		t.Errorf("%d removed, another sweep after %v, want all over the limit of 16 and one for the rest",
			len(removed), again)
	}
}

// At the limit on all, unused connections are closed before used ones, and then the longest idle; never one with an
// open request or one of this moment.
func TestLongestIdleIsClosed(t *testing.T) {
	b := connTable{limits: ConnLimits{Max: 3, MaxIdle: [stateCount]int{3, 3, 3, 3, 3, 3}}}
	first, second := addIdleConn(&b, 0, 2), addIdleConn(&b, time.Second, 2)
	unused := addIdleConn(&b, 2*time.Second, 0)
	if _, _, ok := b.evictForNew(2 * time.Second); !ok || !first.removed || unused.removed {
		t.Errorf("a new connection has to be left alone: ok %v, first gone %v", ok, first.removed)
	}
	third := addIdleConn(&b, 2*time.Second, 2)
	if _, _, ok := b.evictForNew(3 * time.Second); !ok || !unused.removed || second.removed {
		t.Error("an unused connection has to be closed first")
	}
	b.markBusy(second)
	b.markBusy(third)
	addIdleConn(&b, 3*time.Second, 2)
	if removed, wait, ok := b.evictForNew(3 * time.Second); ok || removed != nil || wait != minIdleWhenFull[stateReused] {
		t.Errorf("those with an open request and one of this moment must stay: wait %v, ok %v", wait, ok)
	}
}

// An owner with more than its share closes connections with its responses once the reserve for new ones is used, and
// not before.
func TestOwnerOverItsShareClosesWithResponses(t *testing.T) {
	b := connTable{limits: ConnLimits{Max: 16, MaxIdle: [stateCount]int{16, 16, 16, 16, 16, 16}}}
	flooded, quiet := new(owner), new(owner)
	b.setShares([]*owner{flooded, quiet}, []float64{1, 1}) // 7 each
	var theirs []*entry
	for range 10 {
		e := &entry{}
		b.add(0, e)
		b.markRequest(e)
		b.setOwner(e, flooded)
		theirs = append(theirs, e)
	}
	if b.overShare(theirs[0]) {
		t.Error("over its share while there is room")
	}
	one := &entry{}
	for range 5 {
		one = &entry{}
		b.add(0, one)
		b.markRequest(one)
		b.setOwner(one, quiet)
	}
	if !b.overShare(theirs[0]) || b.overShare(one) {
		t.Errorf("the one over its share: %v, the one within: %v; want true, false", b.overShare(theirs[0]), b.overShare(one))
	}
	for range 3 {
		b.remove(theirs[flooded.count-1])
	}
	if b.overShare(theirs[0]) || flooded.count != 7 {
		t.Errorf("%d connections left of a share of %d, still over its share", flooded.count, flooded.share)
	}
	b.setOwner(theirs[0], quiet) // its next request is another's
	if flooded.count != 6 || quiet.count != 6 {
		t.Errorf("%d and %d after one changed hands", flooded.count, quiet.count)
	}
}

// A new connection whose bytes are here and not read is not idle: we are late.
func TestUnreadInputIsNotIdle(t *testing.T) {
	hasInput := map[*entry]bool{}
	b := connTable{
		limits:             ConnLimits{Max: 2, MaxIdle: [stateCount]int{2, 2, 2, 2, 2, 2}},
		hasUnrecordedInput: func(e *entry) bool { return hasInput[e] },
	}
	late, silent := &entry{}, &entry{}
	b.add(0, late)
	b.add(0, silent)
	hasInput[late] = true
	if removed, _, ok := b.evictForNew(minIdleWhenFull[stateNew]); !ok || len(removed) != 1 || removed[0] != silent {
		t.Errorf("%d removed, ok %v, want the silent one alone", len(removed), ok)
	}
}

// The spare connections of an owner within its share, idle for long, are not closed for those that a flooded one
// comes back on.
func TestOwnerWithinItsShareKeepsIdleConnections(t *testing.T) {
	b := connTable{limits: ConnLimits{Max: 16, MaxIdle: [stateCount]int{16, 16, 16, 16, 16, 2}}}
	flooded, quiet := new(owner), new(owner)
	b.setShares([]*owner{flooded, quiet}, []float64{1, 1})
	own := func(now time.Duration, o *owner) *entry {
		e := &entry{}
		b.add(now, e)
		b.markBusy(e)
		b.markRequest(e)
		b.markRequest(e)
		b.setOwner(e, o)
		b.markIdle(now, e)
		return e
	}
	spare := []*entry{own(0, quiet), own(0, quiet)}
	for range 14 {
		own(10*time.Second, flooded)
	}
	if removed, _, ok := b.evictForNew(10*time.Second + maxIdleOverShare); !ok || len(removed) != 7 {
		t.Errorf("%d removed, ok %v, want all seven over the share", len(removed), ok)
	}
	if spare[0].removed || spare[1].removed {
		t.Error("a spare connection of the quiet owner was closed")
	}
	if removed, _ := b.sweep(defaultMaxIdle[stateReused]); len(removed) < 2 || !spare[0].removed {
		t.Errorf("%d removed once they are idle for too long", len(removed))
	}
}

// Where too many requests are being read, those without progress make room, not those that come slowly.
func TestSlowRequestsStayWhileStuckOnesAreClosed(t *testing.T) {
	b := connTable{limits: NewConnLimits(128, 85)}
	add := func() *entry {
		e := &entry{}
		b.add(0, e)
		b.markBusy(e)
		b.markReading(0, e)
		return e
	}
	slow := add() // the first: it would go first
	for range 40 {
		add()
	}
	for now := time.Duration(0); now <= 2*time.Second; now += 250 * time.Millisecond {
		b.markProgress(now, slow)
		b.sweep(now)
	}
	if slow.removed || b.open > b.limits.MaxIdle[stateReading] {
		t.Errorf("the slow one is gone: %v; %d open, %d may be read", slow.removed, b.open, b.limits.MaxIdle[stateReading])
	}
}

// While two processes live the one that came last takes all that the application may open, each with a request that
// waits: the application is one, and what it opens beyond a bound of ours stands unaccepted for as long as the other
// process needs for its last answers.
func TestLimitsPerProcessLeaveRoomForTheApplication(t *testing.T) {
	const most, application = 128, 85
	b := connTable{limits: NewConnLimits(most, application).perProcess(2)}
	for i := range application {
		if _, _, ok := b.evictForNew(0); !ok {
			t.Fatalf("no room for connection %d of the application's %d", i+1, application)
		}
		e := &entry{}
		b.add(0, e)
		b.markBusy(e)
	}
	if whole := NewConnLimits(most, application).perProcess(1); whole.Max != most {
		t.Errorf("undivided: %d of %d", whole.Max, most)
	}
}
