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

// idle is a loop whose goroutine is the test itself, with one server in its list.
func idle(t *testing.T, address string) *Engine {
	t.Helper()
	cfg, err := config.Parse([]byte(testbed.ConfigText(t, testbed.Listed(1, "ready", address), nil)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	c := clock.New()
	transport := http1.New(http1.Config{Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: 96})
	e, err := New(Config{Policy: cfg.Policy, Seed: cfg.Seed, Clock: c, Transport: transport, Log: slog.Default()})
	if err != nil {
		t.Fatal(err)
	}
	e.now = c.Now()
	e.module.Start(e.now)
	e.applyList(cfg.Known, policy.ListCached)
	return e
}

// next runs the next event and what it owes.
func (e *Engine) next(t *testing.T) {
	t.Helper()
	event := testbed.Wait(t, "an event", e.events)
	e.now = e.Clock.Now()
	event(e.now)
	e.reportUnsent()
}

// hold enters a request that the module does not know, so that the test can decide for it.
func (e *Engine) hold(id policy.RequestID) (*request, chan call.Answer) {
	reply := make(chan call.Answer, 1)
	r := &request{message: testMessage("1"), reply: reply, deadline: e.now + testbed.Generous}
	e.requests[id] = r
	return r, reply
}

// The first served attempt answers at once; what the module says of the request after that, and
// what other attempts bring, changes nothing. Each attempt has one Outcome, then the entry goes.
func TestOneAnswerForEachRequest(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Conn > 0 {
			<-release
		}
		return testbed.OK(c, "first")
	})
	l := idle(t, s.Address)
	r, reply := l.hold(7)
	to := call.ServerID("s-0")
	host{l}.Send(7, to, 0)
	l.next(t)
	if a := testbed.Wait(t, "the answer", reply); a.Kind != call.Served || string(a.Body) != "first" {
		t.Fatalf("answer %+v", a)
	}
	if len(l.requests) != 0 {
		t.Fatal("the request is still in the table")
	}
	l.requests[7] = r // as if another attempt were out
	host{l}.Refuse(7, time.Second)
	host{l}.Fail(7)
	host{l}.Send(7, to, 0)
	if len(reply) != 0 || len(l.unsent) != 1 || l.unsent[0] != (policy.Outcome{ID: 7, Attempt: 1, Ending: policy.NotSent}) {
		t.Errorf("%d more answers, not sent %+v, want none and attempt 1", len(reply), l.unsent)
	}
	l.reportUnsent()
	if len(l.requests) != 0 || r.inFlight != 0 {
		t.Errorf("%d requests in the table, %d attempts out, want none", len(l.requests), r.inFlight)
	}
	close(release)
}

// An Outcome comes after the answer too, for an attempt that is called off.
func TestOutcomeAfterTheAnswer(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	l := idle(t, s.Address)
	r, reply := l.hold(7)
	host{l}.Send(7, call.ServerID("s-0"), 0)
	testbed.Wait(t, "the request", s.Seen)
	host{l}.Fail(7)
	if a := testbed.Wait(t, "the answer", reply); a.Kind != call.Failed || !a.TimedOut {
		t.Errorf("answer %+v, want failed, timed out", a)
	}
	if l.requests[7] != r {
		t.Fatal("the request has left the table with an attempt out")
	}
	host{l}.Cancel(7, 0)
	host{l}.Cancel(7, 5)
	l.next(t)
	if len(l.requests) != 0 {
		t.Error("the request is still in the table")
	}
}

// Sends past caps.most_tries, past the deadline or to a server that is not listed are not carried out.
func TestNotSent(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	l := idle(t, s.Address)
	l.hold(7)
	to := call.ServerID("s-0")
	for range 3 {
		host{l}.Send(7, to, 0)
	}
	host{l}.Send(7, to, 0)
	l.hold(8)
	host{l}.Send(8, call.ServerID("unheard of"), 0)
	host{l}.Send(8, to, -time.Second)
	l.now += 2 * testbed.Generous
	host{l}.Send(8, to, 0)
	want := []policy.Outcome{
		{ID: 7, Attempt: 3, Ending: policy.NotSent}, {ID: 8, Attempt: 0, Ending: policy.NotSent},
		{ID: 8, Attempt: 1, Ending: policy.NotSent}, {ID: 8, Attempt: 2, Ending: policy.NotSent},
	}
	if len(l.unsent) != len(want) {
		t.Fatalf("not sent %+v, want %+v", l.unsent, want)
	}
	for i := range want {
		if l.unsent[i] != want[i] {
			t.Errorf("not sent %+v, want %+v", l.unsent[i], want[i])
		}
	}
	for range 3 {
		testbed.Wait(t, "a request", s.Seen)
	}
	for i := range 3 {
		host{l}.Cancel(7, i)
		l.next(t)
	}
}

