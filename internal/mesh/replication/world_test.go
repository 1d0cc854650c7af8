package replication

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// catchUp is how long a machine that is back counts as lost, and how long a replacement may take.
	catchUp = 4 * time.Second
	// liveWithin is how long a proposal may take while no more than the tolerated machines are lost.
	liveWithin = 3 * time.Second
	// maxOutstanding bounds the calls that wait at one machine, so that the search for an order of
	// them stays short.
	maxOutstanding = 3
)

// world is a virtual network of machines with virtual disks, and the checker that watches them from
// outside. It plays one history; the seed determines all of it.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	serial int
	// faultTolerance is how many machines may be lost at once; target is the size of the membership.
	faultTolerance, target int
	cluster                ClusterID
	machines               []*machine
	at                     map[string]*machine // address -> its machine
	network
	// wild faults come in any number at once, but for lost disks.
	wild bool
	// spite makes faults strike where the protocol is at its most delicate: right after a vote, an
	// acknowledgement or a piece of a snapshot.
	spite bool
	// healed says that no more faults come.
	healed bool
	// padding is how large snapshots are beside what they hold, and commandPadding commands.
	padding, commandPadding int
	quiet                   bool // no more commands come
	manageOff               bool // the membership stays as it is
	counts                  map[string]int
	checker
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

// machine is one core machine, its disk and its application.
type machine struct {
	address string
	id      MemberID
	// founder says that the machine is one of the first voters and has its first disk.
	founder bool
	life    int
	replica *Replica
	born    time.Duration
	frozen  bool
	busy    bool
	saving  *WriteBatch
	full    bool
	slow    time.Duration
	disk    State
	inbox   []delivery
	wakes   int
	// gone says that the machine never comes back; leaving that it wants to be replaced.
	gone, leaving bool
	// lostUntil is until when the machine counts as lost.
	lostUntil time.Duration
	manage    bool
	announced map[MemberID]announcement
	appState
	contact       contactTracker
	contactLeader MemberID
	contactTerm   Term
	proposed      map[Token]*operation
	reading       map[Token]*operation
}

// applied is a command and its place.
type applied struct {
	index Index
	id    int
}

// appState is what a machine has applied: a list of commands on a register that each of
// them compares and sets. done follows it late, as a queue would.
type appState struct {
	list     []applied
	register int
	last     Index
	done     Index
	lag      time.Duration
}

func newWorld(seed uint64, faultTolerance int) *world {
	w := &world{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		faultTolerance: faultTolerance,
		target:         2*faultTolerance + 1,
		at:             map[string]*machine{},
		network:        newNetwork(),
		counts:         map[string]int{},
		checker:        newChecker(),
	}
	for range w.target {
		w.addMachine()
	}
	var seeds []string
	for _, n := range w.machines[:min(3, w.target)] {
		seeds = append(seeds, n.address)
	}
	cluster, membership := Bootstrap(seeds)
	w.cluster = cluster
	w.memberships[0] = membership
	for i, n := range w.machines {
		if i < len(seeds) {
			n.id, n.founder = NewMemberID(n.address, ""), true
			n.disk = State{ID: n.id, Cluster: cluster, Snapshot: Snapshot{Membership: membership}}
		} else {
			w.emptyDisk(n)
		}
		w.after(w.upTo(300*time.Millisecond), func() { w.powerOn(n) })
	}
	w.after(0, w.manageAll)
	w.after(0, w.watch)
	return w
}

// addMachine adds a machine at an address of its own.
func (w *world) addMachine() *machine {
	n := &machine{address: fmt.Sprintf("10.1.0.%d:7620", len(w.machines))}
	w.machines = append(w.machines, n)
	w.at[n.address] = n
	return n
}

// emptyDisk gives a machine a disk that holds nothing but a fresh identity.
func (w *world) emptyDisk(n *machine) {
	n.id = NewMemberID(n.address, fmt.Sprintf("%x", w.rng.Uint32()))
	n.disk = State{ID: n.id, Cluster: w.cluster}
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

func (w *world) count(what string) { w.counts[what]++ }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

// present are the machines that aren't gone for good.
func (w *world) present() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines), func(n *machine) bool { return n.gone })
}

func (w *world) pick() *machine {
	present := w.present()
	return present[w.rng.IntN(len(present))]
}

