package testbed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery is a stand-in for the list of servers, as the protocol page has it.
type Discovery struct {
	Address string

	mu       sync.Mutex
	version  int
	entries  []entry
	changed  chan struct{} // closed at the next change
	down     bool
	watches  int                  // under way
	notified map[string]time.Time // when an instance's last change was first written to anyone
}

type entry struct {
	node      *Node
	lifecycle string
	since     int // version
}

// NewDiscovery starts one that lists some nodes as ready.
func NewDiscovery(t TB, nodes ...*Node) *Discovery {
	t.Helper()
	d := &Discovery{version: 1, changed: make(chan struct{}), notified: make(map[string]time.Time)}
	for _, n := range nodes {
		d.entries = append(d.entries, entry{n, "ready", 1})
	}
	s := httptest.NewServer(d)
	d.Address = s.Listener.Addr().String()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return d
}

// Set gives a node another lifecycle: ready, draining or gone. One that is not listed yet is added.
func (d *Discovery) Set(n *Node, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	i := slices.IndexFunc(d.entries, func(e entry) bool { return e.node == n })
	if i < 0 {
		i = len(d.entries)
		d.entries = append(d.entries, entry{})
	}
	d.entries[i] = entry{n, lifecycle, d.version}
	delete(d.notified, n.ID)
	d.change()
}

// Draining says whether a node is listed as draining.
func (d *Discovery) Draining(n *Node) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.entries, func(e entry) bool { return e.node == n && e.lifecycle == "draining" })
}

// Down has it answer nothing but 503, or serve again.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.change()
}

func (d *Discovery) change() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Watches is how many watches are under way.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// NotifiedAt is when a node's last change was first written to anyone; zero: not yet.
func (d *Discovery) NotifiedAt(n *Node) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notified[n.ID]
}

// ServeHTTP answers requests for the server list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	whole := err != nil
	if !whole {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		d.await(r, index, time.Duration(wait)*time.Millisecond)
	}
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var entries []string
	now := time.Now()
	for _, e := range d.entries {
		if !whole && e.since <= index {
			continue
		}
		if _, known := d.notified[e.node.ID]; !known {
			d.notified[e.node.ID] = now
		}
		if !whole || e.lifecycle != "gone" { // a whole list tells of it by leaving it out
			entries = append(entries, e.node.Entry(e.lifecycle))
		}
	}
	text := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, d.version, whole, strings.Join(entries, ","))
	d.mu.Unlock()
	_, _ = w.Write([]byte(text))
}

func (d *Discovery) await(r *http.Request, index int, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches++
	defer func() { d.watches-- }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for d.version <= index && !d.down {
		changed := d.changed
		d.mu.Unlock()
		more := true
		select {
		case <-changed:
		case <-timer.C:
			more = false
		case <-r.Context().Done():
			more = false
		}
		d.mu.Lock()
		if !more {
			return
		}
	}
}