// A client that closes its connection is owed nothing more; its attempts are called off.
func TestClientGone(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	l := idle(t, s.Address)
	reply := make(chan call.Answer, 1)
	id := l.Submit(policy.Request{Class: 0}, testMessage("1"), l.now+testbed.Generous, reply)
	l.next(t)
	testbed.Wait(t, "the request", s.Seen)
	l.ClientGone(id)
	l.next(t)
	l.next(t) // the end of its attempt
	testbed.Wait(t, "the connection to close", s.Closed)
	if len(l.requests) != 0 || len(reply) != 0 {
		t.Errorf("%d requests in the table, %d answers, want none", len(l.requests), len(reply))
	}
}

// Timers due at one moment share one call, the rest wait for theirs.
func TestWakesAreMerged(t *testing.T) {
	l := idle(t, "127.0.0.1:1")
	l.wakes = nil
	now := l.now
	for _, d := range []time.Duration{30, 10, 20, 10, -5} {
		host{l}.Wake(d * time.Millisecond)
	}
	if len(l.wakes) != 4 || l.wakes[0] != now || l.wakes[1] != now+10*time.Millisecond {
		t.Fatalf("due in %v from %v", l.wakes, now)
	}
	l.now = now + 15*time.Millisecond
	l.fireTimers()
	if first := l.wakes[0]; first > now+20*time.Millisecond {
		t.Errorf("first due in %v, want 20ms at most", first-now)
	}
}

// A new server at the address of one that has gone is another: it inherits no connection.
func TestNewServerAtAnOldAddress(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	l := idle(t, s.Address)
	old := l.servers[call.ServerID("s-0")]
	attempt(t, l, old, "1")
	l.applyList(call.ServerList{Servers: []policy.Server{{ID: 7, State: policy.Ready}}, Addresses: map[policy.ServerID]string{7: s.Address}}, policy.ListDelta)
	attempt(t, l, l.servers[7], "2")
	if first, second := testbed.Wait(t, "1", s.Seen), testbed.Wait(t, "2", s.Seen); first.Conn == second.Conn {
		t.Error("the new server's request went over the old one's connection")
	}
}

// A server that moves is reached where it is now, one that left is not reached at all, and a list
// of changes leaves the others alone.
func TestListMovesServers(t *testing.T) {
	l := idle(t, "127.0.0.1:81")
	id := call.ServerID("s-0")
	moved, err := membership.Parse([]byte(`{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyList(moved, policy.ListDelta)
	if l.servers[id].address != "127.0.0.1:82" {
		t.Errorf("address %q after the move", l.servers[id].address)
	}
	l.applyList(call.ServerList{}, policy.ListDelta)
	if len(l.servers) != 1 {
		t.Errorf("addresses %v after no change", l.servers)
	}
	l.applyList(call.ServerList{Servers: []policy.Server{{ID: id, State: policy.Deregistered}}}, policy.ListDelta)
	if len(l.servers) != 0 {
		t.Errorf("addresses %v, the server is gone", l.servers)
	}
	l.applyList(moved, policy.ListDelta)
	l.applyList(call.ServerList{Full: true}, policy.ListFull)
	if len(l.servers) != 0 {
		t.Errorf("addresses %v after a whole list of none", l.servers)
	}
}

func testMessage(id string) *call.Message {
	return &call.Message{
		Method: http.MethodPost, URI: "/reading", Host: "service.internal", Body: []byte("weight"),
		Header: http.Header{"X-Request-Id": {id}, "Idempotency-Key": {"k" + id}},
	}
}

// attempt sends one and waits for its end.
func attempt(t *testing.T, e *Engine, to call.Server, id string) {
	t.Helper()
	done := make(chan call.Result, 2)
	to.Send(testMessage(id), e.Clock.Now()+testbed.Generous, func(r call.Result) { done <- r })
	if r := testbed.Wait(t, "the end of an attempt", done); r.Ending != policy.Served {
		t.Fatalf("attempt %+v", r)
	}
}

// News that is not taken yet is one list: a whole one replaces what came before, a change its servers' entries.
func TestNewsIsFolded(t *testing.T) {
	list := func(whole bool, entries ...policy.Server) call.ServerList {
		l := call.ServerList{Full: whole, Servers: entries, Addresses: make(map[policy.ServerID]string)}
		for _, s := range entries {
			l.Addresses[s.ID] = "127.0.0.1:81"
		}
		return l
	}
	var n pendingUpdates
	n.fold(list(false, policy.Server{ID: 1, State: policy.Ready}))
	n.fold(list(true, policy.Server{ID: 2, State: policy.Ready}, policy.Server{ID: 3, State: policy.Ready}))
	n.fold(list(false, policy.Server{ID: 2, State: policy.Draining}, policy.Server{ID: 4, State: policy.Ready}))
	n.fold(list(false, policy.Server{ID: 4, State: policy.Deregistered}))
	want := []policy.Server{{ID: 2, State: policy.Draining}, {ID: 3, State: policy.Ready}, {ID: 4, State: policy.Deregistered}}
	if !n.list.Full || !slices.Equal(n.list.Servers, want) || len(n.list.Addresses) != 3 {
		t.Errorf("folded to %+v, want the whole list %+v", n.list, want)
	}
}
