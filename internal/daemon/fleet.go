package daemon

import (
	"context"
	"errors"
	"io"

	"caperarch/internal/control"
	"caperarch/internal/fleet"
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
	module.Fleet, module.Place, module.Doubt = s.fleet.Sidecars, s.fleet.Place, s.fleet.Doubted
	return s.fleet.Ended
}

var errNoPolicy = errors.New("this process has no part in a policy of the fleet: the file of -fleet has no [policy]")

// Policy carries out a call on the fleet's policy.
func (s *service) Policy(c control.Call, to io.Writer) error {
	if s.fleet == nil {
		return errNoFleet
	}
	p := s.fleet.Policy()
	switch {
	case p == nil:
		return errNoPolicy
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
func (s *service) rule(out func([]string), open func(int)) func() *policy.Limits {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return nil
	}
	var last *fleet.InForce
	return func() *policy.Limits {
		now := s.fleet.Policy().Now()
		if now != last {
			last = now
			out(now.Limits.Out)
			open(now.Limits.Open)
		}
		return &now.Module
	}
}

// Peers writes what is known of the other sidecars.
func (s *service) Peers(to io.Writer) error {
	if s.fleet == nil {
		return errNoFleet
	}
	v := s.fleet.View()
	return v.Text(to)
}
