package replicatedstate

import (
	"fmt"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// addMaintenanceStatus adds to an answer what the oldest plan waits for, and who is out of contact.
func (n *Node) addMaintenanceStatus(now time.Duration, m *accordpb.Message) {
	if !n.leadsMaintenance() {
		return
	}
	waits, away := n.maintenanceStatus(now)
	m.WorkWaits, m.AwayCount = truncateText(waits, maxWaitReason), uint32(len(away))+1
	for _, a := range away[:min(len(away), maxUnreachableSent)] {
		m.Away = append(m.Away, &accordpb.Behind{Number: uint32(a.Number), Why: a.Why})
	}
	if len(m.Away) > 0 || m.WorkWaits != "" {
		m.Behind = m.Behind[:min(len(m.Behind), 1)] // it all has to fit
	}
}

// maintenanceStatus returns what the oldest plan waits for, and who is out of contact and for how
// long, as this leader knows it.
func (n *Node) maintenanceStatus(now time.Duration) (waits string, away []policyrollout.Laggard) {
	s := &n.maintenance.state
	for _, i := range n.maintenance.reports.Summarize(now, n.leader.GrantExpiry).Unreachable {
		away = append(
			away,
			policyrollout.Laggard{
				Number: i, Why: fmt.Sprintf("for %.0fs", (now - n.leader.GrantExpiry(i)).Seconds()),
			},
		)
	}
	for _, t := range s.Windows {
		if t.Phase == maintenance.Draining {
			if late := n.maintenance.reports.WaitingFor(now, t.Number, n.leader.GrantExpiry); len(late) > 0 {
				return fmt.Sprintf(
					"turn %d: %d sidecars may still send, %v", t.Number, len(late),
					late[:min(len(late), maxUnreachableSent)],
				), away
			}
		}
	}
	if len(s.Plans) > 0 {
		waits = n.maintenance.leader.WaitReason(s.Plans[0].Number)
	}
	return waits, away
}

// handleMaintenanceStatus records such an answer.
func (n *Node) handleMaintenanceStatus(now time.Duration, from int, m *accordpb.Message) {
	if m.AwayCount == 0 || from != n.log.Leader() {
		return
	}
	w := &n.maintenance
	w.reportedAt, w.waitReason, w.unreachableCount, w.unreachable = now, m.WorkWaits, int(m.AwayCount)-1, nil
	for _, a := range m.Away {
		w.unreachable = append(w.unreachable, policyrollout.Laggard{Number: int(a.Number), Why: a.Why})
	}
}

// MaintenanceView is what a sidecar knows of maintenance, for operators.
type MaintenanceView struct {
	State            maintenance.State
	WaitReason       string                  // what the oldest plan waits for
	Unreachable      []policyrollout.Laggard // some of the sidecars out of contact
	UnreachableCount int                     // in all; -1: the leader has not told
}

// MaintenanceView returns the current view.
func (n *Node) MaintenanceView(now time.Duration) MaintenanceView {
	v := MaintenanceView{State: n.maintenance.state.Clone(), UnreachableCount: -1}
	switch {
	case n.leadsMaintenance():
		v.WaitReason, v.Unreachable = n.maintenanceStatus(now)
		v.UnreachableCount = len(v.Unreachable)
	case n.maintenance.reportedAt > 0 && now-n.maintenance.reportedAt < laggardsLifetime:
		v.WaitReason = n.maintenance.waitReason
		v.Unreachable, v.UnreachableCount = n.maintenance.unreachable, n.maintenance.unreachableCount
	}
	return v
}

// MaintenanceState returns what the log makes of plans and windows. It may only be read, and only
// until the node is used again.
func (n *Node) MaintenanceState() *maintenance.State { return &n.maintenance.state }

// MachinesOut returns the machines to which nothing new may be sent.
func (n *Node) MachinesOut() []uint64 { return n.maintenance.state.MachinesOut() }
