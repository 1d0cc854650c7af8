package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The adversary's histories. Its clients send wherever a token can be spent, and faults come at random: the
// rule must hold in every window of every history.
const (
	adversaryStep   = 5 * ms
	adversaryLength = 25 * second
	adversaryTenant = "a"
	giveUpAfter     = 500 * ms // a sidecar waits no longer for a response
	backoffAfter    = 100 * ms
)

var (
	histories = flag.Int("histories", 150, "how many histories an adversary plays")
	onlySeed  = flag.Uint64("seed", 0, "play the history of this seed alone")
)

// adversary is one history: a fleet, its leader, and what is on its way between them.
type adversary struct {
	*rand.Rand
	now     time.Duration
	limit   Limit
	limits  []limitChange
	nodes   []*adversaryNode
	leader  *Allocator
	epoch   Epoch
	stalled time.Duration // the leader handles nothing before
	mail    []delivery
	ran     []time.Duration // each request that was admitted

	// Which faults the history has, and how often.
	kills, freezes, stalls, leaders, limitChanges, partitions time.Duration // 0: none
	slowMessages, lostMessages                                float64
	greedy                                                    bool // clients are quiet for a while, and come all at once

	// The partition of the moment.
	partitionUntil               time.Duration
	partitioned                  []bool
	requestsPass, responsesReach bool
}

type limitChange struct {
	from  time.Duration
	limit Limit
}

// delivery is a message under way.
type delivery struct {
	at  time.Duration
	run func()
}

// adversaryNode is a sidecar. Its incarnation tells messages to an earlier process from its own.
type adversaryNode struct {
	number      int
	name        string
	incarnation int
	limiter     *LocalLimiter
	upFrom      time.Duration // it is down before
	frozenUntil time.Duration
	waitsUntil  time.Duration // for the response to the request in flight
	nextAllowed time.Duration // no request before
}

func newAdversary(t *testing.T, seed uint64, members int) *adversary {
	t.Helper()
	a := &adversary{
		Rand:  rand.New(rand.NewPCG(seed, 7)),
		nodes: make([]*adversaryNode, members), partitioned: make([]bool, members),
	}
	a.limit = a.drawLimit()
	a.limits = []limitChange{{0, a.limit}}
	a.drawFaults()
	a.changeLeader(t)
	for i := range a.nodes {
		a.nodes[i] = &adversaryNode{number: i, name: fmt.Sprint("n", i)}
		a.start(t, a.nodes[i])
	}
	return a
}

// drawFaults draws one to three kinds of fault: with all of them at once little gets through, and nothing
// adds up.
func (a *adversary) drawFaults() {
	for range 1 + a.IntN(3) {
		switch a.IntN(8) {
		case 0:
			a.kills = a.interval(300 * ms)
		case 1:
			a.freezes = a.interval(300 * ms)
		case 2:
			a.stalls = a.interval(second)
		case 3:
			a.leaders = a.interval(2 * second)
		case 4:
			a.limitChanges = a.interval(4 * second)
		case 5:
			a.partitions = a.interval(second)
		case 6:
			a.slowMessages = a.Float64() / 2
		case 7:
			a.lostMessages = a.Float64() / 2
		}
	}
	a.greedy = a.IntN(2) == 0
}

// drawLimit draws a limit; some have less burst than rate.
func (a *adversary) drawLimit() Limit {
	rate := []float64{8, 56, 130, 312, 312}[a.IntN(5)]
	return Limit{Rate: rate, Burst: rate * []float64{1, 1, 0.5, 0}[a.IntN(4)]}
}

// interval is a mean time between faults of a kind.
func (a *adversary) interval(least time.Duration) time.Duration {
	return least + time.Duration(a.Int64N(int64(5*least)))
}

func (a *adversary) happens(each time.Duration) bool {
	return each > 0 && a.Int64N(int64(each)) < int64(adversaryStep)
}

// changeLeader has another leader begin: the old one handles nothing any more.
func (a *adversary) changeLeader(t *testing.T) {
	t.Helper()
	a.epoch++
	if a.leader != nil && a.IntN(2) == 0 {
		return // the same process leads again
	}
	var err error
	if a.leader, err = NewAllocator(rules); err != nil {
		t.Fatal(err)
	}
}

