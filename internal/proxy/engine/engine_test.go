package engine

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/membership"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

// newTestEngine returns an engine with one server in its list. The test handles the events instead of Run.
func newTestEngine(t *testing.T, address string) *Engine {
	t.Helper()
	text := testbed.ConfigText(t, testbed.Listed(1, "ready", address), nil)
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	c := clock.New()
	transport := http1.New(http1.Config{
		Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: 96,
		ProcessingStart: http1.AfterLastByte,
	})
	e, err := New(Config{Policy: cfg.Policy, Seed: cfg.Seed, Clock: c, Transport: transport, Log: slog.Default()})
	if err != nil {
		t.Fatal(err)
	}
	e.now = c.Now()
	e.module.Start(e.now)
	e.applyList(cfg.KnownServers, policy.ListCached)
	return e
}

// handleNextEvent waits for an event and handles it as Run does.
func (e *Engine) handleNextEvent(t *testing.T) {
	t.Helper()
	event := testbed.Wait(t, "an event", e.events)
	e.now = e.Clock.Now()
	event(e.now)
	e.reportUnsent()
}

// openRequest adds a request that the module does not know, so that the test makes the decisions for it.
func (e *Engine) openRequest(id policy.RequestID) (*request, chan call.Answer) {
	reply := make(chan call.Answer, 1)
	r := &request{message: testMessage("1"), reply: reply, deadline: e.now + testbed.MaxWait}
	e.requests[id] = r
	return r, reply
}

// The first served attempt answers the request at once. Later decisions of the module for the request, and the results
// of other attempts, have no effect. Each attempt has one Outcome; after the last Outcome the request is removed.
func TestRequestHasOneAnswer(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Conn > 0 {
			<-release
		}
		return testbed.OK(c, "first")
	})
	e := newTestEngine(t, s.Address)
	r, reply := e.openRequest(7)
	to := call.ServerID("s-0")
	host{e}.Send(7, to, 0)
	e.handleNextEvent(t)
	if a := testbed.Wait(t, "the answer", reply); a.Kind != call.Served || string(a.Body) != "first" {
		t.Fatalf("answer %+v", a)
	}
	if len(e.requests) != 0 {
		t.Fatal("the request is still in the table, want it removed")
	}
	e.requests[7] = r // as if another attempt were in flight
	host{e}.Refuse(7, time.Second)
	host{e}.Fail(7)
	host{e}.Send(7, to, 0)
	unsent := policy.Outcome{ID: 7, Attempt: 1, Ending: policy.NotSent}
	if len(reply) != 0 || len(e.unsent) != 1 || e.unsent[0] != unsent {
		t.Errorf("%d more answers, sends not carried out %+v, want no answer and attempt 1", len(reply), e.unsent)
	}
	e.reportUnsent()
	if len(e.requests) != 0 || r.inFlight != 0 {
		t.Errorf("%d requests in the table, %d attempts in flight, want none", len(e.requests), r.inFlight)
	}
	close(release)
}

// An attempt that is cancelled after the request's answer still has its Outcome.
func TestCancelledAttemptHasAnOutcomeAfterTheAnswer(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	e := newTestEngine(t, s.Address)
	r, reply := e.openRequest(7)
	host{e}.Send(7, call.ServerID("s-0"), 0)
	testbed.Wait(t, "the request", s.Seen)
	host{e}.Fail(7)
	if a := testbed.Wait(t, "the answer", reply); a.Kind != call.Failed || !a.TimedOut {
		t.Errorf("answer %+v, want failed, timed out", a)
	}
	if e.requests[7] != r {
		t.Fatal("the request was removed from the table while an attempt is in flight")
	}
	host{e}.Cancel(7, 0)
	host{e}.Cancel(7, 5)
	e.handleNextEvent(t)
	if len(e.requests) != 0 {
		t.Error("the request is still in the table, want it removed")
	}
}

// Sends above the maximum number of attempts, after the deadline or to a server that is not listed are not carried out,
// and are reported as NotSent.
func TestSendsThatAreNotAllowedAreReportedAsNotSent(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	e := newTestEngine(t, s.Address)
	e.openRequest(7)
	to := call.ServerID("s-0")
	for range 3 {
		host{e}.Send(7, to, 0)
	}
	host{e}.Send(7, to, 0)
	e.openRequest(8)
	host{e}.Send(8, call.ServerID("unheard of"), 0)
	host{e}.Send(8, to, -time.Second)
	e.now += 2 * testbed.MaxWait
	host{e}.Send(8, to, 0)
	want := []policy.Outcome{
		{ID: 7, Attempt: 3, Ending: policy.NotSent}, {ID: 8, Attempt: 0, Ending: policy.NotSent},
		{ID: 8, Attempt: 1, Ending: policy.NotSent}, {ID: 8, Attempt: 2, Ending: policy.NotSent},
	}
	if len(e.unsent) != len(want) {
		t.Fatalf("reported as not sent: %+v, want %+v", e.unsent, want)
	}
	for i := range want {
		if e.unsent[i] != want[i] {
			t.Errorf("reported as not sent: %+v, want %+v", e.unsent[i], want[i])
		}
	}
	for range 3 {
		testbed.Wait(t, "a request", s.Seen)
	}
	for i := range 3 {
		host{e}.Cancel(7, i)
		e.handleNextEvent(t)
	}
}

