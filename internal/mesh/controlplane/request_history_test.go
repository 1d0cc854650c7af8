package controlplane

import (
	"flag"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
)

var (
	seed      = flag.Uint64("seed", 0, "play the history of this seed alone")
	histories = flag.Int("histories", 200, "how many are played")
)

const (
	replicas = 3
	steps    = 90
	// earlierOrders stand in the record before a long history begins: two are forgotten.
	earlierOrders = 4
	checkTime     = 20 * time.Second
)

// long is a snapshot whose record is full, with some of the orders that led there, the newest last.
var long = sync.OnceValue(func() (s struct {
	snapshot []byte
	orders   []order
}) {
	configuration := config.Empty()
	const last = 4096 + 3
	for version := range int64(last) {
		o := order{version: version + 1, base: version, service: "a"}
		change, err := config.ParseReplace([]byte(o.body(0)))
		if err != nil {
			panic(err)
		}
		configuration, _, _ = configuration.Apply(change)
		if version < 2 || version >= last-2 {
			s.orders = append(s.orders, o)
		}
	}
	s.snapshot = []byte(encoded(configuration))
	return s
})

// replica is a state machine with how much of the log it was handed, and the snapshot on its disk.
type replica struct {
	machine    *stateMachine
	handed     int
	snapshot   []byte
	snapshotAt int
}

// sending is an order on its way, until it has an answer.
type sending struct {
	order  int
	called int64
	told   <-chan proposalResult
	number proposalID
}

// world is a log with its replicas, and operators that send orders to it.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	orders    []order
	start     modelState
	committed [][]byte
	pending   [][]byte // by the leader, and not committed
	delayed   []int    // copies of orders that are still on their way
	replicas  [replicas]*replica
	leader    int
	waiting   []sending
	clock     int64
	number    proposalID
	done      []porcupine.Operation
	counts    *[3]int
}

func newWorld(t *testing.T, seed uint64, counts *[3]int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), start: modelState{newest: -1}, counts: counts}
	for i := range w.replicas {
		w.replicas[i] = &replica{}
	}
	if seed%4 == 0 {
		w.orders = append(w.orders, long().orders...)
		w.start = modelState{newest: earlierOrders - 1, taken: 1<<earlierOrders - 1}
		for _, r := range w.replicas {
			r.snapshot = long().snapshot
		}
	}
	for _, r := range w.replicas {
		w.restart(r)
	}
	return w
}

func (w *world) now() int64 {
	w.clock++
	return w.clock
}

// restart has a replica begin anew with the snapshot on its disk.
func (w *world) restart(r *replica) {
	r.machine, r.handed = newStateMachine(zap.NewNop(), func() {}), r.snapshotAt
	if r.snapshot != nil {
		r.machine.restore(uint64(r.snapshotAt), r.snapshot)
		settle(r.machine)
	}
}

// catchUp hands a replica up to n entries.
func (w *world) catchUp(r *replica, n int) {
	for ; n > 0 && r.handed < len(w.committed); n-- {
		r.machine.apply(uint64(r.handed+1), w.committed[r.handed])
		r.handed++
	}
	settle(r.machine)
	if got := r.machine.appliedIndex(); got != uint64(r.handed) {
		w.t.Fatalf("applied %d of %d", got, r.handed)
	}
}

// invent makes up a new order: on the version that is in place, on one before or on one to come.
func (w *world) invent() int {
	base := w.replicas[w.leader].machine.Current()
	if w.rng.IntN(4) == 0 {
		base = max(0, base+int64(w.rng.IntN(5)-2))
	}
	o := order{version: base + 1 + int64(w.rng.IntN(3)), base: base, service: string(rune('a' + w.rng.IntN(3))), broken: w.rng.IntN(8) == 0}
	if w.rng.IntN(10) == 0 {
		o.version = base
	}
	for i, known := range w.orders {
		if known == o {
			return i
		}
	}
	w.orders = append(w.orders, o)
	return len(w.orders) - 1
}

// send sends an order, a new one or any of those before, to whoever leads.
func (w *world) send() {
	i := w.rng.IntN(len(w.orders) + 1)
	if w.rng.IntN(2) == 0 || i == len(w.orders) {
		i = w.invent()
	}
	s := sending{order: i, called: w.now()}
	switch w.rng.IntN(12) {
	case 0: // lost on its way, or so it seems: a copy may arrive much later
		w.delayed = append(w.delayed, i)
		w.answered(s, unclear)
		return
	case 1: // it reaches one that led before
		w.answered(s, unclear)
		return
	}
	s.number = w.propose(i)
	s.told = w.replicas[w.leader].machine.expectResult(s.number)
	w.waiting = append(w.waiting, s)
}

func (w *world) propose(i int) proposalID {
	w.number++
	change, err := config.ParseReplace([]byte(w.orders[i].body(w.rng.IntN(3))))
	if err != nil {
		w.t.Fatal(err)
	}
	w.pending = append(w.pending, encodeCommand(w.number, change))
	return w.number
}

// answered notes what an operator heard. Without a clear answer the order may take effect later.
func (w *world) answered(s sending, a answer) {
	w.counts[a]++
	returned := w.now()
	if a == unclear {
		returned = math.MaxInt64
	}
	w.done = append(w.done, porcupine.Operation{ClientId: len(w.done), Input: call{s.order}, Call: s.called, Output: reply{answer: a}, Return: returned})
}

