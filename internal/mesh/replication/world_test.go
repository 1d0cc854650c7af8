package replication

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a virtual network of members with virtual disks, and the checker that watches them from outside.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	serial int
	ids    []string
	nodes  map[string]*machine
	cut    map[[2]string]bool
	loss   float64
	delay  time.Duration
	// spite makes faults strike where the protocol is at its most delicate:
	// right after a vote, an answer to one that forgot, or an acknowledgement.
	spite bool

	issued  int
	acked   map[uint64]string // index -> command, as told to a proposer
	applied map[uint64]string // index -> command, as first applied anywhere
	places  map[string]uint64 // command -> index
	leaders map[uint64]string // view -> sequencer and its life
	reads   int
	quiet   bool     // no more commands come
	faults  []string // what the checker found
}

// machine is one member, its disk and its application (the list of what it applied).
type machine struct {
	id       string
	life     int
	m        *Member
	born     time.Duration
	frozen   bool
	busy     bool
	saving   *Persist
	full     bool
	slow     time.Duration
	disk     State
	inbox    []delivery
	list     []Entry
	proposed map[uint64]string
	reading  map[uint64][]uint64
	wakes    int
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newWorld(seed uint64, n int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*machine{}, cut: map[[2]string]bool{}, delay: 5 * time.Millisecond,
		acked: map[uint64]string{}, applied: map[uint64]string{}, places: map[string]uint64{}, leaders: map[uint64]string{},
	}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("10.1.0.%d:7620", i))
	}
	for _, id := range w.ids {
		w.nodes[id] = &machine{id: id, disk: State{Members: w.ids, Hard: HardState{Remembers: true}}}
		w.powerOn(id)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + d, serial: w.serial, do: do})
}

// run plays events until the time end, or until stop says so.
func (w *world) run(end time.Duration, stop func() bool) {
	for len(w.events) > 0 && w.events[0].at <= end && len(w.faults) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		if stop != nil && stop() {
			return
		}
	}
	w.now = max(w.now, end)
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) pick() *machine { return w.nodes[w.ids[w.rng.IntN(len(w.ids))]] }

// powerOff loses all that isn't synced; a write on its way is there whole or not at all.
func (w *world) powerOff(n *machine) {
	if n.saving != nil && w.rng.IntN(2) == 0 {
		n.disk.put(n.saving)
	}
	n.life++
	n.m, n.busy, n.saving, n.frozen, n.inbox = nil, false, nil, false, nil
}

func (w *world) powerOn(id string) {
	n := w.nodes[id]
	if n.m != nil {
		return
	}
	n.born = w.now
	n.life++
	n.list, n.proposed, n.reading = nil, map[uint64]string{}, map[uint64][]uint64{}
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	m, err := New(Config{ID: id, State: state, Seed: w.rng.Uint64(), Nonce: w.rng.Uint64()}, 0)
	if err != nil {
		w.fault("%s doesn't start: %v", id, err)
		return
	}
	n.m = m
	if state.Snapshot.Index > 0 {
		n.restore(w, state.Snapshot.Data)
	}
	w.pump(n)
}

func (w *world) wipe(n *machine) {
	w.powerOff(n)
	n.disk = State{Members: w.ids}
}

// put is what a disk holds after p.
func (s *State) put(p *Persist) {
	if p.Hard != nil {
		s.Hard = *p.Hard
	}
	if p.TruncateFrom > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index >= p.TruncateFrom })
	}
	if p.Snapshot != nil {
		s.Snapshot = *p.Snapshot
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	for _, e := range p.Entries {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(old Entry) bool { return old.Index == e.Index })
		s.Entries = append(s.Entries, e)
	}
}

func (n *machine) restore(w *world, data []byte) {
	n.list = nil
	if err := json.Unmarshal(data, &n.list); err != nil {
		w.fault("%s: a snapshot that isn't one: %v", n.id, err)
	}
}

// pump runs a machine as far as it goes: a frozen one or one that waits for its disk doesn't.
func (w *world) pump(n *machine) {
	if n.m == nil || n.frozen || n.busy {
		return
	}
	now := w.now - n.born
	n.m.Tick(now)
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		if w.now-d.at <= staleAfter {
			n.m.Step(now, d.from, d.msgs[0])
		}
	}
	w.drain(n)
}

func (w *world) drain(n *machine) {
	for {
		now := w.now - n.born
		r, some := n.m.Ready(now)
		if !some {
			break
		}
		if r.Persist != nil {
			n.busy, n.saving = true, r.Persist
			life := n.life
			w.after(200*time.Microsecond+w.upTo(n.slow+4*time.Millisecond), func() { w.saved(n, life, r) })
			return
		}
		w.finish(n, &r)
	}
	n.wakes++
	wakes, life := n.wakes, n.life
	w.after(max(0, n.m.NextWake()+n.born-w.now), func() {
		if n.wakes == wakes && n.life == life {
			w.pump(n)
		}
	})
}

