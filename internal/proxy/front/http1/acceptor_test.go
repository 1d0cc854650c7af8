package http1

import (
	"net"
	"testing"

	"caperarch/internal/proxy/clock"
)

// At the connection limit, a new connection is accepted in place of an idle one. A connection whose request has just
// been read stays open, and a request that is read on an evicted connection is not accepted.
func TestAcceptorKeepsOpenRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(clock.New(), ConnLimits{Max: 2, MaxIdle: [stateCount]int{2, 2, 2, 2, 2, 2}}, nil)
	a.listener = l
	defer a.close()
	accept := func() *conn {
		t.Helper()
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		c, err := a.accept()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	open, idle := accept(), accept()
	if !a.markBusy(open) {
		t.Fatal("markBusy returned false for a newly accepted connection, want true")
	}
	accept()
	if open.entry.removed || !idle.entry.removed || a.table.open != 2 {
		t.Errorf("busy connection removed: %v, idle connection removed: %v, %d connections open; want false, true, 2",
			open.entry.removed, idle.entry.removed, a.table.open)
	}
	if a.markBusy(idle) {
		t.Error("markBusy returned true for an evicted connection, want false")
	}
}
