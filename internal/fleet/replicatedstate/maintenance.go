package replicatedstate

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// Machines gives a Node access to its process's list of machines and traffic figures. Its methods must
// not call back into the Node.
type Machines interface {
	// Machines returns the list of machines known to this process, and whether the list is up to date.
	Machines() (all []maintenance.Machine, current bool)
	// LocalReport returns this sidecar's report on maintenance.
	LocalReport(s *maintenance.State) maintenance.Report
}

const (
	maxUnreachableSent = 4  // sidecars out of contact per message, so that the message fits into a datagram
	maxWaitReason      = 80 // bytes of MaintenanceView.WaitReason
)

// Errors of calls by operators about maintenance, whose texts are shown to operators, and of unreadable log
// entries.
var (
	errNoMachines      = errors.New("this process knows of no machines: it has no part in work on them")
	errUnreadableEntry = errors.New("maintenance entry not decoded, it may be of a newer version of the program")
	errPlanTooLong     = fmt.Errorf("a plan has %d bytes at most", policyrollout.MaxTextBytes)
)

// maintenanceState is a node's maintenance state: the state that results from the log's entries, the leader's
// own state, and the leader's latest status answer.
type maintenanceState struct {
	state   maintenance.State          // result of the log's entries
	leader  *maintenance.Leader        // nil: this sidecar does not lead, or there is no plan and no window
	reports maintenance.Reports        // sidecars' reports to this leader
	plans   map[hash]*maintenance.Plan // parsed plans by the hash of their text

	lastDecision maintenance.Step // last decision that was proposed as the leader
	decidedAt    time.Duration    // time of lastDecision

	waitReason       string                  // what the oldest plan waits for, as the leader last reported
	unreachable      []policyrollout.Laggard // some of the sidecars out of contact, as the leader last reported
	unreachableCount int                     // all sidecars out of contact
	reportedAt       time.Duration           // when the leader's answer was received
}

// maintenanceActive reports whether any plan or window exists. Otherwise reports contain no maintenance data,
// which saves traffic.
func (n *Node) maintenanceActive() bool {
	return len(n.maintenance.state.Plans)+len(n.maintenance.state.Windows) > 0
}

// encodeMaintenanceStep encodes a maintenance step as a log entry. A version of the program that knows only
// policy entries can't decode the entry and applies policyrollout.CutOff from then on: the leader must not
// rely on a sidecar that does not know maintenance windows.
func encodeMaintenanceStep(s maintenance.Step) ([]byte, error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&accordpb.Entry{Work: raw})
}

// decodeMaintenanceStep decodes a log entry. isMaintenance reports whether it is a maintenance entry at all.
func decodeMaintenanceStep(raw []byte) (s maintenance.Step, isMaintenance bool, err error) {
	e := new(accordpb.Entry)
	if proto.Unmarshal(raw, e) != nil || len(e.Work) == 0 {
		return s, false, nil
	}
	if len(e.ProtoReflect().GetUnknown()) > 0 {
		return s, true, errUnreadableEntry
	}
	s, err = maintenance.Decode(e.Work)
	return s, true, err
}

// applyMaintenance applies a maintenance entry. If the entry could not be decoded, this sidecar applies
// policyrollout.CutOff from then on.
func (n *Node) applyMaintenance(e raftlog.Entry, s maintenance.Step, err error) {
	n.participant.AdvanceIndex(e.Index)
	if err != nil {
		n.participant.MarkUnreadable()
		n.Host.HandleEvent(Event{Kind: EntryUnreadable, Sidecar: n.Self.Number, Reason: err.Error()})
		return
	}
	// looked up before the step is applied, because the step may end the window
	if window := n.maintenance.state.Window(s.Number); s.Kind.OfWindow() && window != nil {
		s.Machine = window.Machine
	}
	if rejected := n.maintenance.state.Apply(s); rejected == "" {
		n.Host.MaintenanceApplied(s)
	}
}

