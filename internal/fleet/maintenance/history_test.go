package maintenance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	seed      = flag.Uint64("seed", 0, "run only the history of this seed")
	histories = flag.Int("histories", 150, "number of histories to run")
)

// history is a random run of a fleet's log and of those that propose entries to it: operators, and leaders of
// rising terms, of which former ones may still believe that they lead. Proposals are delayed, duplicated or lost,
// as happens when a leader fails on the way.
type history struct {
	rng          *rand.Rand
	now          time.Duration
	log          []Step
	inFlight     []proposal
	leaders      []*replica
	machines     []Machine
	plans        map[[32]byte]*Plan
	planByNumber map[uint32]*Plan
	state        State // after the whole log
	violations   []string
	counts       map[string]int
	downUntil    []time.Duration          // by machine index
	workUntil    map[uint32]time.Duration // by number of a window on whose machine an operator works
	calm         bool                     // no faults are injected any more

	// The fields below follow from the accepted entries alone, without State.
	term        uint64          // the highest term that has begun
	lastKind    map[uint32]Kind // last entry about each window
	paused      map[uint32]bool // by plan number
	lastWindow  uint32
	windowCount map[[2]uint64]int // windows that were not withdrawn, by plan and machine
	opened      map[uint32]Step   // the Opened entry of each window

	traffic float64
}

type proposal struct {
	at time.Duration
	Step
}

// replica is a leader with its copy of the log.
type replica struct {
	*Leader
	applied      int // number of entries of the log that this replica has applied
	state        State
	stoppedUntil time.Duration
	partitioned  bool // receives no more entries, but continues to lead
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%v: ", h.now)+fmt.Sprintf(format, args...))
}

// propose schedules an entry to be appended to the log, after a delay, once, twice or never.
func (h *history) propose(step Step) {
	raw, err := step.Encode()
	if err != nil {
		h.addViolation("encoding %+v: %v", step, err)
	}
	decoded, err := Decode(raw)
	if err != nil {
		h.addViolation("decoding the encoded %+v: %v", step, err)
	}
	copies := 1
	if !h.calm {
		copies = []int{0, 1, 1, 1, 1, 2}[h.rng.IntN(6)]
	}
	for range copies {
		delay := time.Duration(h.rng.Int64N(int64(200 * time.Millisecond)))
		if !h.calm && h.rng.IntN(10) == 0 {
			delay = time.Duration(h.rng.Int64N(int64(2 * time.Minute)))
		}
		h.inFlight = append(h.inFlight, proposal{h.now + delay, decoded})
	}
}

// appendEntry appends an entry to the log. If the entry is accepted, it checks the bounds of all active plans
// against the machines.
func (h *history) appendEntry(step Step) {
	h.log = append(h.log, step)
	windowsBefore := len(h.state.Windows)
	rejected := h.state.Apply(step)
	if rejected != "" {
		h.counts["refused"]++
		return
	}
	h.counts[step.Kind.String()]++
	h.checkAccepted(step)
	switch step.Kind {
	case Planned:
		h.planByNumber[step.Number] = h.plans[step.Hash]
	case Opened:
		if windowsBefore == len(h.state.Windows) {
			h.addViolation("the Opened entry of window %d was accepted, but the window is not open", step.Number)
		}
		out, cells, zones := 0, make(map[int]int), make(map[string]int)
		seen := make(map[uint64]bool)
		for _, window := range h.state.Windows {
			machine := findMachine(h.machines, window.Machine)
			if seen[window.Machine] {
				h.addViolation("machine %s has two open windows", machine.Name)
			}
			seen[window.Machine] = true
			out++
			cells[machine.Cell]++
			zones[machine.Zone]++
		}
		machine := findMachine(h.machines, step.Machine)
		allCells, allZones := map[int]int{}, map[string]int{}
		for i := range h.machines {
			allCells[h.machines[i].Cell]++
			allZones[h.machines[i].Zone]++
		}
		for _, plan := range h.state.Plans {
			bounds := h.planByNumber[plan.Number].Out
			if out > bounds.Fleet.limit(len(h.machines)) ||
				cells[machine.Cell] > bounds.Cell.limit(allCells[machine.Cell]) ||
				zones[machine.Zone] > bounds.Zone.limit(allZones[machine.Zone]) {
				h.addViolation(
					"window %d opened: %d machines are out, %d in its cell, %d in its zone; plan %d allows %+v",
					step.Number, out, cells[machine.Cell], zones[machine.Zone], plan.Number, bounds,
				)
			}
		}
	case Released:
		h.workUntil[step.Number] = h.now + time.Duration(h.rng.Int64N(int64(20*time.Second)))
	}
}

