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

// Lists that are pushed or watched are the same for all who follow one discovery, so those of one process
// share one watch: it is a connection and a share of discovery's work each. A list that must be asked for
// is not shared: when to ask is each module's own decision, and a failure comes to the one who asked.

// watches are the shared ones of this process, by what is followed.
var (
	watchesMu sync.Mutex
	watches   = make(map[watchKey]*sharedWatch)
)

type watchKey struct{ address, zones string }

// sharedWatch is one follower with several subscribers, and the list as they have it.
type sharedWatch struct {
	key  watchKey
	stop context.CancelFunc
	done chan struct{}

	mu      sync.Mutex
	subs    map[*Subscription]bool
	version int64
	hasList bool
	servers map[policy.ServerID]policy.Server
	address map[policy.ServerID]string
}

// Subscription is one subscriber's part in a watch.
type Subscription struct {
	cfg   Config
	watch *sharedWatch
	once  sync.Once
}

// Subscribe follows the list as New and Run do, over a watch that it shares with all who follow the same
// discovery under the same zones in this process. Config.Asked must not be set. Heard and Failed must not
// wait and not call back: they run for one subscriber after the other. The first list comes
// at once where the watch has it already.
func Subscribe(cfg Config) (*Subscription, error) {
	if cfg.OnDemand {
		return nil, errors.New("membership: a list that must be asked for is not shared")
	}
	names := slices.Sorted(maps.Keys(cfg.Zones))
	for i, name := range names {
		names[i] = fmt.Sprintf("%q=%d", name, cfg.Zones[name])
	}
	key := watchKey{cfg.Address, strings.Join(names, ",")}
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
	w.subs[s] = true
	if w.hasList {
		cfg.OnUpdate(w.fullList())
	}
	return s, nil
}

func newWatch(key watchKey, cfg Config) *sharedWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &sharedWatch{
		key: key, stop: stop, done: make(chan struct{}), subs: make(map[*Subscription]bool),
		servers: make(map[policy.ServerID]policy.Server), address: make(map[policy.ServerID]string),
	}
	f := New(Config{Address: cfg.Address, Zones: cfg.Zones, OnUpdate: w.apply, OnError: w.reportError})
	go func() {
		defer close(w.done)
		f.Run(ctx)
	}()
	return w
}

// fullList is the list as it is known. The caller holds the lock.
func (w *sharedWatch) fullList() call.ServerList {
	l := call.ServerList{Version: w.version, Full: true, Addresses: maps.Clone(w.address)}
	for _, s := range w.servers {
		l.Servers = append(l.Servers, s)
	}
	return l
}

func (w *sharedWatch) apply(l call.ServerList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Full {
		clear(w.servers)
		clear(w.address)
	}
	w.hasList, w.version = true, l.Version
	for _, s := range l.Servers {
		if s.State == policy.Deregistered {
			delete(w.servers, s.ID)
			delete(w.address, s.ID)
			continue
		}
		w.servers[s.ID], w.address[s.ID] = s, l.Addresses[s.ID]
	}
	for s := range w.subs {
		s.cfg.OnUpdate(l)
	}
}

func (w *sharedWatch) reportError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.subs {
		s.cfg.OnError(err)
	}
}

// Close ends the subscription: nothing comes after it has returned. The last one's ends the watch, and
// returns when that has let go of all that it had.
func (s *Subscription) Close() {
	s.once.Do(func() {
		w := s.watch
		watchesMu.Lock()
		w.mu.Lock()
		delete(w.subs, s)
		last := len(w.subs) == 0
		w.mu.Unlock()
		if last { // a later subscriber begins a new one
			delete(watches, w.key)
		}
		watchesMu.Unlock()
		if last {
			w.stop()
			<-w.done
		}
	})
}
