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

// Work is what a Node asks its process on machines taken out for work. Its methods must not call back.
type Work interface {
	// Machines is the list of them as it is known here; current: it is as new as can be.
	Machines() (all []maintenance.Machine, current bool)
	// Own is what this sidecar has to say of itself.
	Own(s *maintenance.State) maintenance.Report
}

const (
	awayMost  = 4  // of those out of contact that are told at a time: they have to fit
	waitsMost = 80 // bytes of what a plan waits for
)

var (
	errNoWork = errors.New("this process knows of no machines: it has no part in work on them")
	errEntry  = errors.New("an entry about work that can't be read: of a newer version of the program, maybe")
	errLong   = fmt.Errorf("a plan has %d bytes at most", policyrollout.MaxTextBytes)
)

// work is a node's part in machines taken out for work: what the log makes of it, and the leader's part.
type work struct {
	state  maintenance.State
	leader *maintenance.Leader // nil: another leads, or nothing is to be done
	book   maintenance.Reports
	plans  map[hash]*maintenance.Plan // those that were read

	decided   maintenance.Step // what this leader last wanted in the log
	decidedAt time.Duration

	said   string // by the leader: what the oldest plan waits for
	away   []policyrollout.Laggard
	aways  int
	saidAt time.Duration
}

// inWork says whether there is anything about work: only then it costs anyone a byte.
func (n *Node) inWork() bool { return len(n.work.state.Plans)+len(n.work.state.Windows) > 0 }

// wrap is a step about work as an entry of the log. What goes by the policy alone can't read it, and is cut off: a sidecar that knows of no turns must not be counted on.
func wrap(s maintenance.Step) ([]byte, error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&accordpb.Entry{Work: raw})
}

