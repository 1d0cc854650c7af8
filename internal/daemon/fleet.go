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

// joinFleet starts the fleet member of this process, if the process belongs to a fleet. The process leaves the fleet in
// close, after all requests are answered.
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

// connectFleet lets a decision module query the state of the fleet: the number of sidecars, this sidecar's position
// among the live sidecars, and the servers that other sidecars suspect to be down. It returns the function that the
// engine has to call when an attempt ends. If this process belongs to no fleet, connectFleet returns nil.
func (s *service) connectFleet(module *policy.Config) (attemptEnded func(policy.ServerID, policy.Ending)) {
	if s.fleet == nil {
		return nil
	}
	module.FleetSize, module.ArcStart, module.SuspectedDown = s.fleet.Sidecars, s.fleet.Position, s.fleet.Doubted
	return s.fleet.Ended
}

var errNoPolicy = errors.New("this process has no part in a policy of the fleet: the file of -fleet has no [policy]")

// fleetPolicy returns the fleet's policy, or errNoFleet or errNoPolicy if this process has no replicated policy.
func (s *service) fleetPolicy() (*fleet.Policy, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	if p := s.fleet.Policy(); p != nil {
		return p, nil
	}
	return nil, errNoPolicy
}

// Policy executes a control call on the fleet's policy.
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

// Work executes a control call on maintenance plans.
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

// maintenanceKinds maps each call that changes a turn or a plan to its kind of maintenance operation.
var maintenanceKinds = map[control.Verb]maintenance.Kind{
	control.WorkDone:   maintenance.Done,
	control.WorkPause:  maintenance.Paused,
	control.WorkResume: maintenance.Resumed,
	control.WorkCancel: maintenance.Cancelled,
}

// Peers writes the state of the other sidecars.
func (s *service) Peers(to io.Writer) error {
	if s.fleet == nil {
		return errNoFleet
	}
	view := s.fleet.View()
	return view.Text(to)
}

// policyLimiter applies the fleet's policy and maintenance plans to a pool. Only the engine's goroutine calls it.
type policyLimiter struct {
	policy *fleet.Policy
	pool   *pool

	applied          *fleet.ActiveLimits // limits that were applied last
	underMaintenance *[]uint64           // servers under maintenance that were applied last
}

// policyLimits returns the function that applies the fleet's policy to a pool and returns the decision module's limits.
// It returns nil if this process has no replicated policy.
func (s *service) policyLimits(p *pool) func() *policy.Limits {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return nil
	}
	limiter := &policyLimiter{policy: s.fleet.Policy(), pool: p}
	return limiter.limits
}

// limits applies changes of the policy and of the maintenance plans to the pool, and returns the decision module's
// current limits.
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
