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
	perCall  = 125 * time.Millisecond // of discovery's time is a balancer's part for one call
	fewCalls = time.Second            // a fleet whose calls all fit into this asks at once

	firstPause = 250 * time.Millisecond // before a subscription is asked for again after a failed call,
	lastPause  = 4 * time.Second        // doubled after each up to this

	longest = 9 * time.Second // a list that is older than this is little use
	spare   = 0.9             // of the time in which silence counts as being told: a call may take the rest
	overdue = 2               // so many times that between calls after failures, which count as asking for four times it
)

// Pace is when one balancer asks. It is used from one goroutine.
type Pace struct {
	rng    *rand.Rand
	paced  bool          // the fleet is large
	within time.Duration // without asking this long a change counts as told; 0: not known
	every  time.Duration // the part of one balancer
	fails  int           // in a row
	rests  bool          // no need to ask: it is subscribed
	at     time.Duration // else when to ask next
}

// New makes one.
func New(rng *rand.Rand, balancers int, within time.Duration) Pace {
	p := Pace{rng: rng, within: within}
	p.Share(balancers)
	return p
}

// Share takes how many balancers there are from now on.
func (p *Pace) Share(balancers int) {
	whole := time.Duration(min(balancers, 1<<16)) * perCall
	p.paced, p.every = whole > fewCalls, min(whole, longest)
	if p.within > 0 {
		p.every = min(p.every, time.Duration(spare*float64(p.within)))
	}
}

// Start begins, in a large fleet at a phase of its own: balancers that were stopped together start together. What is known serves
// till then; where nothing is, see Now.
func (p *Pace) Start(now time.Duration) {
	if p.at = now; p.paced {
		p.at += time.Duration(p.rng.Float64() * float64(p.every))
	}
}

// Now takes that no server is known: there is nothing to wait with.
func (p *Pace) Now(now time.Duration) { p.at = now }

// Due says that it is time to ask, and takes that it is done. Without any word it is due again before silence counts as being told.
func (p *Pace) Due(now time.Duration) bool {
	if p.rests || now < p.at {
		return false
	}
	p.at = now + cmp.Or(p.within*3/4, lastPause)
	return true
}

// Heard takes that the list came: it is subscribed.
func (p *Pace) Heard() { p.fails, p.rests = 0, true }

// Failed takes that a call failed. A service that is over what it can do must see fewer calls, or it never finds back.
func (p *Pace) Failed(now time.Duration) {
	pause := min(firstPause<<min(p.fails, 16), lastPause)
	if p.paced {
		pause = min(p.every<<min(p.fails, 16), overdue*cmp.Or(p.within, longest))
	}
	p.fails++
	p.rests = false
	p.at = now + time.Duration(float64(pause)*(0.5+p.rng.Float64()))
}
