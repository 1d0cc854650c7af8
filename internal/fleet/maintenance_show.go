package fleet

import (
	"fmt"
	"io"
	"strings"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/replicatedstate"
)

// ShowMaintenance writes plans and windows, what they wait for, and who is out of contact; the
// leader is asked for the last two.
func (p *Policy) ShowMaintenance(to io.Writer) error {
	v, known := p.maintenanceView()
	if known && v.UnreachableCount < 0 && len(v.State.Plans)+len(v.State.Windows) > 0 {
		p.askLeader(func() bool {
			v, _ = p.maintenanceView()
			return v.UnreachableCount >= 0
		})
	}
	if !known {
		return errNotRunning
	}
	b := new(strings.Builder)
	p.writePlans(b, &v.State)
	writeWaits(b, &v)
	_, err := io.WriteString(to, b.String())
	return err
}

// writePlans writes plans and windows.
func (p *Policy) writePlans(b *strings.Builder, s *maintenance.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range s.Plans {
		state := "under way"
		if w.Paused != "" {
			state = "paused: " + w.Paused
		}
		fmt.Fprintf(
			b,
			"plan %d of sidecar %d, hash %x: %s; %d have had a turn or have it, %d turns withdrawn\n",
			w.Number, w.By, w.Hash, state, len(w.Visited), w.Withdrawn,
		)
	}
	for _, e := range s.Ended {
		fmt.Fprintf(b, "plan %d: %s, %d had a turn\n", e.Number, e.Outcome, e.Visited)
	}
	for _, t := range s.Windows {
		state := t.Phase.String()
		if t.Phase == maintenance.Free {
			state = "out, free to work on"
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s\n", t.Number, t.Plan, p.machineName(t.Machine), state)
	}
	for _, x := range s.Past[max(0, len(s.Past)-maxPastShown):] {
		why := ""
		if x.Why != "" {
			why = ", " + x.Why
		}
		fmt.Fprintf(b, "turn %d of plan %d: %s: %s%s\n", x.Number, x.Plan, p.machineName(x.Machine), x.Outcome, why)
	}
}

// writeWaits writes what the oldest plan waits for, and who is out of contact.
func writeWaits(b *strings.Builder, v *replicatedstate.MaintenanceView) {
	switch {
	case len(v.State.Plans)+len(v.State.Windows) == 0:
		fmt.Fprintln(b, "no plan is under way")
	case v.UnreachableCount < 0:
		fmt.Fprintln(b, "the leader does not say what is waited for")
	default:
		if v.WaitReason != "" {
			fmt.Fprintf(b, "waits: %s\n", v.WaitReason)
		}
		fmt.Fprintf(b, "out of contact: %d sidecars, which may send to machines that are out\n", v.UnreachableCount)
		for _, a := range v.Unreachable {
			fmt.Fprintf(b, "out of contact: sidecar %d, %s\n", a.Number, a.Reason)
		}
	}
}

// maxPastShown is how many windows that are over are shown: an answer is short.
const maxPastShown = 20

func (p *Policy) maintenanceView() (replicatedstate.MaintenanceView, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return replicatedstate.MaintenanceView{}, false
	}
	return p.node.MaintenanceView(p.fleet.now()), true
}
