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

// The watches that subscriptions of this process share, by what they follow. The list is the same for all who
// follow one discovery, and each watch costs it a connection and work. A list that is fetched on demand is not
// shared: when to fetch it is each module's own decision, which is to learn of its failures.
var (
	watchesMu sync.Mutex // held before a sharedWatch's mu
	watches   = make(map[watchKey]*sharedWatch)
)

// watchKey says what a watch follows.
type watchKey struct{ address, zones string }

// sharedWatch is one follower with its subscribers, and the list as they have it.
type sharedWatch struct {
	key  watchKey
	stop context.CancelFunc
	done chan struct{} // closed when the follower has ended

	mu          sync.Mutex // guards what follows
	subscribers map[*Subscription]bool
	version     int64
	hasList     bool
	servers     map[policy.ServerID]policy.Server
	addresses   map[policy.ServerID]string
}

// Subscription is one subscriber of a shared watch.
type Subscription struct {
	cfg   Config
	watch *sharedWatch
	once  sync.Once // for Close
}

// Subscribe follows the list as New and Run do, over a watch that is shared with all who follow the same
// discovery under the same zones in this process. Config.OnDemand must not be set. OnUpdate and OnError must
// neither block nor call back: they are called for one subscriber after the other. Where the watch has a list
// already, OnUpdate is called with it before Subscribe returns.
func Subscribe(cfg Config) (*Subscription, error) {
	if cfg.OnDemand {
		return nil, errors.New("membership: a list that must be asked for is not shared")
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

// zonesKey returns the same text for the same zones.
func zonesKey(zones map[string]int) string {
	names := slices.Sorted(maps.Keys(zones))
	for i, name := range names {
		names[i] = fmt.Sprintf("%q=%d", name, zones[name])
	}
	return strings.Join(names, ",")
}

// newWatch starts a watch.
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

// fullList returns the list as it is known. The caller holds mu.
func (w *sharedWatch) fullList() call.ServerList {
	list := call.ServerList{Version: w.version, Full: true, Addresses: maps.Clone(w.addresses)}
	for _, s := range w.servers {
		list.Servers = append(list.Servers, s)
	}
	return list
}

// apply updates the list and passes the update on to the subscribers.
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

// reportError passes the failure of a call on to the subscribers.
func (w *sharedWatch) reportError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.subscribers {
		s.cfg.OnError(err)
	}
}

// Close ends the subscription: neither OnUpdate nor OnError is called after it has returned. The last
// subscription's Close ends the watch and waits for its goroutine.
func (s *Subscription) Close() {
	s.once.Do(func() {
		w := s.watch
		if w.unsubscribe(s) {
			w.stop()
			<-w.done
		}
	})
}

// unsubscribe removes a subscriber and says whether it was the last one, after which the watch is not shared
// any more.
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