// checkAccepted checks an accepted entry against the accepted entries before it.
func (h *history) checkAccepted(step Step) {
	predecessor := map[Kind]Kind{Released: Opened, Withdrawn: Opened, Done: Released, Closed: Done}
	switch {
	case step.Kind == LeaderStarted:
		if step.Term <= h.term {
			h.addViolation("the leader of term %d started after the leader of term %d", step.Term, h.term)
		}
		h.term = step.Term
	case step.Kind.leaderOnly() && step.Term != h.term:
		h.addViolation("%s of term %d was accepted after term %d had begun", step.Kind, step.Term, h.term)
	case step.Kind == Paused || step.Kind == Resumed:
		h.paused[step.Number] = step.Kind == Paused
	case step.Kind == Opened:
		if step.Number <= h.lastWindow {
			h.addViolation("window %d opened after window %d", step.Number, h.lastWindow)
		}
		if h.lastWindow = max(h.lastWindow, step.Number); h.paused[step.Plan] {
			h.addViolation("window %d opened while its plan is paused", step.Number)
		}
		if key := [2]uint64{uint64(step.Plan), step.Machine}; h.windowCount[key] > 0 {
			h.addViolation("machine %d got a second window in plan %d", step.Machine, step.Plan)
		} else {
			h.windowCount[key]++
		}
		h.lastKind[step.Number], h.opened[step.Number] = Opened, step
	case predecessor[step.Kind] != 0:
		if h.lastKind[step.Number] != predecessor[step.Kind] {
			h.addViolation("window %d: %s was accepted after %s", step.Number, step.Kind, h.lastKind[step.Number])
		}
		if h.lastKind[step.Number] = step.Kind; step.Kind == Withdrawn {
			h.windowCount[[2]uint64{uint64(h.opened[step.Number].Plan), h.opened[step.Number].Machine}]--
		}
	case step.Kind == Finished:
		for i := range h.machines {
			if h.windowCount[[2]uint64{uint64(step.Number), h.machines[i].ID}] == 0 {
				h.addViolation("plan %d finished, but machine %s had no window", step.Number, h.machines[i].Name)
			}
		}
	}
}

// snapshotFor returns the snapshot by which a leader decides. Injected faults make it out of date or uncertain.
func (h *history) snapshotFor(leader *replica) *Snapshot {
	snapshot := &Snapshot{
		Now: h.now, Current: h.calm || h.rng.IntN(20) > 0, Traffic: h.traffic, InTime: 1,
		Plan: func(hash [32]byte) (*Plan, bool) { plan, known := h.plans[hash]; return plan, known },
	}
	if !h.calm && h.rng.IntN(8) == 0 {
		snapshot.Unreachable = 1
	}
	if !h.calm && h.rng.IntN(10) == 0 {
		snapshot.InTime = 0.5
	}
	snapshot.Machines = slices.Clone(h.machines)
	for i := range snapshot.Machines {
		if machine := &snapshot.Machines[i]; h.now < h.downUntil[i] {
			machine.State = MachineDown
		} else if since := h.now - h.downUntil[i]; h.downUntil[i] > 0 && since < 8*time.Second {
			machine.Warmth = 0.3 + 0.7*float64(since)/float64(8*time.Second)
		}
	}
	clear := h.rng.IntN(4) == 0 // whether the last requests in flight to draining machines have ended
	snapshot.Clear = func(uint32) bool { return clear }
	return snapshot
}

// step advances the history by 250 ms.
func (h *history) step() {
	h.now += 250 * time.Millisecond
	due := slices.DeleteFunc(slices.Clone(h.inFlight), func(p proposal) bool { return p.at > h.now })
	h.inFlight = slices.DeleteFunc(h.inFlight, func(p proposal) bool { return p.at <= h.now })
	h.rng.Shuffle(len(due), func(i, k int) { due[i], due[k] = due[k], due[i] })
	for _, p := range due {
		h.appendEntry(p.Step)
	}
	for _, leader := range h.leaders {
		if h.now < leader.stoppedUntil {
			continue
		}
		for ; leader.applied < len(h.log) && !leader.partitioned; leader.applied++ {
			leader.state.Apply(h.log[leader.applied])
		}
		if step, due := leader.Decide(h.snapshotFor(leader), &leader.state); due {
			h.propose(step)
		}
	}
	for number, until := range h.workUntil {
		if h.now >= until {
			delete(h.workUntil, number)
			if window := h.state.Window(number); window != nil {
				for i := range h.machines {
					if h.machines[i].ID == window.Machine {
						h.downUntil[i] = h.now + time.Second
						h.machines[i].Started = h.now + time.Second
					}
				}
				h.propose(Step{Kind: Done, Number: number, By: 1})
			}
		}
	}
}

