package replicatedstate

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// Machines is what a Node asks its process on machines taken out for work. Its methods must not call back.
type Machines interface {
	// Machines is the list of them as it is known here; current: it is as new as can be.
	Machines() (all []maintenance.Machine, current bool)
	// LocalReport is what this sidecar has to say of itself.
	LocalReport(s *maintenance.State) maintenance.Report
}

const (
	maxUnreachableSent = 4  // of those out of contact that are told at a time: they have to fit
	maxWaitReason      = 80 // bytes of what a plan waits for
)

var (
	errNoMachines  = errors.New("this process knows of no machines: it has no part in work on them")
	errEntry       = errors.New("an entry about work that can't be read: of a newer version of the program, maybe")
	errPlanTooLong = fmt.Errorf("a plan has %d bytes at most", policyrollout.MaxTextBytes)
)

// maintenanceState is a node's part in machines taken out for work: what the log makes of it, and the leader's part.
type maintenanceState struct {
	state   maintenance.State
	leader  *maintenance.Leader // nil: another leads, or nothing is to be done
	reports maintenance.Reports
	plans   map[hash]*maintenance.Plan // those that were read

	lastDecision maintenance.Step // what this leader last wanted in the log
	decidedAt    time.Duration

	waitReason       string // by the leader: what the oldest plan waits for
	unreachable      []policyrollout.Laggard
	unreachableCount int
	reportedAt       time.Duration
}

// maintenanceActive says whether there is anything about work: only then it costs anyone a byte.
func (n *Node) maintenanceActive() bool {
	return len(n.maintenance.state.Plans)+len(n.maintenance.state.Windows) > 0
}

// encodeWork is a step about work as an entry of the log. What goes by the policy alone can't read it, and is cut off: a sidecar that knows of no turns must not be counted on.
func encodeWork(s maintenance.Step) ([]byte, error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&accordpb.Entry{Work: raw})
}

// decodeWork is such an entry's step; is: it is one.
func decodeWork(raw []byte) (s maintenance.Step, is bool, err error) {
	e := new(accordpb.Entry)
	if proto.Unmarshal(raw, e) != nil || len(e.Work) == 0 {
		return s, false, nil
	}
	if len(e.ProtoReflect().GetUnknown()) > 0 {
		return s, true, errEntry
	}
	s, err = maintenance.Decode(e.Work)
	return s, true, err
}

// applyMaintenance takes an entry about work.
func (n *Node) applyMaintenance(e raftlog.Entry, s maintenance.Step, err error) {
	n.participant.AdvanceIndex(e.Index)
	if err != nil {
		n.participant.MarkUnreadable()
		n.Host.Changed(Event{Kind: "entry", By: n.Self.Number, Why: err.Error()})
		return
	}
	if t := n.maintenance.state.Window(s.Number); s.Kind.OfWindow() && t != nil { // before it is applied: the turn may be over by it
		s.Machine = t.Machine
	}
	if refused := n.maintenance.state.Apply(s); refused == "" {
		n.Host.Worked(s)
	}
}

