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
	seed      = flag.Uint64("seed", 0, "play the history of this seed alone")
	histories = flag.Int("histories", 150, "how many are played")
)

// history is a fleet's log, and those who write to it: leaders of rising terms, of which the
// earlier ones may go on thinking that they lead, and operators. What they propose comes late,
// twice or never, as the log has it where a leader is lost on the way.
type history struct {
	rng       *rand.Rand
	now       time.Duration
	log       []Step
	late      []proposal
	leaders   []*reader
	machines  []Machine
	plans     map[[32]byte]*Plan
	bounds    map[uint32]*Plan // by number
	state     State            // of the whole log
	broken    []string
	counts    map[string]int
	downUntil []time.Duration
	working   map[uint32]time.Duration // turns that somebody works on, until when
	calm      bool
	term      uint64          // the highest that has begun, by the entries alone
	phase     map[uint32]Kind // of each turn, by the entries alone
	paused    map[uint32]bool // plans
	lastTurn  uint32
	turns     map[[2]uint64]int // by plan and machine: ones that were not withdrawn
	given     map[uint32]Step
	traffic   float64
}

type proposal struct {
	at time.Duration
	Step
}

// reader is a leader, and how much of the log it has.
type reader struct {
	*Leader
	have    int
	state   State
	stopped time.Duration
	deaf    bool // it hears no more of the log, and goes on
}

func (h *history) say(format string, args ...any) {
	h.broken = append(h.broken, fmt.Sprintf("%v: ", h.now)+fmt.Sprintf(format, args...))
}

// propose has an entry come into the log, some time.
func (h *history) propose(s Step) {
	raw, err := s.Encode()
	if err != nil {
		h.say("%+v: %v", s, err)
	}
	back, err := Decode(raw)
	if err != nil {
		h.say("%+v: %v", s, err)
	}
	copies := 1
	if !h.calm {
		copies = []int{0, 1, 1, 1, 1, 2}[h.rng.IntN(6)]
	}
	for range copies {
		late := time.Duration(h.rng.Int64N(int64(200 * time.Millisecond)))
		if !h.calm && h.rng.IntN(10) == 0 {
			late = time.Duration(h.rng.Int64N(int64(2 * time.Minute)))
		}
		h.late = append(h.late, proposal{h.now + late, back})
	}
}

// enter puts an entry into the log, and looks at what has become of the machines from outside: by
// the entries that were accepted alone.
func (h *history) enter(s Step) {
	h.log = append(h.log, s)
	before := len(h.state.Windows)
	refused := h.state.Apply(s)
	if refused != "" {
		h.counts["refused"]++
		return
	}
	h.counts[s.Kind.String()]++
	h.follow(s)
	switch s.Kind {
	case Planned:
		h.bounds[s.Number] = h.plans[s.Hash]
	case Opened:
		if before == len(h.state.Windows) {
			h.say("turn %d was taken and is not there", s.Number)
		}
		out, cells, zones := 0, make(map[int]int), make(map[string]int)
		seen := make(map[uint64]bool)
		for _, t := range h.state.Windows {
			m := find(h.machines, t.Machine)
			if seen[t.Machine] {
				h.say("%s is out twice", m.Name)
			}
			seen[t.Machine] = true
			out++
			cells[m.Cell]++
			zones[m.Zone]++
		}
		m := find(h.machines, s.Machine)
		allCells, allZones := map[int]int{}, map[string]int{}
		for i := range h.machines {
			allCells[h.machines[i].Cell]++
			allZones[h.machines[i].Zone]++
		}
		for _, w := range h.state.Plans {
			b := h.bounds[w.Number].Out
			if out > b.Fleet.limit(len(h.machines)) ||
				cells[m.Cell] > b.Cell.limit(allCells[m.Cell]) || zones[m.Zone] > b.Zone.limit(allZones[m.Zone]) {
				h.say(
					"turn %d: %d out, %d in its cell, %d in its zone, plan %d allows %+v", s.Number,
					out, cells[m.Cell], zones[m.Zone], w.Number, b,
				)
			}
		}
	case Released:
		h.working[s.Number] = h.now + time.Duration(h.rng.Int64N(int64(20*time.Second)))
	}
}

