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
	// priorRequests is the number of requests that the model knows from before a history that begins
	// with a full request log. The request log no longer contains the first half of them.
	priorRequests = 4
)

// answerCounts is the number of requests for each answer, indexed by answer.
type answerCounts [3]int

// fullLog is a snapshot whose request log is full, with the first and last of the requests that led to
// the snapshot.
type fullLog struct {
	snapshot []byte
	requests []testRequest // in the order in which they were applied
}

// fullRequestLog returns a snapshot with a full request log. It is computed once for all histories that
// begin with the snapshot.
var fullRequestLog = sync.OnceValue(func() (full fullLog) {
	const logCapacity = 4096 // changes that the request log holds
	const last = logCapacity + 3
	configuration := config.Empty()
	for base := range int64(last) {
		request := testRequest{version: base + 1, base: base, service: "a"}
		change, err := config.ParseReplace([]byte(request.body(0)))
		if err != nil {
			panic(err)
		}
		configuration, _, _ = configuration.Apply(change)
		if base < priorRequests/2 || base >= last-priorRequests/2 {
			full.requests = append(full.requests, request)
		}
	}
	full.snapshot = []byte(encoded(configuration))
	return full
})

// replica is a state machine with the number of log entries delivered to it and the snapshot on its
// disk.
type replica struct {
	machine    *stateMachine
	delivered  int
	snapshot   []byte
	snapshotAt int
}

// pendingRequest is a request that was sent and has not been answered yet.
type pendingRequest struct {
	request   int   // position in simulation.requests
	invokedAt int64 // on the simulation's clock
	result    <-chan proposalResult
	proposal  proposalID
}

