// Package swim is the membership protocol of a fleet's sidecars, and tells whether this sidecar is
// itself in contact with the fleet. It is SWIM (probes, indirect probes, suspicion, refutation,
// gossip on the back of probes) with Lifeguard's local health, and a lease on top.
//
// A Node is a state machine over messages and time: it does no I/O, starts no goroutines, and reads
// no clock and no random source but those passed in, so one seed gives one history. It must be used
// by one goroutine at a time. All times are of one clock that counts on while the process is
// stopped.
//
// It promises:
//
// InContact(now) holds only while acks of a majority of the configured sidecars have arrived that
// answer messages of this very session sent less than a lease ago. A session whose lease has lapsed
// is over for good; the next one has a higher sequence number.
//
// If SessionOver(now, B) returns a session of B, then B is not in contact under that session, nor
// will it ever be again. Why this follows is in docs/design/peers.md; each line that it rests on
// says so.
package swim

import (
	"math/rand/v2"
	"time"
)

// Host carries out what a Node decides. Its methods must not call back into the Node, nor keep m.
type Host interface {
	Send(to int, m *Message)
	Changed(c Change)
}

// Change is a member's new state, or, if Member is the node's own number, a change of its own
// contact.
type Change struct {
	At      time.Duration
	Member  int
	Session Session
	State   State
	Was     State
	Accuser int  // -1: nobody else
	Contact bool // of this node itself: in contact from now on, or not
	Why     string
}

// Config configures a Node.
type Config struct {
	Size           int // configured sidecars, this one included: numbers 0 to Size-1
	Self           int
	Incarnation    uint64        // above that of each earlier process of this number
	Lease          time.Duration // 0: LeaseFor(Size)
	MaxClockError  float64       // greatest error of a clock's rate, to either side; 0: DefaultClockError
	BytesPerSecond float64       // that may be sent, roughly; 0: DefaultBytesPerSecond
	Rand           *rand.Rand
	Host           Host
}

const (
	// MaxMembers is how many sidecars a fleet may have: a bound on memory, some 200 bytes a member.
	MaxMembers = 1 << 14

	// Period is how often a member is probed, and how often Tick is due. Eight a second, three
	// small messages each, stay under 1 KiB/s.
	Period = 125 * time.Millisecond

	// DefaultClockError is the greatest error of a clock's rate. Quartz is off by 0.0001 at the
	// worst; a clock that is being slewed by 0.0005 more.
	DefaultClockError = 0.001

	minLease = 3 * time.Second
	// leasePerMember: 16 acks a second refresh a majority of 300 in 9.4 s; the lease is half as
	// long again.
	leasePerMember = 50 * time.Millisecond

	directTimeout       = 100 * time.Millisecond // until a target is pinged again
	indirectTimeout     = 300 * time.Millisecond // until others are asked: each costs five probes
	probeTimeout        = 700 * time.Millisecond // until a probe has failed
	indirectProbes      = 3                      // members that are asked to probe
	seekFactor          = 2                      // times as many probes while not in contact,
	seekLeases          = 3                      // for this many leases
	absentProbeInterval = 8                      // one probe in so many goes to an absent member

	noiseDecay = 10 * time.Second // time constant of the count of refutations
	noiseStep  = 4.0              // refutations that lengthen time-outs by one
	maxNoise   = 3.0

	// maxHealth bounds Lifeguard's local health multiplier: time-outs are up to maxHealth+1 times
	// longer.
	maxHealth      = 8
	resultWindow   = 16              // last probes that are remembered
	stallThreshold = 4 * Period      // without a Tick: this process was stopped or starved,
	selfDoubtTime  = 2 * time.Second // and accuses nobody for this long afterwards

	minSuspicion     = 1200 * time.Millisecond // time-out of a suspicion that others confirm
	maxSuspicion     = 3500 * time.Millisecond // and of one that nobody confirms
	maxConfirmations = 3

	maxRumoursPerMessage = 5
	retransmitMultiplier = 1.5    // times the logarithm of the fleet's size
	burstFanout          = 3      // members that are told of a member's end at once
	burstInterval        = Period // between bursts
	countInterval        = 16     // one probe in so many carries MemberCount

	maxQueuedRumours = 64
	digestFreshness  = 2 // a digest counts for a lease divided by this; see confirmDeaths
)

// LeaseFor returns the lease of a fleet of size sidecars: the time it takes to receive acks of a
// majority, and half as long again.
func LeaseFor(size int) time.Duration {
	return max(minLease, time.Duration(size)*leasePerMember)
}

// Stats counts events since the start.
type Stats struct {
	Probes, Unanswered, Suspicions, Refuted, Accused, Lapses, Stalls uint64
}
