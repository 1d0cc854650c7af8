package replication

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// caughtUpBound is the maximum time after an acknowledgement in which a healthy voter may lack the
// entry.
const caughtUpBound = 500 * time.Millisecond

// acknowledgement records the highest acknowledged index at a time.
type acknowledgement struct {
	at    time.Duration
	index Index
}

// checker records the results that clients receive and the entries that applications apply, and records
// violations of the log's guarantees.
type checker struct {
	commands           []command
	operations         []*operation
	acknowledged       map[Index]int // acknowledged command ids by index
	acknowledgements   []acknowledgement
	appliedOrder       []applied             // all applied commands in log order
	observedValues     map[int]int           // register values before the command, by command id
	appliedAt          map[int]time.Duration // times of the first application, by command id
	leaders            map[Term]string
	memberships        map[Index]Membership // committed memberships by index
	newestMembership   Index                // highest index in memberships
	diskLost           map[MemberID]bool
	diskLostAt         time.Duration // time of the newest disk loss
	lastAck            time.Duration // time of the newest acknowledgement
	lastFault          time.Duration // end of the fault that ends last
	lastHealthy        time.Duration // newest time at which isHealthy returned true
	completedReads     int
	contactChecks      int // checks of a contact age below maxContactAge
	undecidedHistories int // histories on which porcupine timed out
	violations         []string
}

func newChecker() checker {
	return checker{
		acknowledged: map[Index]int{}, observedValues: map[int]int{}, appliedAt: map[int]time.Duration{},
		leaders:     map[Term]string{},
		memberships: map[Index]Membership{}, diskLost: map[MemberID]bool{},
	}
}

// violation records a violation of the log's guarantees. The simulation ends with the first violation.
func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// beginOperation adds a client's request to the history and returns its operation.
func (sim *simulation) beginOperation(in input) *operation {
	op := &operation{input: in, startedAt: sim.now}
	sim.operations = append(sim.operations, op)
	return op
}

// dropCalls drops the pending calls of a machine that stops. Their callers never receive a result.
func (sim *simulation) dropCalls(n *machine) {
	for _, op := range n.pendingReads {
		op.dropped = true
	}
	n.pendingProposals, n.pendingReads = nil, nil
}

// checkOrder checks that all machines apply the same commands in the same order, and no command twice.
func (sim *simulation) checkOrder(n *machine, a applied) {
	at := len(n.applied)
	if at < len(sim.appliedOrder) {
		if want := sim.appliedOrder[at]; want != a {
			sim.violation("%s applied command %d at index %d, expected command %d at index %d",
				n.id, a.id, a.index, want.id, want.index)
		}
		return
	}
	if _, duplicate := sim.observedValues[a.id]; duplicate {
		sim.violation("%s applied command %d a second time", n.id, a.id)
	}
	sim.appliedOrder = append(sim.appliedOrder, a)
	sim.observedValues[a.id] = n.register
	sim.appliedAt[a.id] = sim.now
}

// recordMembership records a committed membership and checks that all machines apply the same membership
// at its index.
func (sim *simulation) recordMembership(n *machine, e *Entry) {
	m, err := decodeMembership(e.Command)
	if err != nil {
		sim.violation("%s applied a malformed membership: %v", n.id, err)
	}
	if previous, ok := sim.memberships[e.Index]; ok && fmt.Sprint(previous) != fmt.Sprint(m) {
		sim.violation("%s applied membership %v at index %d, but another machine applied %v", n.id, m, e.Index, previous)
	}
	sim.memberships[e.Index] = m
	sim.newestMembership = max(sim.newestMembership, e.Index)
}

// acknowledgedBefore returns the highest index that was acknowledged before a time, or 0.
func (sim *simulation) acknowledgedBefore(at time.Duration) Index {
	i := sort.Search(len(sim.acknowledgements), func(i int) bool { return sim.acknowledgements[i].at >= at })
	if i == 0 {
		return 0
	}
	return sim.acknowledgements[i-1].index
}

// acknowledge records that a client received the acknowledgement of the command at index.
func (sim *simulation) acknowledge(index Index, id int) {
	sim.acknowledged[index] = id
	sim.lastAck = sim.now
	if n := len(sim.acknowledgements); n > 0 {
		index = max(index, sim.acknowledgements[n-1].index)
	}
	sim.acknowledgements = append(sim.acknowledgements, acknowledgement{sim.now, index})
}

// completeCalls records and checks the results that the callers of proposals and reads receive.
func (sim *simulation) completeCalls(n *machine, r *Ready) {
	for _, completion := range r.CompletedProposals {
		op := n.pendingProposals[completion.Token]
		delete(n.pendingProposals, completion.Token)
		if completion.Aborted || op == nil {
			sim.count("proposal with unknown outcome")
			continue
		}
		op.completed, op.endedAt, op.value = true, sim.now, sim.observedValues[op.id]
		at := slices.IndexFunc(n.applied, func(a applied) bool { return a.index == completion.Index })
		if at < 0 || n.applied[at].id != op.id {
			sim.violation("%s acknowledged command %d at index %d, but applied another command there",
				n.id, op.id, completion.Index)
		}
		sim.acknowledge(completion.Index, op.id)
	}
	for _, completion := range r.CompletedReads {
		op := n.pendingReads[completion.Token]
		delete(n.pendingReads, completion.Token)
		if completion.Aborted || op == nil {
			op.dropped = true
			continue
		}
		sim.completedReads++
		op.completed, op.endedAt, op.value = true, sim.now, n.register
		if n.lastApplied < op.minIndex {
			sim.violation("read at %s does not include index %d, acknowledged before the read", n.id, op.minIndex)
		}
	}
}