// leadMaintenance proposes the next maintenance decision, if this sidecar leads and maintenance is active.
func (n *Node) leadMaintenance(now time.Duration) {
	maint := &n.maintenance
	if n.leader == nil || n.MachineSource == nil || !n.maintenanceActive() {
		maint.leader = nil
		return
	}
	if maint.leader == nil || maint.leader.Term != n.term {
		maint.leader, maint.reports = maintenance.NewLeader(n.term, n.Self.Number), maintenance.Reports{
			Size: n.Size, Deadline: LeaseExpiry(n.Deadline, n.MaxClockError),
		}
	}
	// A leader without recent confirmation by a majority may lack entries of a later leader.
	if at, index := n.log.LastQuorumAck(); at == 0 || now-at >= n.leader.QuorumAckTimeout ||
		n.log.LastIndex() < index {
		return
	}
	step, due := maint.leader.Decide(n.fleetSnapshot(now), &maint.state)
	if !due || step == maint.lastDecision && now < maint.decidedAt+decisionRetry {
		return
	}
	maint.lastDecision, maint.decidedAt = step, now
	if raw, err := encodeMaintenanceStep(step); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// leadsMaintenance reports whether this sidecar has the maintenance leader's state of the current term.
func (n *Node) leadsMaintenance() bool {
	return n.leader != nil && n.maintenance.leader != nil && n.maintenance.leader.Term == n.term
}

// fleetSnapshot returns the leader's current knowledge of machines, traffic and sidecars.
func (n *Node) fleetSnapshot(now time.Duration) *maintenance.Snapshot {
	machines, current := n.MachineSource.Machines()
	sum := n.maintenance.reports.Summarize(now, n.leader.GrantExpiry)
	return &maintenance.Snapshot{
		Now: now, Machines: machines, Traffic: sum.Traffic, InTime: sum.InTime, Unreachable: len(sum.Unreachable),
		Current: current && sum.Complete, // a new leader lacks the reports of some sidecars at first
		Slack:   2*n.leader.LeaseExpiry + n.Deadline,
		Clear: func(window uint32) bool {
			return len(n.maintenance.reports.WaitingFor(now, window, n.leader.GrantExpiry)) == 0
		},
		Plan: n.plan,
	}
}

// plan returns the plan with the given hash; false: its text is missing or invalid.
func (n *Node) plan(h [sha256.Size]byte) (*maintenance.Plan, bool) {
	if p := n.maintenance.plans[h]; p != nil {
		return p, true
	}
	raw, here := n.texts.get(h)
	if !here {
		return nil, false
	}
	p, err := maintenance.Parse(raw)
	if err != nil {
		return nil, false
	}
	if n.maintenance.plans == nil || len(n.maintenance.plans) >= maxTexts {
		n.maintenance.plans = make(map[hash]*maintenance.Plan)
	}
	n.maintenance.plans[h] = p
	return p, true
}

// addMaintenanceReport adds this sidecar's maintenance report to a report, if maintenance is active.
func (n *Node) addMaintenanceReport(p *accordpb.Report) {
	if n.MachineSource == nil || !n.maintenanceActive() {
		return
	}
	r := n.MachineSource.LocalReport(&n.maintenance.state)
	p.Clear, p.Rate, p.Served = r.ClearUpTo, uint32(
		min(math.Round(10*r.Rate), math.MaxUint32),
	), 1+uint32(math.Floor(1000*r.InTime))
}

// clearedWindow returns the number of the window up to which this sidecar has no requests in flight to
// machines that are out. A change of this number is reported immediately.
func (n *Node) clearedWindow() uint32 {
	if n.MachineSource == nil || !n.maintenanceActive() {
		return 0
	}
	return n.MachineSource.LocalReport(&n.maintenance.state).ClearUpTo
}

// windowDraining reports whether a window waits for all sidecars to report that they have no requests in
// flight to its machine.
func (n *Node) windowDraining() bool {
	windows := n.maintenance.state.Windows
	return len(windows) > 0 && windows[len(windows)-1].Phase == maintenance.Draining // no earlier one can be
}

// recordMaintenanceReport records the maintenance part of a sidecar's report, if this sidecar leads.
func (n *Node) recordMaintenanceReport(p *accordpb.Report) {
	if n.leadsMaintenance() && p.Served > 0 {
		n.maintenance.reports.Receive(
			int(p.Number), p.Life, p.Turn,
			maintenance.Report{
				ClearUpTo: p.Clear, Rate: float64(p.Rate) / 10,
				InTime: min(1, float64(p.Served-1)/1000),
			},
		)
	}
}
