// Package daemon wires the parts of the daemon: front, engine, transport, membership.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"

	"caperarch/internal/call"
	"caperarch/internal/clock"
	"caperarch/internal/config"
	"caperarch/internal/engine"
	fronthttp1 "caperarch/internal/front/http1"
	"caperarch/internal/membership"
	"caperarch/internal/record"
	"caperarch/internal/transport/http1"
	"caperarch/policy"
)

// Option is something that is off without it.
type Option func(*options)

type options struct {
	recording *record.Writer // nil: none
	recorded  uint32         // instances so far
}

// Recorded has what the modules are handed and do written down. The caller closes w.
func Recorded(w *record.Writer) Option { return func(o *options) { o.recording = w } }

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
		return o.recording.Open(number, cfg, seed, host)
	}
}

// Run listens and serves until ctx ends and everything taken by then is answered. Each signal on
// reload has it read its configuration again.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, with ...Option) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	return Serve(ctx, cfg, listener, reload, with...)
}

// Serve is Run on a listener that is there already, which it closes.
func Serve(ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, with ...Option) error {
	c := clock.New()
	log := slog.Default()
	e, follower, _, err := assemble(cfg, c, cfg.UpstreamConns(), log, optionsOf(with))
	if err != nil {
		return err
	}
	f := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(target(cfg, e)), Conns: fronthttp1.BoundsOf(cfg.ClientConns(), cfg.ApplicationConns()), Longest: cfg.Longest, Log: log,
	}, c)
	log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(cfg.Known.Servers))

	running, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(running, cfg.Known)
	go follower.Run(running)
	failed := make(chan error, 1)
	go func() { failed <- f.Serve(listener) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			again(cfg, follower, log)
		case <-ctx.Done():
			return f.Drain()
		}
	}
}

// assemble puts an engine together with the transport that it sends over and the list that it follows. Nothing runs yet.
func assemble(cfg *config.Config, c clock.Clock, conns int, log *slog.Logger, o *options) (*engine.Engine, *membership.Follower, *http1.Transport, error) {
	transport := http1.New(http1.Config{
		Clock: c, DialTimeout: cfg.DialTimeout, ConnIdle: cfg.ConnIdle, MostConns: conns, Reports: cfg.Reports, Columns: cfg.Columns,
	})
	var follower *membership.Follower
	e, err := engine.New(engine.Config{
		Policy: cfg.Policy, Seed: cfg.Seed, Clock: c, Transport: transport, Log: log, Watch: func() { follower.Ask() },
		Module: o.module(),
	})
	if err != nil {
		return nil, nil, nil, err
	}
	follower = membership.New(membership.Config{
		Address: cfg.Discovery, Zones: cfg.Zones, Asked: cfg.Policy.AskList, Known: cfg.Known,
		Heard: func(l call.Listing) {
			log.Info("list", "version", l.Version, "whole", l.Whole, "entries", len(l.Servers))
			e.List(l)
		},
		Failed: func(err error) {
			log.Warn("discovery", "error", err)
			e.ListFailed()
		},
	})
	return e, follower, transport, nil
}

// target is what the front is told of a configuration's requests.
func target(cfg *config.Config, e *engine.Engine) *fronthttp1.Target {
	return &fronthttp1.Target{
		Engine: e, Classes: cfg.Classes, ClassOf: cfg.Policy.Classes, Tenants: cfg.Tenants, MostOpen: cfg.MostOpen, BodyBytes: cfg.BodyBytes(),
	}
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
	follower.Move(cfg.Discovery)
}
