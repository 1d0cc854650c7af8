package controlplane

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

const (
	replicas = 3
	// earlierRequests are known to the model when a history begins with a full request log: the
	// first half of them is forgotten.
	earlierRequests = 4
)

// answerCounts are how many requests got each answer.
type answerCounts [3]int

// fullLog is a snapshot whose request log is full, with some of the requests that led there.
type fullLog struct {
	snapshot []byte
	requests []testRequest // the newest last
}

// fullRequestLog is computed once, for all histories that begin with it.
var fullRequestLog = sync.OnceValue(func() (full fullLog) {
	const remembered = 4096 // by the request log
	const last = remembered + 3
	configuration := config.Empty()
	for base := range int64(last) {
		request := testRequest{version: base + 1, base: base, service: "a"}
		change, err := config.ParseReplace([]byte(request.body(0)))
		if err != nil {
			panic(err)
		}
		configuration, _, _ = configuration.Apply(change)
		if base < earlierRequests/2 || base >= last-earlierRequests/2 {
			full.requests = append(full.requests, request)
		}
	}
	full.snapshot = []byte(encoded(configuration))
	return full
})

// replica is a state machine with how much of the log was delivered to it, and the snapshot on its
// disk.
type replica struct {
	machine    *stateMachine
	delivered  int
	snapshot   []byte
	snapshotAt int
}

// pendingRequest is a request that was sent and has no answer yet.
type pendingRequest struct {
	request  int   // position in simulation.requests
	called   int64 // by the simulation's clock
	result   <-chan proposalResult
	proposal proposalID
}

// simulation is a replicated log with its replicas, and operators that send change requests to it.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	requests     []testRequest
	start        modelState
	committed    [][]byte
	pending      [][]byte // proposed by the leader, not committed
	delayed      []int    // requests of which a copy is still on its way
	replicas     [replicas]*replica
	leader       int
	waiting      []pendingRequest
	clock        int64
	lastProposal proposalID
	done         []porcupine.Operation
	counts       *answerCounts
}

func newSimulation(t *testing.T, seed uint64, counts *answerCounts) *simulation {
	t.Helper()
	sim := &simulation{
		t:      t,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		start:  modelState{newest: -1},
		counts: counts,
	}
	for i := range sim.replicas {
		sim.replicas[i] = &replica{}
	}
	if seed%4 == 0 { // a quarter of the histories begins with a full request log
		sim.requests = append(sim.requests, fullRequestLog().requests...)
		sim.start = modelState{newest: earlierRequests - 1, applied: 1<<earlierRequests - 1}
		for _, r := range sim.replicas {
			r.snapshot = fullRequestLog().snapshot
		}
	}
	for _, r := range sim.replicas {
		sim.restart(r)
	}
	return sim
}

func (sim *simulation) now() int64 {
	sim.clock++
	return sim.clock
}

// restart has a replica start again from the snapshot on its disk.
func (sim *simulation) restart(r *replica) {
	r.machine, r.delivered = newStateMachine(zap.NewNop(), func() {}), r.snapshotAt
	if r.snapshot != nil {
		r.machine.restore(replication.Index(r.snapshotAt), r.snapshot)
		finishQueue(r.machine)
	}
}

// catchUp delivers up to n entries to a replica.
func (sim *simulation) catchUp(r *replica, n int) {
	for ; n > 0 && r.delivered < len(sim.committed); n-- {
		r.machine.apply(replication.Index(r.delivered+1), sim.committed[r.delivered])
		r.delivered++
	}
	finishQueue(r.machine)
	if got := r.machine.appliedIndex(); got != replication.Index(r.delivered) {
		sim.t.Fatalf("applied %d of %d", got, r.delivered)
	}
}

// drawRequest draws a request on the version that is in force, on one before or on one to come. It may
// be one that was drawn before.
func (sim *simulation) drawRequest() int {
	base := sim.replicas[sim.leader].machine.Current()
	if sim.rng.IntN(4) == 0 {
		base = max(0, base+int64(sim.rng.IntN(5)-2))
	}
	request := testRequest{
		version: base + 1 + int64(sim.rng.IntN(3)),
		base:    base,
		service: string(rune('a' + sim.rng.IntN(3))),
		broken:  sim.rng.IntN(8) == 0,
	}
	if sim.rng.IntN(10) == 0 {
		request.version = base
	}
	for i, known := range sim.requests {
		if known == request {
			return i
		}
	}
	sim.requests = append(sim.requests, request)
	return len(sim.requests) - 1
}

// send sends a request, a new one or any of those before, to whoever leads.
func (sim *simulation) send() {
	i := sim.rng.IntN(len(sim.requests) + 1)
	if sim.rng.IntN(2) == 0 || i == len(sim.requests) {
		i = sim.drawRequest()
	}
	sent := pendingRequest{request: i, called: sim.now()}
	switch sim.rng.IntN(12) {
	case 0: // lost on its way, or so it seems: a copy may arrive much later
		sim.delayed = append(sim.delayed, i)
		sim.recordAnswer(sent, unclear)
		return
	case 1: // it reaches one that led before
		sim.recordAnswer(sent, unclear)
		return
	}
	sent.proposal = sim.propose(i)
	sent.result = sim.replicas[sim.leader].machine.expectResult(sent.proposal)
	sim.waiting = append(sim.waiting, sent)
}