// runHistory runs the history of a seed: 60 s with faults, then up to one hour without, in which all plans and
// windows have to end.
func runHistory(seed uint64) *history {
	h := &history{
		rng:          rand.New(rand.NewPCG(seed, 5)),
		plans:        make(map[[32]byte]*Plan),
		planByNumber: make(map[uint32]*Plan),
		counts:       make(map[string]int),
		workUntil:    make(map[uint32]time.Duration),
		lastKind:     make(map[uint32]Kind),
		paused:       make(map[uint32]bool),
		windowCount:  make(map[[2]uint64]int),
		opened:       make(map[uint32]Step),
		machines:     machines(6 + int(seed%9)),
	}
	h.downUntil = make([]time.Duration, len(h.machines))
	h.traffic = 4 * float64(len(h.machines))
	term := uint64(0)
	electLeader := func() {
		term++
		leader := &replica{Leader: NewLeader(term, int(term))}
		for leader.applied = 0; leader.applied < len(h.log); leader.applied++ {
			leader.state.Apply(h.log[leader.applied])
		}
		h.leaders = append(h.leaders, leader)
		if len(h.leaders) > 3 {
			h.leaders = h.leaders[1:]
		}
	}
	electLeader()
	proposePlan := func() {
		text := fmt.Sprintf(
			"all = true\nbears = 10.0\ncut_off = %q\nlongest = \"%ds\"\n[out]\nfleet = \"%d\"\ncell = \"%d\"\n",
			[]string{ByOperator, AwaitExpiry}[h.rng.IntN(2)], 20+h.rng.IntN(60), 1+h.rng.IntN(3),
			1+h.rng.IntN(2),
		)
		plan, err := Parse([]byte(text))
		if err != nil {
			h.addViolation("parsing a plan: %v", err)
			return
		}
		hash := [32]byte{byte(len(h.plans) + 1)}
		h.plans[hash] = plan
		h.propose(Step{Kind: Planned, Number: h.state.LastPlan + 1, Hash: hash, By: 1})
	}
	proposePlan()
	for range 240 {
		h.step()
		switch h.rng.IntN(60) {
		case 0:
			electLeader()
		case 1:
			h.leaders[0].stoppedUntil = h.now + 10*time.Second
		case 2:
			h.leaders[0].partitioned = len(h.leaders) > 1
		case 3, 4:
			i := h.rng.IntN(len(h.machines))
			h.downUntil[i] = h.now + time.Duration(h.rng.Int64N(int64(10*time.Second)))
		case 5:
			if h.state.LastPlan < 4 {
				proposePlan()
			}
		case 6, 9, 10, 11:
			h.propose(
				Step{
					Kind:   []Kind{Paused, Paused, Paused, Resumed, Cancelled}[h.rng.IntN(5)],
					Number: 1 + h.rng.Uint32N(h.state.LastPlan+1), By: 1,
				},
			)
		case 7:
			// The window may have ended already, in which case the entry has to be rejected by its number.
			h.propose(Step{Kind: Done, Number: 1 + h.rng.Uint32N(h.state.LastWindow+1), By: 2})
		case 8:
			h.traffic = float64(len(h.machines)) * (2 + 10*h.rng.Float64())
		}
	}
	// No more faults from here on: there is one leader, and operators resume plans and complete work.
	h.calm, h.traffic = true, 4*float64(len(h.machines))
	h.leaders = nil
	electLeader()
	for range 4 * 60 * 60 {
		h.step()
		for _, plan := range h.state.Plans {
			if plan.Paused != "" && h.rng.IntN(20) == 0 {
				h.propose(Step{Kind: Resumed, Number: plan.Number, By: 1})
			}
		}
		for _, window := range h.state.Windows {
			if _, working := h.workUntil[window.Number]; window.Phase == Free && !working && h.rng.IntN(20) == 0 {
				h.propose(Step{Kind: Done, Number: window.Number, By: 1})
			}
		}
		if len(h.state.Plans) == 0 && len(h.state.Windows) == 0 {
			return h
		}
	}
	h.addViolation("plans or windows are still open one hour after the last fault: %+v", h.state)
	return h
}

// Whichever proposals are delayed, duplicated or lost, and however many leaders believe that they lead: no machine
// has two open windows, the machines that are out stay within the bounds of every active plan, window numbers
// increase, and all plans end once the faults stop.
func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	total := make(map[string]int)
	for s := first; s <= last; s++ {
		h := runHistory(s)
		if h.violations != nil {
			t.Fatalf("seed %d: violations %q", s, h.violations[:min(len(h.violations), 5)])
		}
		var replayed State
		for _, step := range h.log {
			replayed.Apply(step)
		}
		if fmt.Sprint(replayed) != fmt.Sprint(h.state) {
			t.Fatalf("seed %d: replaying the log gives another state than the run had", s)
		}
		for kind, n := range h.counts {
			total[kind] += n
		}
	}
	t.Logf("%d histories: %v", last-first+1, total)
	for _, kind := range []string{
		"given", "free", "withdrawn", "done", "over", "paused", "resumed", "cancelled", "finished",
		"leads", "refused",
	} {
		if *seed == 0 && total[kind] == 0 {
			t.Errorf("no history had an entry that was counted as %q", kind)
		}
	}
}