// A request whose client closes its connection gets no answer, and its attempts are cancelled.
func TestClientGoneCancelsTheAttempts(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	e := newTestEngine(t, s.Address)
	reply := make(chan call.Answer, 1)
	id := e.Submit(policy.Request{Class: 0}, testMessage("1"), e.now+testbed.MaxWait, reply)
	e.handleNextEvent(t)
	testbed.Wait(t, "the request", s.Seen)
	e.ClientGone(id)
	e.handleNextEvent(t)
	e.handleNextEvent(t) // the end of the attempt
	testbed.Wait(t, "the connection to close", s.Closed)
	if len(e.requests) != 0 || len(reply) != 0 {
		t.Errorf("%d requests in the table, %d answers, want none", len(e.requests), len(reply))
	}
}

// Timers that are due at the same time share one call of Wake; timers due later stay scheduled.
func TestTimersDueAtTheSameTimeShareACall(t *testing.T) {
	e := newTestEngine(t, "127.0.0.1:1")
	e.wakes = nil
	now := e.now
	for _, d := range []time.Duration{30, 10, 20, 10, -5} {
		host{e}.Wake(d * time.Millisecond)
	}
	if len(e.wakes) != 4 || e.wakes[0] != now || e.wakes[1] != now+10*time.Millisecond {
		t.Fatalf("wakes scheduled at %v, now %v, want 4: the first now, the second 10 ms later", e.wakes, now)
	}
	e.now = now + 15*time.Millisecond
	e.fireTimers()
	if first := e.wakes[0]; first > now+20*time.Millisecond {
		t.Errorf("first wake due in %v, want at most 20ms", first-now)
	}
}

// A new server at the address of a deregistered server does not use that server's connections.
func TestNewServerAtAnOldAddressHasItsOwnConnections(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	e := newTestEngine(t, s.Address)
	old := e.servers[call.ServerID("s-0")]
	sendAndWait(t, e, old, "1")
	e.applyList(call.ServerList{
		Servers:   []policy.Server{{ID: 7, State: policy.Ready}},
		Addresses: map[policy.ServerID]string{7: s.Address},
	}, policy.ListDelta)
	sendAndWait(t, e, e.servers[7], "2")
	if first, second := testbed.Wait(t, "1", s.Seen), testbed.Wait(t, "2", s.Seen); first.Conn == second.Conn {
		t.Error("the request to the new server was sent on a connection of the deregistered server")
	}
}

// A list update changes the address of a server that moved and removes a deregistered server. Servers that the update
// does not contain stay as they are.
func TestListUpdatesAddresses(t *testing.T) {
	e := newTestEngine(t, "127.0.0.1:81")
	id := call.ServerID("s-0")
	raw := `{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`
	moved, err := membership.Parse([]byte(raw), nil)
	if err != nil {
		t.Fatal(err)
	}
	e.applyList(moved, policy.ListDelta)
	if e.servers[id].address != "127.0.0.1:82" {
		t.Errorf("address %q after the move, want 127.0.0.1:82", e.servers[id].address)
	}
	e.applyList(call.ServerList{}, policy.ListDelta)
	if len(e.servers) != 1 {
		t.Errorf("servers %v after an empty change, want one", e.servers)
	}
	e.applyList(call.ServerList{Servers: []policy.Server{{ID: id, State: policy.Deregistered}}}, policy.ListDelta)
	if len(e.servers) != 0 {
		t.Errorf("servers %v after the deregistration, want none", e.servers)
	}
	e.applyList(moved, policy.ListDelta)
	e.applyList(call.ServerList{Full: true}, policy.ListFull)
	if len(e.servers) != 0 {
		t.Errorf("servers %v after a full list without servers, want none", e.servers)
	}
}

func testMessage(id string) *call.Message {
	return &call.Message{
		Method: http.MethodPost, URI: "/reading", Host: "service.internal", Body: []byte("weight"),
		Header: http.Header{"X-Request-Id": {id}, "Idempotency-Key": {"k" + id}},
	}
}

// sendAndWait sends a request to a server and waits until it is served.
func sendAndWait(t *testing.T, e *Engine, to call.Server, id string) {
	t.Helper()
	done := make(chan call.Result, 2)
	to.Send(testMessage(id), call.Within(e.Clock.Now()+testbed.MaxWait), func(r call.Result) { done <- r })
	if r := testbed.Wait(t, "the end of an attempt", done); r.Ending != policy.Served {
		t.Fatalf("attempt ended with %+v, want it served", r)
	}
}

// Pending updates are merged into one list: a full list replaces the earlier updates, a change the entries of its
// servers.
func TestPendingUpdatesAreMergedIntoOneList(t *testing.T) {
	list := func(full bool, entries ...policy.Server) call.ServerList {
		l := call.ServerList{Full: full, Servers: entries, Addresses: make(map[policy.ServerID]string)}
		for _, s := range entries {
			l.Addresses[s.ID] = "127.0.0.1:81"
		}
		return l
	}
	var updates pendingUpdates
	updates.merge(list(false, policy.Server{ID: 1, State: policy.Ready}))
	updates.merge(list(true, policy.Server{ID: 2, State: policy.Ready}, policy.Server{ID: 3, State: policy.Ready}))
	updates.merge(list(false, policy.Server{ID: 2, State: policy.Draining}, policy.Server{ID: 4, State: policy.Ready}))
	updates.merge(list(false, policy.Server{ID: 4, State: policy.Deregistered}))
	want := []policy.Server{
		{ID: 2, State: policy.Draining}, {ID: 3, State: policy.Ready}, {ID: 4, State: policy.Deregistered},
	}
	if !updates.list.Full || !slices.Equal(updates.list.Servers, want) || len(updates.list.Addresses) != 3 {
		t.Errorf("merged to %+v, want the full list %+v", updates.list, want)
	}
}
