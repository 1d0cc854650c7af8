package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/bulkhead"
	"caperarch/internal/proxy/discoverypace"
	"caperarch/internal/proxy/keyedqueue"
	"caperarch/internal/proxy/loadquery"
	"caperarch/internal/proxy/ratemeter"
)

type server struct {
	Server
	out     int                    // this balancer's attempts there
	ours    bool                   // in our arc
	part    float64                // how much of it lies in the arc; 1 where it does not
	due     float64                // smooth weighted round robin: when its next turn is, in turns' own time
	strain  float64                // time that its answers take, against the usual; failures count too
	used    float64                // mean square of the share of the aim that its answers take, lately
	toldAt  time.Duration          // it last reported its load; 0: never
	askedAt time.Duration          // it was last asked
	load    Load                   // what it told then
	others  float64                // and then held this many requests that are not ours
	silent  time.Duration          // it has not answered since; 0: it has
	fails   int                    // failures in a row
	backAt  time.Duration          // after them: no turns before this
	apart   map[*compartment]apart // whose requests it turns away
	warmAt  time.Duration          // cold until then, by the list or by our own guess
	coldAt  time.Duration          // while cold: nothing more before this
}

// apart is how far apart a tenant's sends to a server go, as it turns away what comes faster.
type apart struct{ by, cutAt, nextAt time.Duration }

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type attempt struct {
	to    *server
	sent  time.Duration
	state attemptState
	broke bool // its connection did
}

type request struct {
	id        RequestID
	class     *class
	home      *compartment
	deadline  time.Duration // the client's
	useful    time.Duration // an answer after this earns nothing
	wanted    time.Duration // and one before this earns most
	attempts  []attempt
	out       int
	asks      *server // it waits for this one to report its load
	asksUntil time.Duration
	asked     int                         // so many times
	line      *keyedqueue.Queue[*request] // its key's, where it must go in turn
	begun     bool                        // its answer streams: it is the client's now
	over      bool                        // ended; kept until its attempts have ended too
}

// compartment holds one tenant's slots and queue, walled off from the others'.
type compartment struct {
	slots, used, places int
	share               float64 // of the service, by right
	queue               []*request
	gate                admission.Gate // who may try for a slot
}

type class struct {
	Class
	pace    time.Duration // usual time of an answer
	longest time.Duration // the time left that first tries come with: the most seen, followed down
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg      Config
	host     Host
	rng      *rand.Rand
	classes  []class
	parts    []compartment
	requests map[RequestID]*request
	open     []*request    // in order of arrival; ended ones are swept out by Wake
	servers  []*server     // in order of their ids
	slots    int           // of all compartments
	queued   int           // requests that may wait in all of them; negative: as slots have it
	whole    float64       // what all shares add up to at least: they are parts of it
	mean     float64       // what the slots of all balancers hold while traffic is at the quotas
	quota    float64       // of all tenants together
	sharers  int           // balancers that what all may do is divided among
	weight   float64       // of all ready servers
	full     float64       // the most of it that there was lately
	fullAt   time.Duration // when
	short    float64       // how many times as much the rest may hold while some fail
	out      int
	turn     float64         // due time of the latest turn
	arc      []*server       // whom turns are taken among
	begins   float64         // the arc, on the circle of all servers
	reach    float64         // the weight in it
	came     ratemeter.Meter // requests
	even     float64         // requests a second of a balancer, if all have the same
	wanted   float64         // servers that it can feed
	pace     time.Duration   // usual time of an answer, over all classes
	aim      float64         // mean aim, in seconds
	worth    float64         // mean worth of the classes
	wakeAt   time.Duration
	asking   discoverypace.Pace // when to ask for the list
	feedFrom int
	lines    keyedqueue.Queues[*request] // by key
	budget   admission.RetryBudget       // of further attempts
	sampled  *server                     // whose reports are compared
	sampleAt time.Duration               // when it is asked again
	inquiry  loadquery.Prober            // whether it is asked before sends
	closeAt  time.Duration               // when connections to draining servers are closed once more; 0: not due
	wall     bulkhead.Bulkhead           // how much may be out over all compartments
	count    Counters
}

// Counters returns what was done so far.
func (b *Balancer) Counters() Counters { return b.count }

// ran returns the first attempt that may have run or still may, or nil.
func (r *request) ran() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// tried says whether a server has had this request already; with again it counts only where more than its connection broke.
func (r *request) tried(s *server, again bool) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.to == s && !(again && a.broke) {
			return true
		}
	}
	return false
}

// find returns where in the list a server of that name is, or would be.
func (b *Balancer) find(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(b.servers, id, func(s *server, id ServerID) int { return cmp.Compare(s.ID, id) })
}

// server returns the listed server of that name, or nil.
func (b *Balancer) server(id ServerID) *server {
	if i, ok := b.find(id); ok {
		return b.servers[i]
	}
	return nil
}

// fullFor is how long the fullest list counts: what left for good must not keep parts small for ever.
const fullFor = 30 * time.Second

// weigh adds up the weights of the ready servers.
func (b *Balancer) weigh(now time.Duration) {
	b.weight = 0
	for _, s := range b.servers {
		if s.State == Ready {
			b.weight += s.Weight
		}
	}
	if b.weight >= b.full || now-b.fullAt > fullFor {
		b.full, b.fullAt = b.weight, now
	}
	b.cut(now)
}

// part is a server's part of a total by its weight in the fullest list there was.
func (b *Balancer) part(total float64, s *server) float64 {
	return total * s.Weight / max(b.full, s.Weight)
}

// wake sees to it that Wake comes after d at the latest.
func (b *Balancer) wake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}

// ready returns the ready servers, in order of their ids.
func (b *Balancer) ready() []*server {
	return slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return s.State != Ready })
}

// hold counts an attempt that begins (1) or ends (-1) wherever it counts.
func (b *Balancer) hold(r *request, s *server, n int) {
	r.out += n
	s.out += n
	r.home.used += n
	b.out += n
}

// far says that a server is in another zone, where crossing has a price.
func (b *Balancer) far(s *server) bool { return b.cfg.CrossZonePrice > 0 && s.Zone != b.cfg.Zone }

// StreamBegun takes that a request's answer has begun to stream: the client owns it now.
func (b *Balancer) StreamBegun(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.begun = true
	}
}

// forget drops a request that is over and has no attempt out; the next in its line may go.
func (b *Balancer) forget(r *request) {
	delete(b.requests, r.id)
	r.line.Remove(r)
}

// listed returns the server of that name, entered where it was not listed yet.
func (b *Balancer) listed(id ServerID) *server {
	i, ok := b.find(id)
	if !ok {
		b.servers = slices.Insert(b.servers, i, &server{strain: 1, part: 1})
	}
	return b.servers[i]
}

// allGone marks all servers as gone.
func (b *Balancer) allGone() {
	for _, s := range b.servers {
		s.State = Deregistered
	}
}

// ClientGone takes that a client quit: nothing more is owed for the request.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.over {
		b.settle(r)
		b.feed(now)
	}
}
