package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// serverLists tests changes of the server list: new nodes, nodes in slow start, and an outage of discovery.
func serverLists(add func(string, func(*testing.T, *Fixture))) {
	add("list/new node receives calls", listNewNode)
	add("list/discovery is down", listDiscoveryDown)
	add("list/slow start limits load", listSlowStart)
}

// listNewNode checks that a node receives calls once discovery lists it.
func listNewNode(t *testing.T, f *Fixture) {
	f.Start(nil, 0)
	n := f.subject.Node(t, "s-new", f.ArrivalLog)
	f.Discovery.Set(n, "ready")
	testbed.Until(t, "a call on the new node", func() bool {
		c, _ := f.Expect("look", Served)
		return f.ArrivalLog.Of(c.ID)[0].Node == "s-new"
	})
}

// listDiscoveryDown checks that calls are served while discovery is down.
func listDiscoveryDown(t *testing.T, f *Fixture) {
	f.Start(nil, 0, 0)
	f.Expect("look", Served)
	f.Discovery.Down(true)
	for class := range map[string]bool{"look": true, "reading": true, "entry": true} {
		f.Expect(class, Served)
	}
}

// listSlowStart checks that a node that has just started receives fewer calls than the others.
func listSlowStart(t *testing.T, f *Fixture) {
	f.Start(nil, 0, 0, 0, 0)
	stopLoad := f.StartLoad(8, "look")
	testbed.Until(t, "200 requests to arrive", func() bool { return f.ArrivalLog.Len() > 200 })
	restarted := f.Nodes[2]
	restarted.Vanish()
	restarted.Return(t)
	f.Discovery.Set(restarted, "ready") // discovery lists the node with the current time as its start time
	testbed.Until(t, "the change to be announced", func() bool { return !f.Discovery.NotifiedAt(restarted).IsZero() })
	time.Sleep(100 * time.Millisecond)
	from := time.Now()
	time.Sleep(time.Second)
	to := time.Now()
	stopLoad()
	count := make(map[string]int)
	for _, a := range f.ArrivalLog.All() {
		if a.At.After(from) && a.At.Before(to) {
			count[a.Node]++
		}
	}
	if n := count[restarted.ID]; n > count["s-0"]*3/4 {
		t.Errorf("the restarted node had %d calls in one second, another node %d, want at most three quarters of that",
			n, count["s-0"])
	}
}