func (w *world) clock(n *machine) time.Duration { return w.now - n.born }

// leader is the machine that leads in the highest term, nil when none does.
func (w *world) leader() *machine {
	var found *machine
	for _, n := range w.machines {
		if n.replica != nil && n.replica.role == leader && (found == nil || n.replica.hardState.Term > found.replica.hardState.Term) {
			found = n
		}
	}
	return found
}

// powerOff loses all that isn't synced; a write on its way is there whole or not at all.
func (w *world) powerOff(n *machine) {
	if n.saving != nil {
		if w.rng.IntN(2) == 0 {
			n.disk.put(n.saving)
			w.count("write on its way kept")
		} else {
			w.count("write on its way dropped")
		}
	}
	w.abandon(n)
	n.life++
	n.replica, n.busy, n.saving, n.frozen, n.inbox = nil, false, nil, false, nil
}

func (w *world) powerOn(n *machine) {
	if n.replica != nil || n.gone {
		return
	}
	n.born = w.now
	n.life++
	n.appState = appState{lag: n.lag}
	n.proposed, n.reading = map[Token]*operation{}, map[Token]*operation{}
	n.announced = map[MemberID]announcement{}
	n.contact = contactTracker{}
	n.contactLeader, n.contactTerm = "", 0
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	replica, err := NewReplica(ReplicaConfig{State: state, Seed: w.rng.Uint64()}, 0)
	if err != nil {
		w.fault("%s doesn't start: %v", n.id, err)
		return
	}
	n.replica = replica
	if state.Snapshot.Index > 0 {
		w.restore(n, &state.Snapshot)
		n.done = state.Snapshot.Index
	}
	w.pump(n)
}

// wipe takes a machine's disk away; what comes back is another member.
func (w *world) wipe(n *machine) {
	w.powerOff(n)
	n.founder = false
	w.loseID(n.id)
	w.emptyDisk(n)
}

// put is what a disk holds after p.
func (s *State) put(p *WriteBatch) {
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	if p.TruncateFrom > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index >= p.TruncateFrom })
	}
	if p.Snapshot != nil {
		s.Snapshot = *p.Snapshot
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if len(p.Entries) > 0 {
		first, last := p.Entries[0].Index, p.Entries[len(p.Entries)-1].Index
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index >= first && e.Index <= last })
		s.Entries = append(s.Entries, p.Entries...)
	}
}

// pump runs a machine as far as it goes: a frozen one or one that waits for its disk doesn't.
func (w *world) pump(n *machine) {
	if n.replica == nil || n.frozen || n.busy {
		return
	}
	now := w.clock(n)
	n.replica.Tick(now)
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		if now-d.arrivedAt <= maxMessageAge {
			n.replica.Step(now, d.from, d.messages[0])
		}
	}
	if n.manage {
		n.manage = false
		w.manageMembers(n)
	}
	w.drain(n)
}

