package daemon

import (
	"log/slog"
	"sync/atomic"

	"caperarch/internal/daemon/config"
	"caperarch/internal/daemon/cordonstore"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/membership"
	"caperarch/internal/proxy/transport/http1"
)

// pool is one pool of upstreams: a decision engine with its transport and its server list.
type pool struct {
	name      string
	maxConns  int             // maximum number of upstream connections of all processes of this sidecar together
	initial   call.ServerList // server list with which the engine starts
	target    *fronthttp1.Target
	engine    *engine.Engine
	follower  *membership.Follower
	transport *http1.Transport
	list      *cordonstore.List

	unregister       func()      // removes the pool from the service
	discoveryCurrent atomic.Bool // the latest response from discovery was valid
}

// newPool builds a pool and registers it with the service. The caller starts the engine and the follower.
func newPool(
	name string, cfg *config.Config, clk clock.Clock, maxConns int, log *slog.Logger, s *service, o *options,
) (*pool, error) {
	p := &pool{name: name, maxConns: maxConns}
	p.transport = http1.New(http1.Config{
		Clock: clk, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: maxConns,
		LoadFields: cfg.LoadReportFields, Columns: cfg.LoadReportColumns,
		OnRequestWritten: s.metrics.CountAttempt, ProcessingStart: http1.AfterLastByte,
	})
	if err := p.openEngine(cfg, clk, log, s, o); err != nil {
		return nil, err
	}
	p.list = s.cordons.NewList(p.engine)
	known, delisted := s.initialList(name, cfg.KnownServers)
	p.initial = p.list.SetInitial(known, delisted)
	p.target = &fronthttp1.Target{
		Engine: p.engine, Classes: cfg.Classes, ClassOf: cfg.Policy.Classes, Tenants: cfg.Tenants,
		MaxOpen: cfg.MaxOpenRequests, MaxBodyBytes: cfg.MaxBodyBytes(),
		Metrics: s.metrics.Classes(cfg.Classes),
	}
	p.unregister = s.register(p)
	p.follower = p.newFollower(cfg, known, log)
	return p, nil
}

// openEngine creates the engine. The engine's callbacks use other fields of the pool, which newPool sets before the
// engine runs.
func (p *pool) openEngine(cfg *config.Config, clk clock.Clock, log *slog.Logger, s *service, o *options) error {
	decisions := cfg.Policy
	decisions.Processes = s.processes
	attemptEnded := s.connectFleet(&decisions)
	var err error
	p.engine, err = engine.New(engine.Config{
		Policy: decisions, Seed: cfg.Seed, Clock: clk, Transport: p.transport, Log: log,
		Watch:        func() { p.follower.Trigger() },
		Module:       o.moduleFactory(),
		AttemptEnded: attemptEnded,
		Limits:       s.policyLimits(p),
	})
	return err
}

// newFollower returns a follower that passes lists from discovery to the pool's server list.
func (p *pool) newFollower(cfg *config.Config, known call.ServerList, log *slog.Logger) *membership.Follower {
	return membership.New(membership.Config{
		Address: cfg.Discovery, Zones: cfg.Zones, OnDemand: cfg.Policy.ListOnDemand, Known: known,
		OnUpdate: func(l call.ServerList) {
			log.Info("list", "version", l.Version, "whole", l.Full, "entries", len(l.Servers))
			p.discoveryCurrent.Store(true)
			p.list.Update(l)
		},
		OnError: func(err error) {
			p.discoveryCurrent.Store(false)
			log.Warn("discovery", "error", err)
			p.engine.DiscoveryFailed()
		},
	})
}
