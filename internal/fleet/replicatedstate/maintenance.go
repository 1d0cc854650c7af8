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

// Machines is what a Node asks its process about machines and its own traffic. Its methods must not
// call back into the Node.
type Machines interface {
	// Machines returns the list of machines as it is known here; current: it is up to date.
	Machines() (all []maintenance.Machine, current bool)
	// LocalReport returns what this sidecar reports of itself.
	LocalReport(s *maintenance.State) maintenance.Report
}

const (
	maxUnreachableSent = 4  // sidecars out of contact per message: they have to fit
	maxWaitReason      = 80 // bytes of MaintenanceView.WaitReason
)

// Errors of operators' calls about maintenance. Their texts are shown to operators.
var (
	errNoMachines  = errors.New("this process knows of no machines: it has no part in work on them")
	errEntry       = errors.New("an entry about work that can't be read: of a newer version of the program, maybe")
	errPlanTooLong = fmt.Errorf("a plan has %d bytes at most", policyrollout.MaxTextBytes)
)

// maintenanceState is a node's part in maintenance: what the log makes of it, and the leader's
// part.
type maintenanceState struct {
	state   maintenance.State
	leader  *maintenance.Leader // nil: this sidecar does not lead, or there is no plan
	reports maintenance.Reports
	plans   map[hash]*maintenance.Plan // parsed texts

	lastDecision maintenance.Step // of this leader
	decidedAt    time.Duration

	waitReason       string // what the oldest plan waits for, as the leader told
	unreachable      []policyrollout.Laggard
	unreachableCount int
	reportedAt       time.Duration
}

// maintenanceActive reports whether there is any plan or window: only then maintenance costs
// traffic.
func (n *Node) maintenanceActive() bool {
	return len(n.maintenance.state.Plans)+len(n.maintenance.state.Windows) > 0
}

// encodeWork returns a step of maintenance as an entry of the log. A program that knows of policies
// only can't read it and is cut off: a sidecar that knows nothing of windows must not be counted
// on.
func encodeWork(s maintenance.Step) ([]byte, error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&accordpb.Entry{Work: raw})
}

// decodeWork returns the step of such an entry; is: it is one.
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

// applyMaintenance applies an entry about maintenance.
func (n *Node) applyMaintenance(e raftlog.Entry, s maintenance.Step, err error) {
	n.participant.AdvanceIndex(e.Index)
	if err != nil {
		n.participant.MarkUnreadable()
		n.Host.Changed(Event{Kind: EntryUnreadable, By: n.Self.Number, Why: err.Error()})
		return
	}
	// before it is applied: the window may be over by it
	if t := n.maintenance.state.Window(s.Number); s.Kind.OfWindow() && t != nil {
		s.Machine = t.Machine
	}
	if rejected := n.maintenance.state.Apply(s); rejected == "" {
		n.Host.Worked(s)
	}
}

// leadMaintenance does the leader's part in maintenance, if there is any.
func (n *Node) leadMaintenance(now time.Duration) {
	w := &n.maintenance
	if n.leader == nil || n.Work == nil || !n.maintenanceActive() {
		w.leader = nil
		return
	}
	if w.leader == nil || w.leader.Term != n.term {
		w.leader, w.reports = maintenance.NewLeader(n.term, n.Self.Number), maintenance.Reports{
			Size: n.Size, Deadline: LeaseExpiry(n.Deadline, n.MaxClockError),
		}
	}
	// A leader that is no longer confirmed may lack entries of a later leader.
	if at, index := n.log.LastQuorumAck(); at == 0 || now-at >= n.leader.QuorumAckTimeout ||
		n.log.LastIndex() < index {
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

// leadsMaintenance reports whether this sidecar does the leader's part.
func (n *Node) leadsMaintenance() bool {
	return n.leader != nil && n.maintenance.leader != nil && n.maintenance.leader.Term == n.term
}

// fleetSnapshot returns what this leader knows now.
func (n *Node) fleetSnapshot(now time.Duration) *maintenance.Snapshot {
	machines, current := n.Work.Machines()
	sum := n.maintenance.reports.Summarize(now, n.leader.GrantExpiry)
	return &maintenance.Snapshot{
		Now: now, Machines: machines, Traffic: sum.Traffic, InTime: sum.InTime, Unreachable: len(sum.Unreachable),
		Current: current && sum.Complete, // a new leader lacks reports at first
		Slack:   2*n.leader.LeaseExpiry + n.Deadline,
		Clear: func(turn uint32) bool {
			return len(n.maintenance.reports.WaitingFor(now, turn, n.leader.GrantExpiry)) == 0
		},
		Plan: n.plan,
	}
}

// plan returns a plan by its hash, once its text is here.
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

// addMaintenanceReport adds to a report what this sidecar reports on maintenance.
func (n *Node) addMaintenanceReport(p *accordpb.Report) {
	if n.Work == nil || !n.maintenanceActive() {
		return
	}
	r := n.Work.LocalReport(&n.maintenance.state)
	p.Clear, p.Rate, p.Served = r.ClearUpTo, uint32(
		min(math.Round(10*r.Rate), math.MaxUint32),
	), 1+uint32(math.Floor(1000*r.InTime))
}

// clearedWindow returns up to which window this sidecar is clear; a change of it is reported at
// once.
func (n *Node) clearedWindow() uint32 {
	if n.Work == nil || !n.maintenanceActive() {
		return 0
	}
	return n.Work.LocalReport(&n.maintenance.state).ClearUpTo
}

// windowDraining reports whether a window waits for all sidecars to report that they are clear.
func (n *Node) windowDraining() bool {
	windows := n.maintenance.state.Windows
	return len(windows) > 0 && windows[len(windows)-1].Phase == maintenance.Draining // only the last can be
}

// recordMaintenanceReport records the maintenance part of a report.
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
