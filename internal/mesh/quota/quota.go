// Package quota enforces the rate limits of tenants and the retry budgets of services across all sidecars
// of a deployment. The number of requests of a tenant in any sliding window stays within the tenant's limit,
// whichever sidecars receive the requests and whichever sidecars can reach the leader. Cases for which this is
// not proven or doesn't hold are stated below.
//
// The package has three state machines: the Allocator of the leader, and the LocalLimiter and RetryBudget of
// each sidecar. The state machines have no clock, I/O, goroutines or locks: the caller passes the monotonic
// time, and serializes the calls to each state machine.
//
// The members are the sidecars that share the limits. A tenant is prepaid or deferred. The requests of a
// prepaid tenant run on tokens that a member holds beforehand. The requests of a deferred tenant are admitted
// first and charged afterwards. A tenant is prepaid if the limit leaves at least one token for each member:
// with up to maxPrepaidMembers members at a rate that is lowered by at most about maxRateReduction, with up to
// maxSingleTokenMembers members at a rate that is lowered by at most maxSingleTokenRateReduction. All other
// tenants are deferred.
//
// # Limit of a prepaid tenant
//
// Let R be the tenant's rate, B the burst, W the window and m the number of members. The limit allows
// (R*W + B)*(1+overage) + slack requests in any window. Each request spends a token, and tokens come from two
// sources:
//
//   - The Allocator's bucket, of depth b. A granted token expires TokenTTL after the request for the token
//     was sent, so the granted tokens that are spent within a window were granted within W+TokenTTL.
//   - The floor of each LocalLimiter, of depth F/m, which needs no contact with the leader. A floor fills at
//     floorRateFraction*T*R/m. Granted tokens that expire in a limiter's bucket move to the floor, up to the
//     depth of the floor; granted tokens that expire in transit are lost.
//
// A limiter in contact with the leader lends the fill of its floor to the Allocator: it sends a FloorLease
// with each request, and its floor doesn't fill for floorLeaseTTL after the request was sent, whether or not a
// response arrives. The Allocator's bucket fills at (1-floorRateFraction)*T*R and, for every valid lease, at
// the share of floorRateFraction*T*R that the lease names. The Allocator counts a lease until at most
// floorLeaseTTL after the earliest time at which the request can have been sent. The Allocator derives this
// time from its own clock, which the limiter repeats in the request. So each share fills one bucket at a time,
// even if messages are late or lost, and both sources together fill at T*R if the shares add up to 1. The
// number of requests in a window is then at most
//
//	T*R*(W+TokenTTL) + b + F.
//
// T is 1 where the burst leaves capacity for b and F, and down to about 0.9 where the burst is too small (0.8
// with more than maxPrepaidMembers members); b+F is the remainder of the limit after a reserve. With W 5 s,
// overage 0.1, slack 20, R = B = 172 and m = 12, the limit is 1155, T*R*(W+TokenTTL) is 912, the reserve 36,
// F 84 (7 at each limiter) and b 123. With R = B = 8: 73, 38, 4, F 24 (2 at each limiter), b 7. With R = 8,
// B = 0 and m = 24: 64, 35, 4, F 24 (1 at each limiter), b 1.2, T 0.83.
//
// A process that starts assumes no tokens, so a restart adds nothing to this sum. A new limiter starts with
// empty floors, which don't fill before the lease of the preceding process has expired; a tenant that is added,
// or removed and added again, starts empty as well. A limiter that doesn't know the number of members has no
// floor. A new Allocator starts empty, without leases, and waits until the tokens of its predecessor have
// expired, so no token is granted twice; only one Allocator grants tokens at a time (see controlplane). The
// time between admission and execution adds no term: a request counts if it was sent and executed within the
// window, and the admission lies in between.
//
// The shares add up to at most 1 if no limiter divides by fewer members than there are. The limiter and the
// Allocator tell each other their numbers of members, and both divide by the larger one; a decrease takes effect
// after memberCountHold. The core counts a member that has lost contact for registry.SilentRetention, also
// across restarts of the core. Before that time is over, the member assumes that the core no longer counts it:
// its number of members is then UnknownMembers, and it has no floor. One case is not proven: limiters that
// divide by a smaller number than the others, because they were out of contact while members joined. The reserve
// of 0.2 s at the full rate covers a fleet that grows by 4 % in the meantime.
//
// Whether a tenant is prepaid depends on the number of members. A limiter and an Allocator that divide by
// different numbers may disagree for one request; then neither grants nor reports count, and the tenant's
// requests at this limiter run on the floor alone.
//
// # Limit of a deferred tenant
//
// With many members, one token for each of them exceeds the limit, and a granted token is often held by a member
// that has no request for it. So members admit requests first and then report how many requests arrived and how
// many were admitted. The Allocator subtracts the admitted requests from the bucket, whose level may become
// negative. The bucket fills at deferredRateFraction*R, less the fill of the floors that aren't leased to the
// Allocator. Each lease is valid for contactTTL.
//
// Near the limit the Allocator throttles the tenant: only a fraction of its requests may run. The fraction is
// deferredRateFraction*R + level/surplusDrainTime (level/deficitRecoveryTime if the level is negative), divided
// by the recently reported demand. Each member then admits requests at random with this probability. The number
// of requests in a window is at most
//
//	deferredRateFraction*R*W + b + X,
//
// where X is the number of requests above the fill rate that run between the time when the bucket becomes empty
// and the time when the members learn of the throttling. With R = B the limit leaves 1.75*R + 20 for b + X. A
// member without throttled tenants sends a request every idleInterval, a member that receives requests of a
// throttled tenant every renewInterval, and a member that has admitted reportThreshold requests of a tenant
// without delay. A tenant whose usual demand rises eightfold sends 5*R. If R/m is large, members report by
// count: with R 100 and m 82, each member admits at most the report threshold (2) and the requests that arrive
// during a call (0.3), less the fill, so X is about 115, b is 26, and the limit leaves 195. If R/m is small,
// members report by time: with R 10 the bucket (8) is empty at the Allocator after 0.7 s, and members learn of
// the throttling 0.25 s to 0.5 s later on average, so X is about 4*R*0.6 = 24, and the limit leaves 37. For these
// rates the limit is thus exceeded only with a small probability; a bound isn't proven. The limit is exceeded if
// clients reach all members at the same time: X is then the sum of all local buckets, 246 requests with m 82,
// where a tenant with 8 requests/s may run 64 in a window (TestLargeFleetLimitsHoldInEveryHistory). No setting
// of the buckets bounds this case: if each member admits a single request before it reports, the fleet admits as
// many requests as it has members.
//
// A member that has waited responseTimeout for a response stops filling its local bucket and caps the bucket at
// the depth of the floor; after contactTTL the floor fills at the member's even share of the rate. Each floor
// holds one token, or more where the limit leaves capacity. The design assumes that the demand of a small tenant
// doesn't rise while all members are out of contact: the usual demand is below the rate, and the bucket of a
// tenant that was throttled keeps less than one token. If the demand does rise at many members with full floors,
// up to one request per member may run above the rate, which exceeds the limit for R below about 28 with m 82.
package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// TokenTTL is how long a granted token is valid, from the time at which the limiter sent its request. It
// bounds how long tokens stay valid after the Allocator that granted them has stopped.
const TokenTTL = 300 * time.Millisecond

