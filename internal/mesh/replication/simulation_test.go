package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// recoveryTime is the time for which a machine still counts as lost after its fault has ended, and
	// the maximum time in which a voter must be replaced.
	recoveryTime = 4 * time.Second
	// livenessBound is the maximum time without a commit while no more than faultTolerance machines are
	// lost.
	livenessBound = 3 * time.Second
	// maxOutstanding bounds the pending proposals and the pending reads of each machine, so that the
	// search by porcupine takes little time.
	maxOutstanding = 3
)

// simulation simulates machines, their disks and their network in virtual time. A checker observes them
// from outside. The seed determines all events.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	lastEvent int
	// faultTolerance is the number of machines that may be lost at the same time. targetSize is the
	// number of voters that the membership should have.
	faultTolerance, targetSize int
	cluster                    ClusterID
	machines                   []*machine
	machineByAddress           map[string]*machine // the key is the machine's address
	network
	// unboundedFaults allows more than faultTolerance machines to be lost at the same time. The loss of
	// disks remains limited.
	unboundedFaults bool
	// targetedFaults enables faults immediately after the messages on which the protocol depends most:
	// vote requests, votes, acknowledgements of entries or snapshot chunks, and leadership transfers.
	targetedFaults bool
	// healed is set once no more faults are injected.
	healed bool
	// snapshotPadding and commandPadding are added to the sizes of snapshots and commands, in bytes.
	snapshotPadding, commandPadding int
	clientsStopped                  bool // no more proposals and reads are issued
	membershipChangesDisabled       bool // leaders do not change the membership
	counts                          map[string]int
	checker
}

// event is an action that is due at a time. Events at the same time run in the order of sequence.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// events is a heap of scheduled events, ordered by time and sequence.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newSimulation creates 2*faultTolerance+1 machines. Up to three of them are initial voters. The others
// start with an empty disk and join. All machines start within 300 ms.
func newSimulation(seed uint64, faultTolerance int) *simulation {
	sim := &simulation{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		faultTolerance:   faultTolerance,
		targetSize:       2*faultTolerance + 1,
		machineByAddress: map[string]*machine{},
		network:          newNetwork(),
		counts:           map[string]int{},
		checker:          newChecker(),
	}
	for range sim.targetSize {
		sim.addMachine()
	}
	var seeds []string
	for _, n := range sim.machines[:min(3, sim.targetSize)] {
		seeds = append(seeds, n.address)
	}
	cluster, membership := Bootstrap(seeds)
	sim.cluster = cluster
	sim.memberships[0] = membership
	for i, n := range sim.machines {
		if i < len(seeds) {
			n.id, n.initialVoter = NewMemberID(n.address, ""), true
			n.disk = State{ID: n.id, Cluster: cluster, Snapshot: Snapshot{Membership: membership}}
		} else {
			sim.emptyDisk(n)
		}
		sim.schedule(sim.randomUpTo(300*time.Millisecond), func() { sim.powerOn(n) })
	}
	sim.schedule(0, sim.manageAllMachines)
	sim.schedule(0, sim.checkPeriodically)
	return sim
}

// addMachine adds a machine at a new address.
func (sim *simulation) addMachine() *machine {
	n := &machine{address: fmt.Sprintf("10.1.0.%d:7620", len(sim.machines))}
	sim.machines = append(sim.machines, n)
	sim.machineByAddress[n.address] = n
	return n
}

// schedule schedules an action after the duration d.
func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.lastEvent++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.lastEvent, action: action})
}

// run processes events up to the time end, and stops early if until returns true or a violation has
// been recorded.
func (sim *simulation) run(end time.Duration, until func() bool) {
	for len(sim.events) > 0 && sim.events[0].at <= end && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
		if until != nil && until() {
			return
		}
	}
	sim.now = max(sim.now, end)
}

// count increments the counter with the given name.
func (sim *simulation) count(name string) { sim.counts[name]++ }

func (sim *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// presentMachines returns the machines that have not been removed permanently.
func (sim *simulation) presentMachines() []*machine {
	return slices.DeleteFunc(slices.Clone(sim.machines), func(n *machine) bool { return n.removed })
}

func (sim *simulation) randomMachine() *machine {
	present := sim.presentMachines()
	return present[sim.rng.IntN(len(present))]
}

// leader returns the machine of the leader with the highest term, or nil if there is no leader.
func (sim *simulation) leader() *machine {
	var highest *machine
	for _, n := range sim.machines {
		if n.replica == nil || n.replica.role != leader {
			continue
		}
		if highest == nil || n.replica.hardState.Term > highest.replica.hardState.Term {
			highest = n
		}
	}
	return highest
}
