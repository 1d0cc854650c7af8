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

// quietNow asks whether nothing is out at a server.
func quietNow(t *testing.T, e *Engine, id policy.ServerID) bool {
	t.Helper()
	told := make(chan []policy.ServerID, 1)
	e.ReportIdle([]policy.ServerID{id}, func(quiet []policy.ServerID) { told <- quiet })
	e.next(t)
	return len(testbed.Wait(t, "the word", told)) == 1
}

// A server is quiet once its last attempt has ended: one that is called off too, and one whose answer is passed on while it comes only behind that answer's last byte.
func TestQuiet(t *testing.T) {
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
	e := idle(t, s.Address)
	to := call.ServerID("s-0")
	if !quietNow(t, e, to) {
		t.Fatal("a server that got nothing is not quiet")
	}
	e.hold(7)
	host{e}.Send(7, to, 0)
	testbed.Wait(t, "the request", s.Seen)
	if quietNow(t, e, to) {
		t.Error("quiet with an attempt out")
	}
	host{e}.Fail(7) // its client has an answer, the server is still at it
	if quietNow(t, e, to) {
		t.Error("quiet behind the client's answer")
	}
	host{e}.Cancel(7, 0)
	e.next(t)
	if !quietNow(t, e, to) {
		t.Error("not quiet behind the end of its last attempt")
	}
	r, reply := e.hold(8)
	m := testMessage("stream")
	m.Stream = true
	r.message = m
	host{e}.Send(8, to, 0)
	e.next(t)
	a := testbed.Wait(t, "the answer's beginning", reply)
	if a.Stream == nil {
		t.Fatalf("%+v, want an answer that is passed on", a)
	}
	if len(e.requests) != 0 || quietNow(t, e, to) {
		t.Error("quiet while its answer still comes")
	}
	close(rest)
	a.Stream.Close()
	e.next(t)
	if !quietNow(t, e, to) || len(e.inFlight) != 0 {
		t.Errorf("not quiet behind the answer's end: %v", e.inFlight)
	}
}

// Once Flush has returned the module goes by the list that was told before: a server that said it drains may be told that it is heard.
func TestFlushHearsTheList(t *testing.T) {
	paused(t, func(e *Engine, _ *recorder) {
		for round := range 64 { // both wait while the engine is busy; without a rule either goes first
			busy, after, taken, heard := make(chan struct{}), make(chan struct{}), make(chan struct{}, 1), make(chan bool)
			e.post(func(time.Duration) { <-busy })
			synctest.Wait()
			e.ReplaceServers(list(policy.Draining), func() { taken <- struct{}{} })
			go func() {
				e.Flush()
				heard <- len(taken) > 0
			}()
			synctest.Wait()
			go e.post(func(time.Duration) { <-after }) // what is taken now was taken by Flush
			synctest.Wait()
			close(busy)
			ok := <-heard
			if close(after); !ok {
				t.Errorf("round %d: the list is not taken yet", round)
				return
			}
		}
	})
}