const (
	// floorLeaseTTL is how long a floor lease of prepaid tenants is valid, from the time at which the request
	// with the lease was sent. It covers renewInterval and a response time of 200 ms. A longer lease would
	// leave a sidecar that has lost contact without a floor for longer.
	floorLeaseTTL = 450 * time.Millisecond
	// contactTTL is the duration of a floor lease of deferred tenants: the time between two idle requests,
	// and 600 ms for the response.
	contactTTL = idleInterval + 600*time.Millisecond
	// maxAmount is the upper bound of rates, bursts, slacks and token counts. It prevents sums from
	// overflowing.
	maxAmount = 1e12
	// oneToken is the least amount that counts as a full token. It prevents rejections because of rounding
	// errors.
	oneToken = 1 - 1e-9
)

// Epoch numbers successive Allocators: it is the term of the leader that runs the Allocator. It is encoded
// as a JSON number.
type Epoch uint64

// Rules are the settings of the limits: the length of the sliding window, and the excess over rate and burst
// that is allowed in a window.
type Rules struct {
	Window  time.Duration
	Overage float64 // as a fraction of rate*window + burst
	Slack   float64 // in requests
}

func (r Rules) validate() error {
	if r.Window <= 0 || !validAmount(r.Overage) || !validAmount(r.Slack) {
		return errs.New(errs.Invalid,
			"quota rules: window %v must be positive, overage %v and slack %v must be between 0 and 1e12",
			r.Window, r.Overage, r.Slack)
	}
	return nil
}

