// Package policy decides, for one client-side load balancer (a sidecar), when and where each request is sent,
// sent again, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The program that
// embeds it calls one method per event and passes the time; the Balancer answers through the Host it was given.
// This file is the interface; every decision is in policy.go.
//
// Times are durations since a fixed moment of the embedding program's choice; they must never go back, and all
// calls for one Balancer come from one goroutine, in the order of what happened. The order of calls: New, Start,
// List with the servers known so far, then Request, Outcome, Wake, List, Probed, ClientGone, StreamBegun and
// Reconfigure as they occur. Each Host.Send brings exactly one Outcome, also after the request has been answered;
// each Host.Wake one call of Wake, late rather than never. A request is answered once: by an Outcome with Settled
// set, or by Host.Refuse or Host.Fail.
//
// Bad input does no harm: a request that names no class or tenant, or has no time left, is refused; an outcome,
// probe or departure of something unknown is passed over, and so is a repeated one. New and Reconfigure return
// an error that names the field for settings that cannot be used; it then changes nothing.
package policy

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/requestclass"
)

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// ServerID names a server; it stays the same when the server restarts.
type ServerID uint64

// What the settings say of classes of requests and of tenants: see internal/proxy/requestclass.
type (
	Effect = requestclass.Effect
	Scope  = requestclass.Scope
	Class  = requestclass.Class
	Tenant = requestclass.Tenant
)

// The effects and scopes of classes.
const (
	Safe, Keyed, Unsafe            = requestclass.Safe, requestclass.Keyed, requestclass.Unsafe
	ScopeAll, ScopeZone, ScopeCell = requestclass.ScopeAll, requestclass.ScopeZone, requestclass.ScopeCell
)

// RetryBudget limits attempts after each request's first; the zero value: no limit.
type RetryBudget = admission.RetryLimit

// Config holds the settings a Balancer starts with; it does not change them.
type Config struct {
	Balancers int // balancers that send to the same servers, this one included
	Index     int // this balancer's number among them, from 0
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: then there is one compartment

	Slots int // slots of this balancer over all compartments; 0 derives them from the rest

	MaxAttempts   int           // attempts for one request at most
	MayCancel     bool          // Host.Cancel may be used
	MayProbe      bool          // Host.Probe may be used
	MaxRetryAfter time.Duration // the longest pause that clients heed
	MarksRepeat   bool          // clients mark their own further tries: Request.Repeat

	Budget      RetryBudget   // the zero value: no limit
	OrderSettle time.Duration // a key rests this long after an attempt that may still be running
	CloseWithin time.Duration // idle connections to a draining server are closed this soon; 0: left alone

	Tick time.Duration // events come at most this often

	AskList   bool          // the server list must be asked for
	AskWithin time.Duration // without asking this long, a change counts as told; 0: not known

	ColdFrom     float64       // a server starts with at least this share of its capacity
	ColdTime     time.Duration // and has all of it after this
	ColdMultiple float64       // sent more than this multiple of what it can do at that moment, it falls over

	Reports LoadFields // what servers' load reports hold

	ProbePrice     float64 // price of a probe, against a worth of 1
	CrossZonePrice float64 // price of an attempt that leaves the zone, against a worth of 1

	Fleet func() int                          `json:"-"` // balancers that were seen, nil: none; more than Balancers lower budgets, fewer raise none
	Place func() float64                      `json:"-"` // where this balancer begins among those that live, from 0 to 1; nil: by Index and Balancers. What is outside that counts for nothing
	Doubt func(ServerID) bool                 `json:"-"` // others say that it is silent: then one failure is enough; nil: none
	Parts func() int                          `json:"-"` // processes that are this balancer for now, as one replaces the other; nil: one
	Gate  func(rng *rand.Rand) admission.Gate `json:"-"` // who may try for a slot at all; nil: the module's own way. To weigh others.
}

// Limits are what Reconfigure changes while a Balancer runs.
type Limits struct {
	Tenants     []Tenant // as many as before; their shares are parts of 1
	MaxAttempts int
	Queue       int // requests that may wait over all compartments; negative: as the rest has it
	Budget      RetryBudget
}

// State is what the server list says of a server.
type State int

// The states of a server.
const (
	Gone State = iota
	Draining
	Ready
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    int
	Cell    int // servers of one cell share the keys they have seen
	State   State
	Weight  float64       // nominal size, set against the other servers' weights
	Started time.Duration // time of its last start; 0 means long ago
}

// ListKind says how the entries of a list event apply.
type ListKind int

// The kinds of list events.
const (
	ListFull   ListKind = iota // all servers; one that is absent has left
	ListDelta                  // only changed entries
	ListCached                 // all servers as last known, maybe old
	ListFailed                 // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Key    uint64        // what it is about; 0: nothing in particular
	Left   time.Duration // until the client gives up
	Work   time.Duration // expected work; 0 where unknown
	Repeat bool          // known to be a client's own further try
	Terms  any           // for a module that knows more terms than this one, which passes them over
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt. TurnedAway, NoConnection and NotSent prove that
// it never ran; every other one but Served means that it may have run, and so
// does a value not listed here.
const (
	Served Ending = iota
	Errored
	TurnedAway
	TimedOut
	NoConnection
	Broken
	Cancelled
	NotSent
	Rejected // the server says that the request is at fault, not itself: it would be rejected everywhere
	Gated    // the gate beside the server turned it back: it never ran, and never came to the server
)

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // numbered from 0 in the order of Host.Send for this request
	Ending  Ending
	Settled bool // the request is over; nothing more is owed for it
	Load    Load // the server's report, where one came along
}

// LoadFields is a set of the fields of a Load.
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

// Load is what a server reports of itself. The zero value is no report at all.
type Load struct {
	Has      LoadFields    // the fields that hold; the others are unknown
	InFlight float64       // requests it holds
	Queued   float64       // of these, requests that wait
	Busy     float64       // share of its cores that is busy
	Service  time.Duration // its usual time for a request of late, without waiting
	Served   float64       // requests served a second
	Errors   float64       // errors a second
}

// Host carries out what the Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout.
	Send(id RequestID, to ServerID, timeout time.Duration)
	// Refuse ends a request; trying again is harmless, best after the pause.
	Refuse(id RequestID, pause time.Duration)
	// Fail ends a request with no promise about its effect.
	Fail(id RequestID)
	// Cancel calls off one attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Wake asks for a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// Close closes the idle connections to a server.
	Close(to ServerID)
	// Probe asks a server for a load report; Balancer.Probed brings it.
	Probe(to ServerID)
	// WatchList subscribes to the server list; Balancer.List brings changes.
	WatchList()
	// Log writes a line for the people on call.
	Log(line string)
}

// Counters tell what a Balancer did since it was made.
type Counters struct {
	Ordinary  uint64 // first sends by the ordinary path: a slot, and the server whose turn it was
	Walled    uint64 // sends moved on because a server held its portion
	Held      uint64 // times that a request with a slot free was held back, as all servers were crowded
	Throttled uint64 // requests refused at once, as too few were lately answered in time
	Crossed   uint64 // sends of any kind to another zone, where that has a price
	Retries   uint64 // further attempts after one that failed
	Late      uint64 // clients' later tries refused as their aim was gone
	Queued    uint64 // requests that had to wait for a slot or a server
	Refused   uint64
	Failed    uint64
	Avoided   int // ready servers that had no turns at the last Wake, for what they did
}
