package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// lists is about the list of nodes: what joins, what has just started, and discovery itself.
func lists(add func(string, func(*testing.T, *World))) {
	add("list/a new node takes part", listNewNode)
	add("list/discovery is down", listDiscoveryDown)
	add("list/a cold node is not pushed", listSlowStart)
}

// listNewNode shows that a node takes part once it is listed.
func listNewNode(t *testing.T, w *World) {
	w.Start(nil, 0)
	n := w.subject.Node(t, "s-new", w.ArrivalLog)
	w.Discovery.Set(n, "ready")
	testbed.Until(t, "a call on the new node", func() bool {
		c, _ := w.Want("look", Served)
		return w.ArrivalLog.Of(c.ID)[0].Node == "s-new"
	})
}

// listDiscoveryDown shows that calls go on while discovery is down.
func listDiscoveryDown(t *testing.T, w *World) {
	w.Start(nil, 0, 0)
	w.Want("look", Served)
	w.Discovery.Down(true)
	for class := range map[string]bool{"look": true, "reading": true, "entry": true} {
		w.Want(class, Served)
	}
}

// listSlowStart shows that a node that has just started gets less than the others.
func listSlowStart(t *testing.T, w *World) {
	w.Start(nil, 0, 0, 0, 0)
	load := w.Load(8, "look")
	testbed.Until(t, "some load", func() bool { return w.ArrivalLog.Len() > 200 })
	cold := w.Nodes[2]
	cold.Vanish()
	cold.Return(t)
	w.Discovery.Set(cold, "ready") // with a start time of now
	testbed.Until(t, "the change to be announced", func() bool { return !w.Discovery.NotifiedAt(cold).IsZero() })
	time.Sleep(100 * time.Millisecond)
	from := time.Now()
	time.Sleep(time.Second)
	to := time.Now()
	load()
	count := make(map[string]int)
	for _, a := range w.ArrivalLog.All() {
		if a.At.After(from) && a.At.Before(to) {
			count[a.Node]++
		}
	}
	if n := count[cold.ID]; n > count["s-0"]*3/4 {
		t.Errorf("the cold node had %d calls in its first second, a warm one %d", n, count["s-0"])
	}
}