// start starts a sidecar's process. It learns the number of sidecars a little later, and its configuration
// as well.
func (a *adversary) start(t *testing.T, node *adversaryNode) {
	t.Helper()
	node.incarnation++
	node.waitsUntil, node.nextAllowed, node.frozenUntil = 0, 0, 0
	node.upFrom = max(a.now, node.upFrom)
	limiter, err := NewLocalLimiter(node.upFrom, rules)
	if err != nil {
		t.Fatal(err)
	}
	limiter.random = a.Rand // so that a seed plays the same history again
	node.limiter = limiter
	a.configure(t, node, UnknownMembers, node.upFrom)
	a.configure(t, node, len(a.nodes), node.upFrom+time.Duration(a.IntN(400))*ms)
}

// configure has the limits of the moment reach a process at a time.
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
	a.mail = append(a.mail, delivery{at, run})
}

// latency is that of one message.
func (a *adversary) latency() time.Duration {
	if a.Float64() < a.slowMessages {
		return time.Duration(a.IntN(2500)) * ms
	}
	return time.Duration(a.IntN(20)) * ms
}

// request has a sidecar send its request. A request that it has given up may still reach the leader.
func (a *adversary) request(node *adversaryNode) {
	incarnation, request := node.incarnation, node.limiter.Request(a.now)
	node.waitsUntil, node.nextAllowed = a.now+giveUpAfter, a.now+giveUpAfter+backoffAfter
	if a.Float64() < a.lostMessages/2 || a.cutOff(node) && !a.requestsPass {
		return
	}
	a.deliver(a.now+a.latency(), func() { a.handle(node, incarnation, request) })
}

// handle has the leader handle a request: at once, or when it wakes.
func (a *adversary) handle(node *adversaryNode, incarnation int, request Request) {
	if a.now < a.stalled {
		a.deliver(a.stalled, func() { a.handle(node, incarnation, request) })
		return
	}
	if err := a.leader.Configure(a.now, a.limitsNow(), len(a.nodes)); err != nil {
		return
	}
	response, err := a.leader.Allocate(a.now, a.epoch, node.name, &request)
	if err != nil || a.Float64() < a.lostMessages || a.cutOff(node) && !a.responsesReach {
		return
	}
	a.deliver(a.now+a.latency(), func() { a.respond(node, incarnation, response) })
}

// cutOff reports whether a sidecar is partitioned from the leader now, in one direction at least.
func (a *adversary) cutOff(node *adversaryNode) bool {
	return a.now < a.partitionUntil && a.partitioned[node.number]
}

// respond has a response arrive: at a frozen process when it wakes, whatever it has given up.
func (a *adversary) respond(node *adversaryNode, incarnation int, response Response) {
	if a.now < node.frozenUntil {
		a.deliver(node.frozenUntil, func() { a.respond(node, incarnation, response) })
		return
	}
	if node.incarnation != incarnation || a.now > node.waitsUntil && node.frozenUntil == 0 {
		return
	}
	node.waitsUntil, node.nextAllowed = 0, a.now+20*ms
	_ = node.limiter.ApplyResponse(a.now, response) // a stale one changes nothing
}

// step is one moment: faults, messages, requests for tokens, clients.
func (a *adversary) step(t *testing.T) {
	t.Helper()
	a.faults(t)
	due := a.mail
	a.mail = nil
	for _, message := range due {
		if message.at <= a.now {
			message.run()
		} else {
			a.mail = append(a.mail, message)
		}
	}
	quiet := a.greedy && a.now/(3*second)%2 == 0
	for _, node := range a.nodes {
		if a.now < node.upFrom || a.now < node.frozenUntil {
			continue
		}
		if node.waitsUntil <= a.now && node.nextAllowed <= a.now && node.limiter.NextRequest(a.now) <= a.now {
			a.request(node)
		}
		for !quiet && node.limiter.Allow(a.now, adversaryTenant) {
			a.ran = append(a.ran, a.now)
		}
	}
}

