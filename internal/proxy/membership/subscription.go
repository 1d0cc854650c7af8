package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// The watches that the subscriptions of this process share. All subscribers to a discovery service have the same list,
// and each watch costs the discovery service a connection and work. A list that is fetched on demand is not shared,
// because each policy decides when to fetch it and must be told about its own failures.
var (
	watchesMu sync.Mutex // locked before sharedWatch.mu
	watches   = make(map[watchKey]*sharedWatch)
)

// watchKey identifies what a watch follows: the address of discovery and the zone numbers.
type watchKey struct{ address, zones string }

// sharedWatch is one follower with its subscribers and the current list.
type sharedWatch struct {
	key  watchKey
	stop context.CancelFunc
	done chan struct{} // closed when the follower's goroutine has ended

	mu          sync.Mutex // guards the fields below
	subscribers map[*Subscription]bool
	version     int64
	hasList     bool // a list was received
	servers     map[policy.ServerID]policy.Server
	addresses   map[policy.ServerID]string
}

// Subscription is a subscription to a shared watch.
type Subscription struct {
	cfg   Config
	watch *sharedWatch
	once  sync.Once // makes Close idempotent
}

// Subscribe follows the server list like a Follower, over a watch that subscriptions to the same discovery service with
// the same zone numbers share. Config.OnDemand must not be set. OnUpdate and OnError must neither block nor call into
// this package, because they are called for one subscriber after another with locks held. If the watch already has a
// list, OnUpdate is called with this list before Subscribe returns.
func Subscribe(cfg Config) (*Subscription, error) {
	if cfg.OnDemand {
		return nil, errors.New("membership: Subscribe does not support Config.OnDemand")
	}
	key := watchKey{cfg.Address, zonesKey(cfg.Zones)}
	watchesMu.Lock()
	defer watchesMu.Unlock()
	w := watches[key]
	if w == nil {
		w = newWatch(key, cfg)
		watches[key] = w
	}
	s := &Subscription{cfg: cfg, watch: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[s] = true
	if w.hasList {
		cfg.OnUpdate(w.fullList())
	}
	return s, nil
}

// zonesKey returns a text that is equal for equal zones.
func zonesKey(zones map[string]int) string {
	names := slices.Sorted(maps.Keys(zones))
	for i, name := range names {
		names[i] = fmt.Sprintf("%q=%d", name, zones[name])
	}
	return strings.Join(names, ",")
}

// newWatch starts a watch and its follower.
func newWatch(key watchKey, cfg Config) *sharedWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &sharedWatch{
		key: key, stop: stop, done: make(chan struct{}), subscribers: make(map[*Subscription]bool),
		servers: make(map[policy.ServerID]policy.Server), addresses: make(map[policy.ServerID]string),
	}
	f := New(Config{Address: cfg.Address, Zones: cfg.Zones, OnUpdate: w.apply, OnError: w.reportError})
	go func() {
		defer close(w.done)
		f.Run(ctx)
	}()
	return w
}

// fullList returns the current list as a full update. The caller holds w.mu.
func (w *sharedWatch) fullList() call.ServerList {
	list := call.ServerList{Version: w.version, Full: true, Addresses: maps.Clone(w.addresses)}
	for _, s := range w.servers {
		list.Servers = append(list.Servers, s)
	}
	return list
}

// apply applies an update to the list and passes the update to the subscribers.
func (w *sharedWatch) apply(update call.ServerList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if update.Full {
		clear(w.servers)
		clear(w.addresses)
	}
	w.hasList, w.version = true, update.Version
	for _, s := range update.Servers {
		if s.State == policy.Deregistered {
			delete(w.servers, s.ID)
			delete(w.addresses, s.ID)
			continue
		}
		w.servers[s.ID], w.addresses[s.ID] = s, update.Addresses[s.ID]
	}
	for s := range w.subscribers {
		s.cfg.OnUpdate(update)
	}
}

// reportError passes the error of a failed call to the subscribers.
func (w *sharedWatch) reportError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.subscribers {
		s.cfg.OnError(err)
	}
}

// Close ends the subscription. OnUpdate and OnError are not called after Close has returned. If this is the watch's
// last subscription, Close also ends the watch and waits for its goroutine.
func (s *Subscription) Close() {
	s.once.Do(func() {
		w := s.watch
		if w.unsubscribe(s) {
			w.stop()
			<-w.done
		}
	})
}

// unsubscribe removes a subscriber and returns whether it was the last one. After the last subscriber the watch is
// removed from watches, so that no further subscription uses it.
func (w *sharedWatch) unsubscribe(s *Subscription) (last bool) {
	watchesMu.Lock()
	defer watchesMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.subscribers, s)
	last = len(w.subscribers) == 0
	if last {
		delete(watches, w.key)
	}
	return last
}