// follow holds an entry that was accepted against those before it.
func (h *history) follow(s Step) {
	after := map[Kind]Kind{Released: Opened, Withdrawn: Opened, Done: Released, Closed: Done}
	switch {
	case s.Kind == LeaderStarted:
		if s.Term <= h.term {
			h.say("the leader of term %d begins behind that of %d", s.Term, h.term)
		}
		h.term = s.Term
	case s.Kind.leaderOnly() && s.Term != h.term:
		h.say("%s of term %d, %d has begun", s.Kind, s.Term, h.term)
	case s.Kind == Paused || s.Kind == Resumed:
		h.paused[s.Number] = s.Kind == Paused
	case s.Kind == Opened:
		if s.Number <= h.lastTurn {
			h.say("turn %d is given behind turn %d", s.Number, h.lastTurn)
		}
		if h.lastTurn = max(h.lastTurn, s.Number); h.paused[s.Plan] {
			h.say("turn %d of a plan that is paused", s.Number)
		}
		if key := [2]uint64{uint64(s.Plan), s.Machine}; h.turns[key] > 0 {
			h.say("a second turn of machine %d in plan %d", s.Machine, s.Plan)
		} else {
			h.turns[key]++
		}
		h.phase[s.Number], h.given[s.Number] = Opened, s
	case after[s.Kind] != 0:
		if h.phase[s.Number] != after[s.Kind] {
			h.say("turn %d is %s, and was %s", s.Number, s.Kind, h.phase[s.Number])
		}
		if h.phase[s.Number] = s.Kind; s.Kind == Withdrawn {
			h.turns[[2]uint64{uint64(h.given[s.Number].Plan), h.given[s.Number].Machine}]--
		}
	case s.Kind == Finished:
		for i := range h.machines {
			if h.turns[[2]uint64{uint64(s.Number), h.machines[i].ID}] == 0 {
				h.say("plan %d is finished, %s has had no turn", s.Number, h.machines[i].Name)
			}
		}
	}
}

// world is what a leader sees: true but for what it can't know.
func (h *history) world(l *reader) *Snapshot {
	w := &Snapshot{
		Now: h.now, Current: h.calm || h.rng.IntN(20) > 0, Traffic: h.traffic, InTime: 1,
		Plan: func(hash [32]byte) (*Plan, bool) { p, ok := h.plans[hash]; return p, ok },
	}
	if !h.calm && h.rng.IntN(8) == 0 {
		w.Unreachable = 1
	}
	if !h.calm && h.rng.IntN(10) == 0 {
		w.InTime = 0.5
	}
	w.Machines = slices.Clone(h.machines)
	for i := range w.Machines {
		if m := &w.Machines[i]; h.now < h.downUntil[i] {
			m.State = MachineDown
		} else if since := h.now - h.downUntil[i]; h.downUntil[i] > 0 && since < 8*time.Second {
			m.Warmth = 0.3 + 0.7*float64(since)/float64(8*time.Second)
		}
	}
	clear := h.rng.IntN(4) == 0 // the last of the attempts out there have ended
	w.Clear = func(uint32) bool { return clear }
	return w
}

// step lets a quarter of a second pass.
func (h *history) step() {
	h.now += 250 * time.Millisecond
	due := slices.DeleteFunc(slices.Clone(h.late), func(p proposal) bool { return p.at > h.now })
	h.late = slices.DeleteFunc(h.late, func(p proposal) bool { return p.at <= h.now })
	h.rng.Shuffle(len(due), func(i, k int) { due[i], due[k] = due[k], due[i] })
	for _, p := range due {
		h.enter(p.Step)
	}
	for _, l := range h.leaders {
		if h.now < l.stopped {
			continue
		}
		for ; l.have < len(h.log) && !l.deaf; l.have++ {
			l.state.Apply(h.log[l.have])
		}
		if step, due := l.Decide(h.world(l), &l.state); due {
			h.propose(step)
		}
	}
	for turn, until := range h.working {
		if h.now >= until {
			delete(h.working, turn)
			if t := h.state.Window(turn); t != nil {
				for i := range h.machines {
					if h.machines[i].ID == t.Machine {
						h.downUntil[i] = h.now + time.Second
						h.machines[i].Started = h.now + time.Second
					}
				}
				h.propose(Step{Kind: Done, Number: turn, By: 1})
			}
		}
	}
}

