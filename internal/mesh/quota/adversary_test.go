package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Tests against random histories of an adversary: clients send as many requests as the limiters admit, faults occur
// at random, and no window of any history may exceed the limit.
const (
	historyStep             = 5 * ms
	historyDuration         = 25 * second
	adversaryTenant         = "a"
	adversaryRequestTimeout = 500 * ms // how long a sidecar waits for a response
	adversaryBackoff        = 100 * ms // between a request that timed out and the next request
)

var (
	histories = flag.Int("histories", 150, "number of random histories to run per test")
	onlySeed  = flag.Uint64("seed", 0, "if above 0, run only the history of this seed")
)

// adversary is the state of one history: a fleet of sidecars, the leader, and the messages in flight between them.
type adversary struct {
	*rand.Rand
	now                time.Duration
	limit              Limit
	limits             []limitChange
	nodes              []*adversaryNode
	leader             *Allocator
	epoch              Epoch
	leaderStalledUntil time.Duration // until then the leader handles no requests
	messages           []delivery
	admitted           []time.Duration // the time of each admitted request

	// Mean time between faults of each kind, 0 if the history has no such faults.
	killInterval, freezeInterval, stallInterval,
	leaderChangeInterval, limitChangeInterval, partitionInterval time.Duration

	slowMessageFraction, lostMessageFraction float64
	burstyClients                            bool // clients send nothing for 3 s, then as much as possible for 3 s

	// The current partition.
	partitionUntil                        time.Duration
	partitioned                           []bool // by node
	requestsDelivered, responsesDelivered bool   // whether this direction still works for partitioned nodes
}

// limitChange is a limit and the time from which it is configured.
type limitChange struct {
	from  time.Duration
	limit Limit
}

// delivery is a message in flight.
type delivery struct {
	at  time.Duration
	run func()
}

// adversaryNode is a sidecar. The incarnation identifies its process, so that messages to an earlier process of the
// sidecar are dropped.
type adversaryNode struct {
	number              int
	name                string
	incarnation         int
	limiter             *LocalLimiter
	runningFrom         time.Duration // start of the current process
	frozenUntil         time.Duration
	awaitsResponseUntil time.Duration // for the request in flight
	nextRequestAt       time.Duration // earliest time of the next request
}

func newAdversary(t *testing.T, seed uint64, members int) *adversary {
	t.Helper()
	a := &adversary{
		Rand:  rand.New(rand.NewPCG(seed, 7)),
		nodes: make([]*adversaryNode, members), partitioned: make([]bool, members),
	}
	a.limit = a.randomLimit()
	a.limits = []limitChange{{0, a.limit}}
	a.chooseFaults()
	a.changeLeader(t)
	for i := range a.nodes {
		a.nodes[i] = &adversaryNode{number: i, name: fmt.Sprint("n", i)}
		a.start(t, a.nodes[i])
	}
	return a
}

// chooseFaults chooses one to three kinds of faults. With all kinds at once, few messages are delivered, so few tokens
// are granted and no excess accumulates.
func (a *adversary) chooseFaults() {
	for range 1 + a.IntN(3) {
		switch a.IntN(8) {
		case 0:
			a.killInterval = a.interval(300 * ms)
		case 1:
			a.freezeInterval = a.interval(300 * ms)
		case 2:
			a.stallInterval = a.interval(second)
		case 3:
			a.leaderChangeInterval = a.interval(2 * second)
		case 4:
			a.limitChangeInterval = a.interval(4 * second)
		case 5:
			a.partitionInterval = a.interval(second)
		case 6:
			a.slowMessageFraction = a.Float64() / 2
		case 7:
			a.lostMessageFraction = a.Float64() / 2
		}
	}
	a.burstyClients = a.IntN(2) == 0
}

// randomLimit returns a random limit; some limits have a burst below the rate.
func (a *adversary) randomLimit() Limit {
	rate := []float64{8, 56, 130, 312, 312}[a.IntN(5)]
	return Limit{Rate: rate, Burst: rate * []float64{1, 1, 0.5, 0}[a.IntN(4)]}
}

// interval returns a random mean time between faults of one kind, from shortest to six times shortest.
func (a *adversary) interval(shortest time.Duration) time.Duration {
	return shortest + time.Duration(a.Int64N(int64(5*shortest)))
}

// occurs reports whether a fault with this mean interval occurs in the current step.
func (a *adversary) occurs(meanInterval time.Duration) bool {
	return meanInterval > 0 && a.Int64N(int64(meanInterval)) < int64(historyStep)
}

// changeLeader starts a new epoch. With equal probability, a new process or the previous one is the leader.
func (a *adversary) changeLeader(t *testing.T) {
	t.Helper()
	a.epoch++
	if a.leader != nil && a.IntN(2) == 0 {
		return // the same process is elected again
	}
	var err error
	if a.leader, err = NewAllocator(rules); err != nil {
		t.Fatal(err)
	}
}

