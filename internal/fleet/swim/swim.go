// Package swim implements the membership protocol of a fleet's sidecars and determines whether this
// sidecar is in contact with the fleet. The protocol is SWIM (probes, indirect probes, suspicion,
// refutation, gossip piggybacked on probes) with Lifeguard's local health, extended by a lease.
//
// A Node is a state machine driven by messages and time. It does no I/O, starts no goroutines, and
// reads no clock and no random source except those passed in, so that a seed determines the whole
// run. It must be used by one goroutine at a time. All times are from one clock that continues
// while the process is stopped.
//
// The package guarantees:
//
// InContact(now) holds only while this node has received acks from a majority of the configured
// sidecars (this node included) that answer messages which this very session sent less than a lease
// ago. A session whose lease has expired has ended permanently; the next session has a higher
// sequence number.
//
// If SessionOver(now, B) returns a session of B, then B is not in contact under this session and
// never will be again. docs/design/peers.md has the proof; the code that the proof depends on says
// so in a comment.
package swim

import (
	"math/rand/v2"
	"time"
)

// Host sends the messages and receives the state changes of a Node. Its methods must not call the
// Node, and must not keep the message after they return.
type Host interface {
	Send(to int, message *Message)
	Changed(change Change)
}

// Change reports the new state of a member or, if Member is the node's own number, the start or end
// of the node's own contact.
type Change struct {
	At      time.Duration
	Member  int
	Session Session
	State   State
	Was     State
	Accuser int    // number of the member that declared the new state; -1: none, or Member itself
	Contact bool   // for the node itself: whether it is in contact from now on
	Why     string // for the node itself: the reason of the change
}

// Config configures a Node.
type Config struct {
	Size           int           // number of configured sidecars, this one included; numbered from 0 to Size-1
	Self           int           // number of this sidecar
	Incarnation    uint64        // must be higher than the incarnation of each earlier process with this number
	Lease          time.Duration // duration of a lease; 0: LeaseFor(Size)
	MaxClockError  float64       // maximum error of a clock's rate, as a fraction; 0: DefaultClockError
	BytesPerSecond float64       // approximate budget of bytes to send; 0: DefaultBytesPerSecond
	Rand           *rand.Rand
	Host           Host
}

const (
	// MaxMembers is the maximum number of sidecars in a fleet. It bounds the memory, some 200 bytes
	// per member.
	MaxMembers = 1 << 14

	// Period is the interval between the probes of a node, and between the calls of Tick. Eight
	// probes per second with three small messages each take less than 1 KiB/s.
	Period = 125 * time.Millisecond

	// DefaultClockError is the default maximum error of a clock's rate, as a fraction. A quartz
	// clock is off by at most 0.0001, and a clock that is being slewed by a further 0.0005.
	DefaultClockError = 0.001

	minLease = 3 * time.Second
	// leasePerMember is the lease duration per member. 16 acks per second renew the acks of a
	// majority of 300 members in 9.4 s; the lease is half as long again.
	leasePerMember = 50 * time.Millisecond

	directTimeout       = 100 * time.Millisecond // from a ping until the target is pinged again
	indirectTimeout     = 300 * time.Millisecond // until others are asked to probe, which costs as much as five probes
	probeTimeout        = 700 * time.Millisecond // until a probe has failed
	indirectProbes      = 3                      // members that are asked to probe
	fastProbeFactor     = 2                      // probes per tick while out of contact
	fastProbeLeases     = 3                      // duration of fast probing after contact was lost, in leases
	absentProbeInterval = 8                      // one tick in this many probes an absent member first

	refutationDecay    = 10 * time.Second // time constant of the count of refutations
	refutationsPerStep = 4.0              // refutations that lengthen the time-out of probes by one probeTimeout
	maxRefutationSteps = 3.0              // maximum lengthening, in such steps

	// maxLocalHealth bounds Lifeguard's local health multiplier: time-outs become up to
	// maxLocalHealth+1 times as long.
	maxLocalHealth    = 8
	resultWindow      = 16              // number of recent probes whose results are kept
	stallThreshold    = 4 * Period      // time without a Tick that counts as a stall of this process
	stallRecoveryTime = 2 * time.Second // time after a stall for which this node accuses no member

	minSuspicion     = 1200 * time.Millisecond // time-out of a suspicion that other members confirm
	maxSuspicion     = 3500 * time.Millisecond // time-out of a suspicion that no other member confirms
	maxConfirmations = 3                       // number of confirmations after which the time-out is minSuspicion

	maxRumoursPerMessage = 5
	retransmitMultiplier = 1.5    // messages per rumour, as a multiple of the binary logarithm of the fleet's size
	deathGossipFanout    = 3      // random members to which a death is gossiped immediately
	deathGossipInterval  = Period // minimum interval between such immediate messages
	memberCountInterval  = 16     // one probe in this many carries MemberCount

	maxQueuedRumours = 64
	digestFreshness  = 2 // a digest counts for the lease divided by this number; see confirmDeaths
)

// LeaseFor returns the default lease duration of a fleet of the given size: the time in which acks
// of a majority are received, and half as long again, but at least minLease.
func LeaseFor(size int) time.Duration {
	return max(minLease, time.Duration(size)*leasePerMember)
}

// Stats counts events since the start of the node.
type Stats struct {
	Probes, Unanswered, Suspicions, Refuted, Accused, Lapses, Stalls uint64
}
