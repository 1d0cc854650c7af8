package daemon

import (
	"context"
	"errors"
	"io"

	"caperarch/internal/daemon/control"
	"caperarch/internal/fleet"
	"caperarch/internal/fleet/maintenance"
	"caperarch/policy"
)

var errNoFleet = errors.New("this process was started without -fleet: sidecars know nothing of each other")

// joinFleet runs this process's part in the fleet, if there is one. It is left in close: by then all requests are
// answered.
func (s *service) joinFleet() {
	if s.fleet == nil {
		return
	}
	s.metrics.SetPeers(s.fleet.Metrics)
	running, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.fleet.Run(running)
	}()
	s.leaveFleet = func() {
		stop()
		<-done
	}
}

// useFleetKnowledge gives a decision module what is known of the other sidecars: at least how many there are,
// where this one begins among the live ones, and which servers they suspect. It returns the function that has
// to be called as attempts end. Without a fleet it does nothing and returns nil.
func (s *service) useFleetKnowledge(module *policy.Config) (attemptEnded func(policy.ServerID, policy.Ending)) {
	if s.fleet == nil {
		return nil
	}
	module.FleetSize, module.ArcStart, module.SuspectedDown = s.fleet.Sidecars, s.fleet.Position, s.fleet.Doubted
	return s.fleet.Ended
}

var errNoPolicy = errors.New("this process has no part in a policy of the fleet: the file of -fleet has no [policy]")

// fleetPolicy returns this process's part in the fleet's policy; errNoFleet or errNoPolicy if it has none.
func (s *service) fleetPolicy() (*fleet.Policy, error) {
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
	p, err := s.fleetPolicy()
	if err != nil {
		return err
	}
	switch c.Verb {
	case control.PolicyText:
		return p.Upload(c.Arguments)
	case control.PolicyPropose:
		return p.Propose(c.Arguments, to)
	case control.PolicyHistory:
		return p.History(to)
	case control.PolicyAbort:
		return p.Abort(to)
	case control.PolicyFound:
		return p.Bootstrap(to)
	}
	return p.Show(to)
}

// Work carries out a call on maintenance plans.
func (s *service) Work(c control.Call, to io.Writer) error {
	p, err := s.fleetPolicy()
	if err != nil {
		return err
	}
	switch c.Verb {
	case control.WorkPlan:
		return p.Plan(c.Arguments, to)
	case control.WorkShow:
		return p.ShowMaintenance(to)
	}
	return p.Operate(maintenanceKinds[c.Verb], c.Arguments, to)
}

// maintenanceKinds are the calls that change a turn or a plan.
var maintenanceKinds = map[control.Verb]maintenance.Kind{
	control.WorkDone:   maintenance.Done,
	control.WorkPause:  maintenance.Paused,
	control.WorkResume: maintenance.Resumed,
	control.WorkCancel: maintenance.Cancelled,
}

// Peers writes what is known of the other sidecars.
func (s *service) Peers(to io.Writer) error {
	if s.fleet == nil {
		return errNoFleet
	}
	view := s.fleet.View()
	return view.Text(to)
}

// policyLimiter applies the fleet's policy to a pool. It belongs to the engine, which alone calls it.
type policyLimiter struct {
	policy *fleet.Policy
	pool   *pool

	applied          *fleet.ActiveLimits // the last policy that was applied
	underMaintenance *[]uint64           // the last servers that were taken out
}

// policyLimits returns what keeps a pool to the fleet's policy and returns the module's limits; nil: there is
// no policy.
func (s *service) policyLimits(p *pool) func() *policy.Limits {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return nil
	}
	limiter := &policyLimiter{policy: s.fleet.Policy(), pool: p}
	return limiter.limits
}

// limits applies what has changed in the policy, and returns the limits that the decision module has to keep now.
func (l *policyLimiter) limits() *policy.Limits {
	if out := l.policy.MachinesOut(); out != l.underMaintenance {
		l.underMaintenance = out
		var ids []policy.ServerID
		for _, id := range *out {
			ids = append(ids, policy.ServerID(id))
		}
		l.pool.list.SetUnderMaintenance(ids)
	}
	now := l.policy.Active()
	if now != l.applied {
		l.applied = now
		l.pool.list.SetPolicyBanned(now.Limits.DisabledUpstreams)
		l.pool.target.SetMaxOpen(now.Limits.Open)
	}
	return &now.Engine
}
