// Package sidecar runs the mesh's proxy on the machine of one upstream, the local upstream.
//
// It owns the machine's listeners and two engines. The outbound engine sends requests of clients on this machine to
// the gates of sidecars; package balancer selects the gate. The inbound engine sends requests that sidecars forward
// to the local upstream; package gate decides when. The sidecar also stores the configuration and the list of
// upstreams that core machines push, and reports its upstream to them.
//
// Guarantees: a request whose response states that it was not executed never runs; an upstream's heartbeat is
// acknowledged only after the local gate has applied it; a configuration is never replaced by an older one; and
// requests that were accepted are answered before a stopping process exits.
//
// The package wires components together and passes data between them. Run is the entry point of a process. Methods
// of Sidecar and, unless their comment says otherwise, of the other types may be called from any goroutine.
package sidecar

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"

	"go.uber.org/zap"
)

// Sidecar is the state of one sidecar process.
type Sidecar struct {
	settings    *settings.Settings
	clock       clock.Clock
	log         *zap.Logger
	client      *http.Client // for calls to core machines and health requests
	config      atomic.Pointer[config.Snapshot]
	endpoints   *endpoints
	quota       *quotaClient
	watchClient *watch.Client
	// knownVersions are the configuration versions that other sidecars apply.
	knownVersions knownVersions

	inbound        *inbound
	outbound       *outbound
	gateEngine     *engine.Engine
	balancerEngine *engine.Engine
	draining       atomic.Bool // set when a drain starts
	configMu       sync.Mutex  // serialises configuration updates
	publishMu      sync.Mutex  // serialises publishUpstream
}

var _ balancer.RetryBudget = (*quotaClient)(nil)

// Run serves until ctx ends, then drains and returns nil. It returns an error if a component can't be created or a
// listener fails. Of the settings received from reload it applies only the seed addresses. On return it cancels its
// goroutines without waiting for them, because the process exits next.
func Run(
	ctx context.Context, current *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger,
) error {
	s, err := newSidecar(current, log)
	if err != nil {
		return err
	}
	if err := s.newEngines(); err != nil {
		return err
	}
	fronts := s.newFronts()

	background, stop := context.WithCancel(context.Background())
	defer stop()
	go s.balancerEngine.Run(background, call.ServerList{})
	go s.gateEngine.Run(background, call.ServerList{})
	serveErrors, err := s.listen(fronts)
	if err != nil {
		return err
	}
	go s.watchClient.Run(background)
	go s.quota.run(background)
	go s.logAbandoned(background)
	go s.logConfirmation(background)
	go s.discoverUpstream(background)
	s.log.Info("serving",
		zap.String("node", s.settings.Self.NodeName), zap.Strings("seeds", s.settings.SeedAddresses()))
	for {
		select {
		case err := <-serveErrors:
			return err
		case reloaded := <-reload:
			s.watchClient.SetSeeds(reloaded.SeedAddresses())
		case <-ctx.Done():
			return s.drain(fronts)
		}
	}
}

// newSidecar creates a sidecar with an empty configuration and without engines and listeners.
func newSidecar(current *settings.Settings, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: current, clock: clock.New(), log: log, client: httpclient.New(dialTimeout),
		endpoints: newEndpoints(zoneNames(current), current.Network.ListenAddresses.Inbound),
	}
	s.config.Store(config.Empty())
	s.watchClient = watch.NewClient(watch.ClientConfig{
		Node:           current.Self.NodeName,
		Incarnation:    registry.Incarnation(time.Now().UnixNano()),
		Zone:           current.Self.Zone,
		Seeds:          current.SeedAddresses(),
		HTTP:           watch.NewHTTPClient(),
		State:          s.currentLease,
		ConfigVersion:  func() int64 { return s.config.Load().Version() },
		OnConfig:       s.applyConfig,
		OnRegistry:     s.applyRegistry,
		OnDeregistered: s.applyDeregistration,
		Log:            log,
	})
	var err error
	s.quota, err = newQuotaClient(current.Guarantees.Bounds, quotaConfig{
		clock: s.clock, log: log, httpClient: s.client, node: current.Self.NodeName,
		peers: s.watchClient.Peers, serviceName: s.endpoints.serviceName, sidecarCount: s.watchClient.ShareHolders,
	})
	return s, err
}

// zoneNames returns the zone names of the settings in sorted order, so that all sidecars number zones alike.
func zoneNames(current *settings.Settings) []string {
	zones := make([]string, 0, len(current.Network.Zones))
	for name := range current.Network.Zones {
		zones = append(zones, name)
	}
	slices.Sort(zones)
	return zones
}
