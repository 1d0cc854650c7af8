package policy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation is the Host of a Balancer, which it sends valid events in random order. It checks the rules in doc.go at
// every action. It does not model the time that servers take.
type simulation struct {
	t                 testing.TB
	cfg               Config
	balancer          *Balancer
	now               time.Duration
	lastID            RequestID
	requests          map[RequestID]*simRequest
	ids               []RequestID         // requests in order of arrival, so that a run can be repeated
	listed            map[ServerID]Server // the server list
	trace             []string            // the Balancer's actions
	watches           int
	requestTimes      []time.Duration // when requests arrived, for the retry budget
	retryTimes        []time.Duration // when attempts after a request's first were sent
	listRarelyChanges bool
	keyBlockedUntil   map[uint64]time.Duration     // when the next request of a key may be sent
	slowStartSends    map[ServerID][]time.Duration // sends to a server in slow start, since its start was listed
	closeDeadlines    map[ServerID]time.Duration   // when the idle connections to a draining server must be closed
}

// simRequest is the simulation's state of one request.
type simRequest struct {
	q        Request
	deadline time.Duration
	attempts []simAttempt
	answered bool
	arrival  int // position among all requests
}

// simAttempt is the simulation's state of one attempt.
type simAttempt struct {
	to       Server
	sent     time.Duration
	ending   Ending
	inFlight bool
}

func (sim *simulation) recordAction(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

// simulate runs a simulation of random events and returns the Balancer's actions; pick(n) returns a number below n.
func simulate(t testing.TB, steps int, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.ListOnDemand, cfg.MayProbe = true, true
	cfg.Reports = []LoadFields{0, HasInFlight, HasInFlight | HasBusy, HasBusy | HasService}[pick(4)]
	cfg.Balancers = []int{2, 50}[pick(2)]
	cfg.IdleCloseTime = time.Duration(pick(2)) * 100 * ms
	cfg.KeyBlockTime = time.Duration(pick(3)) * 50 * ms
	cfg.Slots = []int{0, 8, 40}[pick(3)]
	if pick(2) == 0 {
		cfg.Budget = RetryBudget{Span: time.Second, Free: float64(pick(3)), Share: float64(pick(3)) / 5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].InOrder = pick(2) == 0
	}
	cfg.CrossZonePrice = float64(pick(2)) * 0.02
	sim := &simulation{
		t: t, cfg: cfg, requests: map[RequestID]*simRequest{}, listed: map[ServerID]Server{}, now: time.Hour,
	}
	sim.slowStartSends = map[ServerID][]time.Duration{}
	sim.listRarelyChanges = pick(2) == 0
	sim.keyBlockedUntil, sim.closeDeadlines = map[uint64]time.Duration{}, map[ServerID]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), sim)
	if err != nil {
		t.Fatal(err)
	}
	sim.balancer = b
	b.Start(sim.now)
	for range steps {
		sim.step(pick)
		sim.checkIdleCloses()
		sim.checkAccounting()
	}
	for range 600 { // 3 s, longer than any request has left
		sim.now += 5 * ms
		sim.endTimedOut()
		b.Wake(sim.now)
		sim.checkAccounting()
		sim.checkIdleCloses()
	}
	for id, r := range sim.requests {
		if !r.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts in flight are left at the end, want none", len(b.requests), b.inFlight)
	}
	return sim.trace
}

