package fleet

import (
	"fmt"
	"io"
	"strings"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/replicatedstate"
)

// maxPastShown bounds how many ended windows ShowMaintenance writes, because the response of a control call has a
// limited size.
const maxPastShown = 20

// ShowMaintenance writes the plans and windows, what they wait for, and which sidecars are unreachable. The leader is
// asked for the last two.
func (p *Policy) ShowMaintenance(out io.Writer) error {
	view, running := p.maintenanceView()
	if running && view.UnreachableCount < 0 && len(view.State.Plans)+len(view.State.Windows) > 0 {
		p.askLeader(func() bool {
			view, _ = p.maintenanceView()
			return view.UnreachableCount >= 0
		})
	}
	if !running {
		return errNotRunning
	}
	b := new(strings.Builder)
	p.writePlans(b, &view.State)
	writeWaits(b, &view)
	_, err := io.WriteString(out, b.String())
	return err
}

// writePlans writes the active and ended plans, the open windows, and the last ended windows.
func (p *Policy) writePlans(b *strings.Builder, state *maintenance.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, plan := range state.Plans {
		status := "under way"
		if plan.Paused != "" {
			status = "paused: " + plan.Paused
		}
		fmt.Fprintf(
			b,
			"plan %d of sidecar %d, hash %x: %s; %d have had a turn or have it, %d turns withdrawn\n",
			plan.Number, plan.By, plan.Hash, status, len(plan.Visited), plan.Withdrawn,
		)
	}
	for _, plan := range state.Ended {
		fmt.Fprintf(b, "plan %d: %s, %d had a turn\n", plan.Number, plan.Outcome, plan.Visited)
	}
	for _, window := range state.Windows {
		status := window.Phase.String()
		if window.Phase == maintenance.Free {
			status = "out, free to work on"
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s\n", window.Number, window.Plan,
			p.machineName(window.Machine), status)
	}
	for _, past := range state.Past[max(0, len(state.Past)-maxPastShown):] {
		reason := ""
		if past.Why != "" {
			reason = ", " + past.Why
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s%s\n", past.Number, past.Plan,
			p.machineName(past.Machine), past.Outcome, reason)
	}
}

// writeWaits writes what the oldest plan waits for, and which sidecars are unreachable.
func writeWaits(b *strings.Builder, view *replicatedstate.MaintenanceView) {
	switch {
	case len(view.State.Plans)+len(view.State.Windows) == 0:
		fmt.Fprintln(b, "no plan is under way")
	case view.UnreachableCount < 0:
		fmt.Fprintln(b, "the leader does not say what is waited for")
	default:
		if view.WaitReason != "" {
			fmt.Fprintf(b, "waits: %s\n", view.WaitReason)
		}
		fmt.Fprintf(b, "out of contact: %d sidecars, which may send to machines that are out\n",
			view.UnreachableCount)
		for _, sidecar := range view.Unreachable {
			fmt.Fprintf(b, "out of contact: sidecar %d, %s\n", sidecar.Number, sidecar.Reason)
		}
	}
}

// maintenanceView returns the current view, or false if the policy is not running.
func (p *Policy) maintenanceView() (replicatedstate.MaintenanceView, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.MaintenanceView{}, false
	}
	return p.node.MaintenanceView(p.fleet.now()), true
}
