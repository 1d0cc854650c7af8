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

// isIdle reports whether the engine has no attempt in flight at a server.
func isIdle(t *testing.T, e *Engine, id policy.ServerID) bool {
	t.Helper()
	reported := make(chan []policy.ServerID, 1)
	e.ReportIdle([]policy.ServerID{id}, func(idle []policy.ServerID) { reported <- idle })
	e.handleNextEvent(t)
	return len(testbed.Wait(t, "the report", reported)) == 1
}

// A server is idle when its last attempt has ended, also by cancellation. An attempt whose answer is streamed ends when
// the stream ends.
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
		t.Fatal("a server without attempts is not idle")
	}
	e.openRequest(7)
	host{e}.Send(7, to, 0)
	testbed.Wait(t, "the request", s.Seen)
	if isIdle(t, e, to) {
		t.Error("idle with an attempt in flight")
	}
	host{e}.Fail(7) // the client has its answer, the attempt is still in flight
	if isIdle(t, e, to) {
		t.Error("idle after the client's answer")
	}
	host{e}.Cancel(7, 0)
	e.handleNextEvent(t)
	if !isIdle(t, e, to) {
		t.Error("not idle after the end of its last attempt")
	}
	r, reply := e.openRequest(8)
	m := testMessage("stream")
	m.Stream = true
	r.message = m
	host{e}.Send(8, to, 0)
	e.handleNextEvent(t)
	a := testbed.Wait(t, "the start of the answer", reply)
	if a.Stream == nil {
		t.Fatalf("answer %+v, want a streamed answer", a)
	}
	if len(e.requests) != 0 || isIdle(t, e, to) {
		t.Error("idle while the answer is streamed")
	}
	close(rest)
	a.Stream.Close()
	e.handleNextEvent(t)
	if !isIdle(t, e, to) || len(e.inFlight) != 0 {
		t.Errorf("not idle after the end of the answer: attempts in flight %v", e.inFlight)
	}
}

// When Flush returns, the module has received the server list that was handed over before. A server that announced that
// it drains may then be told that it gets no further requests.
func TestFlushAppliesTheList(t *testing.T) {
	runSuspendable(t, func(e *Engine, _ *recordingTransport) {
		for round := range 64 { // list and Flush wait for the busy engine, which may handle either first
			busy, after := make(chan struct{}), make(chan struct{})
			applied, flushed := make(chan struct{}, 1), make(chan bool)
			e.post(func(time.Duration) { <-busy })
			synctest.Wait()
			e.ReplaceServers(oneServerList(policy.Draining), func() { applied <- struct{}{} })
			go func() {
				e.Flush()
				flushed <- len(applied) > 0
			}()
			synctest.Wait()
			go e.post(func(time.Duration) { <-after }) // keeps the engine from applying the list after Flush
			synctest.Wait()
			close(busy)
			ok := <-flushed
			if close(after); !ok {
				t.Errorf("round %d: the list is not applied when Flush returns", round)
				return
			}
		}
	})
}
