package replication

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// caughtUpBound is how long after an acknowledgement a healthy voter may lack the entry.
const caughtUpBound = 500 * time.Millisecond

// acknowledgement says that no entry after index was acknowledged before the time at.
type acknowledgement struct {
	at    time.Duration
	index Index
}

// checker observes what clients and applications see, and records violations of what the log
// promises.
type checker struct {
	commands           []command
	operations         []*operation
	acknowledged       map[Index]int // index -> acknowledged command
	acknowledgements   []acknowledgement
	appliedOrder       []applied             // every applied command, in order
	foundValues        map[int]int           // command -> the register's value that it found
	appliedAt          map[int]time.Duration // command -> when it was applied first
	leaders            map[Term]string
	memberships        map[Index]Membership // index -> membership that was committed
	newestMembership   Index                // index of the newest of memberships
	diskLost           map[MemberID]bool
	diskLostAt         time.Duration // the last one
	lastAck            time.Duration
	lastFault          time.Duration
	lastHealthy        time.Duration
	completedReads     int
	contactChecks      int
	undecidedHistories int
	violations         []string
}

func newChecker() checker {
	return checker{
		acknowledged: map[Index]int{}, foundValues: map[int]int{}, appliedAt: map[int]time.Duration{},
		leaders:     map[Term]string{},
		memberships: map[Index]Membership{}, diskLost: map[MemberID]bool{},
	}
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) beginOperation(in input) *operation {
	op := &operation{input: in, startedAt: sim.now}
	sim.operations = append(sim.operations, op)
	return op
}

// dropCalls drops the calls of a machine that goes down: their callers never get a result.
func (sim *simulation) dropCalls(n *machine) {
	for _, op := range n.reading {
		op.dropped = true
	}
	n.proposed, n.reading = nil, nil
}

// checkOrder checks that every machine applies a command after the same others.
func (sim *simulation) checkOrder(n *machine, a applied) {
	at := len(n.applied)
	if at < len(sim.appliedOrder) {
		if want := sim.appliedOrder[at]; want != a {
			sim.violation("%s applies command %d at %d instead of command %d at %d", n.id, a.id, a.index, want.id, want.index)
		}
		return
	}
	if _, twice := sim.foundValues[a.id]; twice {
		sim.violation("%s applies command %d twice", n.id, a.id)
	}
	sim.appliedOrder = append(sim.appliedOrder, a)
	sim.foundValues[a.id] = n.register
	sim.appliedAt[a.id] = sim.now
}

func (sim *simulation) recordMembership(n *machine, e *Entry) {
	m, err := decodeMembership(e.Command)
	if err != nil {
		sim.violation("%s applies a malformed membership: %v", n.id, err)
	}
	if was, ok := sim.memberships[e.Index]; ok && fmt.Sprint(was) != fmt.Sprint(m) {
		sim.violation("%s applies %v at %d, where another machine applied %v", n.id, m, e.Index, was)
	}
	sim.memberships[e.Index] = m
	sim.newestMembership = max(sim.newestMembership, e.Index)
}

// acknowledgedBefore returns the last index that was acknowledged before a time.
func (sim *simulation) acknowledgedBefore(at time.Duration) Index {
	i := sort.Search(len(sim.acknowledgements), func(i int) bool { return sim.acknowledgements[i].at >= at })
	if i == 0 {
		return 0
	}
	return sim.acknowledgements[i-1].index
}

func (sim *simulation) acknowledge(index Index, id int) {
	sim.acknowledged[index] = id
	sim.lastAck = sim.now
	if n := len(sim.acknowledgements); n > 0 {
		index = max(index, sim.acknowledgements[n-1].index)
	}
	sim.acknowledgements = append(sim.acknowledgements, acknowledgement{sim.now, index})
}

// completeCalls records the results that callers get.
func (sim *simulation) completeCalls(n *machine, r *Ready) {
	for _, s := range r.CompletedProposals {
		op := n.proposed[s.Token]
		delete(n.proposed, s.Token)
		if s.Aborted || op == nil {
			sim.count("proposal unclear")
			continue
		}
		op.completed, op.endedAt, op.value = true, sim.now, sim.foundValues[op.id]
		at := slices.IndexFunc(n.applied, func(a applied) bool { return a.index == s.Index })
		if at < 0 || n.applied[at].id != op.id {
			sim.violation("%s acknowledges command %d at %d, where another command was applied", n.id, op.id, s.Index)
		}
		sim.acknowledge(s.Index, op.id)
	}
	for _, s := range r.CompletedReads {
		op := n.reading[s.Token]
		delete(n.reading, s.Token)
		if s.Aborted || op == nil {
			op.dropped = true
			continue
		}
		sim.completedReads++
		op.completed, op.endedAt, op.value = true, sim.now, n.register
		if n.lastApplied < op.minIndex {
			sim.violation("a read at %s lacks %d, acknowledged before it began", n.id, op.minIndex)
		}
	}
}

