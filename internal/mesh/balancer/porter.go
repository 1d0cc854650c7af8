// Package balancer decides, at the sidecar beside a caller, when and where each request goes: it is an engine's decision module, free of I/O, with time passed in.
//
// The design is the bulkhead's: each tenant, and each service for requests without one, has a compartment of its own, a semaphore of slots with a short queue; who finds both full is
// refused at once. A slot is held for an attempt's life. The upstream is the one whose turn it is by smooth weighted round robin over those that are ready, weighted by the slots that
// they report. What this sidecar knows of them beyond the catalogue is what their gates told with the last answers: one that is full loses its turn.
package balancer

import (
	"cmp"
	"slices"
	"time"

	"caperarch/internal/sizing"
	"caperarch/policy"
)

const (
	// waitShare of the aim is the longest that a request may wait here and be refused still in time to be served elsewhere or later.
	waitShare = 0.2
	// urgentShare of all its time is the same for a request of the highest rank.
	urgentShare = 0.4
	// errorShare of a service's requests may have another run after the upstream's own failure: one in so many is chance, more is a fault that further runs only feed (what a run
	// calls is called again with it). errorMost may come at once.
	errorShare = 0.02
	errorMost  = 4
	// pauseLeast and pauseMost bound what a refused client is told to wait.
	pauseLeast = 20 * time.Millisecond
	pauseMost  = time.Second
	// failPause is how long an upstream has no turns after a failure to reach it, doubled up to failDouble times.
	failPause  = 40 * time.Millisecond
	failDouble = 4
	// gatedFor is how long an upstream has no turns whose gate turned a request back, unless an answer tells of room before.
	gatedFor = 15 * time.Millisecond
	// toldFor is how long a gate's word on its load is believed.
	toldFor = 400 * time.Millisecond
	// nearFull is the share of an upstream's slots up to which one in the caller's own zone is preferred: crossing zones has a price, a queue a higher one.
	nearFull = 0.75
	// overFull is how far beyond its slots, as a share of them, an upstream is sent to where all are full: its gate's queue is short.
	overFull = 0.5
	// endMargin before its deadline a request is given up: an answer later than that comes too late.
	endMargin = 5 * time.Millisecond
	// forgetAfter is how long an empty compartment that nobody asked for is kept.
	forgetAfter = 30 * time.Second
)

// Order is what a request asks for: policy.Request.Terms.
type Order struct {
	Service  int // number of the service that is to run it, as policy.Server.Cell has it
	Wall     Wall
	Tenant   string        // "": none
	Rank     int           // 0 goes first
	Safe     bool          // it may run more than once
	Attempts int           // upstreams that it may be sent to at most
	Aim      time.Duration // an answer within this is worth all
}

// Wall names a request's compartment and tells its part of all of them.
type Wall struct {
	Name  string
	Share float64 // of the slots of all compartments, above 0 and below 1
	Least int     // slots that it has at least: internal checks come many at once from few sidecars
}

// Budget bounds arrivals at a service after each request's first.
type Budget interface {
	Request(now time.Duration, service int)
	May(now time.Duration, service int) bool
	Spent(now time.Duration, service int)
}

// Config is what a Porter is made of.
type Config struct {
	Zone    int        // policy.Server.Zone of those beside us
	Members func() int // sidecars that share the upstreams, at least 1
	Budget  Budget
}

// Porter is the module. One goroutine calls it.
type Porter struct {
	cfg      Config
	host     policy.Host
	requests map[policy.RequestID]*request
	servers  []*upstream // by id, so that turns are the same everywhere
	walls    map[string]*compartment
	waiting  int
	total    float64 // slots of all that are ready
	members  int
	turn     map[int]float64 // time of round robin, by service
	errors   map[int]float64 // runs after a failure that a service has left
	wakeAt   time.Duration
	sweepAt  time.Duration
	count    policy.Counters
}

type upstream struct {
	policy.Server
	due    float64 // turn's time of smooth weighted round robin
	out    int     // attempts of ours
	load   float64 // running and waiting there, as told, with what we sent since
	toldAt time.Duration
	backAt time.Duration // no turns until then
	fails  int
}

type compartment struct {
	name   string
	share  float64
	least  int
	slots  int
	places int
	used   int
	queue  []*request
	usedAt time.Duration
}

type request struct {
	id       policy.RequestID
	order    *Order
	home     *compartment
	arrived  time.Duration
	deadline time.Duration
	until    time.Duration // it waits no longer than this before its first send
	attempts []attempt
	arrivals int // attempts that came to an upstream, or may have
	paid     int // of the further ones, that the budget was charged with
	out      bool
	held     bool // it holds a slot of its compartment
	over     bool
	mayRun   bool // an attempt that failed may have run
}