// Limit is the limit of a tenant: a rate in requests per second, and a burst in requests. A rate of 0 means
// no limit.
type Limit struct {
	Rate, Burst float64
}

// Request is a request for tokens that a LocalLimiter sends to the Allocator.
type Request struct {
	Demands []Demand `json:"asks"`
	// Members is the number of sidecars known to the limiter, 0 if the number is unknown.
	Members int `json:"members,omitempty"`
	// Lease is nil if the limiter's own floors keep filling.
	Lease *FloorLease `json:"floorLease,omitempty"`
}

// FloorLease lends the fill of one limiter's floors to the Allocator, for floorLeaseTTL (contactTTL for
// deferred tenants) after the request was sent. The limiter's floors don't fill during this time, whether or
// not a response arrives. Epoch and Clock repeat the values of the last response, and Elapsed is the time from
// the arrival of that response to the sending of the request, so the Allocator can bound the age of the lease.
type FloorLease struct {
	Share   float64       `json:"share"` // fraction of all floors, above 0 and at most 1
	Epoch   Epoch         `json:"epoch"`
	Clock   time.Duration `json:"clock"`
	Elapsed time.Duration `json:"elapsed"`
}

// Response is the Allocator's response to a Request.
type Response struct {
	Epoch     Epoch       `json:"epoch"`
	Grants    []Grant     `json:"grants"`
	Throttled []Throttled `json:"closed,omitempty"`
	// Members is the number of sidecars by which the Allocator divides the limits, 0 if the Allocator is of
	// a release without this field.
	Members int `json:"members,omitempty"`
	// Clock is the Allocator's clock, which the limiter repeats in its next lease. The origin of the clock
	// is arbitrary.
	Clock time.Duration `json:"clock,omitempty"`
}

// Demand is a sidecar's demand for one tenant. The numbers of a deferred tenant count the requests since the
// last report that was answered.
type Demand struct {
	Tenant string `json:"tenant"`
	// Requested is the number of tokens that a prepaid tenant needs, or the number of requests of a deferred
	// tenant that arrived.
	Requested float64 `json:"want"`
	// Admitted is the number of requests that were admitted without a granted token.
	Admitted float64 `json:"used,omitempty"`
	// Deferred is set if the limiter treats the tenant as deferred: the limiter can't use a grant.
	Deferred bool `json:"deferred,omitempty"`
}

// Throttled is a deferred tenant near its limit, of whose requests only a fraction may run.
type Throttled struct {
	Tenant           string  `json:"tenant"`
	AdmittedFraction float64 `json:"share"` // from 0 to 1
}

// Grant is a number of tokens granted to a sidecar for a tenant.
type Grant struct {
	Tenant string  `json:"tenant"`
	Tokens float64 `json:"tokens"`
}

// validAmount reports whether x is between 0 and maxAmount; NaN is not.
func validAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// maxMembers is the largest valid number of sidecars. It prevents a division into floors of almost no tokens.
const maxMembers = 1 << 14

// UnknownMembers is the number of members with which a LocalLimiter is configured before the number is known,
// and when the core may no longer count this member.
const UnknownMembers = 0

// validateMembers returns an error unless the number of members is between 1 and maxMembers.
func validateMembers(members int) error {
	if members < 1 || members > maxMembers {
		return errs.New(errs.Invalid, "member count %d must be between 1 and %d", members, maxMembers)
	}
	return nil
}
