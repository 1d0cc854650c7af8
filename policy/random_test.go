package policy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world drives a Balancer with legal events in arbitrary order and checks the
// rules at every action. It models no server timing: it picks what happens.
type world struct {
	t       testing.TB
	cfg     Config
	b       *Balancer
	now     time.Duration
	next    RequestID
	held    map[RequestID]*asked
	order   []RequestID // ids of held, in order, so that a run can be repeated
	listed  map[ServerID]Server
	trace   []string
	watches int
	taken   []time.Duration // requests, for the budget
	more    []time.Duration // further attempts
	calm    bool            // the list changes seldom
	rests   map[uint64]time.Duration
	colds   map[ServerID][]time.Duration // sends to a server that is cold, since it was listed so
	closing map[ServerID]time.Duration   // when idle connections must be closed, by server
}

// asked is what the world knows of one request.
type asked struct {
	q        Request
	deadline time.Duration
	tries    []tried
	answered bool
	turn     int // place among the requests taken
}

type tried struct {
	to   Server
	sent time.Duration
	end  Ending
	out  bool
}

func (a *asked) mayHaveRun() *tried {
	for i := range a.tries {
		if e := a.tries[i].end; a.tries[i].out || (e != NotProcessed && e != NoConnection && e != NotSent) {
			return &a.tries[i]
		}
	}
	return nil
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *world) Send(id RequestID, to ServerID, timeout time.Duration) {
	w.note("send %d %d %v", id, to, timeout)
	a, s := w.held[id], w.listed[to]
	switch {
	case a == nil || a.answered:
		w.t.Fatalf("rule 1: attempt for request %d, which is over", id)
	case s.State != Ready:
		w.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.State)
	case timeout <= 0 || w.now+timeout > a.deadline:
		w.t.Fatalf("rule 1: time-out %v at %v runs past the deadline %v", timeout, w.now, a.deadline)
	case len(a.tries) >= w.cfg.MaxAttempts:
		w.t.Fatalf("attempt %d of at most %d", len(a.tries)+1, w.cfg.MaxAttempts)
	}
	class := w.cfg.Classes[a.q.Class]
	if first := a.mayHaveRun(); first != nil {
		switch {
		case class.Effect == NonIdempotent:
			w.t.Fatalf("rule 2: unsafe request %d sent again though it may have run", id)
		case class.Effect == Deduplicated && w.now-first.sent >= class.DedupWindow:
			w.t.Fatalf("rule 2: keyed request %d sent again %v after the first send", id, w.now-first.sent)
		case class.Effect == Deduplicated && class.Scope == ScopeZone && s.Zone != first.to.Zone,
			class.Effect == Deduplicated && class.Scope == ScopeCell && s.Cell != first.to.Cell:
			w.t.Fatalf("rule 2: keyed request %d sent outside its group", id)
		}
	}
	w.order5(a)
	w.cold(s)
	if out := a.out(); out > 0 { // no setting that allows two is known to the module
		w.t.Fatalf("rule 2: request %d sent while %d of its attempts are out", id, out)
	}
	if b := w.cfg.Budget; len(a.tries) > 0 && b.Span > 0 {
		w.more = append(w.more, w.now)
		n, taken := 0, 0
		for _, t := range w.more {
			if t >= w.now-b.Span {
				n++
			}
		}
		for _, t := range w.taken {
			if t > w.now-b.Span {
				taken++
			}
		}
		if float64(n) > b.Free+b.Share*float64(taken)+1e-6 {
			w.t.Fatalf("rule 6: %d further attempts in %v, in which %d requests were taken", n, b.Span, taken)
		}
	}
	a.tries = append(a.tries, tried{to: s, sent: w.now, out: true})
}

// out counts the attempts that are out.
func (a *asked) out() (n int) {
	for _, tr := range a.tries {
		if tr.out {
			n++
		}
	}
	return n
}

// cold checks this balancer's part of a cold server's budget, of which it may have an even one at most.
func (w *world) cold(s Server) {
	age := w.now - s.Started
	if s.Started == 0 || age >= w.cfg.SlowStartTime {
		return
	}
	w.colds[s.ID] = append(w.colds[s.ID], w.now)
	n := 0
	for _, at := range w.colds[s.ID] {
		if at > w.now-time.Second {
			n++
		}
	}
	quota := 0.0
	for _, t := range w.cfg.Tenants {
		quota += t.Quota
	}
	warmth := w.cfg.SlowStartShare + (1-w.cfg.SlowStartShare)*float64(age)/float64(w.cfg.SlowStartTime)
	if most := 1 + w.cfg.SlowStartOverload*warmth*quota/float64(w.cfg.Balancers); float64(n) > most {
		w.t.Fatalf("rule 4: %d sends in a second to server %d, cold for %v, at most %.1f", n, s.ID, age, most)
	}
}

