// Package daemon runs the sidecar. It connects the HTTP front, the decision engine, the transport and the membership
// follower for one pool of upstreams (Run) or several pools (RunPools), and serves operators' control calls. The caller
// must not use the configuration and the listener after it has passed them to this package.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/membership"
	"caperarch/internal/proxy/record"
	"caperarch/policy"
)

// Option enables an optional feature of the daemon.
type Option func(*options)

type options struct {
	recording *record.Writer // nil: decisions are not recorded
	instances uint32         // number of decision modules recorded so far
	fleet     *config.Fleet  // nil: this sidecar belongs to no fleet
}

// WithRecording records the inputs and outputs of the decision modules to w. The caller closes w.
func WithRecording(w *record.Writer) Option { return func(o *options) { o.recording = w } }

// WithFleet makes the daemon a member of the fleet that the fleet file describes.
func WithFleet(f *config.Fleet) Option { return func(o *options) { o.fleet = f } }

func newOptions(all []Option) *options {
	o := new(options)
	for _, option := range all {
		option(o)
	}
	return o
}

// moduleFactory returns the constructor of the next engine's decision module, or nil if the engine's default
// constructor applies because decisions are not recorded.
func (o *options) moduleFactory() func(policy.Config, uint64, policy.Host) (engine.Module, error) {
	if o.recording == nil {
		return nil
	}
	number := o.instances
	o.instances++
	return func(cfg policy.Config, seed uint64, host policy.Host) (engine.Module, error) {
		return o.recording.NewBalancer(number, cfg, seed, host)
	}
}

// Run listens and serves until ctx is done and all requests accepted by then are answered. On each signal from reload,
// Run reads its configuration file again and applies the discovery address.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, with ...Option) error {
	return run(ctx, cfg, nil, reload, with...)
}

// Serve is like Run but serves on the given listener, which it closes.
func Serve(
	ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option,
) error {
	return run(ctx, cfg, listener, reload, with...)
}

// run implements Run and Serve. If listener is nil, run opens one on the configured address.
func run(
	ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option,
) error {
	clk := clock.New()
	log := slog.Default()
	o := newOptions(with)
	s, err := newService(cfg, log, o)
	if err != nil {
		return err
	}
	defer s.close()
	p, err := newPool("", cfg, clk, cfg.UpstreamConns(), log, s, o)
	if err != nil {
		return err
	}
	s.attachMaintenance(p, cfg, clk)
	front := fronthttp1.New(fronthttp1.Config{
		Route:       fronthttp1.RouteTo(p.target),
		ConnLimits:  fronthttp1.NewConnLimits(cfg.ClientConns(), cfg.ApplicationConns()),
		MaxDeadline: cfg.MaxDeadline,
		Log:         log,
	}, clk)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go p.engine.Run(running, p.initial)
	go p.follower.Run(running)
	// The listener is opened last, so that a client that connects is served immediately.
	if listener == nil {
		if listener, err = s.listen(cfg); err != nil {
			return err
		}
	}
	log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(p.initial.Servers))
	s.start(running, front)
	return s.serveUntil(ctx, listener, reload, func() { reloadDiscovery(cfg.Path, p.follower, log) })
}

// serveUntil serves clients until the listener fails, or until ctx is done and the front has drained. It calls onReload
// on each signal from reload.
func (s *service) serveUntil(
	ctx context.Context, listener net.Listener, reload <-chan os.Signal, onReload func(),
) error {
	failed := make(chan error, 1)
	go func() { failed <- s.front.Serve(listener) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			onReload()
		case <-ctx.Done():
			s.beginLeaving()
			return s.front.Drain()
		}
	}
}

// reloadDiscovery reads the configuration file and applies its discovery address. Other changes take effect at the next
// start of the process. If the file is invalid, the old address stays in use.
func reloadDiscovery(path string, follower *membership.Follower, log *slog.Logger) {
	cfg, err := config.Read(path)
	if err != nil {
		log.Error("configuration not usable, the old one stays", "error", err)
		return
	}
	log.Info("configuration reloaded", "discovery", cfg.Discovery)
	follower.SetAddress(cfg.Discovery)
}