func (w *world) drain(n *machine) {
	for {
		now := w.clock(n)
		r, some := n.replica.Ready(now)
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
	w.checkReplica(n)
	n.wakes++
	wakes, life := n.wakes, n.life
	wake := n.replica.NextWake()
	if wake == forever {
		return
	}
	w.after(max(0, wake+n.born-w.now), func() {
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
		w.count("write refused")
		if w.rng.IntN(2) == 0 {
			// A refused write may have got there all the same.
			n.disk.put(r.Persist)
		}
		n.replica.PersistFailed(w.clock(n), &r)
	} else {
		n.disk.put(r.Persist)
		w.finish(n, &r)
	}
	w.drain(n)
	w.pump(n)
}

// finish does the rest of a Ready and has it checked.
func (w *world) finish(n *machine, r *Ready) {
	for _, e := range r.Messages {
		w.send(n, e.To, e.Message)
	}
	if r.Restore != nil {
		w.restore(n, r.Restore)
		w.count("snapshot installed")
	}
	for _, e := range r.CommittedEntries {
		w.apply(n, e)
	}
	n.replica.Advance(w.clock(n), r)
	w.follow(n)
	w.settleCalls(n, r)
	if n.replica.ShouldCompact() {
		n.replica.Compact(w.snapshot(n))
		w.count("snapshot taken")
	}
	w.checkReplica(n)
}

// follow brings done to what was applied, after the machine's lag.
func (w *world) follow(n *machine) {
	index, life := n.replica.Applied(), n.life
	if n.lag == 0 {
		n.done = index
		return
	}
	w.after(n.lag, func() {
		if n.life == life {
			n.done = max(n.done, index)
		}
	})
}

// apply applies an entry as the application would.
func (w *world) apply(n *machine, e Entry) {
	if n.last >= e.Index {
		w.fault("%s applies %d after %d", n.id, e.Index, n.last)
	}
	n.last = e.Index
	if e.Kind == EntryMembership {
		w.noteMembership(n, &e)
		return
	}
	if len(e.Command) == 0 {
		return
	}
	a := applied{index: e.Index, id: int(binary.BigEndian.Uint64(e.Command))}
	w.checkPlace(n, a)
	n.list = append(n.list, a)
	n.register = w.commands[a.id].apply(n.register)
}

const appliedBytes = 16

// snapshot is the application's state: the list, and padding that belongs to its index alone.
func (w *world) snapshot(n *machine) []byte {
	data := make([]byte, 8, 8+len(n.list)*appliedBytes+w.padding)
	binary.BigEndian.PutUint64(data, uint64(len(n.list)))
	for _, a := range n.list {
		data = binary.BigEndian.AppendUint64(data, uint64(a.index))
		data = binary.BigEndian.AppendUint64(data, uint64(a.id))
	}
	for len(data)+8 <= cap(data) {
		data = binary.BigEndian.AppendUint64(data, uint64(n.replica.Applied()))
	}
	return data
}

func (w *world) restore(n *machine, s *Snapshot) {
	lag, done := n.lag, n.done
	n.appState = appState{lag: lag, done: done, last: s.Index}
	data := s.Data
	if len(data) < 8 || (len(data)-8)/appliedBytes < int(binary.BigEndian.Uint64(data)) {
		w.fault("%s: a snapshot of %d bytes that is none", n.id, len(data))
		return
	}
	entries := int(binary.BigEndian.Uint64(data))
	data = data[8:]
	for range entries {
		a := applied{index: Index(binary.BigEndian.Uint64(data)), id: int(binary.BigEndian.Uint64(data[8:]))}
		w.checkPlace(n, a)
		n.list = append(n.list, a)
		n.register = w.commands[a.id].apply(n.register)
		data = data[appliedBytes:]
	}
	for ; len(data) >= 8; data = data[8:] {
		if got := Index(binary.BigEndian.Uint64(data)); got != s.Index {
			w.fault("%s: a snapshot at %d holds a part of the one at %d", n.id, s.Index, got)
			return
		}
	}
}

// propose puts a command to every machine that takes one, and reads there as often as not.
func (w *world) propose() {
	for _, n := range w.machines {
		if n.replica == nil || n.frozen || n.busy || n.replica.role != leader && w.rng.IntN(16) > 0 {
			continue
		}
		if len(n.proposed) < maxOutstanding {
			_, _ = w.proposeTo(n)
		}
		if len(n.reading) < maxOutstanding && w.rng.IntN(2) == 0 {
			w.readFrom(n)
		}
		w.pump(n)
	}
}

func (w *world) proposeTo(n *machine) (token Token, err error) {
	c := command{expect: n.register, set: len(w.commands) + 1}
	if w.rng.IntN(4) == 0 {
		c.expect = max(0, c.expect-w.rng.IntN(5))
	}
	data := make([]byte, 8+w.commandPadding)
	binary.BigEndian.PutUint64(data, uint64(len(w.commands)))
	token, err = n.replica.Propose(w.clock(n), data)
	if err != nil {
		return token, err
	}
	op := w.begin(input{kind: compareAndSet, command: c, id: len(w.commands)})
	w.commands = append(w.commands, c)
	n.proposed[token] = op
	return token, nil
}

func (w *world) readFrom(n *machine) {
	token, err := n.replica.Read(w.clock(n))
	if err != nil {
		return
	}
	op := w.begin(input{kind: readRegister})
	op.needs = w.acknowledgedBefore(w.now + 1)
	n.reading[token] = op
}

// clients proposes every so often for as long as the world runs.
func (w *world) clients(every time.Duration) {
	if w.quiet {
		return
	}
	w.propose()
	w.after(every/2+w.upTo(every), func() { w.clients(every) })
}
