// Package quota holds the quotas of tenants and the budgets of further tries, over all sidecars together. Its three
// state machines, Allocator, LocalLimiter and RetryBudget, have no clock, no I/O and no lock: the caller passes the monotonic time and
// calls each of them from one goroutine at a time or under its own lock.
//
// A tenant is pre-paid where up to maxPrepaidMembers members share it and a token for each fits under the rule, else post-paid.
//
// # How a pre-paid tenant's quota is kept
//
// Let R be a tenant's rate, B its burst, W the window, m the members. The rule allows (R*W + B)*(1+overage) + slack in
// any window. A request runs on a token, and tokens come from two sources:
//
//   - the Allocator's bucket, of depth b. Its tokens live TokenTTL from the ask at the purse, so what is spent within a
//     window was dealt within W+TokenTTL;
//   - the floor of each LocalLimiter, of depth F/m, which needs no contact. It fills at floorRateFraction*T*R/m, but only while the
//     purse has had no answer of a dealer for limiterFloorLease; before that the answer stands as a lease under which the purse
//     leaves its share to the dealer. Dealt tokens that expire fall into the floor up to its depth.
//
// The Allocator's bucket fills at T*R less floorRateFraction*T*R/m for every member that it hasn't heard within allocatorFloorLease, which
// is shorter than limiterFloorLease. So the two sources together flow at T*R at most, wherever the demand is and whoever is out
// of contact, and a window sees at most
//
//	T*R*(W+TokenTTL) + b + F.
//
// T is 1 where the burst leaves room for b and F, and down to about 0.9 where it doesn't; b+F is what is left under the rule
// after a reserve. With W 5 s, overage 0.1, slack 20, R = B = 172 and m = 12: the rule allows 1155, T*R*(W+TokenTTL) is
// 912, the reserve 36, F 84 (7 at each purse), b 123. With R = B = 8: 73, 38, 4, F 24 (2 at each), b 7.
//
// A new dealer starts empty and waits, so that nothing of the old one's is dealt twice. Two dealers at once, each heard by a
// part of the members, fill by (1-floorRateFraction)*T*R more than one. That, answers that are lost after the dealer counted
// them (floorRateFraction*R/m for allocatorFloorLease each), purses that start anew with a full floor (F/m each) and the time between
// the take and the run come out of the reserve.
//
// # How a post-paid tenant's quota is kept
//
// With many members a dealt token lies at one that has no request for it. So members let in and report what came and
// ran, and the Allocator takes that from the bucket, below zero if need be. It fills at deferredRateFraction*R, less the part of
// members unheard for contactTTL, which fill floors with it. The Allocator names as closed the tenants of which only a share
// may run: (deferredRateFraction*R + level/recovery, or deficit/repayment) of the demand reported lately; each member then lets requests in by chance
// at that share. A window so sees at most
//
//	deferredRateFraction*R*W + b + X,
//
// X being what runs above the flow between the time when the bucket is empty and that when the members know. With R = B
// the rule leaves 1.75*R + 20 for b + X. A calm member asks each idleInterval, one where a closed tenant asks each renewInterval, one
// that let in report requests of a tenant at once. A usual tenant that gets hot by 8 brings 5*R. If R/m is large, members
// report by their count: with R 100 and m 82 it is at most report (2), and what comes in a call (0.3) at each, less
// what flows, so X is about 115, b 26, and the rule leaves 195. If it is small, members report by time: with R 10 the
// bucket (8) is empty at the dealer after 0.7 s, and members learn of it 0.25 to 0.5 s later on average, so X is
// about 4*R*0.6 = 24, and the rule leaves 37. In trials with 200 cold starts at eight times the usual demand, rates 7 to
// 18 and m 82, the fullest window lay 19 below the rule with a deviation of 7 by chance; the worst was over by 3 of about
// 80. So for these rates the rule is kept but for rare chance, and isn't proven.
//
// A member whose answer is missing for responseTimeout stops filling its local bucket and cuts it to the floor; after contactTTL
// it fills at its even part. Floors hold a token each, more where the rule leaves room. It is assumed that a small
// tenant doesn't get hot while all members are out of contact: usual demand is below its rate, and one that was closed
// before keeps less than a token. A hot tenant that starts then at many members with full floors may run up to a token at
// each above its rate, which is over the rule for R below about 28 with m 82. With a third of the members out of contact
// the fullest window of 29 trials was over the rule by one request in one of them.
package quota

import (
	"math"
	"time"

	"caperarch/internal/mesh/errs"
)

// TokenTTL is how long a dealt token can be spent, from the ask that brought it. It bounds what a dealer that is gone
// has left behind.
const TokenTTL = 300 * time.Millisecond

