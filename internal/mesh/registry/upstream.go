package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// State is an upstream's own statement on whether it takes requests.
type State uint8

// The states of an upstream. Deregistered is final: for TombstoneTTL later reports of it are rejected.
const (
	Ready State = iota
	Draining
	Deregistered
)

// stateNames are the names on the wire.
var stateNames = [...]string{Ready: "ready", Draining: "draining", Deregistered: "gone"}

// String returns the state's name on the wire, and "unknown" for a number that is no state's.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText writes the state by name. A number that is no state's is an error of kind Invalid.
func (s State) MarshalText() ([]byte, error) {
	if int(s) >= len(stateNames) {
		return nil, errs.New(errs.Invalid, "no upstream state has the number %d", s)
	}
	return []byte(stateNames[s]), nil
}

// UnmarshalText reads the state by name. Any other text is an error of kind Invalid.
func (s *State) UnmarshalText(b []byte) error {
	for i, name := range stateNames {
		if name == string(b) {
			*s = State(i)
			return nil
		}
	}
	return errs.New(errs.Invalid, "unknown upstream state %q", b)
}

// Upstream is one application server as the other sidecars need to know it.
type Upstream struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Address is where the application itself listens.
	Address string `json:"address"`
	// Node names the sidecar beside the application, and Inbound is where that sidecar receives
	// requests for it.
	Node    string `json:"node,omitempty"`
	Inbound string `json:"inbound,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// WarmupRemaining is the rest of the slow start in seconds, counted from the moment the message
	// was made; the reader adds its own clock.
	WarmupRemaining float64 `json:"warmupRemaining,omitempty"`
	// Sequence numbers the heartbeats of one instance: the later one wins.
	Sequence int64 `json:"sequence"`
	// Stale says that no lease or heartbeat has refreshed the upstream recently. It may be alive: its
	// sidecar may only be partitioned from the core machines.
	Stale bool `json:"stale,omitempty"`
}

// UpstreamReport is an upstream that no lease includes, with the time for which it is still fresh;
// below zero it is the time since it went stale.
type UpstreamReport struct {
	Upstream  Upstream      `json:"upstream"`
	Remaining time.Duration `json:"remaining"`
}

const (
	// maxName bounds every string of a lease in bytes, against memory taken by invalid reports.
	maxName = 512
	// maxSlots bounds an upstream's slots, against sums that overflow.
	maxSlots = 1 << 20
	// maxWarmup bounds a slow start in seconds, against durations that overflow.
	maxWarmup = 24 * 3600
	// warmupTolerance is how far the end of a slow start must move to count as a change; a smaller
	// move is the delay of messages.
	warmupTolerance = time.Second
)

// Check returns an error of kind Invalid for an upstream that no table may hold.
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
	if !(u.WarmupRemaining >= 0 && u.WarmupRemaining <= maxWarmup) { // NaN is out of bounds, too
		return errs.New(errs.Invalid,
			"upstream %.64q warms up for %g s, not 0 to %d", u.Instance, u.WarmupRemaining, maxWarmup)
	}
	return nil
}

// sameExceptWarmup reports whether two upstreams look the same to others, their slow start aside.
func sameExceptWarmup(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, x.WarmupRemaining = y.Sequence, y.WarmupRemaining
	return x == y
}

// warmupMoved reports whether the end of a slow start moved by more than message delays explain.
func warmupMoved(now, before, after time.Duration) bool {
	before, after = max(before, now), max(after, now)
	return max(before-after, after-before) > warmupTolerance
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func remainingSeconds(end, now time.Duration) float64 { return max(end-now, 0).Seconds() }
