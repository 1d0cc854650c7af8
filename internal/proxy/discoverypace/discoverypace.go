package discoverypace

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	callTime          = 125 * time.Millisecond // time that the discovery service needs for one balancer's call
	smallFleetMaxTime = time.Second            // a fleet is large if the calls of all its balancers take longer

	minBackoff = 250 * time.Millisecond // after a failed call in a small fleet; each further failure doubles the backoff
	maxBackoff = 4 * time.Second        // up to this

	maxInterval    = 9 * time.Second // between calls in a large fleet: an older list is of little use
	maxAgeFraction = 0.9             // fraction of the list's maximum age after which to call; the call may take the rest
	failureFactor  = 2               // bounds the time between failed calls, as a multiple of the maximum age
)

// Pace schedules the calls of one balancer. It is used from one goroutine.
type Pace struct {
	rng          *rand.Rand
	isLargeFleet bool
	maxAge       time.Duration // a change counts as received by a balancer that has not called for this time; 0: unknown
	interval     time.Duration // between calls in a large fleet
	failures     int           // consecutive failed calls
	subscribed   bool          // the list has arrived and changes follow, so no call is needed
	nextAt       time.Duration // time of the next call unless subscribed
}

// New returns a pace. Start must be called before Due.
func New(rng *rand.Rand, balancers int, maxAge time.Duration) Pace {
	p := Pace{rng: rng, maxAge: maxAge}
	p.SetBalancers(balancers)
	return p
}

// SetBalancers sets the number of balancers in the fleet.
func (p *Pace) SetBalancers(balancers int) {
	fleetCallTime := time.Duration(min(balancers, 1<<16)) * callTime
	p.isLargeFleet, p.interval = fleetCallTime > smallFleetMaxTime, min(fleetCallTime, maxInterval)
	if p.maxAge > 0 {
		p.interval = min(p.interval, time.Duration(maxAgeFraction*float64(p.maxAge)))
	}
}

// Start schedules the first call: now, or in a large fleet after a random part of the interval, as all balancers may
// restart at the same time. AskNow moves the call forward.
func (p *Pace) Start(now time.Duration) {
	if p.nextAt = now; p.isLargeFleet {
		p.nextAt += time.Duration(p.rng.Float64() * float64(p.interval))
	}
}

// AskNow makes the call due now. It is for balancers that know no server.
func (p *Pace) AskNow(now time.Duration) { p.nextAt = now }

// Due reports whether to call now. If so, it assumes that the call is made, and schedules another call before the
// maximum age in case there is no answer.
func (p *Pace) Due(now time.Duration) bool {
	if p.subscribed || now < p.nextAt {
		return false
	}
	p.nextAt = now + cmp.Or(p.maxAge*3/4, maxBackoff)
	return true
}

// Subscribed records that the list arrived and that changes to it follow.
func (p *Pace) Subscribed() { p.failures, p.subscribed = 0, true }

// Failed records a failed call and schedules the next. The rate of calls falls, so that an overloaded service recovers.
func (p *Pace) Failed(now time.Duration) {
	backoff := min(minBackoff<<min(p.failures, 16), maxBackoff)
	if p.isLargeFleet {
		backoff = min(p.interval<<min(p.failures, 16), failureFactor*cmp.Or(p.maxAge, maxInterval))
	}
	p.failures++
	p.subscribed = false
	p.nextAt = now + time.Duration(float64(backoff)*(0.5+p.rng.Float64()))
}
