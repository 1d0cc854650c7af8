package replicatedstate

import (
	"fmt"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// addMaintenanceStatus adds to an answer what the oldest plan waits for and which sidecars are out of
// contact, if this sidecar leads.
func (n *Node) addMaintenanceStatus(now time.Duration, m *accordpb.Message) {
	if !n.leadsMaintenance() {
		return
	}
	waitReason, unreachable := n.maintenanceStatus(now)
	m.WorkWaits, m.AwayCount = truncateText(waitReason, maxWaitReason), uint32(len(unreachable))+1
	for _, sidecar := range unreachable[:min(len(unreachable), maxUnreachableSent)] {
		m.Away = append(m.Away, &accordpb.Behind{Number: uint32(sidecar.Number), Why: sidecar.Reason})
	}
	if len(m.Away) > 0 || m.WorkWaits != "" {
		m.Behind = m.Behind[:min(len(m.Behind), 1)] // the whole message has to fit into a datagram
	}
}

// maintenanceStatus returns what the oldest plan waits for, and which sidecars are out of contact and for how
// long, as known to this leader.
func (n *Node) maintenanceStatus(now time.Duration) (waitReason string, unreachable []policyrollout.Laggard) {
	s := &n.maintenance.state
	for _, i := range n.maintenance.reports.Summarize(now, n.leader.GrantExpiry).Unreachable {
		unreachable = append(
			unreachable,
			policyrollout.Laggard{
				Number: i, Reason: fmt.Sprintf("for %.0fs", (now - n.leader.GrantExpiry(i)).Seconds()),
			},
		)
	}
	for _, window := range s.Windows {
		if window.Phase == maintenance.Draining {
			if waiting := n.maintenance.reports.WaitingFor(now, window.Number, n.leader.GrantExpiry); len(waiting) > 0 {
				return fmt.Sprintf(
					"turn %d: %d sidecars may still send, %v", window.Number, len(waiting),
					waiting[:min(len(waiting), maxUnreachableSent)],
				), unreachable
			}
		}
	}
	if len(s.Plans) > 0 {
		waitReason = n.maintenance.leader.WaitReason(s.Plans[0].Number)
	}
	return waitReason, unreachable
}

// handleMaintenanceStatus records the maintenance status in an answer of the leader.
func (n *Node) handleMaintenanceStatus(now time.Duration, from int, m *accordpb.Message) {
	if m.AwayCount == 0 || from != n.log.Leader() {
		return
	}
	maint := &n.maintenance
	maint.reportedAt, maint.waitReason, maint.unreachableCount, maint.unreachable =
		now, m.WorkWaits, int(m.AwayCount)-1, nil
	for _, sidecar := range m.Away {
		maint.unreachable = append(
			maint.unreachable, policyrollout.Laggard{Number: int(sidecar.Number), Reason: sidecar.Why},
		)
	}
}

// MaintenanceView is a snapshot of the maintenance state for operators.
type MaintenanceView struct {
	State            maintenance.State
	WaitReason       string                  // what the oldest plan waits for
	Unreachable      []policyrollout.Laggard // some or all of the sidecars out of contact
	UnreachableCount int                     // all sidecars out of contact; -1: no recent answer of the leader
}

// MaintenanceView returns a snapshot of the maintenance state.
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

// MaintenanceState returns the plans and windows that result from the log's entries. The result is read-only
// and valid until the next call of a method of the node.
func (n *Node) MaintenanceState() *maintenance.State { return &n.maintenance.state }

// MachinesOut returns the ids of the machines to which no new requests may be sent.
func (n *Node) MachinesOut() []uint64 { return n.maintenance.state.MachinesOut() }
