// Package requestclass defines the settings of request classes and of tenants, and validates them. It performs no I/O
// and keeps no state.
package requestclass

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect is the effect that a repeat of a request may have.
type Effect int

// The effects of a repeat.
const (
	Idempotent    Effect = iota // a repeat has no effect of its own
	Deduplicated                // the servers of the Scope drop repeats during DedupWindow
	NonIdempotent               // a repeat has an effect of its own, so the request must not run twice
)

// Scope is the group of servers that drop repeats of a deduplicated request.
type Scope int

// The scopes of a deduplicated class. ScopeZone and ScopeCell are the zone and the cell of the first attempt's server.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class holds the settings of a class of requests. Recordings encode it as JSON; the tags keep the keys stable.
type Class struct {
	LatencyTarget time.Duration `json:"Aim"`        // an answer within this time has the full Value
	TargetPerWork float64       `json:"AimStretch"` // the target grows by this multiple of the request's Work
	Deadline      time.Duration // total time that the client waits, including its retries
	LateValue     float64       `json:"LateShare"` // fraction of Value that an answer after the target still has
	Value         float64       `json:"Worth"`
	Effect        Effect
	Scope         Scope         // deduplicated only
	DedupWindow   time.Duration `json:"Window"` // deduplicated only: servers drop repeats this long after the first send
	InOrder       bool          // requests of one Request.Key run one at a time, in order of arrival
}

// transitDivisor divides DedupWindow into the parts of which the last is reserved for a repeat's transit to its server.
const transitDivisor = 4

// RepeatTime returns the time after the first attempt of a deduplicated request until which a repeat may be written to
// a connection. Servers compare DedupWindow with the time at which a repeat arrives, so the last quarter of the window
// is reserved for the transit: a repeat sent at the window's end would arrive after it and have an effect of its own.
func (c Class) RepeatTime() time.Duration { return c.DedupWindow - c.DedupWindow/transitDivisor }

// RepeatsAnywhere reports whether a repeat may be sent to any server, within RepeatTime if the class is deduplicated.
func (c Class) RepeatsAnywhere() bool {
	return c.Effect == Idempotent || c.Effect == Deduplicated && c.Scope == ScopeAll
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, relative to the sum of all tenants' shares
	Quota float64 // requests per second within its share, over all balancers; 0: unknown
}

// IsInvalid reports whether a setting is negative, infinite or not a number.
func IsInvalid(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

// Check returns an error if a setting of the class is unusable. The error names settings as recordings do.
func (c Class) Check() error {
	switch {
	case c.LatencyTarget <= 0 || c.Deadline <= 0 || c.DedupWindow < 0:
		return fmt.Errorf("want Aim %v and Deadline %v above 0, and Window %v not negative",
			c.LatencyTarget, c.Deadline, c.DedupWindow)
	case IsInvalid(c.TargetPerWork) || IsInvalid(c.LateValue) || IsInvalid(c.Value):
		return errors.New("negative, infinite or not a number: AimStretch, LateShare or Worth")
	}
	return nil
}

// CheckTenants returns an error that names the first unusable setting of the tenants. An empty list is usable.
func CheckTenants(all []Tenant) error {
	sum := 0.0
	for i, t := range all {
		if IsInvalid(t.Share) || IsInvalid(t.Quota) {
			return fmt.Errorf("negative, infinite or not a number: Tenants[%d], Share %v or Quota %v", i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(all) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("the Share of all Tenants adds up to %v, want a finite number above 0", sum)
	}
	return nil
}