// simulation is a replicated log with its replicas, and operators that send change requests to the
// leader.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	requests     []testRequest
	start        modelState
	committed    [][]byte
	uncommitted  [][]byte // commands proposed by the leader and not yet committed
	delayed      []int    // requests of which a copy arrives later
	replicas     [replicas]*replica
	leader       int
	waiting      []pendingRequest
	clock        int64
	lastProposal proposalID
	operations   []porcupine.Operation
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
	if seed%4 == 0 { // a quarter of the histories begin with a full request log
		sim.requests = append(sim.requests, fullRequestLog().requests...)
		sim.start = modelState{newest: priorRequests - 1, applied: 1<<priorRequests - 1}
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

// restart restarts a replica from the snapshot on its disk.
func (sim *simulation) restart(r *replica) {
	r.machine, r.delivered = newStateMachine(zap.NewNop(), func() {}), r.snapshotAt
	if r.snapshot != nil {
		r.machine.restore(replication.Index(r.snapshotAt), r.snapshot)
		finishQueue(r.machine)
	}
}

// catchUp delivers up to n committed entries to a replica and checks that the replica applies them.
func (sim *simulation) catchUp(r *replica, n int) {
	for ; n > 0 && r.delivered < len(sim.committed); n-- {
		r.machine.apply(replication.Index(r.delivered+1), sim.committed[r.delivered])
		r.delivered++
	}
	finishQueue(r.machine)
	if got := r.machine.appliedIndex(); got != replication.Index(r.delivered) {
		sim.t.Fatalf("replica applied entries up to %d, want %d", got, r.delivered)
	}
}

// drawRequest returns the position of a random request on the version in force, an earlier version or a
// later version. If an equal request already has a position, drawRequest returns that position.
func (sim *simulation) drawRequest() int {
	base := sim.replicas[sim.leader].machine.Current()
	if sim.rng.IntN(4) == 0 {
		base = max(0, base+int64(sim.rng.IntN(5)-2))
	}
	request := testRequest{
		version: base + 1 + int64(sim.rng.IntN(3)),
		base:    base,
		service: string(rune('a' + sim.rng.IntN(3))),
		invalid: sim.rng.IntN(8) == 0,
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

// send sends a new or an earlier request to the leader.
func (sim *simulation) send() {
	i := sim.rng.IntN(len(sim.requests) + 1)
	if sim.rng.IntN(2) == 0 || i == len(sim.requests) {
		i = sim.drawRequest()
	}
	sent := pendingRequest{request: i, invokedAt: sim.now()}
	switch sim.rng.IntN(12) {
	case 0: // the request seems to be lost, but a copy may arrive much later
		sim.delayed = append(sim.delayed, i)
		sim.recordAnswer(sent, undetermined)
		return
	case 1: // the request reaches a former leader
		sim.recordAnswer(sent, undetermined)
		return
	}
	sent.proposal = sim.propose(i)
	sent.result = sim.replicas[sim.leader].machine.expectResult(sent.proposal)
	sim.waiting = append(sim.waiting, sent)
}

// propose proposes a request in a random JSON encoding.
func (sim *simulation) propose(i int) proposalID {
	sim.lastProposal++
	change, err := config.ParseReplace([]byte(sim.requests[i].body(sim.rng.IntN(3))))
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.uncommitted = append(sim.uncommitted, encodeCommand(sim.lastProposal, change))
	return sim.lastProposal
}

// recordAnswer records the answer that an operator received. A request with an undetermined answer may
// take effect at any later time, so its operation never returns.
func (sim *simulation) recordAnswer(sent pendingRequest, a answer) {
	sim.counts[a]++
	returnedAt := sim.now()
	if a == undetermined {
		returnedAt = math.MaxInt64
	}
	sim.record(operationInput{sent.request}, sent.invokedAt, operationOutput{answer: a}, returnedAt)
}

func (sim *simulation) record(input operationInput, invokedAt int64, output operationOutput, returnedAt int64) {
	sim.operations = append(sim.operations, porcupine.Operation{
		ClientId: len(sim.operations),
		Input:    input,
		Call:     invokedAt,
		Output:   output,
		Return:   returnedAt,
	})
}

// collect receives the results that have arrived.
func (sim *simulation) collect() {
	var unanswered []pendingRequest
	for _, sent := range sim.waiting {
		select {
		case result := <-sent.result:
			sim.recordAnswer(sent, sim.answerOf(result))
		default:
			unanswered = append(unanswered, sent)
		}
	}
	sim.waiting = unanswered
}

// answerOf returns the answer that the operator sees for a result. Some answers are lost on their way.
func (sim *simulation) answerOf(result proposalResult) answer {
	switch {
	case sim.rng.IntN(6) == 0 || result.err != nil && errs.KindOf(result.err).Status() >= 500:
		return undetermined
	case result.err != nil:
		return rejected
	}
	return acknowledged
}

// abandonWaiting gives an undetermined answer to all requests that wait for a result from the replica.
func (sim *simulation) abandonWaiting(r *replica) {
	for _, sent := range sim.waiting {
		r.machine.forgetResult(sent.proposal)
		sim.recordAnswer(sent, undetermined)
	}
	sim.waiting = nil
}

// changeLeader makes a random replica the leader. The new leader has a random prefix of the uncommitted
// commands.
func (sim *simulation) changeLeader() {
	sim.abandonWaiting(sim.replicas[sim.leader])
	sim.leader = sim.rng.IntN(replicas)
	sim.uncommitted = sim.uncommitted[:sim.rng.IntN(len(sim.uncommitted)+1)]
}

// read records a read of the configuration at the leader, after the leader has applied all committed
// entries.
func (sim *simulation) read() {
	invokedAt, r := sim.now(), sim.replicas[sim.leader]
	sim.catchUp(r, len(sim.committed))
	sim.collect()
	document := ""
	if r.machine.Current() > 0 {
		document = strings.ReplaceAll(string(r.machine.currentConfig().Document()), `\u0065`, "e")
	}
	sim.record(operationInput{readOperation}, invokedAt, operationOutput{document: document}, sim.now())
}

func (sim *simulation) step() {
	r := sim.replicas[sim.rng.IntN(replicas)]
	switch sim.rng.IntN(20) {
	case 0, 1, 2, 3, 4:
		sim.send()
	case 5, 6, 7, 8: // the leader commits some commands and applies some entries
		n := sim.rng.IntN(len(sim.uncommitted) + 1)
		sim.committed, sim.uncommitted = append(sim.committed, sim.uncommitted[:n]...), sim.uncommitted[n:]
		sim.catchUp(sim.replicas[sim.leader], sim.rng.IntN(4))
		sim.collect()
	case 9, 10: // the leader applies entries
		sim.catchUp(sim.replicas[sim.leader], 1+sim.rng.IntN(4))
		sim.collect()
	case 11, 12: // a random replica applies entries
		sim.catchUp(r, 1+sim.rng.IntN(4))
		sim.collect()
	case 13:
		if sim.rng.IntN(2) == 0 {
			sim.changeLeader()
		}
	case 14, 15: // a random replica writes a snapshot to its disk
		r.snapshot, r.snapshotAt = r.machine.snapshot(), r.delivered
	case 16:
		if r == sim.replicas[sim.leader] {
			sim.changeLeader()
		}
		sim.restart(r)
	case 17:
		sim.installSnapshot(r, sim.replicas[sim.rng.IntN(replicas)])
	case 18: // the oldest delayed copy of a request arrives
		if len(sim.delayed) > 0 {
			sim.propose(sim.delayed[0])
			sim.delayed = sim.delayed[1:]
		}
	case 19:
		sim.read()
	}
}

// installSnapshot restores another replica's snapshot on a replica, if the snapshot is ahead of the
// replica.
func (sim *simulation) installSnapshot(r, from *replica) {
	if from.snapshotAt <= r.delivered {
		return
	}
	r.machine.restore(replication.Index(from.snapshotAt), from.snapshot)
	r.delivered = from.snapshotAt
	sim.catchUp(r, 0)
	sim.collect()
	if r == sim.replicas[sim.leader] && len(sim.waiting) > 0 {
		sim.t.Fatal("a request still waits for a result after its leader has restored a snapshot")
	}
}

// finish delivers all delayed requests, commits all commands, and checks that all replicas have the same
// configuration.
func (sim *simulation) finish() {
	for _, i := range sim.delayed {
		sim.propose(i)
	}
	sim.committed = append(sim.committed, sim.uncommitted...)
	sim.read()
	invokedAt := sim.now()
	sim.record(operationInput{endOfHistory}, invokedAt, operationOutput{}, sim.now())
	if len(sim.waiting) > 0 {
		sim.t.Fatalf("%d requests have no result after all commands were applied", len(sim.waiting))
	}
	want := encoded(sim.replicas[sim.leader].machine.currentConfig())
	for _, r := range sim.replicas {
		sim.catchUp(r, len(sim.committed))
		if got := encoded(r.machine.currentConfig()); got != want {
			sim.t.Fatalf("configurations of the replicas differ:\ngot  %s\nwant %s", got, want)
		}
	}
}
