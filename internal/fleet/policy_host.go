package fleet

import (
	"fmt"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/replicatedstate"
)

// policyHost carries out what the node decides (replicatedstate.Host). Its methods are called with
// the lock held.
type policyHost struct{ p *Policy }

// Send sends a message of the node.
func (h policyHost) Send(to int, raw []byte, urgent bool) {
	if h.p.link == nil {
		return
	}
	priority := peer.Decision
	if urgent {
		priority = peer.Urgent
	}
	h.p.link.SendDecision(to, raw, priority)
}

// HandleEvent publishes and logs an event of the node.
func (h policyHost) HandleEvent(e replicatedstate.Event) {
	log := h.p.fleet.log
	switch e.Kind {
	case replicatedstate.ActiveChanged:
		h.p.publishActive()
		log.Info(
			"policy: goes by", "mode", e.Active.Mode.String(), "version", e.Active.New.Version,
			"old", e.Active.Old.Version,
		)
	case replicatedstate.LeaderStarted, replicatedstate.LogReset:
		if e.Kind == replicatedstate.LogReset {
			h.p.maintenance.clearance, h.p.maintenance.logCount = maintenance.LocalClearance{}, h.p.maintenance.logCount+1
		}
		log.Info("policy: "+string(e.Kind), "number", e.Sidecar, "what", e.Reason)
	case replicatedstate.EntryUnreadable:
		log.Error("policy: an entry of the log can't be read, this sidecar is cut off", "error", e.Reason)
	default:
		switch e.Kind {
		case replicatedstate.ChangeCommitted, replicatedstate.ChangeAborted, replicatedstate.ChangeRejected:
			h.p.outcomes[string(e.Kind)]++
		}
		log.Info(
			"policy: "+string(e.Kind), "version", e.Version, "hash", fmt.Sprintf("%x", e.Hash[:6]), "by",
			e.Sidecar, "why", e.Reason,
		)
	}
}

// MaintenanceApplied publishes and logs an applied entry about maintenance.
func (h policyHost) MaintenanceApplied(s maintenance.Step) {
	p := h.p
	if s.Kind == maintenance.Opened || s.Kind == maintenance.Withdrawn || s.Kind == maintenance.Done {
		if p.node != nil {
			p.publishMachinesOut()
		}
	}
	if s.Kind == maintenance.LeaderStarted {
		return
	}
	args := []any{"number", s.Number, "by", s.By}
	if s.Machine != 0 {
		args = append(args, "machine", p.machineName(s.Machine))
	}
	if s.Plan != 0 {
		args = append(args, "plan", s.Plan)
	}
	if s.Why != "" {
		args = append(args, "why", s.Why)
	}
	p.fleet.log.Info("work: "+s.Kind.String(), args...)
}