// start starts a sidecar's process. The process receives the limits immediately, and the number of sidecars up to
// 400 ms later.
func (a *adversary) start(t *testing.T, node *adversaryNode) {
	t.Helper()
	node.incarnation++
	node.awaitsResponseUntil, node.nextRequestAt, node.frozenUntil = 0, 0, 0
	node.runningFrom = max(a.now, node.runningFrom)
	limiter, err := NewLocalLimiter(node.runningFrom, rules)
	if err != nil {
		t.Fatal(err)
	}
	limiter.random = a.Rand // makes the history reproducible from its seed
	node.limiter = limiter
	a.configure(t, node, UnknownMembers, node.runningFrom)
	a.configure(t, node, len(a.nodes), node.runningFrom+time.Duration(a.IntN(400))*ms)
}

// configure schedules a configuration of the sidecar's current process, with the limits at that time.
func (a *adversary) configure(t *testing.T, node *adversaryNode, members int, at time.Duration) {
	incarnation := node.incarnation
	a.deliver(at, func() {
		if node.incarnation != incarnation {
			return
		}
		if err := node.limiter.Configure(a.now, a.limitsNow(), members); err != nil {
			t.Error(err)
		}
	})
}

func (a *adversary) limitsNow() map[string]Limit { return map[string]Limit{adversaryTenant: a.limit} }

func (a *adversary) deliver(at time.Duration, run func()) {
	a.messages = append(a.messages, delivery{at, run})
}

// latency returns the random latency of one message.
func (a *adversary) latency() time.Duration {
	if a.Float64() < a.slowMessageFraction {
		return time.Duration(a.IntN(2500)) * ms
	}
	return time.Duration(a.IntN(20)) * ms
}

// request sends a sidecar's request. A request may reach the leader after the sidecar's timeout.
func (a *adversary) request(node *adversaryNode) {
	incarnation, request := node.incarnation, node.limiter.Request(a.now)
	node.awaitsResponseUntil, node.nextRequestAt =
		a.now+adversaryRequestTimeout, a.now+adversaryRequestTimeout+adversaryBackoff
	if a.Float64() < a.lostMessageFraction/2 || a.isolated(node) && !a.requestsDelivered {
		return
	}
	a.deliver(a.now+a.latency(), func() { a.handle(node, incarnation, request) })
}

// handle handles a request at the leader, after the leader's stall if there is one.
func (a *adversary) handle(node *adversaryNode, incarnation int, request Request) {
	if a.now < a.leaderStalledUntil {
		a.deliver(a.leaderStalledUntil, func() { a.handle(node, incarnation, request) })
		return
	}
	if err := a.leader.Configure(a.now, a.limitsNow(), len(a.nodes)); err != nil {
		return
	}
	response, err := a.leader.Allocate(a.now, a.epoch, node.name, &request)
	if err != nil || a.Float64() < a.lostMessageFraction || a.isolated(node) && !a.responsesDelivered {
		return
	}
	a.deliver(a.now+a.latency(), func() { a.respond(node, incarnation, response) })
}

// isolated reports whether a sidecar is partitioned from the leader now, in at least one direction.
func (a *adversary) isolated(node *adversaryNode) bool {
	return a.now < a.partitionUntil && a.partitioned[node.number]
}

// respond delivers a response. A frozen process receives it when it resumes, even after the request has timed out.
func (a *adversary) respond(node *adversaryNode, incarnation int, response Response) {
	if a.now < node.frozenUntil {
		a.deliver(node.frozenUntil, func() { a.respond(node, incarnation, response) })
		return
	}
	if node.incarnation != incarnation || a.now > node.awaitsResponseUntil && node.frozenUntil == 0 {
		return
	}
	node.awaitsResponseUntil, node.nextRequestAt = 0, a.now+20*ms
	_ = node.limiter.ApplyResponse(a.now, response) // a stale response changes nothing
}

// step runs one time step: faults, deliveries, requests for tokens and client requests.
func (a *adversary) step(t *testing.T) {
	t.Helper()
	a.injectFaults(t)
	due := a.messages
	a.messages = nil
	for _, message := range due {
		if message.at <= a.now {
			message.run()
		} else {
			a.messages = append(a.messages, message)
		}
	}
	quiet := a.burstyClients && a.now/(3*second)%2 == 0
	for _, node := range a.nodes {
		if a.now < node.runningFrom || a.now < node.frozenUntil {
			continue
		}
		if node.awaitsResponseUntil <= a.now && node.nextRequestAt <= a.now && node.limiter.NextRequest(a.now) <= a.now {
			a.request(node)
		}
		for !quiet && node.limiter.Allow(a.now, adversaryTenant) {
			a.admitted = append(a.admitted, a.now)
		}
	}
}

