package http1

import (
	"net"
	"testing"

	"caperarch/internal/proxy/clock"
)

// At the limit a new connection waits for room; an idle connection makes it, one whose request has just been
// read does not, and what comes on one that is closing is discarded.
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
	open, quiet := accept(), accept()
	if !a.markBusy(open) {
		t.Fatal("a new connection is not in the table")
	}
	accept()
	if open.entry.removed || !quiet.entry.removed || a.table.open != 2 {
		t.Errorf("the open one closed: %v, the idle one: %v, %d open; want false, true, 2",
			open.entry.removed, quiet.entry.removed, a.table.open)
	}
	if a.markBusy(quiet) {
		t.Error("input of a closing connection is accepted")
	}
}
