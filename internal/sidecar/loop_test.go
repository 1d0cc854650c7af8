package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"caperarch/policy"
)

// idleLoop is a loop whose goroutine is the test itself, with one server in its list.
func idleLoop(t *testing.T, address string) *loop {
	t.Helper()
	cfg := testConfig(t, listed(1, "ready", address), nil)
	c := newClock()
	l, err := newLoop(cfg, c, newUpstream(cfg, c))
	if err != nil {
		t.Fatal(err)
	}
	l.now = c.now()
	l.b.Start(l.now)
	l.take(cfg.Known, policy.ListCached)
	return l
}

// next runs the next event and what it owes.
func (l *loop) next(t *testing.T) {
	t.Helper()
	event := wait(t, "an event", l.events)
	l.now = l.clock.now()
	event(l.now)
	l.settle()
}

// hold enters a request that the module does not know, so that the test can decide for it.
func (l *loop) hold(id policy.RequestID) (*request, chan answer) {
	reply := make(chan answer, 1)
	r := &request{message: testMessage("1"), reply: reply, deadline: l.now + generous}
	l.requests[id] = r
	return r, reply
}

// The first served attempt answers at once; what the module says of the request after that, and
// what other attempts bring, changes nothing. Each attempt has one Outcome, then the entry goes.
func TestOneAnswerForEachRequest(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		if r.conn > 0 {
			<-release
		}
		return ok(c, "first")
	})
	l := idleLoop(t, s.address)
	r, reply := l.hold(7)
	to := serverID("s-0")
	l.Send(7, to, 0)
	l.next(t)
	if a := wait(t, "the answer", reply); a.status != http.StatusOK || string(a.body) != "first" {
		t.Fatalf("answer %+v", a)
	}
	if len(l.requests) != 0 {
		t.Fatal("the request is still in the table")
	}
	l.requests[7] = r // as if another attempt were out
	l.Refuse(7, time.Second)
	l.Fail(7)
	l.Send(7, to, 0)
	if len(reply) != 0 || len(l.notSent) != 1 || l.notSent[0] != (policy.Outcome{ID: 7, Attempt: 1, Ending: policy.NotSent}) {
		t.Errorf("%d more answers, not sent %+v, want none and attempt 1", len(reply), l.notSent)
	}
	l.settle()
	if len(l.requests) != 0 || r.out != 0 {
		t.Errorf("%d requests in the table, %d attempts out, want none", len(l.requests), r.out)
	}
	close(release)
}

// An Outcome comes after the answer too, for an attempt that is called off.
func TestOutcomeAfterTheAnswer(t *testing.T) {
	s := newStub(t, silent)
	l := idleLoop(t, s.address)
	r, reply := l.hold(7)
	l.Send(7, serverID("s-0"), 0)
	wait(t, "the request", s.seen)
	l.Fail(7)
	if a := wait(t, "the answer", reply); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", a.status)
	}
	if l.requests[7] != r {
		t.Fatal("the request has left the table with an attempt out")
	}
	l.Cancel(7, 0)
	l.Cancel(7, 5)
	l.next(t)
	if len(l.requests) != 0 {
		t.Error("the request is still in the table")
	}
}

// Sends past caps.most_tries, past the deadline or to a server that is not listed are not carried out.
func TestNotSent(t *testing.T) {
	s := newStub(t, silent)
	l := idleLoop(t, s.address)
	l.hold(7)
	to := serverID("s-0")
	for range 3 {
		l.Send(7, to, 0)
	}
	l.Send(7, to, 0)
	l.hold(8)
	l.Send(8, serverID("unheard of"), 0)
	l.Send(8, to, -time.Second)
	l.now += 2 * generous
	l.Send(8, to, 0)
	want := []policy.Outcome{
		{ID: 7, Attempt: 3, Ending: policy.NotSent}, {ID: 8, Attempt: 0, Ending: policy.NotSent},
		{ID: 8, Attempt: 1, Ending: policy.NotSent}, {ID: 8, Attempt: 2, Ending: policy.NotSent},
	}
	if len(l.notSent) != len(want) {
		t.Fatalf("not sent %+v, want %+v", l.notSent, want)
	}
	for i := range want {
		if l.notSent[i] != want[i] {
			t.Errorf("not sent %+v, want %+v", l.notSent[i], want[i])
		}
	}
	for range 3 {
		wait(t, "a request", s.seen)
	}
	for i := range 3 {
		l.Cancel(7, i)
		l.next(t)
	}
}

// A client that closes its connection is owed nothing more; its attempts are called off.
func TestClientGone(t *testing.T) {
	s := newStub(t, silent)
	l := idleLoop(t, s.address)
	reply := make(chan answer, 1)
	id := l.ask(policy.Request{Class: 0}, testMessage("1"), l.now+generous, reply)
	l.next(t)
	wait(t, "the request", s.seen)
	l.gone(id)
	l.next(t)
	l.next(t) // the end of its attempt
	wait(t, "the connection to close", s.closed)
	if len(l.requests) != 0 || len(reply) != 0 {
		t.Errorf("%d requests in the table, %d answers, want none", len(l.requests), len(reply))
	}
}

// Timers due at one moment share one call, the rest wait for theirs.
func TestWakesAreMerged(t *testing.T) {
	l := idleLoop(t, "127.0.0.1:1")
	l.wakes = nil
	now := l.now
	for _, d := range []time.Duration{30, 10, 20, 10, -5} {
		l.Wake(d * time.Millisecond)
	}
	if len(l.wakes) != 4 || l.wakes[0] != now || l.wakes[1] != now+10*time.Millisecond {
		t.Fatalf("due in %v from %v", l.wakes, now)
	}
	l.now = now + 15*time.Millisecond
	l.wake()
	if first := l.wakes[0]; first > now+20*time.Millisecond {
		t.Errorf("first due in %v, want 20ms at most", first-now)
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	c := newClock()
	last := c.now()
	if off := last - time.Duration(time.Now().UnixNano()); off > time.Minute || off < -time.Minute {
		t.Fatalf("%v off Unix time", off)
	}
	for range 1000 {
		now := c.now()
		if now < last {
			t.Fatalf("went back by %v", last-now)
		}
		last = now
	}
	if got := c.at(last).Sub(c.start); got != last-time.Duration(c.start.UnixNano()) {
		t.Errorf("the moment %v is %v after the start", last, got)
	}
}
