package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// sent is one attempt that the Balancer started.
type sent struct {
	id      RequestID
	to      ServerID
	timeout time.Duration
}

// fakeHost is a Host that records the actions of a Balancer.
type fakeHost struct {
	sends     []sent
	refused   map[RequestID]time.Duration
	failed    map[RequestID]bool
	cancelled []RequestID
	wakes     []time.Duration
	probes    []ServerID
	closes    []ServerID
	listCalls int
	log       []string
	trace     []string
}

func newFakeHost() *fakeHost {
	return &fakeHost{refused: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) recordAction(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, to ServerID, timeout time.Duration) {
	h.sends = append(h.sends, sent{id, to, timeout})
	h.recordAction("send %d %d %v", id, to, timeout)
}

func (h *fakeHost) Refuse(id RequestID, retryAfter time.Duration) {
	h.refused[id] = retryAfter
	h.recordAction("refuse %d %v", id, retryAfter)
}

func (h *fakeHost) Fail(id RequestID) {
	h.failed[id] = true
	h.recordAction("fail %d", id)
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.cancelled = append(h.cancelled, id)
	h.recordAction("cancel %d %d", id, attempt)
}

func (h *fakeHost) Wake(d time.Duration) {
	h.wakes = append(h.wakes, d)
	h.recordAction("wake %v", d)
}

func (h *fakeHost) Probe(to ServerID) {
	h.probes = append(h.probes, to)
	h.recordAction("probe %d", to)
}

func (h *fakeHost) CloseIdleConnections(to ServerID) {
	h.closes = append(h.closes, to)
	h.recordAction("close %d", to)
}

func (h *fakeHost) WatchList() {
	h.listCalls++
	h.recordAction("watch")
}

func (h *fakeHost) Log(line string) {
	h.log = append(h.log, line)
	h.recordAction("log %s", line)
}

// sentTo counts the attempts sent to a server.
func (h *fakeHost) sentTo(id ServerID) int {
	n := 0
	for _, s := range h.sends {
		if s.to == id {
			n++
		}
	}
	return n
}

// The classes of testConfig, as indices in Config.Classes.
const (
	idempotentClass = iota
	dedupAll
	dedupZone
	dedupCell
	nonIdempotentClass
)

// testConfig returns a Config of two balancers and two tenants, with a class for each effect and scope.
func testConfig() Config {
	class := func(e Effect, s Scope) Class {
		return Class{
			LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1,
			Effect: e, Scope: s, DedupWindow: 700 * ms,
		}
	}
	return Config{
		Balancers: 2,
		Classes: []Class{
			class(Idempotent, ScopeAll),
			class(Deduplicated, ScopeAll), class(Deduplicated, ScopeZone), class(Deduplicated, ScopeCell),
			class(NonIdempotent, ScopeAll),
		},
		Tenants:           []Tenant{{Share: 0.75, Quota: 75}, {Share: 0.25, Quota: 25}},
		Slots:             8,
		MaxAttempts:       3,
		MayCancel:         true,
		MaxRetryAfter:     time.Second,
		Tick:              5 * ms,
		ListMaxAge:        10 * time.Second,
		SlowStartShare:    0.3,
		SlowStartTime:     8 * time.Second,
		SlowStartOverload: 3,
	}
}

// readyList returns a list of ready servers of weight 1.
func readyList(ids ...ServerID) []Server {
	var list []Server
	for _, id := range ids {
		list = append(list, Server{ID: id, State: Ready, Weight: 1})
	}
	return list
}

// start makes a Balancer and hands it a full server list at time 0.
func start(t testing.TB, cfg Config, list []Server) (*Balancer, *fakeHost) {
	t.Helper()
	return startSeeded(t, cfg, 1, list)
}

// startSeeded does the same as start, with a seed for the Balancer's random numbers.
func startSeeded(t testing.TB, cfg Config, seed uint64, list []Server) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(0)
	b.List(0, ListFull, list)
	return b, h
}

// submit hands in a request of tenant 0 with 2 s left.
func submit(b *Balancer, now time.Duration, id RequestID, class int) {
	b.Request(now, Request{ID: id, Class: class, TimeLeft: 2 * time.Second})
}

// end reports the end of an attempt of a request.
func end(b *Balancer, now time.Duration, id RequestID, attempt int, e Ending) {
	b.Outcome(now, Outcome{ID: id, Attempt: attempt, Ending: e, Finished: e == Served})
}

// markReportsFresh makes a balancer conclude that load reports change as fast as they are used.
func markReportsFresh(b *Balancer) {
	for b.prober.Comparing() {
		b.prober.Compare(true)
	}
}

// freeSlots returns the free slots in a tenant's compartment.
func (b *Balancer) freeSlots(tenant int) int {
	return b.compartments[tenant].slots - b.compartments[tenant].used
}

// freeQueueSlots returns the free queue slots in a tenant's compartment.
func (b *Balancer) freeQueueSlots(tenant int) int {
	return b.compartments[tenant].queueSlots - len(b.compartments[tenant].queue)
}