const (
	// allocatorFloorLease is how long the dealer counts a member as holding its floor back. It is shorter than limiterFloorLease by the
	// longest way of an ask that is still allowed for, so that no share is given out twice.
	allocatorFloorLease = 450 * time.Millisecond
	// limiterFloorLease is how long a purse holds its floor back after an ask that was answered. It guards against a share that
	// the dealer gives to others while its owner spends it; it isn't shorter than TokenTTL.
	limiterFloorLease = 600 * time.Millisecond
	// floorRateFraction is the part of the rate that all floors together may flow at. It is well above the usual demand of
	// 1/1.6 of the rate, so an even load runs with no dealer at all; what it leaves guards against miscounted members.
	floorRateFraction = 0.9
	// floorDepth is the part of a second's rate that all floors together hold, if that is more than defaultFloor each. It
	// bounds a burst out of contact.
	floorDepthFraction = 0.5
	// maxFloorFraction is the part of the room that floors may take, whatever the number of members. It guards against a
	// token for each of many members breaking the quota of a small tenant.
	maxFloorFraction = 0.85
	// minBucketFraction is the part of a second's rate that the dealer's bucket holds, up to half of the room. It guards
	// against a bucket that overflows before all members have asked.
	minBucketFraction = 0.15
	// reservedRateFraction and reservedSlackFraction are the parts of a second's rate and of the rule's slack that are never given out.
	// They guard against what the package's comment lists as not counted.
	reservedRateFraction, reservedSlackFraction = 0.2, 0.1
	// minCapacityRateFraction and minCapacitySlackFraction make the depth that is kept for buckets even where the burst is small. They
	// guard against buckets so shallow that they overflow between two asks.
	minCapacityRateFraction, minCapacitySlackFraction = 0.2, 0.5
	// minTokensPerMember is the room for each member that is made by lowering the rate, and maxRateReduction how far the rate is
	// lowered for it at most. They guard a small tenant's requests against refusals by chance.
	minTokensPerMember, maxRateReduction = 6, 0.1
	// defaultFloor is what each floor holds, where the room allows it.
	defaultFloor = 5
	// maxPrepaidMembers is the most members that are dealt tokens, and minPrepaidFloor the smallest floor with which they are.
	// They guard the sequencer against four asks a second of each of many, and requests against floors that chance empties.
	maxPrepaidMembers, minPrepaidFloor = 16, 1
	// deferredRateFraction is the part of the rate at which a post-paid tenant's bucket fills. It guards against the overrun of
	// the time in which a close reaches the sidecars.
	deferredRateFraction = 0.97
	// deferredDepthTokens tokens and deferredDepthFraction of a second's rate are the depth of a post-paid tenant's bucket. They guard
	// against a close by chance: at 1/1.6 of the rate chance takes six tokens from the bucket for 0.5 % of the time.
	deferredDepthTokens, deferredDepthFraction = 6, 0.2
	// deferredFloorFraction is the part of the room that post-paid floors hold together, if that is a token each.
	deferredFloorFraction = 0.85
	// openRate is how many times its even part of the rate an open member's local bucket fills at, openDepth how many
	// seconds of that part it holds, and minLocalDepth tokens at least. They bound what one member lets in unheard.
	localRateMultiple, localDepthSeconds, minLocalDepth = 4, 1, 3
	// reportSeconds is how many seconds of its even part a member lets in before it reports at once, and minReportThreshold
	// the fewest requests. They bound what all members together have let in that the dealer doesn't know of.
	reportSeconds, minReportThreshold = 0.5, 2
	// memberCountHold is how long a larger count of members stands. It guards against floors that grow while sidecars
	// that have just left, or are only thought to have left, still spend theirs.
	memberCountHold = 10 * time.Second
	// maxAmount is the largest rate, burst, slack or number of tokens. It guards against sums that overflow.
	maxAmount = 1e12
	// whole is what counts as a whole token. It guards against a request refused for a rounding error.
	wholeToken = 1 - 1e-9
)

// Rules are the settings of the quota: the sliding window, and what the rule allows above rate and burst.
type Rules struct {
	Window         time.Duration
	Overage, Slack float64
}

func (r Rules) validate() error {
	if r.Window <= 0 || !validAmount(r.Overage) || !validAmount(r.Slack) {
		return errs.New(errs.Invalid, "quota rules: window %v, overage %v, slack %v", r.Window, r.Overage, r.Slack)
	}
	return nil
}

// Limit is what a tenant is allowed: a rate in requests a second and a burst on top. Rate 0 means no limit.
type Limit struct {
	Rate, Burst float64
}