func (w *world) saved(n *machine, life int, r Ready) {
	if n.life != life {
		return
	}
	if n.frozen {
		w.after(20*time.Millisecond, func() { w.saved(n, life, r) })
		return
	}
	n.busy, n.saving = false, nil
	if n.full {
		if w.rng.IntN(2) == 0 {
			// A refused write may have got there all the same.
			n.disk.put(r.Persist)
		}
		n.m.Failed(w.now-n.born, &r)
	} else {
		n.disk.put(r.Persist)
		w.finish(n, &r)
	}
	w.drain(n)
	w.pump(n)
}

// finish does the rest of a Ready and checks what can be seen from outside.
func (w *world) finish(n *machine, r *Ready) {
	for _, e := range r.Messages {
		w.send(n.id, e.To, e.Message)
	}
	if r.Restore != nil {
		n.restore(w, r.Restore.Data)
	}
	for _, e := range r.Committed {
		if len(e.Cmd) == 0 {
			continue
		}
		cmd := string(e.Cmd)
		if len(n.list) > 0 && n.list[len(n.list)-1].Index >= e.Index {
			w.fault("%s applies %d after %d", n.id, e.Index, n.list[len(n.list)-1].Index)
		}
		if was, ok := w.applied[e.Index]; ok && was != cmd {
			w.fault("%s applies %q at %d, where %q was", n.id, cmd, e.Index, was)
		}
		if was, ok := w.places[cmd]; ok && was != e.Index {
			w.fault("%s applies %q at %d and at %d", n.id, cmd, was, e.Index)
		}
		w.applied[e.Index], w.places[cmd] = cmd, e.Index
		n.list = append(n.list, e)
	}
	n.m.Advance(w.now-n.born, r)
	for _, s := range r.Proposals {
		if !s.Aborted {
			w.acked[s.Index] = n.proposed[s.Token]
			if w.applied[s.Index] != n.proposed[s.Token] {
				w.fault("%s acknowledges %q at %d, where %q was applied", n.id, n.proposed[s.Token], s.Index, w.applied[s.Index])
			}
		}
		delete(n.proposed, s.Token)
	}
	for _, s := range r.Reads {
		if !s.Aborted {
			w.reads++
			for _, index := range n.reading[s.Token] {
				if !slices.ContainsFunc(n.list, func(e Entry) bool { return e.Index == index }) {
					w.fault("a read at %s lacks %d, acknowledged before it began", n.id, index)
				}
			}
		}
		delete(n.reading, s.Token)
	}
	if n.m.WantsSnapshot() {
		data, err := json.Marshal(n.list)
		if err != nil {
			w.fault("%v", err)
		}
		n.m.Compact(data)
	}
	if n.m.role == sequencer {
		me := fmt.Sprintf("%s life %d", n.id, n.life)
		if was, ok := w.leaders[n.m.hard.View]; ok && was != me {
			w.fault("view %d has two sequencers: %s and %s", n.m.hard.View, was, me)
		}
		w.leaders[n.m.hard.View] = me
	}
}

// send carries a message as JSON would: late, twice, or not at all.
func (w *world) send(from, to string, msg Message) {
	copies := 1
	if w.loss > 0 && w.rng.Float64() < w.loss {
		copies = w.rng.IntN(2) * 2
	}
	late := time.Duration(0)
	if w.spite {
		if w.rng.IntN(30) == 0 {
			late = w.upTo(1500 * time.Millisecond)
		}
		odds := map[Kind]int{KindBallot: 4, KindBallotAnswer: 3, KindRecoverAnswer: 6, KindAppendAnswer: 400}[msg.Kind]
		if odds > 0 && w.rng.IntN(odds) == 0 {
			w.after(w.upTo(10*time.Millisecond), func() { w.strike(w.nodes[from]) })
		}
	}
	for range copies {
		w.after(time.Millisecond+late+w.upTo(w.delay), func() {
			n := w.nodes[to]
			if w.cut[[2]string{from, to}] || n.m == nil {
				return
			}
			n.inbox = append(n.inbox, delivery{from: from, msgs: []Message{msg}, at: w.now})
			w.pump(n)
		})
	}
}

// propose puts a command to every member that takes one, and reads there as often as not.
func (w *world) propose() {
	for _, id := range w.ids {
		n := w.nodes[id]
		if n.m == nil || n.frozen || n.busy {
			continue
		}
		cmd := fmt.Sprintf("command %d", w.issued)
		if token, err := n.m.Propose(w.now-n.born, []byte(cmd)); err == nil {
			w.issued++
			n.proposed[token] = cmd
		}
		if w.rng.IntN(2) == 0 {
			if token, err := n.m.Read(w.now - n.born); err == nil {
				known := make([]uint64, 0, len(w.acked))
				for index := range w.acked {
					known = append(known, index)
				}
				n.reading[token] = known
			}
		}
		w.pump(n)
	}
}

