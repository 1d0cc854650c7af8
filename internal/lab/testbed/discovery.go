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

// Discovery is a discovery service that speaks the protocol of the real one.
type Discovery struct {
	Address string

	mu       sync.Mutex
	version  int
	entries  []entry
	changed  chan struct{} // closed at the next change
	down     bool
	watches  int                  // requests that are waiting for a change
	notified map[string]time.Time // by instance ID: when its last change was first written in a response
}

type entry struct {
	node      *Node
	lifecycle string
	since     int // list version of the last change
}

// NewDiscovery starts a discovery service that lists the nodes as ready.
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

// Set changes the lifecycle of a node to ready, draining or gone. It adds a node that is not listed yet.
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
	d.notifyWatches()
}

// Draining reports whether a node is listed as draining.
func (d *Discovery) Draining(n *Node) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.entries, func(e entry) bool { return e.node == n && e.lifecycle == "draining" })
}

// Down makes the service answer every request with 503, or serve again.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notifyWatches()
}

func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Watches returns the number of requests that are waiting for a change.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// NotifiedAt returns when the last change of a node was first written in a response, or the zero time if it was not.
func (d *Discovery) NotifiedAt(n *Node) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notified[n.ID]
}

// ServeHTTP answers requests for the server list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	full := err != nil
	if !full {
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
		if !full && e.since <= index {
			continue
		}
		if _, known := d.notified[e.node.ID]; !known {
			d.notified[e.node.ID] = now
		}
		if !full || e.lifecycle != "gone" { // a full list omits instances that are gone
			entries = append(entries, e.node.Entry(e.lifecycle))
		}
	}
	text := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, d.version, full, strings.Join(entries, ","))
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
		waiting := true
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		d.mu.Lock()
		if !waiting {
			return
		}
	}
}
