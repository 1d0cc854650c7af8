package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// recoveryTime is how long a machine that is back counts as lost, and how long a replacement may
	// take.
	recoveryTime = 4 * time.Second
	// livenessBound is how long a proposal may take while no more machines are lost than is tolerated.
	livenessBound = 3 * time.Second
	// maxOutstanding bounds the calls that wait at one machine, so that porcupine's search remains
	// short.
	maxOutstanding = 3
)

// simulation is a network of simulated machines with simulated disks in virtual time, and a checker
// that observes them from outside. The seed determines the whole history.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	lastEvent int
	// faultTolerance is how many machines may be lost at once; target is the size of the membership.
	faultTolerance, target int
	cluster                ClusterID
	machines               []*machine
	machineAt              map[string]*machine // address -> its machine
	network
	// unboundedFaults allows any number of faults at once, except lost disks.
	unboundedFaults bool
	// targetedFaults injects faults where the protocol is most sensitive: right after a vote, an
	// acknowledgement or a snapshot chunk.
	targetedFaults bool
	// healed says that no more faults are injected.
	healed bool
	// snapshotPadding and commandPadding are added to the sizes of snapshots and commands, in bytes.
	snapshotPadding, commandPadding int
	clientsStopped                  bool // no more commands are proposed
	membershipFrozen                bool // the membership isn't changed
	counts                          map[string]int
	checker
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

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

func newSimulation(seed uint64, faultTolerance int) *simulation {
	sim := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		faultTolerance: faultTolerance,
		target:         2*faultTolerance + 1,
		machineAt:      map[string]*machine{},
		network:        newNetwork(),
		counts:         map[string]int{},
		checker:        newChecker(),
	}
	for range sim.target {
		sim.addMachine()
	}
	var seeds []string
	for _, n := range sim.machines[:min(3, sim.target)] {
		seeds = append(seeds, n.address)
	}
	cluster, membership := Bootstrap(seeds)
	sim.cluster = cluster
	sim.memberships[0] = membership
	for i, n := range sim.machines {
		if i < len(seeds) {
			n.id, n.founder = NewMemberID(n.address, ""), true
			n.disk = State{ID: n.id, Cluster: cluster, Snapshot: Snapshot{Membership: membership}}
		} else {
			sim.emptyDisk(n)
		}
		sim.schedule(sim.randomUpTo(300*time.Millisecond), func() { sim.powerOn(n) })
	}
	sim.schedule(0, sim.manageEverywhere)
	sim.schedule(0, sim.watch)
	return sim
}

// addMachine adds a machine at a new address.
func (sim *simulation) addMachine() *machine {
	n := &machine{address: fmt.Sprintf("10.1.0.%d:7620", len(sim.machines))}
	sim.machines = append(sim.machines, n)
	sim.machineAt[n.address] = n
	return n
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastEvent++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.lastEvent, do: do})
}

// run plays events until the time end, or until stop returns true.
func (sim *simulation) run(end time.Duration, stop func() bool) {
	for len(sim.events) > 0 && sim.events[0].at <= end && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
		if stop != nil && stop() {
			return
		}
	}
	sim.now = max(sim.now, end)
}

func (sim *simulation) count(what string) { sim.counts[what]++ }

func (sim *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

// presentMachines returns the machines that weren't removed.
func (sim *simulation) presentMachines() []*machine {
	return slices.DeleteFunc(slices.Clone(sim.machines), func(n *machine) bool { return n.removed })
}

func (sim *simulation) randomMachine() *machine {
	present := sim.presentMachines()
	return present[sim.rng.IntN(len(present))]
}

// leader returns the machine that leads in the highest term, nil when none does.
func (sim *simulation) leader() *machine {
	var found *machine
	for _, n := range sim.machines {
		if n.replica == nil || n.replica.role != leader {
			continue
		}
		if found == nil || n.replica.hardState.Term > found.replica.hardState.Term {
			found = n
		}
	}
	return found
}