// unwrap is such an entry's step; is: it is one.
func unwrap(raw []byte) (s maintenance.Step, is bool, err error) {
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

// appliedWork takes an entry about work.
func (n *Node) appliedWork(e raftlog.Entry, s maintenance.Step, err error) {
	n.holder.AdvanceIndex(e.Index)
	if err != nil {
		n.holder.MarkUnreadable()
		n.Host.Changed(Event{What: "entry", By: n.Self.Number, Why: err.Error()})
		return
	}
	if t := n.work.state.Window(s.Number); s.Kind.OfWindow() && t != nil { // before it is applied: the turn may be over by it
		s.Machine = t.Machine
	}
	if refused := n.work.state.Apply(s); refused == "" {
		n.Host.Worked(s)
	}
}

// leadWork does the leader's part in work, if there is any.
func (n *Node) leadWork(now time.Duration) {
	w := &n.work
	if n.leader == nil || n.Work == nil || !n.inWork() {
		w.leader = nil
		return
	}
	if w.leader == nil || w.leader.Term != n.term {
		w.leader, w.book = maintenance.NewLeader(n.term, n.Self.Number), maintenance.Reports{Size: n.Size, Deadline: Patience(n.Deadline, n.Rate)}
	}
	// One that is confirmed no more may lack what a later leader has put into the log.
	if at, index := n.log.LastQuorumAck(); at == 0 || now-at >= n.leader.QuorumAckTimeout || n.log.LastIndex() < index {
		return
	}
	step, due := w.leader.Decide(n.world(now), &w.state)
	if !due || step == w.decided && now < w.decidedAt+decideAgain {
		return
	}
	w.decided, w.decidedAt = step, now
	if raw, err := wrap(step); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// leadsWork says whether it is this one that does the leader's part.
func (n *Node) leadsWork() bool {
	return n.leader != nil && n.work.leader != nil && n.work.leader.Term == n.term
}

// world is what this leader knows now.
func (n *Node) world(now time.Duration) *maintenance.Snapshot {
	machines, current := n.Work.Machines()
	sum := n.work.book.Summarize(now, n.leader.GrantExpiry)
	return &maintenance.Snapshot{
		Now: now, Machines: machines, Traffic: sum.Traffic, InTime: sum.InTime, Unreachable: len(sum.Unreachable),
		Current: current && sum.Complete, // a new leader does not know yet what the others have
		Slack:   2*n.leader.LeaseExpiry + n.Deadline,
		Clear:   func(turn uint32) bool { return len(n.work.book.WaitingFor(now, turn, n.leader.GrantExpiry)) == 0 },
		Plan:    n.plan,
	}
}

// plan is a plan by its hash, once its text is here.
func (n *Node) plan(h [sha256.Size]byte) (*maintenance.Plan, bool) {
	if p := n.work.plans[h]; p != nil {
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
	if n.work.plans == nil || len(n.work.plans) >= textsMost {
		n.work.plans = make(map[hash]*maintenance.Plan)
	}
	n.work.plans[h] = p
	return p, true
}

// ownWork adds to a report what this sidecar has to say on work.
func (n *Node) ownWork(p *accordpb.Report) {
	if n.Work == nil || !n.inWork() {
		return
	}
	r := n.Work.Own(&n.work.state)
	p.Clear, p.Rate, p.Served = r.ClearUpTo, uint32(min(math.Round(10*r.Rate), math.MaxUint32)), 1+uint32(math.Floor(1000*r.InTime))
}

// clear is how far this sidecar is clear; a change of it is told at once.
func (n *Node) clear() uint32 {
	if n.Work == nil || !n.inWork() {
		return 0
	}
	return n.Work.Own(&n.work.state).ClearUpTo
}

// leaves says whether a turn waits for all to tell that they are clear.
func (n *Node) leaves() bool {
	turns := n.work.state.Windows
	return len(turns) > 0 && turns[len(turns)-1].Phase == maintenance.Draining // the last that was given is the only one
}

// heardWork takes that from a report.
func (n *Node) heardWork(p *accordpb.Report) {
	if n.leadsWork() && p.Served > 0 {
		n.work.book.Receive(int(p.Number), p.Life, p.Turn, maintenance.Report{ClearUpTo: p.Clear, Rate: float64(p.Rate) / 10, InTime: min(1, float64(p.Served-1)/1000)})
	}
}

// Plan has the fleet take machines out by a plan; the number that it returns is what can be asked on. Nothing has happened yet when it returns.
func (n *Node) Plan(now time.Duration, raw []byte) (number uint32, err error) {
	n.now = now
	if n.Work == nil {
		return 0, errNoWork
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return 0, errLong
	}
	p, err := maintenance.Parse(raw)
	if err != nil {
		return 0, err
	}
	machines, _ := n.Work.Machines()
	if err := p.CheckMachines(machines); err != nil {
		return 0, err
	}
	if !n.begun(now) {
		return 0, ErrNoContact
	}
	x := n.texts.add(slices.Clone(raw), n.needed()...)
	step := maintenance.Step{Kind: maintenance.Planned, Number: n.work.state.LastPlan + 1, Hash: x.hash, By: n.Self.Number}
	if refused := n.would(step); refused != "" {
		return 0, errors.New(refused)
	}
	n.have(x)
	n.show(n.log.Leader(), x)
	return step.Number, n.proposeWork(now, step)
}

// Operate puts an operator's word on a plan or a turn into the log: it is done, or the plan is to pause, to go on, to end.
func (n *Node) Operate(now time.Duration, kind maintenance.Kind, number uint32) error {
	n.now = now
	if !n.begun(now) {
		return ErrNoContact
	}
	step := maintenance.Step{Kind: kind, Number: number, By: n.Self.Number}
	if kind == maintenance.Paused {
		step.Why = "by hand"
	}
	if refused := n.would(step); refused != "" {
		return errors.New(refused)
	}
	return n.proposeWork(now, step)
}

// begun says whether this sidecar is in contact with a log that has begun.
func (n *Node) begun(now time.Duration) bool {
	return n.holder.State().Started && n.Now(now).Mode != policyrollout.CutOff
}

// would says why an entry would change nothing now; "": it would. The log decides in the end.
func (n *Node) would(s maintenance.Step) string {
	copied := n.work.state.Clone()
	return copied.Apply(s)
}

func (n *Node) proposeWork(now time.Duration, s maintenance.Step) error {
	raw, err := wrap(s)
	if err != nil {
		return err
	}
	return n.log.Propose(now, raw)
}

// tellWork adds to an answer what the oldest plan waits for, and who is out of contact.
func (n *Node) tellWork(now time.Duration, m *accordpb.Message) {
	if !n.leadsWork() {
		return
	}
	waits, away := n.standsWork(now)
	m.WorkWaits, m.AwayCount = short(waits, waitsMost), uint32(len(away))+1
	for _, a := range away[:min(len(away), awayMost)] {
		m.Away = append(m.Away, &accordpb.Behind{Number: uint32(a.Number), Why: a.Why})
	}
	if len(m.Away) > 0 || m.WorkWaits != "" {
		m.Behind = m.Behind[:min(len(m.Behind), 1)] // all has to fit
	}
}

// standsWork is what the oldest plan waits for, and who is out of contact for how long, as this leader knows it.
func (n *Node) standsWork(now time.Duration) (waits string, away []policyrollout.Laggard) {
	s := &n.work.state
	for _, i := range n.work.book.Summarize(now, n.leader.GrantExpiry).Unreachable {
		away = append(away, policyrollout.Laggard{Number: i, Why: fmt.Sprintf("for %.0fs", (now - n.leader.GrantExpiry(i)).Seconds())})
	}
	for _, t := range s.Windows {
		if t.Phase == maintenance.Draining {
			if late := n.work.book.WaitingFor(now, t.Number, n.leader.GrantExpiry); len(late) > 0 {
				return fmt.Sprintf("turn %d: %d sidecars may still send, %v", t.Number, len(late), late[:min(len(late), awayMost)]), away
			}
		}
	}
	if len(s.Plans) > 0 {
		waits = n.work.leader.WaitReason(s.Plans[0].Number)
	}
	return waits, away
}

// takeWork takes such an answer.
func (n *Node) takeWork(now time.Duration, from int, m *accordpb.Message) {
	if m.AwayCount == 0 || from != n.log.Leader() {
		return
	}
	w := &n.work
	w.saidAt, w.said, w.aways, w.away = now, m.WorkWaits, int(m.AwayCount)-1, nil
	for _, a := range m.Away {
		w.away = append(w.away, policyrollout.Laggard{Number: int(a.Number), Why: a.Why})
	}
}

// WorkView is what a sidecar knows of machines taken out for work.
type WorkView struct {
	State maintenance.State
	Waits string                  // what the oldest plan waits for
	Away  []policyrollout.Laggard // some of those out of contact
	Aways int                     // how many they are; -1: the leader has not told
}

// ViewWork is the present one.
func (n *Node) ViewWork(now time.Duration) WorkView {
	v := WorkView{State: n.work.state.Clone(), Aways: -1}
	switch {
	case n.leadsWork():
		v.Waits, v.Away = n.standsWork(now)
		v.Aways = len(v.Away)
	case n.work.saidAt > 0 && now-n.work.saidAt < behindFresh:
		v.Waits, v.Away, v.Aways = n.work.said, n.work.away, n.work.aways
	}
	return v
}

// WorkState is what the log makes of plans and turns; it is to be read only, before anything else is asked of the node.
func (n *Node) WorkState() *maintenance.State { return &n.work.state }

// Out are the machines to which nothing new may be sent.
func (n *Node) Out() []uint64 { return n.work.state.MachinesOut() }
