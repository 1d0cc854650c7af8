// Package quota keeps the rate limits of tenants and the retry budgets of services, over all sidecars
// together. It promises that no sliding window sees more requests of a tenant than the rule allows,
// whichever sidecars they arrive at and whichever of them can reach the leader.
//
// It owns three state machines: the leader's Allocator, and each sidecar's LocalLimiter and
// RetryBudget. None of them has a clock, I/O, goroutines or a lock: the caller passes the monotonic
// time and calls each of them from one goroutine at a time or under its own lock.
//
// The members are the sidecars that share the limits. A tenant is prepaid where at most
// maxPrepaidMembers share it and the rule leaves a token for each of them, or at most maxTightMembers and
// the rule leaves one with the rate lowered by maxTightRateReduction at most; otherwise it is deferred.
//
// # How the limit of a prepaid tenant is kept
//
// Let R be a tenant's rate, B its burst, W the window, m the number of members. The rule allows
// (R*W + B)*(1+overage) + slack in any window. A request runs on a token, and tokens come from two
// sources:
//
//   - the Allocator's bucket, of depth b. Its tokens live for TokenTTL from the request for them, so
//     what is spent within a window was granted within W+TokenTTL;
//   - the floor of each LocalLimiter, of depth F/m, which needs no contact with the leader. It fills at
//     floorRateFraction*T*R/m. Granted tokens that expire in a bucket fall into the floor, up to its
//     depth; those that expire on their way are lost.
//
// In contact, a limiter leaves its floor to the Allocator by a FloorLease in its request: for
// limiterFloorLease from the sending its floor doesn't fill, whether or not a response arrives. The
// Allocator's bucket fills at (1-floorRateFraction)*T*R and, for every lease, at the share that the lease
// names. It counts a lease no longer than until limiterFloorLease after the earliest moment at which the
// request can have been sent, which it knows from its own clock, as the limiter repeated it. So each share
// flows at one place, wherever messages are late or lost, and both sources together flow at T*R if the
// shares add up to 1. A window then sees at most
//
//	T*R*(W+TokenTTL) + b + F.
//
// T is 1 where the burst leaves capacity for b and F, and down to about 0.9 where it doesn't (0.8 with
// more than maxPrepaidMembers); b+F is what the rule leaves after a reserve. With W 5 s, overage 0.1,
// slack 20, R = B = 172 and m = 12: the rule allows 1155, T*R*(W+TokenTTL) is 912, the reserve 36, F 84 (7
// at each limiter), b 123. With R = B = 8: 73, 38, 4, F 24 (2 at each), b 7. With R = 8, B = 0 and m = 24:
// 64, 35, 4, F 24 (one at each), b 1.2, T 0.83.
//
// Nothing adds to the sum that a process takes for its own at its start. A new limiter starts with empty
// floors, and they don't fill before a lease of the process before it is over; a tenant that is new there,
// or was away, starts empty as well. A limiter that knows no number of members has no floor. A new
// Allocator starts empty, without leases, and waits, so that nothing of its predecessor's is granted twice;
// only one allocates at a time (see controlplane). The time between the admission and the execution is no
// term: a request counts if it was sent and has run within the window, and it is admitted in between.
//
// The shares add up to 1 at most if no limiter divides by fewer members than there are. Each side tells the
// other by how many it divides, and both divide by the larger number; a number that shrinks holds for
// memberCountHold more. A member out of contact is counted for registry.SilentRetention, also over restarts of
// the core, and takes itself for forgotten before that is over: then it knows no number and has no floor.
// What is not proven: limiters that divide by a smaller number than the others because they were out of
// contact when members came. The reserve, a fifth of a second's rate, covers a fleet that grows by 4 in 100
// meanwhile.
//
// Whether a tenant is prepaid follows from the number of members. A limiter and an Allocator that divide by
// different numbers may disagree for a call; then neither grants nor reports count, and the tenant has its
// floor alone.
//
// # How the limit of a deferred tenant is kept
//
// With many members a token at each is more than the rule leaves, and a granted one is often at one that
// has no request for it. So members admit requests and report afterwards what arrived and what they
// admitted, and the Allocator takes that from the bucket, below zero if need be. The bucket fills at deferredRateFraction*R, less the floors of members that
// haven't leased them, for contactTTL each. The Allocator names the throttled tenants,
// of which only a fraction may run: deferredRateFraction*R + level/surplusTime (or deficit/deficitTime)
// of the demand reported lately. Each member then admits requests at random at that fraction. A window
// so sees at most
//
//	deferredRateFraction*R*W + b + X,
//
// X being what runs above the flow between the time when the bucket is empty and that when the members
// know. With R = B the rule leaves 1.75*R + 20 for b + X. A member without throttled tenants asks each
// idleInterval, one that has requests of a throttled tenant each renewInterval, one that admitted
// reportThreshold requests of a tenant at once. A tenant at its usual demand that rises eightfold brings
// 5*R. If R/m is large, members report by their count: with R 100 and m 82 it is at most the report
// threshold (2) and what arrives during a call (0.3) at each, less what flows, so X is about 115, b 26,
// and the rule leaves 195. If it is small, members report by time: with R 10 the bucket (8) is empty at
// the Allocator after 0.7 s, and members learn of it 0.25 to 0.5 s later on average, so X is about
// 4*R*0.6 = 24, and the rule leaves 37. So for these rates the rule is kept but for rare chance, and isn't
// proven. It is broken where clients come at all members in one moment: X is then the sum of all local
// buckets, 246 requests with m 82 where a tenant of 8 a second may run 64 in a window
// (TestLargeFleetLimitsHoldInEveryHistory). No setting of the buckets bounds that: a member that runs one
// request of its own accord is enough for as many as there are members.
//
// A member whose response is missing for responseTimeout stops filling its local bucket and cuts it to
// the floor; after contactTTL the floor fills at the member's even share. Floors hold a token each, more
// where the rule leaves capacity. It is assumed that a small tenant's demand doesn't rise while all
// members are out of contact: usual demand is below its rate, and a tenant that was throttled before
// keeps less than a token. If its demand rises then at many members with full floors, up to a token at
// each may run above its rate, which is over the rule for R below about 28 with m 82.
package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// TokenTTL is how long a granted token can be spent, from the request that brought it. It bounds the
// tokens that remain valid after their Allocator has ended.
const TokenTTL = 300 * time.Millisecond

