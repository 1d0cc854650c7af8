package quota

import "math"

// Constants of prepaid tenants.
const (
	// floorRateFraction is the fraction of the rate at which all floors together fill. It is well above the
	// usual demand of 1/1.6 of the rate, so an even load runs without an Allocator; the remaining fraction
	// covers errors in the number of members.
	floorRateFraction = 0.9
	// floorDepthFraction is the fraction of a second's rate that all floors together hold, if this is more
	// than defaultFloor tokens each. It bounds a burst while members are out of contact.
	floorDepthFraction = 0.5
	// maxFloorFraction is the largest fraction of the capacity for floors, whatever the number of members.
	// It prevents floors of one token at each of many members from exceeding the limit of a small tenant.
	maxFloorFraction = 0.85
	// minBucketFraction is the fraction of a second's rate that the Allocator's bucket holds, up to half of
	// the capacity. It prevents the bucket from overflowing before all members have sent a request.
	minBucketFraction = 0.15
	// reservedRateFraction and reservedSlackFraction are the fractions of a second's rate and of the slack
	// that are never allocated. The reserve covers the case that is not proven in the package comment.
	reservedRateFraction, reservedSlackFraction = 0.2, 0.1
	// minCapacityRateFraction of a second's rate and minCapacitySlackFraction of the slack are the smallest
	// capacity for buckets and floors, even if the burst is small. They prevent buckets so shallow that they
	// overflow between two requests.
	minCapacityRateFraction, minCapacitySlackFraction = 0.2, 0.5
	// minTokensPerMember is the capacity in tokens for each member that is created by lowering the rate, and
	// maxRateReduction bounds the fraction by which the rate is lowered for it. They prevent rejections of a
	// small tenant's requests because of random fluctuations of its demand.
	minTokensPerMember, maxRateReduction = 6, 0.1
	// defaultFloor is the depth of each floor in tokens, where the capacity allows it.
	defaultFloor = 5
	// maxPrepaidMembers is the largest number of members for which the rate isn't lowered by more than
	// maxRateReduction to provide each member with a token. minPrepaidFloor is the smallest floor, in tokens,
	// of a prepaid tenant. Smaller floors are often emptied by random fluctuations, which rejects clients.
	maxPrepaidMembers, minPrepaidFloor = 16, 1
	// maxSingleTokenMembers is the largest number of members for which a tenant is prepaid if the limit
	// leaves one token for each of them, and maxSingleTokenRateReduction the largest fraction by which the
	// rate is lowered for these tokens. Prepaying protects the limit from requests that run before they are
	// reported; the bound of the members keeps the leader at about 130 requests per second from members that
	// send one every renewInterval.
	maxSingleTokenMembers, maxSingleTokenRateReduction = 32, 0.2
)

// Constants of deferred tenants.
const (
	// deferredRateFraction is the fraction of the rate at which a deferred tenant's bucket fills. The
	// remaining fraction covers the requests that run above the rate before the throttling reaches the
	// sidecars.
	deferredRateFraction = 0.97
	// deferredDepthTokens tokens and deferredDepthFraction of a second's rate are the depth of a deferred
	// tenant's bucket. The depth prevents throttling because of random fluctuations: at 1/1.6 of the rate,
	// fluctuations lower the bucket by six tokens for 0.5 % of the time.
	deferredDepthTokens, deferredDepthFraction = 6, 0.2
	// deferredFloorFraction is the fraction of the capacity that all floors of a deferred tenant hold
	// together, if this is at least one token each.
	deferredFloorFraction = 0.85
	// localRateMultiple is the fill rate of the local bucket of a member in contact, as a multiple of the
	// member's even share of the rate. localDepthSeconds is the depth of the local bucket in seconds of that
	// share, and minLocalDepth the smallest depth in tokens. They bound the requests that one member admits
	// before it reports them.
	localRateMultiple, localDepthSeconds, minLocalDepth = 4, 1, 3
	// reportSeconds is the number of admitted requests, in seconds of the member's even share, after which a
	// member reports without delay, and minReportThreshold the smallest such number of requests. They bound
	// the requests that all members together have admitted but not yet reported.
	reportSeconds, minReportThreshold = 0.5, 2
)

// plan divides a limit among the Allocator's bucket and the members' floors; the package comment derives the
// values. Rates are in tokens per second, depths in tokens. T, R and b are the symbols of the package comment.
type plan struct {
	rate       float64 // T*R, the fill rate of both sources together
	depth      float64 // b, of the Allocator's bucket
	floorRate  float64 // of one member
	floorDepth float64 // of one member

	deferred        bool
	localRate       float64 // of one member's local bucket while in contact
	localDepth      float64
	reportThreshold float64 // number of admitted requests after which a member reports without delay
}