// Demand is what a sidecar wants for a tenant and, of a post-paid one, what came and ran since the last answer.
type Demand struct {
	Tenant string  `json:"tenant"`
	Want   float64 `json:"want"`           // tokens; of a post-paid tenant the requests that came
	Used   float64 `json:"used,omitempty"` // what ran without a dealt token
}

// Throttled says that a post-paid tenant is near its limit: only this share of its requests may run.
type Throttled struct {
	Tenant string  `json:"tenant"`
	Share  float64 `json:"share"`
}

// Grant is what a sidecar gets for a tenant.
type Grant struct {
	Tenant string  `json:"tenant"`
	Tokens float64 `json:"tokens"`
}

// amount says whether x is a number of something: not negative, and maxAmount at most.
func validAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// limited is the limits of the tenants that have one: a rate of 0 is none.
func enforcedLimits(limits map[string]Limit) map[string]Limit {
	enforced := make(map[string]Limit, len(limits))
	for name, l := range limits {
		if l.Rate > 0 {
			enforced[name] = l
		}
	}
	return enforced
}

func validateLimits(limits map[string]Limit, members int) error {
	if members < 1 {
		return errs.New(errs.Invalid, "%d members: at least one is there", members)
	}
	for name, l := range limits {
		if !validAmount(l.Rate) || !validAmount(l.Burst) {
			return errs.New(errs.Invalid, "tenant %q: rate %v and burst %v must lie between 0 and 1e12", name, l.Rate, l.Burst)
		}
	}
	return nil
}

// plan is how a limit is divided among the dealer and the floors; the package's comment works it out.
type plan struct {
	rate       float64 // T*R, the flow of both sources together
	depth      float64 // b, the dealer's bucket
	floorRate  float64 // of one member
	floorDepth float64 // of one member

	deferred        bool
	localRate       float64 // of one member's local bucket while in contact
	localDepth      float64
	reportThreshold float64 // what may run at one member before it reports at once
}

// postPaid is the plan of a tenant whose sidecars report what ran.
func (r Rules) deferredPlan(l Limit, members int) plan {
	count := float64(members)
	capacity := (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack - l.Rate*r.Window.Seconds()
	evenShare := l.Rate / count
	return plan{
		rate:            deferredRateFraction * l.Rate,
		depth:           min(deferredDepthTokens+deferredDepthFraction*l.Rate, capacity/2),
		floorRate:       floorRateFraction * deferredRateFraction * l.Rate / count,
		floorDepth:      max(1, math.Floor(deferredFloorFraction*capacity/count)),
		deferred:        true,
		localRate:       min(localRateMultiple*evenShare, l.Rate),
		localDepth:      max(minLocalDepth, localDepthSeconds*evenShare),
		reportThreshold: max(minReportThreshold, reportSeconds*evenShare),
	}
}

func (r Rules) plan(l Limit, members int) plan {
	window, count := r.Window.Seconds(), float64(members)
	flowing := l.Rate * (window + TokenTTL.Seconds())
	allowed := (l.Rate*window + l.Burst) * (1 + r.Overage)
	capacity := allowed + r.Slack - flowing - reservedRateFraction*l.Rate - reservedSlackFraction*r.Slack
	rateFraction := 1.0
	minCapacity := minCapacityRateFraction*l.Rate + minCapacitySlackFraction*r.Slack
	if tokens := min(minTokensPerMember*count, capacity+maxRateReduction*flowing); tokens > minCapacity {
		minCapacity = tokens
	}
	if capacity < minCapacity {
		rateFraction = max(0, 1-(minCapacity-capacity)/flowing)
		capacity = minCapacity
	}
	maxFloors := max(capacity/2, min(maxFloorFraction*capacity, capacity-minBucketFraction*l.Rate))
	floor := min(max(defaultFloor, floorDepthFraction*l.Rate/count), maxFloors/count)
	if floor > 1 {
		floor = math.Floor(floor)
	}
	if members > maxPrepaidMembers || floor < minPrepaidFloor {
		return r.deferredPlan(l, members)
	}
	return plan{
		rate:       rateFraction * l.Rate,
		depth:      capacity - floor*count,
		floorRate:  floorRateFraction * rateFraction * l.Rate / count,
		floorDepth: floor,
	}
}

// tally is the number of members, the larger one of those seen lately.
type memberCount struct {
	current, peak int
	peakUntil     time.Duration
}

func (t *memberCount) set(now time.Duration, members int) {
	if peak := t.at(now); members < peak {
		if members < t.current {
			t.peakUntil = now + memberCountHold
		}
		t.peak = peak
	}
	t.current = members
}

func (t *memberCount) at(now time.Duration) int {
	if now < t.peakUntil {
		return max(t.current, t.peak)
	}
	return t.current
}
