package policy

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/requestclass"
)

// RequestID identifies a request. The Host chooses it and never uses an ID twice.
type RequestID uint64

// ServerID identifies a server. A server keeps its ID when it restarts.
type ServerID uint64

// Settings of request classes and tenants, defined in internal/proxy/requestclass.
type (
	// Effect tells what running a request of a class twice does.
	Effect = requestclass.Effect
	// Scope is the group of servers that drops repeats of a deduplicated request.
	Scope = requestclass.Scope
	// Class holds the settings of one class of requests.
	Class = requestclass.Class
	// Tenant is a customer with a share of the service.
	Tenant = requestclass.Tenant
)

// The effects of classes.
const (
	Idempotent    = requestclass.Idempotent
	Deduplicated  = requestclass.Deduplicated
	NonIdempotent = requestclass.NonIdempotent
)

// The scopes of deduplicated classes.
const (
	ScopeAll  = requestclass.ScopeAll
	ScopeZone = requestclass.ScopeZone
	ScopeCell = requestclass.ScopeCell
)

// RetryBudget limits the attempts after each request's first. The zero value sets no limit.
type RetryBudget = admission.RetryLimit

// Config holds the settings that a Balancer starts with. Recordings hold a Config as JSON, under the keys of the tags.
type Config struct {
	Balancers int // balancers that send to the same servers, this balancer included
	Index     int // number of this balancer among them, from 0
	Zone      int // zone of this balancer
	Classes   []Class
	Tenants   []Tenant // if empty, all requests share one compartment

	Slots int // slots of this balancer in all compartments; 0: derived from the quotas or the first list

	MaxAttempts        int           // most attempts for one request
	MayCancel          bool          // the Balancer may call Host.Cancel
	MayProbe           bool          // the Balancer may call Host.Probe
	MaxRetryAfter      time.Duration // the longest Retry-After that clients observe
	ClientsMarkRetries bool          `json:"MarksRepeat"` // clients mark their own retries: Request.IsRetry

	Budget RetryBudget // the zero value sets no limit
	// KeyBlockTime is how long the next request of a key waits after an attempt that may still be running.
	KeyBlockTime time.Duration `json:"OrderSettle"`
	// IdleCloseTime is the time within which idle connections to a draining server are closed; 0: they stay open.
	IdleCloseTime time.Duration `json:"CloseWithin"`

	Tick time.Duration // shortest time between two events: calls of Wake may be this late

	ListOnDemand bool `json:"AskList"` // the server list is sent only to balancers that ask for it
	// ListMaxAge is the time after which a balancer counts as informed of a change of the list, even if it has not
	// asked for the list; 0: unknown.
	ListMaxAge time.Duration `json:"AskWithin"`

	// SlowStartShare is the fraction of its capacity that a server has at least when it starts, and SlowStartTime the
	// time after which it has its full capacity. A server fails if it is sent more than SlowStartOverload times its
	// capacity of that moment.
	SlowStartShare    float64       `json:"ColdFrom"`
	SlowStartTime     time.Duration `json:"ColdTime"`
	SlowStartOverload float64       `json:"ColdMultiple"`

	Reports LoadFields // the fields that the servers' load reports have

	ProbePrice     float64 // price of a probe, relative to a request's value of 1
	CrossZonePrice float64 // price of an attempt at a server of another zone, relative to a request's value of 1

	// FleetSize returns how many balancers are seen at present; nil: Balancers applies. More than Balancers lower the
	// budgets of each, fewer do not raise them.
	FleetSize func() int `json:"-"`
	// ArcStart returns where this balancer's arc of servers starts, as a fraction of the circle from 0 to below 1, by
	// its place among the live balancers; nil: by Index and Balancers. A value outside the range is ignored.
	ArcStart func() float64 `json:"-"`
	// SuspectedDown reports whether other balancers get no answer from a server. Such a server is ejected after one
	// failure instead of two; nil: no server is suspected.
	SuspectedDown func(ServerID) bool `json:"-"`
	// Processes returns how many processes act as this balancer at present, as one process replaces another; nil: one.
	Processes func() int `json:"-"`
	// NewGate makes the admission control of a compartment; nil: admission.Recovering. It serves comparisons of gates.
	NewGate func(rng *rand.Rand) admission.Gate `json:"-"`
}

// Limits are the settings that Reconfigure changes while a Balancer runs.
type Limits struct {
	Tenants     []Tenant // as many as in the Config; a sum of shares below 1 leaves the rest unused
	MaxAttempts int
	Queue       int // most queued requests in all compartments; negative: derived from the slots
	Budget      RetryBudget
}