func play(seed uint64) *history {
	h := &history{
		rng:      rand.New(rand.NewPCG(seed, 5)),
		plans:    make(map[[32]byte]*Plan),
		bounds:   make(map[uint32]*Plan),
		counts:   make(map[string]int),
		working:  make(map[uint32]time.Duration),
		phase:    make(map[uint32]Kind),
		paused:   make(map[uint32]bool),
		turns:    make(map[[2]uint64]int),
		given:    make(map[uint32]Step),
		machines: machines(6 + int(seed%9)),
	}
	h.downUntil = make([]time.Duration, len(h.machines))
	h.traffic = 4 * float64(len(h.machines))
	term := uint64(0)
	lead := func() {
		term++
		l := &reader{Leader: NewLeader(term, int(term))}
		for l.have = 0; l.have < len(h.log); l.have++ {
			l.state.Apply(h.log[l.have])
		}
		h.leaders = append(h.leaders, l)
		if len(h.leaders) > 3 {
			h.leaders = h.leaders[1:]
		}
	}
	lead()
	plan := func() {
		text := fmt.Sprintf(
			"all = true\nbears = 10.0\ncut_off = %q\nlongest = \"%ds\"\n[out]\nfleet = \"%d\"\ncell = \"%d\"\n",
			[]string{ByOperator, AwaitExpiry}[h.rng.IntN(2)], 20+h.rng.IntN(60), 1+h.rng.IntN(3),
			1+h.rng.IntN(2),
		)
		p, err := Parse([]byte(text))
		if err != nil {
			h.say("%v", err)
			return
		}
		hash := [32]byte{byte(len(h.plans) + 1)}
		h.plans[hash] = p
		h.propose(Step{Kind: Planned, Number: h.state.LastPlan + 1, Hash: hash, By: 1})
	}
	plan()
	for range 240 {
		h.step()
		switch h.rng.IntN(60) {
		case 0:
			lead()
		case 1:
			h.leaders[0].stopped = h.now + 10*time.Second
		case 2:
			h.leaders[0].deaf = len(h.leaders) > 1
		case 3, 4:
			i := h.rng.IntN(len(h.machines))
			h.downUntil[i] = h.now + time.Duration(h.rng.Int64N(int64(10*time.Second)))
		case 5:
			if h.state.LastPlan < 4 {
				plan()
			}
		case 6, 9, 10, 11:
			h.propose(
				Step{
					Kind:   []Kind{Paused, Paused, Paused, Resumed, Cancelled}[h.rng.IntN(5)],
					Number: 1 + h.rng.Uint32N(h.state.LastPlan+1), By: 1,
				},
			)
		case 7:
			// for a turn that may be over: its number tells
			h.propose(Step{Kind: Done, Number: 1 + h.rng.Uint32N(h.state.LastWindow+1), By: 2})
		case 8:
			h.traffic = float64(len(h.machines)) * (2 + 10*h.rng.Float64())
		}
	}
	// All is well again: one leader, operators who see to it.
	h.calm, h.traffic = true, 4*float64(len(h.machines))
	h.leaders = nil
	lead()
	for range 4 * 60 * 60 {
		h.step()
		for _, w := range h.state.Plans {
			if w.Paused != "" && h.rng.IntN(20) == 0 {
				h.propose(Step{Kind: Resumed, Number: w.Number, By: 1})
			}
		}
		for _, t := range h.state.Windows {
			if _, worked := h.working[t.Number]; t.Phase == Free && !worked && h.rng.IntN(20) == 0 {
				h.propose(Step{Kind: Done, Number: t.Number, By: 1})
			}
		}
		if len(h.state.Plans) == 0 && len(h.state.Windows) == 0 {
			return h
		}
	}
	h.say("an hour after all is well: %+v", h.state)
	return h
}

// Whatever comes late, twice or never, and whoever thinks that it leads: no machine is out twice,
// never more are out than every plan under way allows, turns' numbers grow, and in the end all
// plans end.
func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	sum := make(map[string]int)
	for s := first; s <= last; s++ {
		h := play(s)
		if h.broken != nil {
			t.Fatalf("seed %d: %q", s, h.broken[:min(len(h.broken), 5)])
		}
		var again State
		for _, e := range h.log {
			again.Apply(e)
		}
		if fmt.Sprint(again) != fmt.Sprint(h.state) {
			t.Fatalf("seed %d: the same entries make another state", s)
		}
		for what, n := range h.counts {
			sum[what] += n
		}
	}
	t.Logf("%d histories: %v", last-first+1, sum)
	for _, what := range []string{
		"given", "free", "withdrawn", "done", "over", "paused", "resumed", "cancelled", "finished",
		"leads", "refused",
	} {
		if *seed == 0 && sum[what] == 0 {
			t.Errorf("nothing was ever %s", what)
		}
	}
}