// leadMaintenance does the leader's part in work, if there is any.
func (n *Node) leadMaintenance(now time.Duration) {
	w := &n.maintenance
	if n.leader == nil || n.Work == nil || !n.maintenanceActive() {
		w.leader = nil
		return
	}
	if w.leader == nil || w.leader.Term != n.term {
		w.leader, w.reports = maintenance.NewLeader(n.term, n.Self.Number), maintenance.Reports{Size: n.Size, Deadline: LeaseExpiry(n.Deadline, n.MaxClockError)}
	}
	// One that is confirmed no more may lack what a later leader has put into the log.
	if at, index := n.log.LastQuorumAck(); at == 0 || now-at >= n.leader.QuorumAckTimeout || n.log.LastIndex() < index {
		return
	}
	step, due := w.leader.Decide(n.fleetSnapshot(now), &w.state)
	if !due || step == w.lastDecision && now < w.decidedAt+decisionRetry {
		return
	}
	w.lastDecision, w.decidedAt = step, now
	if raw, err := encodeWork(step); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// leadsMaintenance says whether it is this one that does the leader's part.
func (n *Node) leadsMaintenance() bool {
	return n.leader != nil && n.maintenance.leader != nil && n.maintenance.leader.Term == n.term
}

// fleetSnapshot is what this leader knows now.
func (n *Node) fleetSnapshot(now time.Duration) *maintenance.Snapshot {
	machines, current := n.Work.Machines()
	sum := n.maintenance.reports.Summarize(now, n.leader.GrantExpiry)
	return &maintenance.Snapshot{
		Now: now, Machines: machines, Traffic: sum.Traffic, InTime: sum.InTime, Unreachable: len(sum.Unreachable),
		Current: current && sum.Complete, // a new leader does not know yet what the others have
		Slack:   2*n.leader.LeaseExpiry + n.Deadline,
		Clear: func(turn uint32) bool {
			return len(n.maintenance.reports.WaitingFor(now, turn, n.leader.GrantExpiry)) == 0
		},
		Plan: n.plan,
	}
}

// plan is a plan by its hash, once its text is here.
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

// addMaintenanceReport adds to a report what this sidecar has to say on work.
func (n *Node) addMaintenanceReport(p *accordpb.Report) {
	if n.Work == nil || !n.maintenanceActive() {
		return
	}
	r := n.Work.LocalReport(&n.maintenance.state)
	p.Clear, p.Rate, p.Served = r.ClearUpTo, uint32(min(math.Round(10*r.Rate), math.MaxUint32)), 1+uint32(math.Floor(1000*r.InTime))
}

// clearedWindow is how far this sidecar is clear; a change of it is told at once.
func (n *Node) clearedWindow() uint32 {
	if n.Work == nil || !n.maintenanceActive() {
		return 0
	}
	return n.Work.LocalReport(&n.maintenance.state).ClearUpTo
}

// windowDraining says whether a turn waits for all to tell that they are clear.
func (n *Node) windowDraining() bool {
	turns := n.maintenance.state.Windows
	return len(turns) > 0 && turns[len(turns)-1].Phase == maintenance.Draining // the last that was given is the only one
}

// recordMaintenanceReport takes that from a report.
func (n *Node) recordMaintenanceReport(p *accordpb.Report) {
	if n.leadsMaintenance() && p.Served > 0 {
		n.maintenance.reports.Receive(int(p.Number), p.Life, p.Turn, maintenance.Report{ClearUpTo: p.Clear, Rate: float64(p.Rate) / 10, InTime: min(1, float64(p.Served-1)/1000)})
	}
}

// Plan has the fleet take machines out by a plan; the number that it returns is what can be asked on. Nothing has happened yet when it returns.
func (n *Node) Plan(now time.Duration, raw []byte) (number uint32, err error) {
	n.now = now
	if n.Work == nil {
		return 0, errNoMachines
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return 0, errPlanTooLong
	}
	p, err := maintenance.Parse(raw)
	if err != nil {
		return 0, err
	}
	machines, _ := n.Work.Machines()
	if err := p.CheckMachines(machines); err != nil {
		return 0, err
	}
	if !n.logStarted(now) {
		return 0, ErrNoContact
	}
	x := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	step := maintenance.Step{Kind: maintenance.Planned, Number: n.maintenance.state.LastPlan + 1, Hash: x.hash, By: n.Self.Number}
	if refused := n.whyRejected(step); refused != "" {
		return 0, errors.New(refused)
	}
	n.pushText(x)
	n.sendText(n.log.Leader(), x)
	return step.Number, n.proposeMaintenance(now, step)
}

// Operate puts an operator's word on a plan or a turn into the log: it is done, or the plan is to pause, to go on, to end.
func (n *Node) Operate(now time.Duration, kind maintenance.Kind, number uint32) error {
	n.now = now
	if !n.logStarted(now) {
		return ErrNoContact
	}
	step := maintenance.Step{Kind: kind, Number: number, By: n.Self.Number}
	if kind == maintenance.Paused {
		step.Why = "by hand"
	}
	if refused := n.whyRejected(step); refused != "" {
		return errors.New(refused)
	}
	return n.proposeMaintenance(now, step)
}

// logStarted says whether this sidecar is in contact with a log that has begun.
func (n *Node) logStarted(now time.Duration) bool {
	return n.participant.State().Started && n.Active(now).Mode != policyrollout.CutOff
}

// whyRejected says why an entry would change nothing now; "": it would. The log decides in the end.
func (n *Node) whyRejected(s maintenance.Step) string {
	copied := n.maintenance.state.Clone()
	return copied.Apply(s)
}

func (n *Node) proposeMaintenance(now time.Duration, s maintenance.Step) error {
	raw, err := encodeWork(s)
	if err != nil {
		return err
	}
	return n.log.Propose(now, raw)
}

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
		m.Behind = m.Behind[:min(len(m.Behind), 1)] // all has to fit
	}
}

// maintenanceStatus is what the oldest plan waits for, and who is out of contact for how long, as this leader knows it.
func (n *Node) maintenanceStatus(now time.Duration) (waits string, away []policyrollout.Laggard) {
	s := &n.maintenance.state
	for _, i := range n.maintenance.reports.Summarize(now, n.leader.GrantExpiry).Unreachable {
		away = append(away, policyrollout.Laggard{Number: i, Why: fmt.Sprintf("for %.0fs", (now - n.leader.GrantExpiry(i)).Seconds())})
	}
	for _, t := range s.Windows {
		if t.Phase == maintenance.Draining {
			if late := n.maintenance.reports.WaitingFor(now, t.Number, n.leader.GrantExpiry); len(late) > 0 {
				return fmt.Sprintf("turn %d: %d sidecars may still send, %v", t.Number, len(late), late[:min(len(late), maxUnreachableSent)]), away
			}
		}
	}
	if len(s.Plans) > 0 {
		waits = n.maintenance.leader.WaitReason(s.Plans[0].Number)
	}
	return waits, away
}

// handleMaintenanceStatus takes such an answer.
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

// MaintenanceView is what a sidecar knows of machines taken out for work.
type MaintenanceView struct {
	State            maintenance.State
	WaitReason       string                  // what the oldest plan waits for
	Unreachable      []policyrollout.Laggard // some of those out of contact
	UnreachableCount int                     // how many they are; -1: the leader has not told
}

// MaintenanceView is the present one.
func (n *Node) MaintenanceView(now time.Duration) MaintenanceView {
	v := MaintenanceView{State: n.maintenance.state.Clone(), UnreachableCount: -1}
	switch {
	case n.leadsMaintenance():
		v.WaitReason, v.Unreachable = n.maintenanceStatus(now)
		v.UnreachableCount = len(v.Unreachable)
	case n.maintenance.reportedAt > 0 && now-n.maintenance.reportedAt < laggardsLifetime:
		v.WaitReason, v.Unreachable, v.UnreachableCount = n.maintenance.waitReason, n.maintenance.unreachable, n.maintenance.unreachableCount
	}
	return v
}

// MaintenanceState is what the log makes of plans and turns; it is to be read only, before anything else is asked of the node.
func (n *Node) MaintenanceState() *maintenance.State { return &n.maintenance.state }

// MachinesOut are the machines to which nothing new may be sent.
func (n *Node) MachinesOut() []uint64 { return n.maintenance.state.MachinesOut() }