// plan divides a tenant's limit among a number of members. With UnknownMembers no member has a floor, and only
// granted tokens can be spent.
func (r Rules) plan(limit Limit, members int) plan {
	if members == UnknownMembers {
		return plan{rate: limit.Rate}
	}
	if members <= maxSingleTokenMembers {
		if p := r.prepaidPlan(limit, members); p.floorDepth >= minPrepaidFloor {
			return p
		}
	}
	if members > maxPrepaidMembers && members <= maxSingleTokenMembers {
		if p, fits := r.singleTokenPlan(limit, members); fits {
			return p
		}
	}
	return r.deferredPlan(limit, members)
}

// prepaidPlan returns the plan of a tenant whose members are granted tokens, with the deepest floors that the
// capacity allows.
func (r Rules) prepaidPlan(limit Limit, members int) plan {
	count := float64(members)
	windowFlow, capacity := r.splitAllowance(limit)
	rateFraction := 1.0
	minCapacity := minCapacityRateFraction*limit.Rate + minCapacitySlackFraction*r.Slack
	if tokens := min(minTokensPerMember*count, capacity+maxRateReduction*windowFlow); tokens > minCapacity {
		minCapacity = tokens
	}
	if capacity < minCapacity {
		rateFraction = max(0, 1-(minCapacity-capacity)/windowFlow)
		capacity = minCapacity
	}
	maxFloors := max(capacity/2, min(maxFloorFraction*capacity, capacity-minBucketFraction*limit.Rate))
	floor := min(max(defaultFloor, floorDepthFraction*limit.Rate/count), maxFloors/count)
	if floor > 1 {
		floor = math.Floor(floor)
	}
	return newPrepaidPlan(limit, members, rateFraction, capacity, floor)
}

// singleTokenPlan returns a plan with floors of minPrepaidFloor tokens, for which the rate is lowered as far as
// necessary. It reports whether the reduction is within maxSingleTokenRateReduction.
func (r Rules) singleTokenPlan(limit Limit, members int) (result plan, fits bool) {
	windowFlow, capacity := r.splitAllowance(limit)
	needed := float64(minPrepaidFloor*members) + minBucketFraction*limit.Rate
	rateFraction := 1 - max(0, needed-capacity)/windowFlow
	result = newPrepaidPlan(limit, members, rateFraction, max(capacity, needed), minPrepaidFloor)
	return result, rateFraction >= 1-maxSingleTokenRateReduction
}

// splitAllowance returns the tokens that flow within a window at the full rate, and the capacity that the limit
// leaves for buckets and floors. The capacity may be negative.
func (r Rules) splitAllowance(limit Limit) (windowFlow, capacity float64) {
	window := r.Window.Seconds()
	windowFlow = limit.Rate * (window + TokenTTL.Seconds())
	allowed := (limit.Rate*window + limit.Burst) * (1 + r.Overage)
	reserve := reservedRateFraction*limit.Rate + reservedSlackFraction*r.Slack
	return windowFlow, allowed + r.Slack - windowFlow - reserve
}

// newPrepaidPlan returns a prepaid plan with the rate scaled by rateFraction, and with the capacity split into
// one floor for each member and the Allocator's bucket.
func newPrepaidPlan(limit Limit, members int, rateFraction, capacity, floor float64) plan {
	count := float64(members)
	return plan{
		rate:       rateFraction * limit.Rate,
		depth:      capacity - floor*count,
		floorRate:  floorRateFraction * rateFraction * limit.Rate / count,
		floorDepth: floor,
	}
}

// deferredPlan returns the plan of a tenant whose members report the admitted requests afterwards.
func (r Rules) deferredPlan(limit Limit, members int) plan {
	window, count := r.Window.Seconds(), float64(members)
	capacity := (limit.Rate*window+limit.Burst)*(1+r.Overage) + r.Slack - limit.Rate*window
	evenShare := limit.Rate / count
	return plan{
		rate:            deferredRateFraction * limit.Rate,
		depth:           min(deferredDepthTokens+deferredDepthFraction*limit.Rate, capacity/2),
		floorRate:       floorRateFraction * deferredRateFraction * limit.Rate / count,
		floorDepth:      max(1, math.Floor(deferredFloorFraction*capacity/count)),
		deferred:        true,
		localRate:       min(localRateMultiple*evenShare, limit.Rate),
		localDepth:      max(minLocalDepth, localDepthSeconds*evenShare),
		reportThreshold: max(minReportThreshold, reportSeconds*evenShare),
	}
}