type attempt struct {
	to    *upstream
	sent  time.Duration
	gated bool
	done  bool
}

// New makes one.
func New(cfg Config, host policy.Host) *Porter {
	return &Porter{cfg: cfg, host: host, requests: make(map[policy.RequestID]*request), walls: make(map[string]*compartment), turn: make(map[int]float64), errors: make(map[int]float64), members: 1}
}

// Start begins its life.
func (p *Porter) Start(time.Duration) {}

// Request takes a request on.
func (p *Porter) Request(now time.Duration, q policy.Request) {
	o, ok := q.Terms.(*Order)
	if !ok || q.Left <= endMargin || p.requests[q.ID] != nil {
		p.count.Refused++
		p.host.Refuse(q.ID, 0)
		return
	}
	p.cfg.Budget.Request(now, o.Service)
	p.errors[o.Service] = min(errorMost, p.errors[o.Service]+errorShare)
	r := &request{id: q.ID, order: o, home: p.compartment(now, o.Wall), arrived: now, deadline: now + q.Left - endMargin}
	r.until = min(r.deadline, now+time.Duration(waitShare*float64(o.Aim)))
	if o.Rank == 0 { // an internal check has no other try, and takes the request that made it along
		r.until = min(r.deadline, max(r.until, now+time.Duration(urgentShare*float64(q.Left))))
	}
	p.requests[q.ID] = r
	p.feed(now) // who waits goes first
	if !r.home.waits(o.Service) && p.dispatch(now, r) {
		return
	}
	if len(r.home.queue) >= r.home.places {
		p.refuse(r)
		return
	}
	p.wait(now, r, false)
}

// waits says whether a request for a service waits in a compartment.
func (c *compartment) waits(service int) bool {
	return slices.ContainsFunc(c.queue, func(r *request) bool { return r.order.Service == service })
}

// compartment is the one of a name, sized by its share now.
func (p *Porter) compartment(now time.Duration, w Wall) *compartment {
	c := p.walls[w.Name]
	if c == nil {
		c = &compartment{name: w.Name}
		p.walls[w.Name] = c
	}
	c.usedAt = now
	if n := max(1, p.cfg.Members()); n != p.members {
		p.members = n
		p.resize()
	}
	if c.share != w.Share || c.least != w.Least {
		c.share, c.least = w.Share, w.Least
		p.size(c)
	}
	return c
}

// size derives a compartment's slots: by its share of what the slots of all ready upstreams come to at one of so many sidecars, see sizing.Compartments.
func (p *Porter) size(c *compartment) {
	all, _ := sizing.Compartments(p.total*c.share, p.members, 0, -1, 1, []float64{1})
	c.slots = max(all[0].Slots, c.least)
	c.places = max(1, all[0].Places, c.least/2)
}

func (p *Porter) resize() {
	for _, c := range p.walls {
		p.size(c)
	}
}

// dispatch sends a request if its compartment has a slot and an upstream has its turn.
func (p *Porter) dispatch(now time.Duration, r *request) bool {
	if !r.held && r.home.used >= r.home.slots || now >= r.deadline {
		return false
	}
	further := r.arrivals > r.paid // the budget is asked where it is spent: others may have spent it since
	if further && !p.cfg.Budget.May(now, r.order.Service) {
		return false
	}
	u := p.pick(now, r)
	if u == nil {
		return false
	}
	if !r.held {
		r.held = true
		r.home.used++
	}
	if len(r.attempts) == 0 {
		p.count.Ordinary++
	} else {
		p.count.Retries++
	}
	if u.Zone != p.cfg.Zone {
		p.count.Crossed++
	}
	if further {
		r.paid = r.arrivals
		p.cfg.Budget.Spent(now, r.order.Service)
	}
	r.attempts = append(r.attempts, attempt{to: u, sent: now})
	r.out = true
	u.out++
	u.load++
	p.host.Send(r.id, u.ID, r.deadline-now)
	return true
}

