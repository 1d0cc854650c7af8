package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// State is an upstream's own report of whether it accepts requests.
type State uint8

// The states of an upstream. Deregistered is final: later reports of the instance are rejected for TombstoneTTL.
const (
	Ready State = iota
	Draining
	Deregistered
)

// stateNames are the names of the states in messages.
var stateNames = [...]string{Ready: "ready", Draining: "draining", Deregistered: "gone"}

// String returns the state's name in messages, or "unknown" for an undefined state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name. It returns an error of kind Invalid for an undefined state.
func (s State) MarshalText() ([]byte, error) {
	if int(s) >= len(stateNames) {
		return nil, errs.New(errs.Invalid, "no upstream state has the number %d", s)
	}
	return []byte(stateNames[s]), nil
}

// UnmarshalText parses the state's name. It returns an error of kind Invalid for any other text.
func (s *State) UnmarshalText(b []byte) error {
	for i, name := range stateNames {
		if name == string(b) {
			*s = State(i)
			return nil
		}
	}
	return errs.New(errs.Invalid, "unknown upstream state %q", b)
}

// Upstream is one application server, as sidecars and core members report it to each other.
type Upstream struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Address is the address on which the application itself listens.
	Address string `json:"address"`
	// Node is the name of the sidecar beside the application. Inbound is the address on which that sidecar receives
	// the application's requests.
	Node    string `json:"node,omitempty"`
	Inbound string `json:"inbound,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// WarmupRemaining is the remaining time of the slow start in seconds, as of the moment when the message was
	// created. The receiver adds it to its own clock.
	WarmupRemaining float64 `json:"warmupRemaining,omitempty"`
	// Sequence numbers the heartbeats of one instance. The heartbeat with the higher sequence wins.
	Sequence int64 `json:"sequence"`
	// Stale is set when no lease or heartbeat has refreshed the upstream in time. The upstream may still be alive:
	// its sidecar may merely be partitioned from the core machines.
	Stale bool `json:"stale,omitempty"`
}

// UpstreamReport is an upstream that no live lease includes. Remaining is the time until the upstream becomes stale.
// A negative Remaining is the time for which the upstream has been stale.
type UpstreamReport struct {
	Upstream  Upstream      `json:"upstream"`
	Remaining time.Duration `json:"remaining"`
}

const (
	// maxName is the maximum length in bytes of each string of a lease. It bounds the memory that invalid reports use.
	maxName = 512
	// maxSlots is the maximum number of an upstream's slots. It keeps sums of slots from overflowing.
	maxSlots = 1 << 20
	// maxWarmup is the maximum slow start in seconds. It keeps the conversion to a duration from overflowing.
	maxWarmup = 24 * 3600
	// warmupTolerance is how far the end of a slow start must move to count as a change. Message delays account for
	// smaller moves.
	warmupTolerance = time.Second
)

// Check returns an error of kind Invalid if a field of the upstream is missing or out of bounds.
func (u *Upstream) Check() error {
	if u.Instance == "" {
		return errs.New(errs.Invalid, "the upstream names no instance")
	}
	if u.State > Deregistered {
		return errs.New(errs.Invalid, "upstream %.64q has no known state", u.Instance)
	}
	if u.State != Deregistered && u.Service == "" {
		return errs.New(errs.Invalid, "upstream %.64q names no service", u.Instance)
	}
	names := [...]string{u.Instance, u.Service, u.Address, u.Node, u.Inbound, u.Zone, u.Region, u.Version}
	for _, name := range names {
		if len(name) > maxName {
			return errs.New(errs.Invalid,
				"a name of upstream %.64q is longer than %d bytes", u.Instance, maxName)
		}
	}
	if u.Slots < 0 || u.Slots > maxSlots {
		return errs.New(errs.Invalid,
			"upstream %.64q has %d slots, not 0 to %d", u.Instance, u.Slots, maxSlots)
	}
	if !(u.WarmupRemaining >= 0 && u.WarmupRemaining <= maxWarmup) { // also rejects NaN
		return errs.New(errs.Invalid,
			"upstream %.64q warms up for %g s, not 0 to %d", u.Instance, u.WarmupRemaining, maxWarmup)
	}
	return nil
}

// sameExceptWarmup reports whether two reports are equal except for their sequence and their remaining slow start.
func sameExceptWarmup(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, x.WarmupRemaining = y.Sequence, y.WarmupRemaining
	return x == y
}

// warmupMoved reports whether the end of a slow start moved by more than warmupTolerance. Ends before now are equal.
func warmupMoved(now, before, after time.Duration) bool {
	before, after = max(before, now), max(after, now)
	return max(before-after, after-before) > warmupTolerance
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// remainingSeconds returns the seconds from now until end, or 0 if end has passed.
func remainingSeconds(end, now time.Duration) float64 { return max(end-now, 0).Seconds() }