// propose proposes a request in a drawn spelling.
func (sim *simulation) propose(i int) proposalID {
	sim.lastProposal++
	change, err := config.ParseReplace([]byte(sim.requests[i].body(sim.rng.IntN(3))))
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.pending = append(sim.pending, encodeCommand(sim.lastProposal, change))
	return sim.lastProposal
}

// recordAnswer records what an operator got. Without a clear answer the request may take effect later.
func (sim *simulation) recordAnswer(sent pendingRequest, a answer) {
	sim.counts[a]++
	returned := sim.now()
	if a == unclear {
		returned = math.MaxInt64
	}
	sim.record(call{sent.request}, sent.called, reply{answer: a}, returned)
}

func (sim *simulation) record(input call, called int64, output reply, returned int64) {
	sim.done = append(sim.done, porcupine.Operation{
		ClientId: len(sim.done),
		Input:    input,
		Call:     called,
		Output:   output,
		Return:   returned,
	})
}

// collect receives the results that are there; some answers are lost.
func (sim *simulation) collect() {
	var still []pendingRequest
	for _, sent := range sim.waiting {
		select {
		case result := <-sent.result:
			sim.recordAnswer(sent, sim.answerOf(result))
		default:
			still = append(still, sent)
		}
	}
	sim.waiting = still
}

// answerOf is what reaches the operator of a result.
func (sim *simulation) answerOf(result proposalResult) answer {
	switch {
	case sim.rng.IntN(6) == 0 || result.err != nil && errs.KindOf(result.err).Status() >= 500:
		return unclear
	case result.err != nil:
		return rejected
	}
	return confirmed
}

// abandon leaves all who wait without a clear answer.
func (sim *simulation) abandon(r *replica) {
	for _, sent := range sim.waiting {
		r.machine.forgetResult(sent.proposal)
		sim.recordAnswer(sent, unclear)
	}
	sim.waiting = nil
}

// changeLeader makes a drawn replica the leader, which has some of what was not committed.
func (sim *simulation) changeLeader() {
	sim.abandon(sim.replicas[sim.leader])
	sim.leader = sim.rng.IntN(replicas)
	sim.pending = sim.pending[:sim.rng.IntN(len(sim.pending)+1)]
}

// read describes the configuration at the leader, which has first applied all that is committed.
func (sim *simulation) read() {
	called, r := sim.now(), sim.replicas[sim.leader]
	sim.catchUp(r, len(sim.committed))
	sim.collect()
	document := ""
	if r.machine.Current() > 0 {
		document = strings.ReplaceAll(string(r.machine.currentConfig().Document()), `\u0065`, "e")
	}
	sim.record(call{reading}, called, reply{document: document}, sim.now())
}

func (sim *simulation) step() {
	r := sim.replicas[sim.rng.IntN(replicas)]
	switch sim.rng.IntN(20) {
	case 0, 1, 2, 3, 4:
		sim.send()
	case 5, 6, 7, 8:
		n := sim.rng.IntN(len(sim.pending) + 1)
		sim.committed, sim.pending = append(sim.committed, sim.pending[:n]...), sim.pending[n:]
		sim.catchUp(sim.replicas[sim.leader], sim.rng.IntN(4))
		sim.collect()
	case 9, 10:
		sim.catchUp(sim.replicas[sim.leader], 1+sim.rng.IntN(4))
		sim.collect()
	case 11, 12:
		sim.catchUp(r, 1+sim.rng.IntN(4))
		sim.collect()
	case 13:
		if sim.rng.IntN(2) == 0 {
			sim.changeLeader()
		}
	case 14, 15:
		r.snapshot, r.snapshotAt = r.machine.snapshot(), r.delivered
	case 16:
		if r == sim.replicas[sim.leader] {
			sim.changeLeader()
		}
		sim.restart(r)
	case 17:
		sim.installSnapshot(r, sim.replicas[sim.rng.IntN(replicas)])
	case 18:
		if len(sim.delayed) > 0 {
			sim.propose(sim.delayed[0])
			sim.delayed = sim.delayed[1:]
		}
	case 19:
		sim.read()
	}
}

// installSnapshot has a replica take another's snapshot, if that is ahead.
func (sim *simulation) installSnapshot(r, from *replica) {
	if from.snapshotAt <= r.delivered {
		return
	}
	r.machine.restore(replication.Index(from.snapshotAt), from.snapshot)
	r.delivered = from.snapshotAt
	sim.catchUp(r, 0)
	sim.collect()
	if r == sim.replicas[sim.leader] && len(sim.waiting) > 0 {
		sim.t.Fatal("a result is awaited that a snapshot includes")
	}
}

// finish has everything arrive that is on its way, and checks that all replicas agree.
func (sim *simulation) finish() {
	for _, i := range sim.delayed {
		sim.propose(i)
	}
	sim.committed = append(sim.committed, sim.pending...)
	sim.read()
	called := sim.now()
	sim.record(call{endOfHistory}, called, reply{}, sim.now())
	if len(sim.waiting) > 0 {
		sim.t.Fatalf("%d results never arrived", len(sim.waiting))
	}
	want := encoded(sim.replicas[sim.leader].machine.currentConfig())
	for _, r := range sim.replicas {
		sim.catchUp(r, len(sim.committed))
		if got := encoded(r.machine.currentConfig()); got != want {
			sim.t.Fatalf("the replicas differ:\n%s\n%s", got, want)
		}
	}
}