// collect hands out the verdicts that were told; some are lost.
func (w *world) collect() {
	var still []sending
	for _, s := range w.waiting {
		select {
		case v := <-s.told:
			w.answered(s, w.heard(v))
		default:
			still = append(still, s)
		}
	}
	w.waiting = still
}

func (w *world) heard(v proposalResult) answer {
	switch {
	case w.rng.IntN(6) == 0 || v.err != nil && errs.KindOf(v.err).Status() >= 500:
		return unclear
	case v.err != nil:
		return refused
	}
	return confirmed
}

// abandon leaves all who wait without a clear answer.
func (w *world) abandon(r *replica) {
	for _, s := range w.waiting {
		r.machine.forgetResult(s.number)
		w.answered(s, unclear)
	}
	w.waiting = nil
}

// change makes another replica the leader, which has some of what was not committed.
func (w *world) change() {
	w.abandon(w.replicas[w.leader])
	w.leader = w.rng.IntN(replicas)
	w.pending = w.pending[:w.rng.IntN(len(w.pending)+1)]
}

// read reads at the leader, which has first applied all that is committed.
func (w *world) read() {
	called, r := w.now(), w.replicas[w.leader]
	w.catchUp(r, len(w.committed))
	w.collect()
	document := ""
	if r.machine.Current() > 0 {
		document = strings.ReplaceAll(string(r.machine.currentConfig().Document()), `\u0065`, "e")
	}
	w.done = append(w.done, porcupine.Operation{ClientId: len(w.done), Input: call{reading}, Call: called, Output: reply{document: document}, Return: w.now()})
}

func (w *world) step() {
	r := w.replicas[w.rng.IntN(replicas)]
	switch w.rng.IntN(20) {
	case 0, 1, 2, 3, 4:
		w.send()
	case 5, 6, 7, 8:
		n := w.rng.IntN(len(w.pending) + 1)
		w.committed, w.pending = append(w.committed, w.pending[:n]...), w.pending[n:]
		w.catchUp(w.replicas[w.leader], w.rng.IntN(4))
		w.collect()
	case 9, 10:
		w.catchUp(w.replicas[w.leader], 1+w.rng.IntN(4))
		w.collect()
	case 11, 12:
		w.catchUp(r, 1+w.rng.IntN(4))
		w.collect()
	case 13:
		if w.rng.IntN(2) == 0 {
			w.change()
		}
	case 14, 15:
		r.snapshot, r.snapshotAt = r.machine.snapshot(), r.handed
	case 16:
		if r == w.replicas[w.leader] {
			w.change()
		}
		w.restart(r)
	case 17: // a snapshot of another's
		if from := w.replicas[w.rng.IntN(replicas)]; from.snapshotAt > r.handed {
			r.machine.restore(uint64(from.snapshotAt), from.snapshot)
			r.handed = from.snapshotAt
			w.catchUp(r, 0)
			w.collect()
			if r == w.replicas[w.leader] && len(w.waiting) > 0 {
				w.t.Fatal("a proposalResult is awaited that a snapshot stands for")
			}
		}
	case 18:
		if len(w.delayed) > 0 {
			w.propose(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 19:
		w.read()
	}
}

// finish has all that is on its way arrive, and all replicas agree.
func (w *world) finish() {
	for _, i := range w.delayed {
		w.propose(i)
	}
	w.committed = append(w.committed, w.pending...)
	w.read()
	w.done = append(w.done, porcupine.Operation{ClientId: len(w.done), Input: call{theEnd}, Call: w.now(), Output: reply{}, Return: w.now()})
	if len(w.waiting) > 0 {
		w.t.Fatalf("%d verdicts were never told", len(w.waiting))
	}
	want := encoded(w.replicas[w.leader].machine.currentConfig())
	for _, r := range w.replicas {
		w.catchUp(r, len(w.committed))
		if got := encoded(r.machine.currentConfig()); got != want {
			w.t.Fatalf("the replicas differ:\n%s\n%s", got, want)
		}
	}
}

// TestOrderHistories plays operators that send orders, and send them again, over a log whose leaders
// change and whose replicas lag, restart and catch up by snapshots, while answers are lost and copies
// arrive late. What the operators heard must be what a single copy of the model could have said.
func TestOrderHistories(t *testing.T) {
	first, n := uint64(1), *histories
	if *seed != 0 {
		first, n = *seed, 1
	}
	counts := new([3]int)
	for s := first; s < first+uint64(n) && !t.Failed(); s++ {
		w := newWorld(t, s, counts)
		t.Logf("seed %d", s)
		for range steps {
			w.step()
		}
		w.finish()
		if got := porcupine.CheckOperationsTimeout(ordersModel(w.orders, w.start), w.done, checkTime); got != porcupine.Ok {
			for _, op := range w.done {
				t.Logf("%+v %+v", op, w.orders[max(0, op.Input.(call).order)])
			}
			t.Fatalf("seed %d: %s", s, got)
		}
	}
	t.Logf("%d unclear, %d confirmed, %d refused", counts[unclear], counts[confirmed], counts[refused])
}
