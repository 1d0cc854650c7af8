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

// server is a listed server and the statistics of this balancer's attempts at it.
type server struct {
	Server
	inFlight          int                          // this balancer's attempts in flight at the server
	inArc             bool                         // the server is in this balancer's arc
	arcShare          float64                      // fraction of the server that lies in the arc; 1 outside the arc
	nextTurn          float64                      // virtual time of the server's next turn (weighted round robin)
	slowness          float64                      // smoothed latency as a multiple of the class's mean, with failures
	squareLatency     float64                      // smoothed square of the latency as a fraction of its target
	reportedAt        time.Duration                // when the last load report was received; 0: never
	probedAt          time.Duration                // when the server was last probed before a request
	load              Load                         // the last load report
	othersInFlight    float64                      // requests of other balancers, by the last load report
	unresponsiveSince time.Duration                // when the server stopped answering; 0: the server answers
	failures          int                          // failed attempts in a row
	ejectedUntil      time.Duration                // the server has no turns before this time
	spacing           map[*compartment]sendSpacing // for compartments whose requests the server rejected
	slowStartUntil    time.Duration                // end of slow start, by the list or assumed after a long silence
	nextSlowStartSend time.Duration                // earliest next send during slow start; negative: to be drawn
}

// sendSpacing spaces a compartment's sends to a server that rejects a higher rate. The gap last grew at widenedAt; the
// next send is not before nextAt.
type sendSpacing struct{ gap, widenedAt, nextAt time.Duration }

// attemptState tells whether an attempt is in flight, may have run, or never ran.
type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

// attempt is one send of a request to a server.
type attempt struct {
	to             *server
	sent           time.Duration // when the attempt was sent
	state          attemptState
	connectionLost bool // the attempt ended as ConnectionLost
}

// request is an open request, or a finished request with attempts in flight.
type request struct {
	id            RequestID
	class         *class
	compartment   *compartment
	deadline      time.Duration // when the client gives up
	usefulUntil   time.Duration // a later answer has no value
	targetAt      time.Duration // the latency target; earlier answers have the full value
	attempts      []attempt
	inFlight      int                         // attempts in flight
	probedServer  *server                     // the server whose load report the request waits for, or nil
	probeDeadline time.Duration               // when the request stops waiting for that report
	probes        int                         // probes made for the request
	keyQueue      *keyedqueue.Queue[*request] // the queue of the request's key; nil: the request needs no order
	streaming     bool                        // the client is receiving the answer
	finished      bool                        // the request is answered, or the client has disconnected
}

// compartment is the bulkhead of one tenant: its slots, its queue and its admission control.
type compartment struct {
	slots, used, queueSlots int            // most attempts in flight, attempts in flight, most requests in queue
	share                   float64        // the tenant's fraction of the service
	queue                   []*request     // requests that wait for a slot or a server
	gate                    admission.Gate // the tenant's admission control
}

// class is a Class and the statistics of its requests.
type class struct {
	Class
	meanLatency     time.Duration // smoothed latency of served attempts
	longestTimeLeft time.Duration // decaying maximum of Request.TimeLeft: the TimeLeft of a client's first attempt
}

// Balancer makes the decisions of one sidecar. It is used from one goroutine.
type Balancer struct {
	cfg               Config
	host              Host
	rng               *rand.Rand
	classes           []class
	compartments      []compartment
	requests          map[RequestID]*request
	openRequests      []*request                  // in order of arrival; Wake removes finished requests
	servers           []*server                   // in order of their IDs
	slots             int                         // slots of all compartments
	maxQueued         int                         // most queued requests in all compartments; negative: by the slots
	minShareSum       float64                     // if the tenants' shares add up to less than this, the rest stays unused
	fleetSlots        float64                     // mean attempts in flight of all balancers, with traffic at the quotas
	quota             float64                     // requests per second of all tenants
	balancers         int                         // balancers in the fleet
	readyWeight       float64                     // total weight of the ready servers
	peakWeight        float64                     // recent maximum of readyWeight
	peakWeightAt      time.Duration               // when readyWeight was at that maximum
	shortageFactor    float64                     // factor on the servers' limits, above 1 while other servers fail
	inFlight          int                         // attempts in flight
	lastTurn          float64                     // virtual time of the last turn
	arc               []*server                   // the servers that get turns
	arcStart          float64                     // start of the arc on the circle of ready servers, from 0 to 1
	arcWeight         float64                     // total weight of the parts of servers that lie in the arc
	arrivals          ratemeter.Meter             // rate of requests
	perBalancerRate   float64                     // requests per second of each balancer, with traffic at the quotas
	arcLength         float64                     // length of the arc in servers of mean weight
	meanLatency       time.Duration               // smoothed latency of served attempts of all classes
	meanTargetSeconds float64                     // mean latency target of the classes
	meanValue         float64                     // mean value of the classes
	wakeAt            time.Duration               // when the next call of Wake is due; 0: none was requested
	discovery         discoverypace.Pace          // when to ask for the server list
	nextCompartment   int                         // the compartment whose queue was dispatched first in the last round
	keyQueues         keyedqueue.Queues[*request] // by key, for classes with InOrder
	budget            admission.RetryBudget       // for attempts after a request's first
	comparedServer    *server                     // the server whose load reports are compared
	compareAt         time.Duration               // when comparedServer is probed next
	prober            loadquery.Prober            // decides whether servers are probed
	closeIdleAt       time.Duration               // when idle connections to draining servers are closed again; 0: not due
	bulkhead          bulkhead.Bulkhead           // limits the attempts in flight of all compartments together
	counters          Counters
}

