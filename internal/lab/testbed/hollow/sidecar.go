package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/watch"
)

// dialTimeout is the dial time-out of real sidecars.
const dialTimeout = 300 * time.Millisecond

// hollowSidecar is a simulated sidecar.
type hollowSidecar struct {
	fleet    *Fleet
	node     string
	zone     string
	upstream registry.Upstream // the sidecar's own upstream
	client   *http.Client
	watch    *watch.Client
	config   atomic.Pointer[config.Snapshot]

	mu        sync.Mutex // guards upstreams
	upstreams map[string]registry.Upstream
}

// newHollowSidecar returns the sidecar with a number.
func newHollowSidecar(f *Fleet, number int, incarnation registry.Incarnation) *hollowSidecar {
	zone := f.cfg.Zones[number%len(f.cfg.Zones)]
	s := &hollowSidecar{
		fleet: f, node: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone,
		client: httpclient.New(dialTimeout), upstreams: make(map[string]registry.Upstream),
	}
	s.config.Store(config.Empty())
	host := fmt.Sprintf("10.%d.%d.%d", 1+number%len(f.cfg.Zones), number/250, 1+number%250)
	s.upstream = registry.Upstream{
		Instance: fmt.Sprintf("i-%08x%08x", number, number), Service: serviceName(number % f.cfg.Services),
		Address: host + ":8103", Node: s.node, Inbound: host + ":8109",
		Zone: zone, Region: "kochi", Version: "1.4.2", Slots: 24, State: registry.Ready, Sequence: 1,
	}
	s.watch = watch.NewClient(watch.ClientConfig{
		Node: s.node, Incarnation: incarnation, Zone: zone, Seeds: f.cfg.Seeds, HTTP: s.client,
		State: s.lease, ConfigVersion: func() int64 { return s.config.Load().Version() },
		OnConfig: s.applyConfig, OnRegistry: s.applyRegistry,
		Services: calledServices(f.cfg, number), Log: zap.NewNop(),
	})
	return s
}

// calledServices returns a function that lists the services that a sidecar calls, or nil if it calls all.
func calledServices(cfg Config, number int) func() []string {
	if cfg.CalledServices <= 0 {
		return nil
	}
	names := make([]string, cfg.CalledServices)
	for i := range names {
		names[i] = serviceName((number + i) % cfg.Services)
	}
	return func() []string { return names }
}

func serviceName(number int) string { return fmt.Sprintf("service%02d", number) }

// run waits for startAfter and then watches the core until ctx ends.
func (s *hollowSidecar) run(ctx context.Context, startAfter time.Duration) {
	timer := time.NewTimer(startAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.watch.Run(ctx)
	case <-ctx.Done():
	}
}

// lease returns the lease that each renewal sends.
func (s *hollowSidecar) lease() registry.Lease {
	s.fleet.renewals.Add(1)
	upstream := s.upstream
	return registry.Lease{Zone: s.zone, Applied: s.config.Load().Version(), Upstream: &upstream}
}

// applyConfig applies an update as a real sidecar does, and records when the update arrived and when it was applied.
func (s *hollowSidecar) applyConfig(update json.RawMessage) bool {
	arrivedAt := time.Now().UnixNano()
	current := s.config.Load()
	next, err := s.fleet.apply(current, update)
	if err != nil {
		return false
	}
	s.config.Store(next)
	if next != current {
		s.fleet.recordArrival(next.Version(), arrivedAt)
		s.watch.RenewNow()
	}
	return true
}

func (s *hollowSidecar) applyRegistry(full bool, upserts []registry.Upstream, removals []string) {
	if s.fleet.cfg.ShareConfig {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if full {
		clear(s.upstreams)
	}
	for _, upstream := range upserts {
		s.upstreams[upstream.Instance] = upstream
	}
	for _, instance := range removals {
		delete(s.upstreams, instance)
	}
}

func (s *hollowSidecar) upstreamCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.upstreams)
}
