package membership

import (
	"sync"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// subscriber keeps what it hears.
type subscriber struct {
	mu     sync.Mutex
	lists  []call.ServerList
	failed int
	s      *Subscription
}

func subscribe(t *testing.T, address string, zones map[string]int) *subscriber {
	t.Helper()
	sub := new(subscriber)
	var err error
	sub.s, err = Subscribe(Config{
		Address: address, Zones: zones,
		OnUpdate: func(l call.ServerList) {
			sub.mu.Lock()
			defer sub.mu.Unlock()
			sub.lists = append(sub.lists, l)
		},
		OnError: func(error) {
			sub.mu.Lock()
			defer sub.mu.Unlock()
			sub.failed++
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sub.s.Close)
	return sub
}

func (s *subscriber) last() (n int, l call.ServerList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = len(s.lists); n > 0 {
		l = s.lists[n-1]
	}
	return n, l
}

// Two share a watch; a later one has the whole list at once, changes since the first included; who closes
// hears nothing more, and the last one ends the watch. Other zones mean another watch.
func TestSharedWatch(t *testing.T) {
	l := new(testbed.Ledger)
	a, b := testbed.NewHTTPNode(t, "s-a", l), testbed.NewHTTPNode(t, "s-b", l)
	d := testbed.NewDiscovery(t, a, b)
	zones := map[string]int{"a": 0}
	one := subscribe(t, d.Address, zones)
	testbed.Until(t, "the first list", func() bool { n, _ := one.last(); return n == 1 })
	d.Set(a, "gone")
	testbed.Until(t, "the change", func() bool { n, _ := one.last(); return n == 2 })
	two := subscribe(t, d.Address, zones)
	if n, list := two.last(); n != 1 || !list.Full || len(list.Servers) != 1 || list.Servers[0].ID != call.ServerID("s-b") || list.Addresses[call.ServerID("s-b")] != b.Address {
		t.Errorf("the later one has %d lists, %+v; want the whole list as it is", n, list)
	}
	testbed.Until(t, "one watch for both", func() bool { return d.Watches() == 1 }) // none between two calls
	one.s.Close()
	one.s.Close()
	d.Set(b, "draining")
	testbed.Until(t, "the next change", func() bool {
		n, list := two.last()
		return n == 2 && list.Servers[0].State == policy.Draining
	})
	if n, _ := one.last(); n != 2 {
		t.Errorf("one heard %d lists after its close", n-2)
	}
	other := subscribe(t, d.Address, map[string]int{"b": 0})
	testbed.Until(t, "a watch of its own", func() bool { return d.Watches() == 2 })
	d.Down(true)
	testbed.Until(t, "the failure", func() bool {
		two.mu.Lock()
		defer two.mu.Unlock()
		return two.failed > 0
	})
	other.s.Close()
	two.s.Close()
	testbed.Until(t, "all watches to end", func() bool { return d.Watches() == 0 })
	if _, err := Subscribe(Config{OnDemand: true}); err == nil {
		t.Error("a list that must be asked for was shared")
	}
}