// State is the state of a server in the server list.
type State int

// The states of a server.
const (
	Deregistered State = iota
	Draining
	Ready
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    int
	Cell    int // servers of one cell share the deduplication keys that they have seen
	State   State
	Weight  float64       // nominal capacity, relative to the other servers' weights
	Started time.Duration // time of the last start; 0: long ago
}

// ListKind tells how the entries of a list event apply.
type ListKind int

// The kinds of list events.
const (
	ListFull   ListKind = iota // all servers; a server without an entry is deregistered
	ListDelta                  // changed entries only
	ListCached                 // all servers by a stored list, which may be out of date
	ListFailed                 // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID         RequestID
	Class      int           // index in Config.Classes
	Tenant     int           // index in Config.Tenants
	Key        uint64        // the subject of the request, for Class.InOrder; 0: none
	TimeLeft   time.Duration // until the client gives up
	Work       time.Duration // expected work; 0: unknown
	IsRetry    bool          // the client marked the request as its own retry
	Attributes any           // further properties for other decision modules; Balancer ignores them
}

// Ending tells how an attempt ended.
type Ending int

// The endings of an attempt. A Balancer takes NotProcessed, NoConnection and NotSent as proof that the attempt never
// ran. After any other ending, a value not listed here included, the attempt may have run. Recordings hold the numbers.
const (
	Served         Ending = iota
	Errored               // the server answered with an error of its own
	NotProcessed          // the server rejected the request without running it
	TimedOut              // no answer arrived in time
	NoConnection          // no connection was made
	ConnectionLost        // the connection broke after the request was sent
	Cancelled             // cancelled with Host.Cancel or by the client
	NotSent               // the request never left the process
	InvalidRequest        // the server rejected the request as invalid, as every other server would
	GateRejected          // the sidecar beside the server rejected the request and did not pass it on
)

// NeverRan reports whether an ending proves that the attempt never ran.
func (e Ending) NeverRan() bool { return e == NotProcessed || e == NoConnection || e == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	ID       RequestID
	Attempt  int // numbered from 0 in the order of Host.Send for the request
	Ending   Ending
	Finished bool // the request has its answer, or needs none
	Load     Load // the server's load report, if the answer carried one
}

// LoadFields is a set of fields of a Load.
type LoadFields uint8

// The fields of a Load.
const (
	HasInFlight LoadFields = 1 << iota
	HasQueued
	HasBusy
	HasService
	HasServed
	HasErrors
)

// Load is a server's load report. The zero value stands for no report.
type Load struct {
	Has      LoadFields    // the known fields
	InFlight float64       // requests at the server, queued requests included
	Queued   float64       // requests queued at the server
	Busy     float64       // fraction of the server's cores that is busy
	Service  time.Duration // recent mean time to serve a request, without queueing
	Served   float64       // requests served per second
	Errors   float64       // errors per second
}

// Host carries out the decisions of a Balancer. Its methods must not call the Balancer.
type Host interface {
	// Send starts the next attempt of a request. The attempt times out after timeout.
	Send(id RequestID, to ServerID, timeout time.Duration)
	// Refuse ends a request. A retry by the client is harmless, preferably after retryAfter.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request without a promise about its effect.
	Fail(id RequestID)
	// Cancel cancels one attempt. The attempt's Outcome still follows.
	Cancel(id RequestID, attempt int)
	// Wake requests a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(to ServerID)
	// Probe asks a server for a load report. Balancer.Probed delivers the report.
	Probe(to ServerID)
	// WatchList subscribes to the server list. Balancer.List delivers the list and its changes.
	WatchList()
	// Log writes a line for the on-call engineers.
	Log(line string)
}

// Counters count what a Balancer did since New. The log prints the fields under their names.
type Counters struct {
	Ordinary  uint64 // first attempts that got a slot and the server whose turn it was
	Walled    uint64 // sends to a later server, as the server whose turn it was is ejected, paced or at its limit
	Held      uint64 // dispatches put off by the bulkhead although the compartment had a free slot
	Throttled uint64 // requests refused on arrival by admission control, as too few were answered in time
	Crossed   uint64 // sends to another zone, if crossing zones has a price
	Retries   uint64 // attempts after a request's first
	Late      uint64 // requests, usually clients' retries, answered unsent as they would be served late
	Queued    uint64 // requests that waited in a queue for a slot or a server
	Refused   uint64 // requests answered with Host.Refuse
	Failed    uint64 // requests answered with Host.Fail
	Avoided   int    // ready servers that were ejected at the last Wake
}