// step advances the time by up to 7 ms and sends one random event.
func (sim *simulation) step(pick func(int) int) {
	sim.now += time.Duration(pick(8)) * ms
	sim.endTimedOut()
	switch pick(10) {
	case 0, 1, 2:
		sim.lastID++
		q := Request{ID: sim.lastID, Class: pick(len(sim.cfg.Classes)), Tenant: pick(2)}
		q.TimeLeft = time.Duration(1+pick(2000)) * ms
		q.Key = uint64(pick(4))
		sim.requests[q.ID] = &simRequest{q: q, deadline: sim.now + q.TimeLeft, arrival: int(sim.lastID)}
		sim.requestTimes = append(sim.requestTimes, sim.now)
		sim.ids = append(sim.ids, q.ID)
		sim.balancer.Request(sim.now, q)
	case 3, 4, 5:
		sim.endRandomAttempt(pick)
	case 6:
		sim.balancer.Wake(sim.now)
	case 7:
		if !sim.listRarelyChanges || len(sim.listed) == 0 || pick(30) == 0 {
			sim.sendRandomList(pick)
		}
	case 8:
		sim.balancer.Probed(sim.now, ServerID(pick(8)), pick(2) == 0, sim.report(pick(200)))
	case 9:
		if len(sim.ids) > 0 {
			if id := sim.ids[pick(len(sim.ids))]; !sim.requests[id].answered {
				sim.requests[id].answered = true
				sim.balancer.ClientGone(sim.now, id)
			}
		}
	}
}

// endRandomAttempt ends one attempt in flight with a random ending.
func (sim *simulation) endRandomAttempt(pick func(int) int) {
	for range 4 {
		if len(sim.ids) == 0 {
			return
		}
		id := sim.ids[pick(len(sim.ids))]
		for i := range sim.requests[id].attempts {
			if sim.requests[id].attempts[i].inFlight {
				endings := []Ending{Served, Errored, NotProcessed, NoConnection, ConnectionLost, Cancelled, NotSent}
				sim.endAttempt(id, i, endings[pick(len(endings))])
				return
			}
		}
	}
}

// endAttempt ends attempt i of a request, which is answered if the attempt was served.
func (sim *simulation) endAttempt(id RequestID, i int, e Ending) {
	r := sim.requests[id]
	r.attempts[i].inFlight, r.attempts[i].ending = false, e
	finished := r.answered || e == Served
	r.answered = finished
	if sim.cfg.Classes[r.q.Class].InOrder && (e == TimedOut || e == ConnectionLost || e == Cancelled) {
		sim.keyBlockedUntil[r.q.Key] = sim.now + sim.cfg.KeyBlockTime
	}
	sim.setCloseDeadline(r.attempts[i].to.ID)
	sim.balancer.Outcome(sim.now, Outcome{ID: id, Attempt: i, Ending: e, Finished: finished, Load: sim.report(int(id))})
}

// endTimedOut calls Wake as the timers would, and ends the attempts of requests whose deadline has passed.
func (sim *simulation) endTimedOut() {
	sim.balancer.Wake(sim.now)
	for _, id := range sim.ids {
		for i := range sim.requests[id].attempts {
			if r := sim.requests[id]; r.attempts[i].inFlight && sim.now >= r.deadline {
				sim.endAttempt(id, i, TimedOut)
			}
		}
	}
}

// sendRandomList sends a random event of the server list: a failure, or up to 7 entries.
func (sim *simulation) sendRandomList(pick func(int) int) {
	entry := func() Server {
		id := ServerID(pick(8))
		s := Server{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, State: State(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.Started = sim.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := ListKind(pick(4))
	if kind == ListFailed {
		sim.balancer.List(sim.now, kind, nil)
		return
	}
	var entries []Server
	before := maps.Clone(sim.listed)
	if kind != ListDelta {
		clear(sim.listed)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o Server) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		if old, ok := before[s.ID]; !ok || s.Started > old.Started || old.State == Deregistered {
			delete(sim.slowStartSends, s.ID)
		}
		sim.listed[s.ID] = s
	}
	if kind != ListDelta {
		clear(sim.closeDeadlines)
	}
	for _, s := range entries {
		delete(sim.closeDeadlines, s.ID)
		sim.setCloseDeadline(s.ID)
	}
	sim.balancer.List(sim.now, kind, entries)
}

// report returns a load report with the configured fields, or no report for every third n.
func (sim *simulation) report(n int) Load {
	if n%3 == 0 {
		return Load{}
	}
	return Load{Has: sim.cfg.Reports, InFlight: float64(n % 40), Busy: float64(n%11) / 10,
		Service: time.Duration(n%7) * 20 * ms}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		simulate(t, 600, rng.IntN)
	}
}

func TestSameEventsCauseTheSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := simulate(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := simulate(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs with the same events caused different actions", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		simulate(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}