// order5 checks the order of a key at a send.
func (w *world) order5(a *asked) {
	ordered := func(o *asked) bool { return w.cfg.Classes[o.q.Class].InOrder && o.q.Key == a.q.Key && a.q.Key != 0 }
	if !ordered(a) {
		return
	}
	for id, o := range w.held {
		out := slices.ContainsFunc(o.tries, func(tr tried) bool { return tr.out })
		if o != a && ordered(o) && o.turn < a.turn && (!o.answered || out) {
			w.t.Fatalf("rule 5: request %d sent while %d of its key is not over", a.q.ID, id)
		}
	}
	if len(a.tries) == 0 && w.now < w.rests[a.q.Key] {
		w.t.Fatalf("rule 5: request %d sent %v before its key has rested", a.q.ID, w.rests[a.q.Key]-w.now)
	}
}

// drains checks and starts the times in which connections to draining servers are closed.
func (w *world) drains() {
	for id, until := range w.closing {
		if w.now > until {
			w.t.Fatalf("rule 7: connections to server %d not closed %v after their time", id, w.now-until)
		}
	}
}

// mustClose starts that time anew: an event at a server that drains.
func (w *world) mustClose(id ServerID) {
	if w.cfg.IdleCloseTime > 0 && w.listed[id].State == Draining {
		w.closing[id] = w.now + w.cfg.IdleCloseTime
	}
}

func (w *world) answer(id RequestID) *asked {
	a := w.held[id]
	if a == nil || a.answered {
		w.t.Fatalf("rule 1: second answer for request %d, or one for a request not held", id)
	}
	if w.now > a.deadline+20*ms {
		w.t.Fatalf("rule 1: answered %v after the deadline", w.now-a.deadline)
	}
	a.answered = true
	return a
}