// Counters returns the counts since New.
func (b *Balancer) Counters() Counters { return b.counters }

// firstMayHaveRun returns the request's first attempt that may have run or may still run, or nil.
func (r *request) firstMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// wasSentTo reports whether the request was sent to a server before. With retryLost, attempts whose connection was lost
// do not count.
func (r *request) wasSentTo(s *server, retryLost bool) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.to == s && !(retryLost && a.connectionLost) {
			return true
		}
	}
	return false
}

// availableAt returns when a server may have turns again: after its ejection, or now if it owes an answer, as an answer
// ends the ejection.
func (s *server) availableAt(now time.Duration) time.Duration {
	if s.inFlight > 0 {
		return now
	}
	return max(now, s.ejectedUntil)
}

// findServer returns the position of a server in the list, or the position to insert it at and false.
func (b *Balancer) findServer(id ServerID) (int, bool) {
	return slices.BinarySearchFunc(b.servers, id, func(s *server, id ServerID) int { return cmp.Compare(s.ID, id) })
}

// server returns the listed server with an ID, or nil.
func (b *Balancer) server(id ServerID) *server {
	if i, ok := b.findServer(id); ok {
		return b.servers[i]
	}
	return nil
}

// peakWeightMaxAge bounds how long the peak weight counts: servers that have left for good must not keep the shares of
// the remaining servers small.
const peakWeightMaxAge = 30 * time.Second

// updateWeights adds up the weights of the ready servers, updates the peak weight and chooses the arc.
func (b *Balancer) updateWeights(now time.Duration) {
	b.readyWeight = 0
	for _, s := range b.servers {
		if s.State == Ready {
			b.readyWeight += s.Weight
		}
	}
	if b.readyWeight >= b.peakWeight || now-b.peakWeightAt > peakWeightMaxAge {
		b.peakWeight, b.peakWeightAt = b.readyWeight, now
	}
	b.chooseArc(now)
}

// weightShare returns a server's share of a total, by its weight relative to the peak weight.
func (b *Balancer) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(b.peakWeight, s.Weight)
}

// requestWake asks the Host for a call of Wake after d, unless an earlier call is due.
func (b *Balancer) requestWake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}

// readyServers returns the ready servers in order of their IDs.
func (b *Balancer) readyServers() []*server {
	return slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return s.State != Ready })
}

// countInFlight counts an attempt that starts (n is 1) or ends (n is -1).
func (b *Balancer) countInFlight(r *request, s *server, n int) {
	r.inFlight += n
	s.inFlight += n
	r.compartment.used += n
	b.inFlight += n
}

// crossesZone reports whether a server is in another zone and crossing zones has a price.
func (b *Balancer) crossesZone(s *server) bool {
	return b.cfg.CrossZonePrice > 0 && s.Zone != b.cfg.Zone
}

// StreamStarted handles that the client begins to receive the answer: the request is not retried or answered otherwise.
func (b *Balancer) StreamStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// removeRequest removes a finished request without attempts in flight, so that the next request of its key may be sent.
func (b *Balancer) removeRequest(r *request) {
	delete(b.requests, r.id)
	r.keyQueue.Remove(r)
}

// findOrAddServer returns the server with an ID. It adds a new server to the list.
func (b *Balancer) findOrAddServer(id ServerID) *server {
	i, ok := b.findServer(id)
	if !ok {
		b.servers = slices.Insert(b.servers, i, &server{slowness: 1, arcShare: 1})
	}
	return b.servers[i]
}

// markAllDeregistered sets the state of all servers to Deregistered.
func (b *Balancer) markAllDeregistered() {
	for _, s := range b.servers {
		s.State = Deregistered
	}
}

// ClientGone handles that a client has disconnected: its request needs no answer.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.finished {
		b.endRequest(r)
		b.dispatchQueued(now)
	}
}
