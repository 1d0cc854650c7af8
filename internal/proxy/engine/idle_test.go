package engine

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// isIdle asks the engine whether no attempt is in flight at a server.
func isIdle(t *testing.T, e *Engine, id policy.ServerID) bool {
	t.Helper()
	reported := make(chan []policy.ServerID, 1)
	e.ReportIdle([]policy.ServerID{id}, func(idle []policy.ServerID) { reported <- idle })
	e.next(t)
	return len(testbed.Wait(t, "the report", reported)) == 1
}

// A server is idle once its last attempt has ended, a cancelled one too. An attempt whose answer is streamed
// ends with the answer's last byte.
func TestServerIsIdleOnceItsLastAttemptHasEnded(t *testing.T) {
	rest := make(chan struct{})
	long := strings.Repeat("x", 1<<20)
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.ID() != "stream" {
			_, _ = io.Copy(io.Discard, c)
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(long), long)
		<-rest
		_, err := io.WriteString(c, long)
		return err == nil
	})
	e := newTestEngine(t, s.Address)
	to := call.ServerID("s-0")
	if !isIdle(t, e, to) {
		t.Fatal("a server that got nothing is not idle")
	}
	e.openRequest(7)
	host{e}.Send(7, to, 0)
	testbed.Wait(t, "the request", s.Seen)
	if isIdle(t, e, to) {
		t.Error("idle with an attempt in flight")
	}
	host{e}.Fail(7) // its client has an answer, the server still works on it
	if isIdle(t, e, to) {
		t.Error("idle after the client's answer")
	}
	host{e}.Cancel(7, 0)
	e.next(t)
	if !isIdle(t, e, to) {
		t.Error("not idle after the end of its last attempt")
	}
	r, reply := e.openRequest(8)
	m := testMessage("stream")
	m.Stream = true
	r.message = m
	host{e}.Send(8, to, 0)
	e.next(t)
	a := testbed.Wait(t, "the answer's beginning", reply)
	if a.Stream == nil {
		t.Fatalf("%+v, want an answer that is streamed", a)
	}
	if len(e.requests) != 0 || isIdle(t, e, to) {
		t.Error("idle while its answer is streamed")
	}
	close(rest)
	a.Stream.Close()
	e.next(t)
	if !isIdle(t, e, to) || len(e.inFlight) != 0 {
		t.Errorf("not idle after the answer's end: %v", e.inFlight)
	}
}

// Once Flush has returned the module has the list that was handed over before, so that a server which announced
// that it drains may be told that it gets no further requests.
func TestFlushAppliesTheList(t *testing.T) {
	runStallable(t, func(e *Engine, _ *recorder) {
		for round := range 64 { // both wait while the engine is busy; without a rule either comes first
			busy, after := make(chan struct{}), make(chan struct{})
			applied, flushed := make(chan struct{}, 1), make(chan bool)
			e.post(func(time.Duration) { <-busy })
			synctest.Wait()
			e.ReplaceServers(list(policy.Draining), func() { applied <- struct{}{} })
			go func() {
				e.Flush()
				flushed <- len(applied) > 0
			}()
			synctest.Wait()
			go e.post(func(time.Duration) { <-after }) // what is applied by now was applied by Flush
			synctest.Wait()
			close(busy)
			ok := <-flushed
			if close(after); !ok {
				t.Errorf("round %d: the list is not applied yet", round)
				return
			}
		}
	})
}
