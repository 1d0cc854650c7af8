// Package asking decides when a balancer asks for the list of servers, where it must be asked for. It is free of I/O; time is
// passed in.
//
// Discovery is one service for a whole fleet. A subscription that ends with each change costs it a call by every balancer at the
// same moment: a fleet of eighty asked eighty times within 20 ms, most calls waited for longer than they may, and what they came
// back with, all at once again, kept the queue full for good. In 25 s not one change reached any of them. So a large fleet polls, each
// balancer at a phase of its own, as often as is its part of what such a service is built for.
package asking

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	perCall  = 125 * time.Millisecond // of discovery's time is a balancer's part for one call
	fewCalls = time.Second            // a fleet whose calls all fit into this subscribes: changes come sooner

	firstPause = 250 * time.Millisecond // before a subscription is asked for again after a failed call,
	lastPause  = 4 * time.Second        // doubled after each up to this

	longest = 9 * time.Second // between polls: a list that is older than this is little use
	within9 = 0.9             // of the time in which silence counts as being told: a call may take the rest
	phases  = 0.07            // by so much polls come sooner, so that balancers do not fall into step
	overdue = 2               // so many times that time between polls after failures: they count as asking for four times it
)

// Polled says that a fleet of so many balancers polls.
func Polled(balancers int) bool { return time.Duration(balancers)*perCall > fewCalls }

// Pace is when one balancer asks. It is used from one goroutine.
type Pace struct {
	rng    *rand.Rand
	polled bool
	within time.Duration // without asking this long a change counts as told; 0: not known
	every  time.Duration // the part of one balancer
	fails  int           // in a row
	rests  bool          // no need to ask: it is subscribed
	at     time.Duration // else when to ask next
	asked  time.Duration // when it last did
}

// New makes one.
func New(rng *rand.Rand, balancers int, polled bool, within time.Duration) Pace {
	p := Pace{rng: rng, polled: polled, within: within}
	p.every = min(time.Duration(min(balancers, 1<<16))*perCall, longest)
	if within > 0 {
		p.every = min(p.every, time.Duration(within9*float64(within)))
	}
	return p
}

// Start begins: a subscription at once, a poll at a phase of its own, as balancers that were stopped together start together. What
// is known serves till then; where nothing is, see Now.
func (p *Pace) Start(now time.Duration) {
	if p.at = now; p.polled {
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
	p.at, p.asked = now+cmp.Or(p.within*3/4, lastPause), now
	return true
}

// Heard takes that the list came.
func (p *Pace) Heard(now time.Duration) {
	p.fails, p.rests = 0, !p.polled
	p.at = p.asked + time.Duration(float64(p.every)*(1-phases*p.rng.Float64())) // not from the answer: asking is what counts
}

// Failed takes that a call failed. A service that is over what it can do must see fewer calls, or it never finds back.
func (p *Pace) Failed(now time.Duration) {
	pause := min(firstPause<<min(p.fails, 16), lastPause)
	if p.polled {
		pause = min(p.every<<min(p.fails, 16), overdue*cmp.Or(p.within, longest))
	}
	p.fails++
	p.rests = false
	p.at = now + time.Duration(float64(pause)*(0.5+p.rng.Float64()))
}