const (
	// limiterFloorLease is how long a limiter leaves its floors to the Allocator, from the request that
	// carried the lease. It spans renewInterval and a response that takes 200 ms; the longer it is, the
	// longer a sidecar that has lost its contact has no floor.
	limiterFloorLease = 450 * time.Millisecond
	// contactTTL is the same for deferred tenants: the time between two idle requests, and 0.6 s in which
	// the response is missed.
	contactTTL = idleInterval + 600*time.Millisecond
	// maxAmount is the largest rate, burst, slack or number of tokens. It guards against sums that
	// overflow.
	maxAmount = 1e12
	// oneToken is what counts as a full token. It guards against a request rejected for a rounding
	// error.
	oneToken = 1 - 1e-9
)

// Epoch numbers the Allocators that follow one another: it is the term of the leader that an Allocator
// belongs to. It travels as a JSON number.
type Epoch uint64

// Rules are the settings of the quota: the sliding window, and what the rule allows above rate and burst.
type Rules struct {
	Window  time.Duration
	Overage float64 // as a fraction of rate*window + burst
	Slack   float64 // in requests
}

func (r Rules) validate() error {
	if r.Window <= 0 || !validAmount(r.Overage) || !validAmount(r.Slack) {
		return errs.New(errs.Invalid, "quota rules: window %v, overage %v, slack %v", r.Window, r.Overage, r.Slack)
	}
	return nil
}

// Limit is what a tenant is allowed: a rate in requests a second and a burst on top, in requests. Rate
// 0 means no limit.
type Limit struct {
	Rate, Burst float64
}

// Request is what a LocalLimiter sends to the Allocator.
type Request struct {
	Demands []Demand `json:"asks"`
	// Members is the number of sidecars that the limiter has heard of, 0 if it has heard of none.
	Members int `json:"members,omitempty"`
	// Lease is nil if the limiter keeps its floors for itself.
	Lease *FloorLease `json:"floorLease,omitempty"`
}

// FloorLease leaves the floors of one limiter to the Allocator, until limiterFloorLease (of deferred
// tenants contactTTL) after the request was sent. The limiter's floors don't fill for so long, whether
// or not a response arrives. Epoch and Clock repeat the last response, and Elapsed is the time between
// its arrival and the sending of the request, so that the Allocator knows how old the lease is at most.
type FloorLease struct {
	Share   float64       `json:"share"` // of all floors, above 0 and 1 at most
	Epoch   Epoch         `json:"epoch"`
	Clock   time.Duration `json:"clock"`
	Elapsed time.Duration `json:"elapsed"`
}

// Response is what the Allocator responds to a Request.
type Response struct {
	Epoch     Epoch       `json:"epoch"`
	Grants    []Grant     `json:"grants"`
	Throttled []Throttled `json:"closed,omitempty"`
	// Members is the number of sidecars by which the Allocator divides the limits, 0 from one that
	// doesn't say.
	Members int `json:"members,omitempty"`
	// Clock is the Allocator's clock, for the limiter to repeat. It starts at an arbitrary moment.
	Clock time.Duration `json:"clock,omitempty"`
}

// Demand is what a sidecar asks for a tenant and, of a deferred one, what arrived and ran since the
// last response.
type Demand struct {
	Tenant string  `json:"tenant"`
	Want   float64 `json:"want"`           // tokens; of a deferred tenant the requests that arrived
	Used   float64 `json:"used,omitempty"` // what ran without a granted token
	// Deferred says that the limiter takes the tenant for a deferred one: it can't use a grant.
	Deferred bool `json:"deferred,omitempty"`
}

// Throttled says that a deferred tenant is near its limit: only a share of its requests may run.
type Throttled struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"` // from 0 to 1
}

// Grant is the tokens granted to a sidecar for a tenant.
type Grant struct {
	Tenant string  `json:"tenant"`
	Tokens float64 `json:"tokens"`
}

// validAmount reports whether x is a number of something: not negative, and maxAmount at most.
func validAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// maxMembers is the largest number of sidecars. It guards against floors that are divided to nothing.
const maxMembers = 1 << 14

// UnknownMembers is the number of members that a LocalLimiter is configured with until one is known, and
// when the core may have forgotten this member.
const UnknownMembers = 0

// validateMembers is an error if there is no member, or are absurdly many.
func validateMembers(members int) error {
	if members < 1 || members > maxMembers {
		return errs.New(errs.Invalid, "%d members, want 1 to %d", members, maxMembers)
	}
	return nil
}