func (w *world) Refuse(id RequestID, pause time.Duration) {
	w.note("refuse %d %v", id, pause)
	a := w.answer(id)
	class := w.cfg.Classes[a.q.Class]
	if a.mayHaveRun() != nil && (class.Effect == NonIdempotent || class.Effect == Deduplicated && class.Scope != ScopeAll) {
		w.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if pause < 0 || pause > w.cfg.MaxRetryAfter {
		w.t.Fatalf("pause %v", pause)
	}
}

func (w *world) Fail(id RequestID)                { w.note("fail %d", id); w.answer(id) }
func (w *world) Cancel(id RequestID, attempt int) { w.note("cancel %d %d", id, attempt) }
func (w *world) Wake(d time.Duration)             { w.note("wake %v", d) }
func (w *world) Probe(to ServerID)                { w.note("probe %d", to) }
func (w *world) Close(to ServerID)                { w.note("close %d", to); delete(w.closing, to) }
func (w *world) WatchList()                       { w.note("watch"); w.watches++ }
func (w *world) Log(line string)                  { w.note("log %s", line) }

// drive runs a world; pick(n) chooses among n possibilities.
func drive(t testing.TB, steps int, pick func(n int) int) []string {
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
	w := &world{t: t, cfg: cfg, held: map[RequestID]*asked{}, listed: map[ServerID]Server{}, now: time.Hour}
	w.colds = map[ServerID][]time.Duration{}
	w.calm = pick(2) == 0
	w.rests, w.closing = map[uint64]time.Duration{}, map[ServerID]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	b.Start(w.now)
	for range steps {
		w.step(pick)
		w.drains()
		w.account()
	}
	for range 600 { // everything left is answered in time
		w.now += 5 * ms
		w.timeouts()
		b.Wake(w.now)
		w.account()
		w.drains()
	}
	for id, a := range w.held {
		if !a.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts are still held", len(b.requests), b.inFlight)
	}
	return w.trace
}

func (w *world) step(pick func(int) int) {
	w.now += time.Duration(pick(8)) * ms
	w.timeouts()
	switch pick(10) {
	case 0, 1, 2:
		w.next++
		q := Request{ID: w.next, Class: pick(len(w.cfg.Classes)), Tenant: pick(2)}
		q.TimeLeft = time.Duration(1+pick(2000)) * ms
		q.Key = uint64(pick(4))
		w.held[q.ID] = &asked{q: q, deadline: w.now + q.TimeLeft, turn: int(w.next)}
		w.taken = append(w.taken, w.now)
		w.order = append(w.order, q.ID)
		w.b.Request(w.now, q)
	case 3, 4, 5:
		w.finish(pick)
	case 6:
		w.b.Wake(w.now)
	case 7:
		if !w.calm || len(w.listed) == 0 || pick(30) == 0 {
			w.list(pick)
		}
	case 8:
		w.b.Probed(w.now, ServerID(pick(8)), pick(2) == 0, w.load(pick(200)))
	case 9:
		if len(w.order) > 0 {
			if id := w.order[pick(len(w.order))]; !w.held[id].answered {
				w.held[id].answered = true
				w.b.ClientGone(w.now, id)
			}
		}
	}
}

// finish ends one attempt that is out.
func (w *world) finish(pick func(int) int) {
	for range 4 {
		if len(w.order) == 0 {
			return
		}
		id := w.order[pick(len(w.order))]
		for i := range w.held[id].tries {
			if w.held[id].tries[i].out {
				w.end(id, i, []Ending{Served, Errored, NotProcessed, NoConnection, ConnectionLost, Cancelled, NotSent}[pick(7)])
				return
			}
		}
	}
}

func (w *world) end(id RequestID, i int, e Ending) {
	a := w.held[id]
	a.tries[i].out, a.tries[i].end = false, e
	settled := a.answered || e == Served
	a.answered = settled
	if w.cfg.Classes[a.q.Class].InOrder && (e == TimedOut || e == ConnectionLost || e == Cancelled) {
		w.rests[a.q.Key] = w.now + w.cfg.KeyBlockTime
	}
	w.mustClose(a.tries[i].to.ID)
	w.b.Outcome(w.now, Outcome{ID: id, Attempt: i, Ending: e, Finished: settled, Load: w.load(int(id))})
}

// timeouts ends the attempts whose request's deadline has come, and wakes the
// Balancer as its timers would.
func (w *world) timeouts() {
	w.b.Wake(w.now)
	for _, id := range w.order {
		for i := range w.held[id].tries {
			if a := w.held[id]; a.tries[i].out && w.now >= a.deadline {
				w.end(id, i, TimedOut)
			}
		}
	}
}

func (w *world) list(pick func(int) int) {
	entry := func() Server {
		id := ServerID(pick(8))
		s := Server{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, State: State(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.Started = w.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := ListKind(pick(4))
	if kind == ListFailed {
		w.b.List(w.now, kind, nil)
		return
	}
	var entries []Server
	before := maps.Clone(w.listed)
	if kind != ListDelta {
		clear(w.listed)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o Server) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		if old, ok := before[s.ID]; !ok || s.Started > old.Started || old.State == Deregistered {
			delete(w.colds, s.ID)
		}
		w.listed[s.ID] = s
	}
	if kind != ListDelta {
		clear(w.closing)
	}
	for _, s := range entries {
		delete(w.closing, s.ID)
		w.mustClose(s.ID)
	}
	w.b.List(w.now, kind, entries)
}

// load is a report of what the settings say that reports hold, now and then of nothing.
func (w *world) load(n int) Load {
	if n%3 == 0 {
		return Load{}
	}
	return Load{Has: w.cfg.Reports, InFlight: float64(n % 40), Busy: float64(n%11) / 10,
		Service: time.Duration(n%7) * 20 * ms}
}

// account checks that no slot leaks and none goes below zero.
func (w *world) account() {
	used := make([]int, len(w.cfg.Tenants))
	out := 0
	for _, a := range w.held {
		for _, tr := range a.tries {
			if tr.out {
				used[a.q.Tenant]++
				out++
			}
		}
	}
	for i, c := range w.b.compartments {
		if c.used != used[i] || c.used > c.slots || w.b.SlotsFree(i) < 0 {
			w.t.Fatalf("compartment %d: %d of %d slots used, %d attempts out", i, c.used, c.slots, used[i])
		}
	}
	if w.b.inFlight != out {
		w.t.Fatalf("%d attempts counted, %d out", w.b.inFlight, out)
	}
	for _, s := range w.b.servers {
		if s.inFlight < 0 {
			w.t.Fatalf("server %d holds %d", s.ID, s.inFlight)
		}
	}
	if len(w.order) > 60 { // forget what is over
		w.order = slices.DeleteFunc(w.order, func(id RequestID) bool {
			a := w.held[id]
			over := a.answered && !slices.ContainsFunc(a.tries, func(tr tried) bool { return tr.out })
			if over {
				delete(w.held, id)
			}
			return over
		})
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		drive(t, 600, rng.IntN)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := drive(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := drive(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs over the same events differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		drive(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}
