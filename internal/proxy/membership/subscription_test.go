package membership

import (
	"sync"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// subscriber stores the updates and counts the failures of a subscription.
type subscriber struct {
	mu     sync.Mutex
	lists  []call.ServerList
	failed int
	sub    *Subscription
}

// subscribe returns a subscription that is closed at the end of the test.
func subscribe(t *testing.T, address string, zones map[string]int) *subscriber {
	t.Helper()
	s := new(subscriber)
	var err error
	s.sub, err = Subscribe(Config{
		Address: address, Zones: zones,
		OnUpdate: func(l call.ServerList) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists = append(s.lists, l)
		},
		OnError: func(error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.failed++
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.sub.Close)
	return s
}

// last returns the number of updates and the last update.
func (s *subscriber) last() (n int, l call.ServerList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = len(s.lists); n > 0 {
		l = s.lists[n-1]
	}
	return n, l
}

// Two subscriptions share a watch, and the second subscription gets the current list immediately. A closed subscription
// gets no further updates, and closing the last subscription ends the watch. Different zones need a separate watch.
func TestSubscriptionsShareAWatch(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewHTTPNode(t, "s-a", l), testbed.NewHTTPNode(t, "s-b", l)
	d := testbed.NewDiscovery(t, a, b)
	zones := map[string]int{"a": 0}
	first := subscribe(t, d.Address, zones)
	testbed.Until(t, "the first list", func() bool { n, _ := first.last(); return n == 1 })
	d.Set(a, "gone")
	testbed.Until(t, "the change", func() bool { n, _ := first.last(); return n == 2 })
	second := subscribe(t, d.Address, zones)
	idB := call.ServerID("s-b")
	if n, list := second.last(); n != 1 || !list.Full || len(list.Servers) != 1 || list.Servers[0].ID != idB ||
		list.Addresses[idB] != b.Address {
		t.Errorf("second subscription got %d lists, last %+v; want the current list in full", n, list)
	}
	testbed.Until(t, "one watch for both", func() bool { return d.Watches() == 1 }) // 0 between two calls
	first.sub.Close()
	first.sub.Close()
	d.Set(b, "draining")
	testbed.Until(t, "the next change", func() bool {
		n, list := second.last()
		return n == 2 && list.Servers[0].State == policy.Draining
	})
	if n, _ := first.last(); n != 2 {
		t.Errorf("%d lists after Close, want 0", n-2)
	}
	other := subscribe(t, d.Address, map[string]int{"b": 0})
	testbed.Until(t, "a second watch", func() bool { return d.Watches() == 2 })
	d.Down(true)
	testbed.Until(t, "the failure", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.failed > 0
	})
	other.sub.Close()
	second.sub.Close()
	testbed.Until(t, "all watches to end", func() bool { return d.Watches() == 0 })
	if _, err := Subscribe(Config{OnDemand: true}); err == nil {
		t.Error("Subscribe with OnDemand returned no error")
	}
}
