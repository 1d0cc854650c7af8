// Package sidecar runs the mesh's proxy beside one upstream.
//
// It owns the listeners on its machine and two engines: the outbound one sends requests that begin
// here to the gates of other sidecars (package balancer decides where), the inbound one admits what
// sidecars send to the upstream beside it (package gate decides when). It also holds the
// configuration and the endpoint list that core machines push, and reports its upstream to them.
//
// Promises: a request whose answer says that it was not executed never runs; an upstream's
// heartbeat is acknowledged only once the local gate has applied it; a configuration is never replaced
// by an older one; and a stop answers what was accepted before the process ends.
//
// The package wires parts together and moves data between them. Run is the only entry point of a
// process. The methods of Sidecar, and those of all types here, may be called from any goroutine.
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
	client      *http.Client // for control calls
	config      atomic.Pointer[config.Snapshot]
	endpoints   *endpoints
	quota       *quotaClient
	watchClient *watch.Client
	// knownVersions are the configuration versions that other sidecars go by.
	knownVersions knownVersions

	inbound        *inbound
	outbound       *outbound
	gateEngine     *engine.Engine
	balancerEngine *engine.Engine
	draining       atomic.Bool // a stop was asked for
	configMu       sync.Mutex  // serialises replacing the configuration
	publishMu      sync.Mutex  // serialises publishUpstream
}

var _ balancer.RetryBudget = (*quotaClient)(nil)

// Run serves until ctx ends, then drains and returns nil. It returns an error if a part can't be set up
// or a listener fails. Of settings that arrive on reload only the seeds are applied. Its goroutines are
// cancelled when it returns, without waiting for them, as the process ends next.
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
	failed, err := s.listen(fronts)
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
		case err := <-failed:
			return err
		case next := <-reload:
			s.watchClient.SetSeeds(next.SeedAddresses())
		case <-ctx.Done():
			return s.drain(fronts)
		}
	}
}

// newSidecar makes a sidecar with an empty configuration; it has neither engines nor listeners yet.
func newSidecar(current *settings.Settings, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: current, clock: clock.New(), log: log, client: httpclient.New(dialTimeout),
		endpoints: newEndpoints(zoneNames(current), current.Network.ListenAddresses.Inbound),
	}
	s.config.Store(config.Empty())
	s.watchClient = watch.NewClient(watch.ClientConfig{
		Node:          current.Self.NodeName,
		Incarnation:   registry.Incarnation(time.Now().UnixNano()),
		Zone:          current.Self.Zone,
		Seeds:         current.SeedAddresses(),
		HTTP:          watch.NewHTTPClient(),
		State:         s.currentLease,
		ConfigVersion: func() int64 { return s.config.Load().Version() },
		OnConfig:      s.applyConfig,
		OnRegistry:    s.applyRegistry,
		Log:           log,
	})
	var err error
	s.quota, err = newQuotaClient(current.Guarantees.Bounds, quotaConfig{
		clock: s.clock, log: log, httpClient: s.client, node: current.Self.NodeName,
		peers: s.watchClient.Peers, serviceName: s.endpoints.serviceName, sidecarCount: s.watchClient.ShareHolders,
	})
	return s, err
}

// zoneNames are the zones of the settings in order, so that all sidecars number them alike.
func zoneNames(current *settings.Settings) []string {
	zones := make([]string, 0, len(current.Network.Zones))
	for name := range current.Network.Zones {
		zones = append(zones, name)
	}
	slices.Sort(zones)
	return zones
}