// clients proposes every so often for as long as the world runs.
func (w *world) clients(every time.Duration) {
	if w.quiet {
		return
	}
	w.propose()
	w.after(every/2+w.upTo(every), func() { w.clients(every) })
}

// forgetful counts the members other than one whose disk doesn't remember.
func (w *world) forgetful(but *machine) int {
	k := 0
	for _, n := range w.nodes {
		if n != but && !n.disk.Hard.Remembers {
			k++
		}
	}
	return k
}

// split parts the members into two sides that don't hear each other, chosen by lot.
func (w *world) split() {
	side := map[string]bool{}
	for _, id := range w.ids {
		side[id] = w.rng.IntN(2) == 0
	}
	w.cut = map[[2]string]bool{}
	for _, from := range w.ids {
		for _, to := range w.ids {
			w.cut[[2]string{from, to}] = side[from] != side[to]
		}
	}
}

// strike power-cycles a member, with its disk or without, or parts the network anew.
func (w *world) strike(n *machine) {
	if !w.spite {
		return
	}
	switch w.rng.IntN(5) {
	case 0:
		w.powerOff(n)
	case 1, 2:
		if w.forgetful(n)+1 > len(w.ids)/2 {
			return
		}
		w.wipe(n)
	case 3:
		w.split()
		return
	case 4:
		w.cut = map[[2]string]bool{}
		return
	}
	w.after(w.upTo(150*time.Millisecond), func() { w.powerOn(n.id) })
}

// hurt does one random fault.
func (w *world) hurt() {
	n := w.pick()
	if w.rng.IntN(2) == 0 {
		for _, id := range w.ids {
			if m := w.nodes[id].m; m != nil && m.role == sequencer {
				n = w.nodes[id]
			}
		}
	}
	switch w.rng.IntN(14) {
	case 0, 1:
		w.powerOff(n)
		w.after(w.upTo(1500*time.Millisecond), func() { w.powerOn(n.id) })
	case 2:
		for _, id := range w.ids {
			w.powerOff(w.nodes[id])
			w.after(w.upTo(600*time.Millisecond), func() { w.powerOn(id) })
		}
	case 3, 4, 5:
		if w.forgetful(n)+1 > len(w.ids)/2 {
			return
		}
		w.wipe(n)
		w.after(w.upTo(300*time.Millisecond), func() { w.powerOn(n.id) })
		if w.rng.IntN(3) == 0 {
			for _, id := range w.ids {
				if id != n.id {
					w.powerOff(w.nodes[id])
					w.after(w.upTo(600*time.Millisecond), func() { w.powerOn(id) })
				}
			}
		}
	case 6:
		n.frozen = true
		w.after(w.upTo(1500*time.Millisecond), func() { n.frozen = false; w.pump(n) })
	case 7:
		w.cut[[2]string{n.id, w.pick().id}] = true
	case 8:
		for _, id := range w.ids {
			w.cut[[2]string{n.id, id}], w.cut[[2]string{id, n.id}] = true, true
		}
	case 9:
		n.full = true
		w.after(w.upTo(1500*time.Millisecond), func() { n.full = false })
	case 10:
		n.slow = w.upTo(1500 * time.Millisecond)
		w.after(w.upTo(2*time.Second), func() { n.slow = 0 })
	case 11, 12:
		w.split()
	case 13:
		w.loss, w.delay = w.rng.Float64()/2, w.upTo(200*time.Millisecond)
	}
}

// heal ends all trouble.
func (w *world) heal() {
	w.cut, w.loss, w.delay, w.spite = map[[2]string]bool{}, 0, 5*time.Millisecond, false
	for _, id := range w.ids {
		n := w.nodes[id]
		n.full, n.slow, n.frozen = false, 0, false
		w.powerOn(id)
		w.pump(n)
	}
}

// settle checks that the members are live within 2 s and agree on all that was acknowledged.
func (w *world) settle() {
	acked, since := len(w.acked), w.now
	w.clients(20 * time.Millisecond)
	w.run(since+2*time.Second, func() bool { return len(w.acked) > acked })
	if len(w.acked) == acked {
		w.fault("nothing was committed within 2 s of the last fault")
	}
	w.quiet = true
	w.run(w.now+3*time.Second, nil)
	if len(w.faults) > 0 {
		return
	}
	for _, id := range w.ids {
		n := w.nodes[id]
		if !n.m.Remembers() {
			w.fault("%s hasn't recovered", id)
		}
		if len(n.list) != len(w.applied) {
			w.fault("%s has applied %d of %d commands", id, len(n.list), len(w.applied))
		}
		for _, e := range n.list {
			if w.applied[e.Index] != string(e.Cmd) {
				w.fault("%s holds %q at %d, where %q was applied", id, e.Cmd, e.Index, w.applied[e.Index])
			}
		}
	}
	for index, cmd := range w.acked {
		if w.applied[index] != cmd {
			w.fault("%q was acknowledged at %d, where %q is", cmd, index, w.applied[index])
		}
	}
}
