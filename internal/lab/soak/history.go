// Package soak judges a run of the mesh from outside: by what its clients and upstreams recorded, and by what
// was done to its machines. It also draws what is done, from a seed.
//
// Nothing here does I/O or starts goroutines: cmd/measure plays the runs. All times are since the run's begin,
// on one clock.
package soak

import (
	"math"
	"slices"
	"time"
)

// Request is what a client recorded of one request.
type Request struct {
	ID         string
	Sidecar    int // the number of the sidecar that it was sent to
	Idempotent bool
	Sent       time.Duration // its last byte was written
	Left       time.Duration // its client left on purpose; 0: it stayed until the end
	Begun      time.Duration // the head of its final response came; 0: none did
	Ended      time.Duration // its response was complete, or its connection ended without one; 0: its client left
	Status     int           // of a complete response; 0: there was none
	Own        bool          // the response has the request's id and, where it is a success, its signature and body
	Moves      bool          // its route is the one whose service changes, see Change
}

// Run is what an upstream recorded of one arrival of a request.
type Run struct {
	ID       string
	Upstream int           // the number of the upstream, and of the sidecar beside it
	Arrived  time.Duration // it was read
	Planned  time.Duration // when it would end by itself
	Ended    time.Duration // it was answered, or dropped as its connection had ended
	Changed  bool          // its path or body is not what its client sent
	Service  string        // of the upstream
	Instance string        // its id at that time
}

// Drain is an upstream that drains, as a machine has acknowledged.
type Drain struct {
	Instance     string
	Acknowledged time.Duration
}

// Change is a change of the configuration that an operator has sent.
type Change struct {
	Version      int64
	Sent         time.Duration // to the core for the first time
	Acknowledged time.Duration // 0: it has no clear answer, and may be in force
	Target       string        // the service to which the route that moves goes with it
}

// Read is a read of the configuration that was answered with success.
type Read struct {
	Sidecar  int // that was asked
	Sent     time.Duration
	Answered time.Duration
	Version  int64
}

// Cause is what disturbs a machine.
type Cause int

// The causes of disturbances.
const (
	Fault       Cause = iota // a kill, a freeze, an upstream that crashes
	Termination              // SIGTERM, until another process has been started
	Reload                   // SIGHUP: the machine stays in contact
)

// String is the cause in words.
func (c Cause) String() string { return [...]string{"fault", "SIGTERM", "SIGHUP"}[c] }

// Disturbance is a time in which something was done to a machine.
type Disturbance struct {
	Machine  Machine
	From, To time.Duration
	Cause    Cause
}

// Machine names a machine: the core as a whole, or a sidecar by its number.
type Machine int

// Core is the core: trouble of one of its members is trouble of all of it.
const Core Machine = -1

// Lag is a time in which the measuring process got no processor. What it recorded behind it may have happened
// within it.
type Lag struct {
	From, To time.Duration
}

// History is all that was recorded of a run.
type History struct {
	Requests     []Request
	Runs         []Run
	Disturbances []Disturbance
	Changes      []Change
	Reads        []Read
	Lags         []Lag
	Drains       []Drain
}

// Rules are the bounds that a history is judged by, as the operators' pages have them.
type Rules struct {
	ContactWindow time.Duration // a machine is in contact if nothing disturbed it for so long
	GracePeriod   time.Duration // how long a process may go on after SIGTERM
	RouteTimeout  time.Duration // of all requests
	LossSlack     time.Duration // a connection that ends so soon after a request may have crossed it
	DrainTimeout  time.Duration // how long after its acknowledgement a draining upstream may be sent requests
	ConfigApply   time.Duration // within which a change is in force everywhere, and a reload shows its effects
}

// lagged reports whether the measuring process lagged between two moments: how much later than the first one the
// second is says nothing of the mesh then.
func (h *History) lagged(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Lags, func(lag Lag) bool { return lag.From <= to && lag.To >= from })
}

// faulty reports whether a fault touched a machine between two moments.
func (h *History) faulty(m Machine, from, to time.Duration) bool {
	for _, d := range h.Disturbances {
		if d.Machine == m && d.Cause == Fault && d.From <= to && d.To >= from {
			return true
		}
	}
	return false
}

// FaultSince reports whether a fault met a machine after a moment, or lasts since before.
func (h *History) FaultSince(m Machine, moment time.Duration) bool {
	return h.faulty(m, moment, time.Duration(math.MaxInt64))
}

// inContact reports whether no fault touched the core or any of some sidecars between the contact window before
// a moment and another moment, and none of these sidecars was told to end meanwhile.
func (h *History) inContact(rules Rules, from, to time.Duration, sidecars ...int) bool {
	from -= rules.ContactWindow
	if h.faulty(Core, from, to) {
		return false
	}
	for _, number := range sidecars {
		for _, d := range h.Disturbances {
			if d.Machine == Machine(number) && d.Cause != Reload && d.From <= to && d.To >= from {
				return false
			}
		}
	}
	return true
}
