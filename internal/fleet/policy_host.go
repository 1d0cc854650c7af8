package fleet

import (
	"fmt"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/replicatedstate"
)

// policyHost implements replicatedstate.Host: it sends the node's messages, and publishes and logs its events. Its
// methods are called with Policy.mu held.
type policyHost struct{ p *Policy }

// Send sends a message to another sidecar; an urgent one has priority when the send budget is short.
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

// HandleEvent publishes and logs an event of the replicated state.
func (h policyHost) HandleEvent(event replicatedstate.Event) {
	log := h.p.fleet.log
	switch event.Kind {
	case replicatedstate.ActiveChanged:
		h.p.publishActive()
		log.Info(
			"policy: goes by", "mode", event.Active.Mode.String(), "version", event.Active.New.Version,
			"old", event.Active.Old.Version,
		)
	case replicatedstate.LeaderStarted, replicatedstate.LogReset:
		if event.Kind == replicatedstate.LogReset {
			h.p.maintenance.clearance, h.p.maintenance.logCount = maintenance.LocalClearance{},
				h.p.maintenance.logCount+1
		}
		log.Info("policy: "+string(event.Kind), "number", event.Sidecar, "what", event.Reason)
	case replicatedstate.EntryUnreadable:
		log.Error("policy: log entry can't be decoded, this sidecar applies cut_off", "error", event.Reason)
	default:
		switch event.Kind {
		case replicatedstate.ChangeCommitted, replicatedstate.ChangeAborted, replicatedstate.ChangeRejected:
			h.p.outcomes[string(event.Kind)]++
		}
		log.Info(
			"policy: "+string(event.Kind), "version", event.Version, "hash",
			fmt.Sprintf("%x", event.Hash[:6]), "by", event.Sidecar, "why", event.Reason,
		)
	}
}

// MaintenanceApplied publishes and logs an applied step of a maintenance plan or window.
func (h policyHost) MaintenanceApplied(step maintenance.Step) {
	p := h.p
	if step.Kind == maintenance.Opened || step.Kind == maintenance.Withdrawn || step.Kind == maintenance.Done {
		if p.node != nil {
			p.publishMachinesOut()
		}
	}
	if step.Kind == maintenance.LeaderStarted {
		return
	}
	args := []any{"number", step.Number, "by", step.By}
	if step.Machine != 0 {
		args = append(args, "machine", p.machineName(step.Machine))
	}
	if step.Plan != 0 {
		args = append(args, "plan", step.Plan)
	}
	if step.Why != "" {
		args = append(args, "why", step.Why)
	}
	p.fleet.log.Info("work: "+step.Kind.String(), args...)
}