// checkReplica checks a replica's role, id and contact.
func (sim *simulation) checkReplica(n *machine) {
	r := n.replica
	now := sim.localTime(n)
	if r.role == leader {
		leads := fmt.Sprintf("%s incarnation %d", n.id, n.incarnation)
		if was, ok := sim.leaders[r.hardState.Term]; ok && was != leads {
			sim.violation("term %d has two leaders: %s and %s", r.hardState.Term, was, leads)
		}
		sim.leaders[r.hardState.Term] = leads
		if !r.IsVoter() {
			sim.violation("%s leads a membership that it isn't in: %v", n.id, r.memberships.current().Membership)
		}
	}
	if sim.diskLost[r.id] {
		sim.violation("%s is back without its disk", r.id)
	}
	sim.checkQuorumAck(n)
	if r.leader != n.contactLeader || r.hardState.Term != n.contactTerm {
		n.contact.reset()
		n.contactLeader, n.contactTerm = r.leader, r.hardState.Term
	}
	if at, index, ok := r.LastQuorumAck(); ok {
		n.contact.record(min(at, now), index)
	}
	sim.checkContact(n)
}

// checkQuorumAck checks a replica's LastQuorumAck: everything that was acknowledged before that
// time is applied once the index that goes with it is.
func (sim *simulation) checkQuorumAck(n *machine) {
	at, index, ok := n.replica.LastQuorumAck()
	if !ok {
		return
	}
	at = min(at, sim.localTime(n)) + n.startedAt
	if needs := sim.acknowledgedBefore(at); needs > index {
		sim.violation("%s reports index %d for a quorum's confirmation at %v, before which %d was acknowledged",
			n.id, index, at, needs)
	}
}

// checkContact checks the same of a node's contact and of what its application has finished.
func (sim *simulation) checkContact(n *machine) {
	age, ok := n.contact.age(sim.localTime(n), n.finished)
	if !ok {
		return
	}
	if age < maxContactAge {
		sim.contactChecks++
	}
	if needs := sim.acknowledgedBefore(sim.now - age); needs > n.finished {
		sim.violation("%s serves as of %v with %d applied, but %d was acknowledged by then",
			n.id, sim.now-age, n.finished, needs)
	}
}

// watch checks at intervals what changes without an event.
func (sim *simulation) watch() {
	for _, n := range sim.machines {
		if n.replica != nil && !n.frozen {
			sim.checkContact(n)
		}
	}
	if sim.isHealthy() {
		sim.lastHealthy = sim.now
	}
	sim.schedule(20*time.Millisecond, sim.watch)
}

// isHealthy says that the membership is stable at its full size, with every voter up and caught up.
func (sim *simulation) isHealthy() bool {
	n := sim.leader()
	if n == nil || n.frozen {
		return false
	}
	membership, committed := n.replica.Membership()
	if !committed || membership.IsJoint() || len(membership.Voters) != sim.target {
		return false
	}
	for _, id := range membership.Voters {
		voter := sim.machineAt[id.Address()]
		if voter == nil || voter.id != id || voter.replica == nil || voter.frozen || voter.leaving {
			return false
		}
		// While commands are proposed, hardly all voters have the newest entry at the same moment.
		if id != n.id && n.replica.peers[id].match < max(1, sim.acknowledgedBefore(sim.now-caughtUpBound)) {
			return false
		}
	}
	return true
}

// checkLiveness checks that commands are committed while no more machines are lost than is tolerated.
func (sim *simulation) checkLiveness() {
	if since := max(sim.lastAck, sim.lastFault); sim.now-since > livenessBound {
		sim.violation("nothing was committed since %v, and the last fault was at %v", sim.lastAck, sim.lastFault)
	}
}

// checkRecovery checks, once all faults have ended, that commands are committed, that the membership
// is healthy again within recoveryTime, and that the machines agree on everything acknowledged.
func (sim *simulation) checkRecovery() {
	acked, since := len(sim.acknowledged), sim.now
	sim.runClients(50 * time.Millisecond)
	sim.run(since+livenessBound, func() bool { return len(sim.acknowledged) > acked })
	if len(sim.acknowledged) == acked {
		sim.violation("nothing was committed within %v of the last fault", livenessBound)
	}
	bound := livenessBound + recoveryTime
	if sim.unboundedFaults {
		// More voters may be lost or leaving than is tolerated: they are replaced one after the other.
		bound += recoveryTime
	}
	sim.run(since+bound, sim.isHealthy)
	if !sim.isHealthy() {
		sim.violation("the membership isn't healthy %v after the last fault", bound)
	}
	sim.clientsStopped = true
	sim.run(sim.now+time.Second, nil)
	if len(sim.violations) == 0 {
		sim.checkFinalState()
	}
}

func (sim *simulation) checkFinalState() {
	lead := sim.leader()
	for _, n := range sim.presentMachines() {
		if !lead.replica.memberships.current().IsVoter(n.id) {
			continue
		}
		if len(n.applied) != len(sim.appliedOrder) {
			sim.violation("%s has applied %d of %d commands", n.id, len(n.applied), len(sim.appliedOrder))
		}
	}
	placed := map[Index]int{}
	for i, a := range sim.appliedOrder {
		placed[a.index] = a.id
		if i > 0 && sim.appliedOrder[i-1].index >= a.index {
			sim.violation("%d was applied after %d", a.index, sim.appliedOrder[i-1].index)
		}
	}
	for index, id := range sim.acknowledged {
		if was, ok := placed[index]; !ok || was != id {
			sim.violation("command %d was acknowledged at %d, where command %d is", id, index, was)
		}
	}
	if len(sim.violations) == 0 {
		sim.checkLinearizable()
	}
}