// pick is smooth weighted round robin over the ready upstreams of the service that have room: first among those of our own zone with some to spare, then among all, then, where all are
// full, the one whose queue is shortest.
func (p *Porter) pick(now time.Duration, r *request) *upstream {
	var near, any, least *upstream
	for _, u := range p.servers {
		if u.Cell != r.order.Service || u.State != policy.Ready || now < u.backAt || r.tried(u) {
			continue
		}
		load := u.at(now) / u.Weight
		switch {
		case load >= 1+overFull:
			continue
		case load >= 1:
			if least == nil || load < least.at(now)/least.Weight {
				least = u
			}
			continue
		}
		if any == nil || u.due < any.due {
			any = u
		}
		if u.Zone == p.cfg.Zone && load < nearFull && (near == nil || u.due < near.due) {
			near = u
		}
	}
	best := cmp.Or(near, any, least)
	if best == nil {
		return nil
	}
	// Whoever had no turns for a while is due first once, and does not have all that it missed.
	p.turn[r.order.Service] = max(p.turn[r.order.Service], best.due)
	best.due = p.turn[r.order.Service] + 1/best.Weight
	return best
}

// at is how much an upstream has to do as far as we know.
func (u *upstream) at(now time.Duration) float64 {
	if now-u.toldAt > toldFor { // old news: what is ours is certain
		return float64(u.out)
	}
	return max(u.load, float64(u.out))
}

// tried says whether a request has been to an upstream, or its gate turned it back just now.
func (r *request) tried(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].to == u {
			return true
		}
	}
	return false
}

// wait puts a request into its compartment's queue.
func (p *Porter) wait(now time.Duration, r *request, first bool) {
	p.count.Queued++
	p.waiting++
	if first {
		r.home.queue = slices.Insert(r.home.queue, 0, r)
	} else {
		r.home.queue = append(r.home.queue, r)
	}
	p.wake(now, min(r.until, p.opens(now, r))-now)
}

// opens is when an upstream has turns again that has none now, or its gate's word is old; far off where there is no such time.
func (p *Porter) opens(now time.Duration, r *request) time.Duration {
	at := now + time.Hour
	for _, u := range p.servers {
		if u.Cell != r.order.Service {
			continue
		}
		for _, t := range []time.Duration{u.backAt, u.toldAt + toldFor + 1} {
			if t > now {
				at = min(at, t)
			}
		}
	}
	return at
}

func (p *Porter) wake(now, d time.Duration) {
	d = max(d, time.Millisecond)
	if p.wakeAt == 0 || now+d < p.wakeAt {
		p.wakeAt = now + d
		p.host.Wake(d)
	}
}

// Wake takes that a time asked for has come.
func (p *Porter) Wake(now time.Duration) {
	if p.wakeAt > 0 && now >= p.wakeAt {
		p.wakeAt = 0
	}
	p.feed(now)
	p.sweep(now)
}

// feed gives free slots and turns to what waits, and refuses what waited too long.
func (p *Porter) feed(now time.Duration) {
	if p.waiting == 0 {
		return
	}
	next := now + time.Hour
	for _, c := range p.walls {
		for i := 0; i < len(c.queue); {
			r := c.queue[i]
			switch {
			case now >= r.until:
				p.refuse(r) // which takes it out
			case p.dispatch(now, r):
				p.unwait(r)
			default:
				next = min(next, r.until, p.opens(now, r))
				i++
			}
		}
	}
	if p.waiting > 0 {
		p.wake(now, next-now)
	}
}

// unwait takes a request out of its queue.
func (p *Porter) unwait(r *request) {
	if i := slices.Index(r.home.queue, r); i >= 0 {
		r.home.queue = slices.Delete(r.home.queue, i, i+1)
		p.waiting--
	}
}

// sweep forgets compartments that are empty and were not asked for lately: tenants come and go with configurations.
func (p *Porter) sweep(now time.Duration) {
	if now < p.sweepAt {
		return
	}
	p.sweepAt = now + forgetAfter
	for name, c := range p.walls {
		if c.used == 0 && len(c.queue) == 0 && now-c.usedAt > forgetAfter {
			delete(p.walls, name)
		}
	}
}

// Outcome takes the end of an attempt.
func (p *Porter) Outcome(now time.Duration, o policy.Outcome) {
	r := p.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, r.out = true, false
	u := a.to
	u.out--
	u.load = max(0, u.load-1)
	if o.Load.Has&policy.HasInFlight != 0 && o.Ending != policy.NotSent {
		u.load, u.toldAt = o.Load.InFlight, now
	}
	p.judge(now, a, o.Ending)
	switch {
	case r.over || o.Settled || o.Ending == policy.Served:
		p.settle(r)
	default:
		p.further(now, r, a, o.Ending)
	}
	p.feed(now)
}

