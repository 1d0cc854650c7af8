// Package requestclass is what settings say of classes of requests and of tenants, and whether that can be used. It decides nothing and is free of I/O.
package requestclass

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are dropped within a group of servers, for a while
	Unsafe               // must never run twice
)

// Scope is the group of servers that drops repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim        time.Duration // answers within this earn full worth
	AimStretch float64       // the aim grows by this multiple of the request's expected work
	Deadline   time.Duration // the client's whole wait, over all its tries
	LateShare  float64       // share of the worth that an answer after the aim still earns
	Worth      float64
	Effect     Effect
	Scope      Scope         // keyed only
	Window     time.Duration // keyed only: how long repeats are dropped, from the first send on
	InOrder    bool          // requests of such classes that share a Request.Key run one at a time, in order
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, set against the other tenants' shares
	Quota float64 // requests a second within its share over all balancers; 0 where unknown
}

// Bad says of a figure that it is negative or no number.
func Bad(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

// Check returns an error that says what is unusable of a class.
func (c Class) Check() error {
	switch {
	case c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0:
		return fmt.Errorf("unusable: Aim %v, Deadline %v or Window %v", c.Aim, c.Deadline, c.Window)
	case Bad(c.AimStretch) || Bad(c.LateShare) || Bad(c.Worth):
		return errors.New("negative or no number: AimStretch, LateShare or Worth")
	}
	return nil
}

// CheckTenants returns an error that names what is unusable of some tenants; none are usable.
func CheckTenants(all []Tenant) error {
	sum := 0.0
	for i, t := range all {
		if Bad(t.Share) || Bad(t.Quota) {
			return fmt.Errorf("negative or no number: Tenants[%d], Share %v or Quota %v", i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(all) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("the Share of all Tenants adds up to %v", sum)
	}
	return nil
}
