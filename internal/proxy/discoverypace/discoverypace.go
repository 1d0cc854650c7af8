// Package discoverypace decides when a balancer asks for the list of servers, where it must be asked for. It is free of I/O; time is
// passed in.
//
// Discovery is one service for a whole fleet, and a subscription costs it a call. A fleet of eighty that starts at once asked eighty times
// within 20 ms; most calls waited for longer than they may, and what came back after a short pause, all at once again, kept the
// queue full for good: in 25 s not one change reached any of them. So in a large fleet each asks first at a phase of its own, and again
// after a failure at the pace that is its part of what such a service is built for. Once subscribed, changes come as they happen.
package discoverypace

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	timePerCall  = 125 * time.Millisecond // of discovery's time is a balancer's part for one call
	unpacedBelow = time.Second            // a fleet whose calls all fit into this asks at once

	minBackoff = 250 * time.Millisecond // before a subscription is asked for again after a failed call,
	maxBackoff = 4 * time.Second        // doubled after each up to this

	maxInterval    = 9 * time.Second // a list that is older than this is little use
	maxAgeFraction = 0.9             // of the time in which silence counts as being told: a call may take the rest
	failureFactor  = 2               // so many times that between calls after failures, which count as asking for four times it
)

// Pace is when one balancer asks. It is used from one goroutine.
type Pace struct {
	rng          *rand.Rand
	isLargeFleet bool          // the fleet is large
	maxAge       time.Duration // without asking this long a change counts as told; 0: not known
	interval     time.Duration // the part of one balancer
	failures     int           // in a row
	subscribed   bool          // no need to ask: it is subscribed
	nextAt       time.Duration // else when to ask next
}

// New makes one.
func New(rng *rand.Rand, balancers int, within time.Duration) Pace {
	p := Pace{rng: rng, maxAge: within}
	p.SetBalancers(balancers)
	return p
}

// SetBalancers takes how many balancers there are from now on.
func (p *Pace) SetBalancers(balancers int) {
	whole := time.Duration(min(balancers, 1<<16)) * timePerCall
	p.isLargeFleet, p.interval = whole > unpacedBelow, min(whole, maxInterval)
	if p.maxAge > 0 {
		p.interval = min(p.interval, time.Duration(maxAgeFraction*float64(p.maxAge)))
	}
}

// Start begins, in a large fleet at a phase of its own: balancers that were stopped together start together. What is known serves
// till then; where nothing is, see Now.
func (p *Pace) Start(now time.Duration) {
	if p.nextAt = now; p.isLargeFleet {
		p.nextAt += time.Duration(p.rng.Float64() * float64(p.interval))
	}
}

// AskNow takes that no server is known: there is nothing to wait with.
func (p *Pace) AskNow(now time.Duration) { p.nextAt = now }

// Due says that it is time to ask, and takes that it is done. Without any word it is due again before silence counts as being told.
func (p *Pace) Due(now time.Duration) bool {
	if p.subscribed || now < p.nextAt {
		return false
	}
	p.nextAt = now + cmp.Or(p.maxAge*3/4, maxBackoff)
	return true
}

// Subscribed takes that the list came: it is subscribed.
func (p *Pace) Subscribed() { p.failures, p.subscribed = 0, true }

// Failed takes that a call failed. A service that is over what it can do must see fewer calls, or it never finds back.
func (p *Pace) Failed(now time.Duration) {
	pause := min(minBackoff<<min(p.failures, 16), maxBackoff)
	if p.isLargeFleet {
		pause = min(p.interval<<min(p.failures, 16), failureFactor*cmp.Or(p.maxAge, maxInterval))
	}
	p.failures++
	p.subscribed = false
	p.nextAt = now + time.Duration(float64(pause)*(0.5+p.rng.Float64()))
}