// judge learns how an upstream fares.
func (p *Porter) judge(now time.Duration, a *attempt, end policy.Ending) {
	u := a.to
	switch end {
	case policy.Served, policy.Rejected, policy.Errored, policy.Cancelled:
		u.fails = 0
	case policy.Gated:
		a.gated = true
		u.fails = 0
		u.backAt = max(u.backAt, now+gatedFor)
		p.count.Walled++
	case policy.NoConnection, policy.Broken, policy.TurnedAway:
		u.fails++
		u.backAt = max(u.backAt, now+failPause<<min(u.fails-1, failDouble))
	}
}

// further gives a request another attempt whose last one failed, or ends it.
func (p *Porter) further(now time.Duration, r *request, a *attempt, end policy.Ending) {
	free := false // it never came to an upstream: nothing is spent by going elsewhere
	switch end {
	case policy.Gated, policy.NoConnection, policy.NotSent:
		free = true
	case policy.TurnedAway:
		r.arrivals++
	default:
		r.arrivals++
		r.mayRun = true
	}
	if r.mayRun && !r.order.Safe || r.arrivals >= max(1, r.order.Attempts) || now >= r.deadline {
		p.finish(r)
		return
	}
	if !free && !p.again(now, r, end) {
		p.finish(r)
		return
	}
	if p.dispatch(now, r) {
		return
	}
	// All have been asked. Those whose gates turned it back may have room soon.
	r.forgive()
	if now >= r.until || r.mayRun {
		p.finish(r)
		return
	}
	p.release(r)
	p.wait(now, r, true)
}

// again says whether a request that came to an upstream may go to another.
func (p *Porter) again(now time.Duration, r *request, end policy.Ending) bool {
	if !p.cfg.Budget.May(now, r.order.Service) {
		return false
	}
	if end == policy.Errored {
		if p.errors[r.order.Service] < 1 {
			return false
		}
		p.errors[r.order.Service]--
	}
	return true
}

// forgive lets upstreams whose gates turned a request back have it once more.
func (r *request) forgive() {
	for i := range r.attempts {
		if r.attempts[i].gated {
			r.attempts[i].to = nil
		}
	}
}

// finish answers a request: refused where that is true, failed where it is not.
func (p *Porter) finish(r *request) {
	if r.mayRun {
		p.count.Failed++
		p.host.Fail(r.id)
		p.settle(r)
		return
	}
	p.refuse(r)
}

// refuse tells a client to come back.
func (p *Porter) refuse(r *request) {
	p.count.Refused++
	p.host.Refuse(r.id, p.pause(r))
	p.settle(r)
}

// pause is when a client is to come back: after a part of its aim that leaves the new try within it.
func (p *Porter) pause(r *request) time.Duration {
	return min(pauseMost, max(pauseLeast, r.order.Aim/8))
}

// release gives a compartment's slot back.
func (p *Porter) release(r *request) {
	if r.held {
		r.held = false
		r.home.used--
	}
}

// settle closes a request that has its answer. It is forgotten once nothing of it is out.
func (p *Porter) settle(r *request) {
	r.over = true
	p.unwait(r)
	if r.out {
		return
	}
	p.release(r)
	delete(p.requests, r.id)
}

// List takes news of the upstreams.
func (p *Porter) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		for _, u := range p.servers {
			u.State = policy.Gone
		}
	}
	for _, e := range entries {
		e.Weight = max(1, e.Weight)
		at, known := slices.BinarySearchFunc(p.servers, e.ID, func(u *upstream, id policy.ServerID) int { return cmp.Compare(u.ID, id) })
		if known {
			p.servers[at].Server = e
			continue
		}
		p.servers = slices.Insert(p.servers, at, &upstream{Server: e, due: p.turn[e.Cell]})
	}
	p.servers = slices.DeleteFunc(p.servers, func(u *upstream) bool { return u.State == policy.Gone })
	p.total = 0
	for _, u := range p.servers {
		if u.State == policy.Ready {
			p.total += u.Weight
		}
	}
	p.resize()
	p.feed(now)
}

// ClientGone takes that a request's client has gone; its attempt is called off.
func (p *Porter) ClientGone(now time.Duration, id policy.RequestID) {
	r := p.requests[id]
	if r == nil || r.over {
		return
	}
	if r.out {
		p.host.Cancel(id, len(r.attempts)-1)
	}
	p.settle(r)
	p.feed(now)
}

// StreamBegun takes that an answer is its client's while it still comes.
func (p *Porter) StreamBegun(id policy.RequestID) {
	if r := p.requests[id]; r != nil {
		p.settle(r)
	}
}

// Probed has nothing to tell: gates tell with every answer.
func (p *Porter) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// Reconfigure changes nothing: compartments are sized by the shares that requests bring.
func (p *Porter) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters tell what it did so far.
func (p *Porter) Counters() policy.Counters { return p.count }