// injectFaults draws the faults that occur in this step.
func (a *adversary) injectFaults(t *testing.T) {
	t.Helper()
	if a.occurs(a.killInterval) {
		a.kill(t)
	}
	if a.occurs(a.freezeInterval) {
		a.nodes[a.IntN(len(a.nodes))].frozenUntil = a.now + time.Duration(a.IntN(6000))*ms
	}
	if a.occurs(a.stallInterval) {
		a.leaderStalledUntil = a.now + time.Duration(a.IntN(3000))*ms
	}
	if a.occurs(a.leaderChangeInterval) {
		a.changeLeader(t)
	}
	if a.occurs(a.partitionInterval) && a.now >= a.partitionUntil {
		a.partition()
	}
	if a.occurs(a.limitChangeInterval) {
		a.limit = a.randomLimit()
		a.limits = append(a.limits, limitChange{a.now, a.limit})
		for _, node := range a.nodes {
			a.configure(t, node, len(a.nodes), a.now+time.Duration(a.IntN(300))*ms)
		}
	}
}

// kill ends one process or all processes. Each process restarts within 200 ms.
func (a *adversary) kill(t *testing.T) {
	t.Helper()
	all, one := a.IntN(2) == 0, a.IntN(len(a.nodes))
	for i, node := range a.nodes {
		if all || i == one {
			node.runningFrom = a.now + time.Duration(a.IntN(200))*ms
			a.start(t, node)
		}
	}
}

// partition isolates some sidecars for 1 s to 13 s, in one or both directions.
func (a *adversary) partition() {
	a.partitionUntil = a.now + second + time.Duration(a.IntN(12000))*ms
	direction := a.IntN(3)
	a.requestsDelivered, a.responsesDelivered = direction == 1, direction == 2
	share := a.Float64()
	for i := range a.partitioned {
		a.partitioned[i] = a.Float64() < share
	}
}

// allowedInWindow returns the number of requests allowed in the window that ends at end, by the largest limit that
// applies to the window. A limit applies until two windows and 1 s after its replacement: within 1 s the new limit
// reaches all sidecars, and it holds for every window that starts one window later.
func (a *adversary) allowedInWindow(end time.Duration) float64 {
	allowed := 0.0
	for i, change := range a.limits {
		replaced := i+1 < len(a.limits) && a.limits[i+1].from+second < end-2*rules.Window
		if change.from <= end && !replaced {
			window := change.limit.Rate*rules.Window.Seconds() + change.limit.Burst
			allowed = max(allowed, window*(1+rules.Overage)+rules.Slack)
		}
	}
	return allowed
}

// maxUsage returns the largest number of requests in any window as a multiple of the allowed number, and the end of
// that window. A multiple above 1 exceeds the limit.
func (a *adversary) maxUsage() (largest float64, at time.Duration) {
	first := 0
	for last, end := range a.admitted {
		for end-a.admitted[first] > rules.Window {
			first++
		}
		if usage := float64(last-first+1) / a.allowedInWindow(end); usage > largest {
			largest, at = usage, end
		}
	}
	return largest, at
}

// runHistory runs the history of a seed, fails the test if a window exceeds the limit, and returns the maxUsage.
func runHistory(t *testing.T, seed uint64, members int) (maxUsage float64) {
	t.Helper()
	a := newAdversary(t, seed, members)
	for ; a.now < historyDuration; a.now += historyStep {
		a.step(t)
	}
	maxUsage, at := a.maxUsage()
	if maxUsage > 1 {
		t.Errorf("seed %d: requests in the window ending at %v are %.3f times the allowed number, want at most 1",
			seed, at, maxUsage)
	}
	return maxUsage
}

// runHistories runs the number of histories given by a flag, or the history of one seed.
func runHistories(t *testing.T, members int) {
	t.Helper()
	if *onlySeed > 0 {
		t.Logf("largest window: %.3f times the allowed requests", runHistory(t, *onlySeed, members))
		return
	}
	maxUsage, maxUsageSeed := 0.0, uint64(0)
	for seed := uint64(1); seed <= uint64(*histories); seed++ {
		if usage := runHistory(t, seed, members); usage > maxUsage {
			maxUsage, maxUsageSeed = usage, seed
		}
	}
	t.Logf("%d histories, largest window (seed %d): %.3f times the allowed requests",
		*histories, maxUsageSeed, maxUsage)
}

// With 12 sidecars, all limits are prepaid.
func TestPrepaidLimitsHoldInEveryHistory(t *testing.T) { runHistories(t, 12) }

// With 24 sidecars, more than maxPrepaidMembers, all limits used to be deferred. Each sidecar then spent a local bucket
// of at least three tokens before it reported: clients that reached all sidecars at once ran 72 requests, and as many
// again after each response, of a tenant with 64 allowed requests in 5 s. 22 of 150 histories exceeded the limit, by a
// factor of up to 1.415 (seed 146). Such a tenant is now prepaid if the limit leaves one token for each sidecar.
func TestDeferredLimitsHoldInEveryHistory(t *testing.T) { runHistories(t, maxPrepaidMembers+8) }

// With 82 sidecars, as in large deployments, all limits are deferred, because a low limit leaves no token for each
// sidecar. This test fails (KNOWN-RED.txt): a limit of 8 requests/s without burst allows 64 requests in a window, but
// 82 sidecars admit 246 requests when clients reach all of them at once, before any sidecar has reported a request.
func TestLargeFleetLimitsHoldInEveryHistory(t *testing.T) { runHistories(t, 82) }