// faults has what may happen now happen.
func (a *adversary) faults(t *testing.T) {
	t.Helper()
	if a.happens(a.kills) {
		a.kill(t)
	}
	if a.happens(a.freezes) {
		a.nodes[a.IntN(len(a.nodes))].frozenUntil = a.now + time.Duration(a.IntN(6000))*ms
	}
	if a.happens(a.stalls) {
		a.stalled = a.now + time.Duration(a.IntN(3000))*ms
	}
	if a.happens(a.leaders) {
		a.changeLeader(t)
	}
	if a.happens(a.partitions) && a.now >= a.partitionUntil {
		a.partition()
	}
	if a.happens(a.limitChanges) {
		a.limit = a.drawLimit()
		a.limits = append(a.limits, limitChange{a.now, a.limit})
		for _, node := range a.nodes {
			a.configure(t, node, len(a.nodes), a.now+time.Duration(a.IntN(300))*ms)
		}
	}
}

// kill ends one process or all, which start again within a moment.
func (a *adversary) kill(t *testing.T) {
	t.Helper()
	all, one := a.IntN(2) == 0, a.IntN(len(a.nodes))
	for i, node := range a.nodes {
		if all || i == one {
			node.upFrom = a.now + time.Duration(a.IntN(200))*ms
			a.start(t, node)
		}
	}
}

// partition cuts some sidecars off for a while, in one direction or both.
func (a *adversary) partition() {
	a.partitionUntil = a.now + second + time.Duration(a.IntN(12000))*ms
	direction := a.IntN(3)
	a.requestsPass, a.responsesReach = direction == 1, direction == 2
	share := a.Float64()
	for i := range a.partitioned {
		a.partitioned[i] = a.Float64() < share
	}
}

// allowedIn is what the rule allows in the window that ends at a time: by the largest limit from a window
// before it on, as a lower limit holds one window after all have it.
func (a *adversary) allowedIn(end time.Duration) float64 {
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

// fullest is the largest part of what the rule allows that a window holds, and the window's end. The rule
// is broken above 1.
func (a *adversary) fullest() (part float64, at time.Duration) {
	first := 0
	for last, end := range a.ran {
		for end-a.ran[first] > rules.Window {
			first++
		}
		if held := float64(last-first+1) / a.allowedIn(end); held > part {
			part, at = held, end
		}
	}
	return part, at
}

func playHistory(t *testing.T, seed uint64, members int) (fullest float64) {
	t.Helper()
	a := newAdversary(t, seed, members)
	for ; a.now < adversaryLength; a.now += adversaryStep {
		a.step(t)
	}
	fullest, at := a.fullest()
	if fullest > 1 {
		t.Errorf("seed %d: the window up to %v holds %.3f of what is allowed", seed, at, fullest)
	}
	return fullest
}

// playHistories plays as many histories as were asked for, or that of one seed.
func playHistories(t *testing.T, members int) {
	t.Helper()
	if *onlySeed > 0 {
		t.Logf("the fullest window holds %.3f of what is allowed", playHistory(t, *onlySeed, members))
		return
	}
	fullest, fullestSeed := 0.0, uint64(0)
	for seed := uint64(1); seed <= uint64(*histories); seed++ {
		if part := playHistory(t, seed, members); part > fullest {
			fullest, fullestSeed = part, seed
		}
	}
	t.Logf("%d histories, the fullest window, of seed %d, holds %.3f of what is allowed",
		*histories, fullestSeed, fullest)
}

func TestPrepaidLimitsHoldInEveryHistory(t *testing.T) { playHistories(t, 12) }

// The same with more sidecars than were granted tokens, whatever their limit. Each had a local bucket of three tokens
// or more, which it spent before it reported: 24 of them that clients reach in one moment run 72 requests, and as many
// again with each response, of a tenant whose rule allows 64 in five seconds. 22 of 150 histories were over, 1.415 of
// what is allowed at most (seed 146). Since then a tenant is granted tokens here as well where the rule leaves one for
// each sidecar.
func TestDeferredLimitsHoldInEveryHistory(t *testing.T) { playHistories(t, maxPrepaidMembers+8) }

// The same with as many sidecars as the grown deployments have, where the rule leaves no token for each of them. It
// fails: a limit of 8 a second allows 64 requests in a window, and 82 sidecars run 246 in the first moment that clients
// reach them all, before any of them has reported one (KNOWN-RED.txt).
func TestLargeFleetLimitsHoldInEveryHistory(t *testing.T) { playHistories(t, 82) }
