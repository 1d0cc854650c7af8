// Package daemon wires the parts of the daemon: front, engine, transport, membership.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync/atomic"

	"caperarch/internal/daemon/config"
	"caperarch/internal/daemon/cordonstore"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/membership"
	"caperarch/internal/proxy/record"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

// Option is something that is off without it.
type Option func(*options)

type options struct {
	recording *record.Writer // nil: none
	recorded  uint32         // instances so far
	fleet     *config.Fleet  // nil: sidecars know nothing of each other
}

// WithRecording has what the modules are handed and do written down. The caller closes w.
func WithRecording(w *record.Writer) Option { return func(o *options) { o.recording = w } }

// WithFleet has the daemon take part in a fleet, as the operator's file says.
func WithFleet(f *config.Fleet) Option { return func(o *options) { o.fleet = f } }

func optionsOf(all []Option) *options {
	o := new(options)
	for _, option := range all {
		option(o)
	}
	return o
}

// module makes an engine's decision module; nil: as the engine does by itself.
func (o *options) module() func(policy.Config, uint64, policy.Host) (engine.Module, error) {
	if o.recording == nil {
		return nil
	}
	number := o.recorded
	o.recorded++
	return func(cfg policy.Config, seed uint64, host policy.Host) (engine.Module, error) {
		return o.recording.NewBalancer(number, cfg, seed, host)
	}
}

// Run listens and serves until ctx ends and everything taken by then is answered. Each signal on
// reload has it read its configuration again.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, with ...Option) error {
	return run(ctx, cfg, nil, reload, with...)
}

// Serve is Run on a listener that is there already, which it closes.
func Serve(ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option) error {
	return run(ctx, cfg, listener, reload, with...)
}

func run(ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option) error {
	c := clock.New()
	log := slog.Default()
	o := optionsOf(with)
	s, err := newService(cfg, log, o)
	if err != nil {
		return err
	}
	defer s.close()
	p, err := assemble("", cfg, c, cfg.UpstreamConns(), log, s, o)
	if err != nil {
		return err
	}
	s.attach(p, cfg, c)
	f := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.RouteTo(p.target), ConnLimits: fronthttp1.NewConnLimits(cfg.ClientConns(), cfg.ApplicationConns()), MaxDeadline: cfg.MaxDeadline, Log: log,
	}, c)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go p.engine.Run(running, p.known)
	go p.follower.Run(running)
	if listener == nil { // last: what connects is served
		if listener, err = s.listen(cfg); err != nil {
			return err
		}
	}
	log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(p.known.Servers))
	s.serve(running, f)
	failed := make(chan error, 1)
	go func() { failed <- f.Serve(listener) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			again(cfg, p.follower, log)
		case <-ctx.Done():
			s.leaving()
			return f.Drain()
		}
	}
}

// parts are an engine with what it sends over and the list that it follows.
type parts struct {
	name      string          // of its pool
	conns     int             // to servers, of all processes of this sidecar together
	known     call.ServerList // what the engine is to begin with
	target    *fronthttp1.Target
	engine    *engine.Engine
	follower  *membership.Follower
	transport *http1.Transport
	list      *cordonstore.List
	leave     func()      // the service
	current   atomic.Bool // discovery's last answer could be used
}

// assemble puts an engine together with the transport that it sends over and the list that it follows. Nothing runs yet.
func assemble(name string, cfg *config.Config, c clock.Clock, conns int, log *slog.Logger, s *service, o *options) (*parts, error) {
	p := &parts{name: name, conns: conns, transport: http1.New(http1.Config{
		Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: conns, LoadFields: cfg.LoadReportFields, Columns: cfg.LoadReportColumns,
		OnRequestWritten: s.figures.CountAttempt,
	})}
	decisions := cfg.Policy
	decisions.Processes = s.parted
	ended := s.know(&decisions)
	limits := s.rule(func(out []string) { p.list.SetPolicyBanned(out) }, func(ids []policy.ServerID) { p.list.SetUnderMaintenance(ids) }, func(open int) { p.target.SetMaxOpen(open) })
	e, err := engine.New(engine.Config{
		Policy: decisions, Seed: cfg.Seed, Clock: c, Transport: p.transport, Log: log, Watch: func() { p.follower.Trigger() },
		Module: o.module(), AttemptEnded: ended, Limits: limits,
	})
	if err != nil {
		return nil, err
	}
	p.engine, p.list = e, s.keeper.NewList(e)
	known, ever := s.known(name, cfg.KnownServers)
	p.known = p.list.SetInitial(known, ever)
	p.target = &fronthttp1.Target{
		Engine: e, Classes: cfg.Classes, ClassOf: cfg.Policy.Classes, Tenants: cfg.Tenants, MaxOpen: cfg.MaxOpenRequests, MaxBodyBytes: cfg.MaxBodyBytes(),
		Metrics: s.figures.Classes(cfg.Classes),
	}
	p.leave = s.enter(p)
	p.follower = membership.New(membership.Config{
		Address: cfg.Discovery, Zones: cfg.Zones, OnDemand: cfg.Policy.ListOnDemand, Known: known,
		OnUpdate: func(l call.ServerList) {
			log.Info("list", "version", l.Version, "whole", l.Full, "entries", len(l.Servers))
			p.current.Store(true)
			p.list.Update(l)
		},
		OnError: func(err error) {
			p.current.Store(false)
			log.Warn("discovery", "error", err)
			e.DiscoveryFailed()
		},
	})
	return p, nil
}

// again takes discovery's address from the configuration as it is now. The rest of it holds until
// the next start. A file that can't be used changes nothing.
func again(before *config.Config, follower *membership.Follower, log *slog.Logger) {
	cfg, err := config.Read(before.Path)
	if err != nil {
		log.Error("the new configuration can't be used, the old one stays", "error", err)
		return
	}
	log.Info("configuration read again", "discovery", cfg.Discovery)
	follower.SetAddress(cfg.Discovery)
}
