// Package soak checks a soak test of the mesh against the guarantees of the mesh. It uses only what clients and
// upstreams recorded and the disturbances (faults, restarts, reloads) of the machines. It also draws the schedule of
// disturbances from a seed.
//
// The package does no I/O and starts no goroutines; cmd/measure executes the runs. All times are measured on one clock
// from the beginning of the run.
package soak

import (
	"math"
	"slices"
	"time"
)

// Request is a client's record of one request.
type Request struct {
	ID          string
	Sidecar     int // number of the sidecar that received the request
	Idempotent  bool
	Sent        time.Duration // when its last byte was written
	Left        time.Duration // when its client closed the connection on purpose; 0 if it waited until the end
	Begun       time.Duration // when the head of its final response was received; 0 if none was
	Ended       time.Duration // when its response was complete or its connection ended; 0 if its client left
	Status      int           // of a complete response; 0 if there was none
	OwnResponse bool          // the response has the request's ID and, if a success, the expected signature and body
	MovingRoute bool          // its route is the one whose target service changes, see Change
}

// Run is an upstream's record of one arrival of a request.
type Run struct {
	ID         string
	Upstream   int           // number of the upstream and of the sidecar on the same machine
	Arrived    time.Duration // when the upstream had read the request
	PlannedEnd time.Duration // when the run ends unless it is interrupted
	Ended      time.Duration // when the upstream answered, or stopped because the connection had ended
	Failed     bool          // the upstream answered with a failure, or not at all
	Altered    bool          // its path or body differs from what its client sent
	Service    string        // service of the upstream
	Instance   string        // instance ID of the upstream at that time
}

// Drain is an acknowledged drain of an upstream.
type Drain struct {
	Instance     string
	Acknowledged time.Duration
}

// Change is a configuration change that an operator has sent.
type Change struct {
	Version      int64
	Sent         time.Duration // when it was first sent to the core
	Acknowledged time.Duration // 0 if the core did not confirm the change, which may still be in force
	Target       string        // target service of the moving route in this version
}

// Read is a successful read of the configuration.
type Read struct {
	Sidecar  int // number of the sidecar that answered
	Sent     time.Duration
	Answered time.Duration
	Version  int64
}

// Cause is the cause of a disturbance.
type Cause int

// The causes of disturbances.
const (
	Fault       Cause = iota // a SIGKILL, a SIGSTOP or a crash of an upstream
	Termination              // from SIGTERM until the next process has been started
	Reload                   // SIGHUP: the machine stays in contact
)

// String returns the cause as it appears in findings.
func (c Cause) String() string { return [...]string{"fault", "SIGTERM", "SIGHUP"}[c] }

// Disturbance is an interval in which a fault, a termination or a reload affected a machine.
type Disturbance struct {
	Machine  Machine
	From, To time.Duration
	Cause    Cause
}

// Machine identifies the core as a whole (Core) or a sidecar by its number.
type Machine int

// Core identifies the core. A disturbance of one core member counts as a disturbance of the whole core.
const Core Machine = -1

// Lag is an interval in which the measuring process was not scheduled. Events that it recorded after the interval may
// have happened during the interval.
type Lag struct {
	From, To time.Duration
}

// History is the record of a run.
type History struct {
	Requests     []Request
	Runs         []Run
	Disturbances []Disturbance
	Changes      []Change
	Reads        []Read
	Lags         []Lag
	Drains       []Drain
}

// Rules are the bounds that a history is checked against; they are those of the documentation for operators.
type Rules struct {
	ContactWindow time.Duration // a machine is in contact if it had no disturbance for this long
	GracePeriod   time.Duration // how long a process may keep running after SIGTERM
	RouteTimeout  time.Duration // time-out of every route
	LossSlack     time.Duration // a connection may end this soon after a request was sent, as the two may have crossed
	DrainTimeout  time.Duration // how long after its acknowledged drain an upstream may still receive requests
	ConfigApply   time.Duration // within this time a change is in force at all machines and a reload has taken effect
}

// lagged reports whether the measuring process was not scheduled at some time between two moments. The interval between
// them is then no measure of the mesh's delay.
func (h *History) lagged(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Lags, func(lag Lag) bool { return lag.From <= to && lag.To >= from })
}

// faulty reports whether a fault affected a machine between two moments.
func (h *History) faulty(m Machine, from, to time.Duration) bool {
	for _, d := range h.Disturbances {
		if d.Machine == m && d.Cause == Fault && d.From <= to && d.To >= from {
			return true
		}
	}
	return false
}

// FaultSince reports whether a fault affected a machine at or after a moment.
func (h *History) FaultSince(m Machine, moment time.Duration) bool {
	return h.faulty(m, moment, time.Duration(math.MaxInt64))
}

// inContact reports whether the core and the given sidecars were in contact from one moment to another: from the
// contact window before the first moment on, no fault affected any of them, and none of the sidecars was terminating.
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
