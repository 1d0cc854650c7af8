// Package daemon runs the sidecar: it wires front, decision engine, transport and membership together, for one
// pool of upstreams (Run) or several (RunPools), and serves operators' control calls. Configuration and
// listener belong to the run from the call on.
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

// Option turns on a feature that is off by default.
type Option func(*options)

type options struct {
	recording *record.Writer // nil: none
	instances uint32         // decision modules recorded so far
	fleet     *config.Fleet  // nil: sidecars know nothing of each other
}

// WithRecording records the inputs and outputs of the decision modules to w, which the caller closes.
func WithRecording(w *record.Writer) Option { return func(o *options) { o.recording = w } }

// WithFleet makes the daemon a member of a fleet, as the operator's file says.
func WithFleet(f *config.Fleet) Option { return func(o *options) { o.fleet = f } }

func newOptions(all []Option) *options {
	o := new(options)
	for _, option := range all {
		option(o)
	}
	return o
}

// moduleFactory returns what makes the decision module of one more engine; nil: the engine's default.
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

// Run listens and serves until ctx ends and all requests accepted by then are answered. Each signal on reload
// makes it read its configuration again.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, with ...Option) error {
	return run(ctx, cfg, nil, reload, with...)
}

// Serve is Run on an open listener, which it closes.
func Serve(
	ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option,
) error {
	return run(ctx, cfg, listener, reload, with...)
}

// run is Run, on a listener of its own if there is none yet.
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
	if listener == nil { // last: a client that connects is served
		if listener, err = s.listen(cfg); err != nil {
			return err
		}
	}
	log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(p.initial.Servers))
	s.start(running, front)
	return s.serveUntil(ctx, listener, reload, func() { reloadDiscovery(cfg.Path, p.follower, log) })
}

// serveUntil serves clients until the listener fails, or until ctx ends and the front has drained. Each signal
// on reload calls onReload.
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

// reloadDiscovery applies the discovery address of the configuration as it is now. All else takes effect at the next
// start. A file that can't be used changes nothing.
func reloadDiscovery(path string, follower *membership.Follower, log *slog.Logger) {
	cfg, err := config.Read(path)
	if err != nil {
		log.Error("configuration not usable, the old one stays", "error", err)
		return
	}
	log.Info("configuration reloaded", "discovery", cfg.Discovery)
	follower.SetAddress(cfg.Discovery)
}
