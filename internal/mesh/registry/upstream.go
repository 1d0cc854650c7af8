// Package registry is the list of who is there: the sidecars' leases and the
// upstreams beside them. It is a pure state machine: time comes in as a
// steady-clock offset, and nothing here waits, sends or stores.
package registry

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// State is an upstream's own word on whether it takes requests.
type State uint8

// The states of an upstream. Deregistered is final: an instance that said it is gone
// is not taken back.
const (
	Ready State = iota
	Draining
	Deregistered
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Deregistered: "gone"}

// String gives the state's name as it stands on the wire.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText writes the state by name.
func (s State) MarshalText() ([]byte, error) {
	if int(s) >= len(stateNames) {
		return nil, errs.New(errs.Invalid, "no upstream state has the number %d", s)
	}
	return []byte(stateNames[s]), nil
}

// UnmarshalText reads the state by name and refuses any other word.
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
	// Node names the sidecar beside the application, and Inbound is where that
	// sidecar takes requests for it.
	Node    string `json:"node,omitempty"`
	Inbound string `json:"inbound,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// WarmupRemaining is the rest of the warm-up in seconds, counted from the
	// moment the message was made; the reader adds its own clock.
	WarmupRemaining float64 `json:"warmupRemaining,omitempty"`
	// Sequence is the upstream's call sequence: within one instance the later
	// beat wins.
	Sequence int64 `json:"sequence"`
	// Stale says that nobody has vouched for the upstream of late. It may be
	// alive: its sidecar may only be cut off from the core members.
	Stale bool `json:"stale,omitempty"`
}

// Lease is one sidecar's word that it is there. Leases of one node are ordered
// by (Life, Sequence); older ones are passed over.
type Lease struct {
	Node string `json:"node"`
	// Incarnation is one per process life and grows from life to life.
	Incarnation uint64 `json:"life"`
	Sequence    uint64 `json:"sequence"`
	Zone        string `json:"zone,omitempty"`
	// Upstream is nil while the sidecar has not heard from one.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Applied is the configuration version in force at the sidecar.
	Applied int64 `json:"applied"`
	// Leaving says that the sidecar is on its way out; Left that it has gone.
	Leaving bool `json:"leaving,omitempty"`
	Left    bool `json:"left,omitempty"`
}

// RemoteLease is a lease held by another member, with the time it still has there.
type RemoteLease struct {
	Lease     Lease         `json:"lease"`
	Remaining time.Duration `json:"remaining"`
}

// Renewal is a lease of which only the time is news. Body is the Sequence at
// which the rest of the lease changed last, so that a reader knows whether
// what it holds is still right.
type Renewal struct {
	Node            string        `json:"n"`
	Incarnation     uint64        `json:"l"`
	Sequence        uint64        `json:"s"`
	ContentSequence uint64        `json:"b"`
	Remaining       time.Duration `json:"r"`
}

// UpstreamReport is an upstream that no lease tells of, with the time for which it is
// still vouched for; below zero it is the time since nobody does.
type UpstreamReport struct {
	Upstream  Upstream      `json:"upstream"`
	Remaining time.Duration `json:"remaining"`
}

const (
	// maxName bounds every string of a lease, against memory taken by junk.
	maxName = 512
	// maxSlots bounds an upstream's slots, against sums that overflow.
	maxSlots = 1 << 20
	// maxWarmup bounds a warm-up in seconds, against durations that overflow.
	maxWarmup = 24 * 3600
)

// Check refuses an upstream that no table should take.
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
	for _, s := range [...]string{u.Instance, u.Service, u.Address, u.Node, u.Inbound, u.Zone, u.Region, u.Version} {
		if len(s) > maxName {
			return errs.New(errs.Invalid, "a name of upstream %.64q is longer than %d bytes", u.Instance, maxName)
		}
	}
	if u.Slots < 0 || u.Slots > maxSlots {
		return errs.New(errs.Invalid, "upstream %.64q has %d slots, not 0 to %d", u.Instance, u.Slots, maxSlots)
	}
	if !(u.WarmupRemaining >= 0 && u.WarmupRemaining <= maxWarmup) {
		return errs.New(errs.Invalid, "upstream %.64q warms up for %g s, not 0 to %d", u.Instance, u.WarmupRemaining, maxWarmup)
	}
	return nil
}

// Check refuses a lease that no table should take.
func (l *Lease) Check() error {
	if l.Node == "" || len(l.Node) > maxName || len(l.Zone) > maxName {
		return errs.New(errs.Invalid, "a lease needs a node and a zone of at most %d bytes, and has node %.64q", maxName, l.Node)
	}
	if l.Incarnation == 0 || l.Sequence == 0 {
		return errs.New(errs.Invalid, "the lease of %.64q has no life or no sequence", l.Node)
	}
	if l.Upstream != nil {
		return l.Upstream.Check()
	}
	return nil
}