// checkReplica checks that a term has one leader, that a leader is a voter, that no member returns
// without its disk, and that the replica's contact information is valid.
func (sim *simulation) checkReplica(n *machine) {
	r := n.replica
	now := sim.localTime(n)
	if r.role == leader {
		leaderRun := fmt.Sprintf("%s incarnation %d", n.id, n.incarnation)
		if previous, ok := sim.leaders[r.hardState.Term]; ok && previous != leaderRun {
			sim.violation("term %d has two leaders: %s and %s", r.hardState.Term, previous, leaderRun)
		}
		sim.leaders[r.hardState.Term] = leaderRun
		if !r.IsVoter() {
			sim.violation("leader %s is not a voter of the membership %v", n.id, r.memberships.current().Membership)
		}
	}
	if sim.diskLost[r.id] {
		sim.violation("member %s is running after the loss of its disk", r.id)
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

// checkQuorumAck checks that the index returned by LastQuorumAck includes all entries that were
// acknowledged before the returned time.
func (sim *simulation) checkQuorumAck(n *machine) {
	at, index, ok := n.replica.LastQuorumAck()
	if !ok {
		return
	}
	at = min(at, sim.localTime(n)) + n.startedAt
	if required := sim.acknowledgedBefore(at); required > index {
		sim.violation("%s reports index %d for a quorum's confirmation at %v, but index %d was acknowledged before",
			n.id, index, at, required)
	}
}

// checkContact checks that the application has finished all entries that were acknowledged before the
// time of the newest contact.
func (sim *simulation) checkContact(n *machine) {
	age, ok := n.contact.age(sim.localTime(n), n.finishedIndex)
	if !ok {
		return
	}
	if age < maxContactAge {
		sim.contactChecks++
	}
	if required := sim.acknowledgedBefore(sim.now - age); required > n.finishedIndex {
		sim.violation("%s reports contact as of %v with entries up to %d applied, but %d was acknowledged before",
			n.id, sim.now-age, n.finishedIndex, required)
	}
}

// checkPeriodically checks, every 20 ms, conditions that change with the time alone.
func (sim *simulation) checkPeriodically() {
	for _, n := range sim.machines {
		if n.replica != nil && !n.frozen {
			sim.checkContact(n)
		}
	}
	if sim.isHealthy() {
		sim.lastHealthy = sim.now
	}
	sim.schedule(20*time.Millisecond, sim.checkPeriodically)
}

// isHealthy reports whether the membership is committed, is not joint and has its target size, and all
// voters are running and caught up.
func (sim *simulation) isHealthy() bool {
	n := sim.leader()
	if n == nil || n.frozen {
		return false
	}
	membership, committed := n.replica.Membership()
	if !committed || membership.IsJoint() || len(membership.Voters) != sim.targetSize {
		return false
	}
	for _, id := range membership.Voters {
		voter := sim.machineByAddress[id.Address()]
		if voter == nil || voter.id != id || voter.replica == nil || voter.frozen || voter.leaving {
			return false
		}
		// While clients propose commands, voters rarely all have the newest entry at the same time.
		if id != n.id && n.replica.peers[id].match < max(1, sim.acknowledgedBefore(sim.now-caughtUpBound)) {
			return false
		}
	}
	return true
}

// checkLiveness checks that commands are committed while no more than faultTolerance machines are lost.
func (sim *simulation) checkLiveness() {
	if since := max(sim.lastAck, sim.lastFault); sim.now-since > livenessBound {
		sim.violation("no command was committed since %v, and the last fault ended at %v", sim.lastAck, sim.lastFault)
	}
}

// checkRecovery checks, after all faults have ended, that commands are committed within livenessBound,
// that the membership becomes healthy within recoveryTime after that, and that the final state is
// consistent.
func (sim *simulation) checkRecovery() {
	acked, since := len(sim.acknowledged), sim.now
	sim.runClients(50 * time.Millisecond)
	sim.run(since+livenessBound, func() bool { return len(sim.acknowledged) > acked })
	if len(sim.acknowledged) == acked {
		sim.violation("no command was committed within %v after the last fault", livenessBound)
	}
	bound := livenessBound + recoveryTime
	if sim.unboundedFaults {
		// More than faultTolerance voters may be lost or leaving. They are replaced one after the other.
		bound += recoveryTime
	}
	sim.run(since+bound, sim.isHealthy)
	if !sim.isHealthy() {
		sim.violation("the membership is not healthy %v after the last fault", bound)
	}
	sim.clientsStopped = true
	sim.run(sim.now+time.Second, nil)
	if len(sim.violations) == 0 {
		sim.checkFinalState()
	}
}

// checkFinalState checks that all voters have applied all commands, that the applied commands include
// every acknowledged command at its index, and that the history is linearizable.
func (sim *simulation) checkFinalState() {
	lead := sim.leader()
	for _, n := range sim.presentMachines() {
		if !lead.replica.memberships.current().IsVoter(n.id) {
			continue
		}
		if len(n.applied) != len(sim.appliedOrder) {
			sim.violation("voter %s has applied %d of %d commands", n.id, len(n.applied), len(sim.appliedOrder))
		}
	}
	commandAt := map[Index]int{}
	for i, a := range sim.appliedOrder {
		commandAt[a.index] = a.id
		if i > 0 && sim.appliedOrder[i-1].index >= a.index {
			sim.violation("index %d was applied after index %d", a.index, sim.appliedOrder[i-1].index)
		}
	}
	for index, id := range sim.acknowledged {
		if previous, ok := commandAt[index]; !ok || previous != id {
			sim.violation("command %d was acknowledged at index %d, but command %d was applied there", id, index, previous)
		}
	}
	if len(sim.violations) == 0 {
		sim.checkLinearizable()
	}
}
