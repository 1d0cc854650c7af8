package daemon

import (
	"context"
	"errors"
	"io"

	"caperarch/internal/daemon/config"
	"caperarch/internal/daemon/control"
	"caperarch/internal/fleet"
	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/metrics"
	"caperarch/internal/proxy/slowstart"
	"caperarch/policy"
)

var errNoFleet = errors.New("this process was started without -fleet: sidecars know nothing of each other")

// join takes part in the fleet, if there is one. A process that ends says that it leaves once everything is answered, in close.
func (s *service) join() {
	if s.fleet == nil {
		return
	}
	s.figures.FollowPeers(s.fleet.Figures)
	running, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.fleet.Run(running)
	}()
	s.parting = func() {
		stop()
		<-done
	}
}

// know gives a module what is known of the other sidecars, if there is a fleet: how many there are at least, where it begins among those that live, and which servers they doubt. It returns what has to
// hear how attempts end, nil: nothing.
func (s *service) know(module *policy.Config) (ended func(policy.ServerID, policy.Ending)) {
	if s.fleet == nil {
		return nil
	}
	module.FleetSize, module.ArcStart, module.SuspectedDown = s.fleet.Sidecars, s.fleet.Place, s.fleet.Doubted
	return s.fleet.Ended
}

var errNoPolicy = errors.New("this process has no part in a policy of the fleet: the file of -fleet has no [policy]")

// agreed is this process's part in what the fleet agrees on.
func (s *service) agreed() (*fleet.Policy, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	if p := s.fleet.Policy(); p != nil {
		return p, nil
	}
	return nil, errNoPolicy
}

// Policy carries out a call on the fleet's policy.
func (s *service) Policy(c control.Call, to io.Writer) error {
	p, err := s.agreed()
	switch {
	case err != nil:
		return err
	case c.Verb == control.PolicyText:
		return p.Upload(c.Arguments)
	case c.Verb == control.PolicyPropose:
		return p.Propose(c.Arguments, to)
	case c.Verb == control.PolicyHistory:
		return p.History(to)
	case c.Verb == control.PolicyAbort:
		return p.Abort(to)
	case c.Verb == control.PolicyFound:
		return p.Found(to)
	}
	return p.Show(to)
}

// rule has what serves clients go by the fleet's policy: it returns the module's limits that hold now, and sees to the rest of them; nil: there is none. It is called by
// the engine alone.
func (s *service) rule(out func([]string), away func([]policy.ServerID), open func(int)) func() *policy.Limits {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return nil
	}
	var last *fleet.InForce
	var lastAway *[]uint64
	return func() *policy.Limits {
		if now := s.fleet.Policy().Out(); now != lastAway {
			lastAway = now
			var ids []policy.ServerID
			for _, id := range *now {
				ids = append(ids, policy.ServerID(id))
			}
			away(ids)
		}
		now := s.fleet.Policy().Now()
		if now != last {
			last = now
			out(now.Limits.Out)
			open(now.Limits.Open)
		}
		return &now.Module
	}
}

// Work carries out a call on plans of work.
func (s *service) Work(c control.Call, to io.Writer) error {
	p, err := s.agreed()
	switch {
	case err != nil:
		return err
	case c.Verb == control.WorkPlan:
		return p.Plan(c.Arguments, to)
	case c.Verb == control.WorkShow:
		return p.ShowWork(to)
	}
	return p.Operate(map[control.Verb]maintenance.Kind{
		control.WorkDone: maintenance.Done, control.WorkPause: maintenance.Paused, control.WorkResume: maintenance.Resumed, control.WorkCancel: maintenance.Cancelled,
	}[c.Verb], c.Arguments, to)
}

// site is what this process has to do with machines that plans of work are about.
type site struct {
	parts   *parts
	cfg     *config.Config
	clock   clock.Clock
	figures *metrics.Set
	zones   map[int]string
}

// attach tells the fleet's plans of work of an engine's list.
func (s *service) attach(p *parts, cfg *config.Config, c clock.Clock) {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return
	}
	x := &site{p, cfg, c, s.figures, make(map[int]string)}
	for name, i := range cfg.Zones {
		x.zones[i] = name
	}
	s.fleet.Policy().Attach(x)
}

func (x *site) Machines() (all []maintenance.Machine, current bool) {
	now := x.clock.Now()
	for _, e := range x.parts.list.Entries() {
		m := maintenance.Machine{ID: uint64(e.ID), Name: e.Name, Zone: x.zones[e.Zone], Cell: e.Cell, Weight: e.Weight, State: maintenance.MachineDraining, Started: e.Started, Warmth: 1}
		if e.State == policy.Ready {
			m.State = maintenance.MachineReady
		}
		if e.Started > 0 {
			m.Warmth = slowstart.Warmth(e.Started+x.cfg.Policy.SlowStartTime-now, x.cfg.Policy.SlowStartTime, x.cfg.Policy.SlowStartShare)
		}
		all = append(all, m)
	}
	return all, x.parts.current.Load()
}

func (x *site) Quiet(ids []uint64, told func([]uint64)) {
	servers := make([]policy.ServerID, len(ids))
	for i, id := range ids {
		servers[i] = policy.ServerID(id)
	}
	x.parts.engine.ReportIdle(servers, func(quiet []policy.ServerID) {
		all := make([]uint64, len(quiet))
		for i, id := range quiet {
			all[i] = uint64(id)
		}
		told(all)
	})
}

func (x *site) Handled() (all, passed uint64) {
	for _, by := range x.figures.Handled() {
		for o, n := range by {
			if all += n; metrics.Outcome(o) == metrics.Passed {
				passed += n
			}
		}
	}
	return all, passed
}

// Peers writes what is known of the other sidecars.
func (s *service) Peers(to io.Writer) error {
	if s.fleet == nil {
		return errNoFleet
	}
	v := s.fleet.View()
	return v.Text(to)
}
