// Package discoverypace decides when a balancer asks for the list of servers, where it must ask.
//
// In a fleet of eighty that asked at once most calls timed out, and their retries kept discovery busy for good. So in a
// large fleet balancers first ask at random phases, and retry at their part of the rate that discovery is built for.
package discoverypace

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	timePerCall  = 125 * time.Millisecond // of discovery's time, for one balancer's call
	unpacedBelow = time.Second            // a fleet whose calls all fit into this is not large

	minBackoff = 250 * time.Millisecond // after a failed call of a small fleet,
	maxBackoff = 4 * time.Second        // doubled after each up to this

	maxInterval    = 9 * time.Second // an older list is of little use
	maxAgeFraction = 0.9             // of the list's maximum age, after which to ask again: the call may take the rest
	failureFactor  = 2               // bounds the time between failed calls, as a multiple of the maximum age
)

// Pace is when one balancer asks. It is used from one goroutine.
type Pace struct {
	rng          *rand.Rand
	isLargeFleet bool
	maxAge       time.Duration // after which a change counts as received by one who did not ask; 0: not known
	interval     time.Duration // between calls in a large fleet
	failures     int           // in a row
	subscribed   bool          // no need to ask
	nextAt       time.Duration // else when to ask next
}

// New makes a pace.
func New(rng *rand.Rand, balancers int, maxAge time.Duration) Pace {
	p := Pace{rng: rng, maxAge: maxAge}
	p.SetBalancers(balancers)
	return p
}

// SetBalancers sets how many balancers the fleet has from now on.
func (p *Pace) SetBalancers(balancers int) {
	round := time.Duration(min(balancers, 1<<16)) * timePerCall
	p.isLargeFleet, p.interval = round > unpacedBelow, min(round, maxInterval)
	if p.maxAge > 0 {
		p.interval = min(p.interval, time.Duration(maxAgeFraction*float64(p.maxAge)))
	}
}

// Start begins, in a large fleet at a random phase: balancers may restart together. See AskNow where that is too late.
func (p *Pace) Start(now time.Duration) {
	if p.nextAt = now; p.isLargeFleet {
		p.nextAt += time.Duration(p.rng.Float64() * float64(p.interval))
	}
}

// AskNow makes the call due, as no server is known.
func (p *Pace) AskNow(now time.Duration) { p.nextAt = now }

// Due says whether to ask now, and counts that as done. Without an answer it is due again before the maximum age.
func (p *Pace) Due(now time.Duration) bool {
	if p.subscribed || now < p.nextAt {
		return false
	}
	p.nextAt = now + cmp.Or(p.maxAge*3/4, maxBackoff)
	return true
}

// Subscribed notes that the list came: changes follow.
func (p *Pace) Subscribed() { p.failures, p.subscribed = 0, true }

// Failed notes that a call failed. An overloaded service must see fewer calls, or it never recovers.
func (p *Pace) Failed(now time.Duration) {
	backoff := min(minBackoff<<min(p.failures, 16), maxBackoff)
	if p.isLargeFleet {
		backoff = min(p.interval<<min(p.failures, 16), failureFactor*cmp.Or(p.maxAge, maxInterval))
	}
	p.failures++
	p.subscribed = false
	p.nextAt = now + time.Duration(float64(backoff)*(0.5+p.rng.Float64()))
}
