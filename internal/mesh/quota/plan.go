package quota

import "math"

// Prepaid tenants.
const (
	// floorRateFraction is the fraction of the rate that all floors together may flow at. It is well
	// above the usual demand of 1/1.6 of the rate, so an even load runs with no Allocator at all; what
	// it leaves guards against miscounted members.
	floorRateFraction = 0.9
	// floorDepthFraction is the fraction of a second's rate that all floors together hold, if that is
	// more than defaultFloor each. It bounds a burst out of contact.
	floorDepthFraction = 0.5
	// maxFloorFraction is the fraction of the capacity that floors may take, whatever the number of
	// members. It guards against a token for each of many members breaking the limit of a small tenant.
	maxFloorFraction = 0.85
	// minBucketFraction is the fraction of a second's rate that the Allocator's bucket holds, up to half
	// of the capacity. It guards against a bucket that overflows before all members have asked.
	minBucketFraction = 0.15
	// reservedRateFraction and reservedSlackFraction are the fractions of a second's rate and of the
	// rule's slack that are never given out. They guard against what the package's comment lists as not
	// counted.
	reservedRateFraction, reservedSlackFraction = 0.2, 0.1
	// minCapacityRateFraction and minCapacitySlackFraction make the capacity that is kept for buckets
	// even where the burst is small. They guard against buckets so shallow that they overflow between
	// two requests.
	minCapacityRateFraction, minCapacitySlackFraction = 0.2, 0.5
	// minTokensPerMember is the capacity for each member that is made by lowering the rate, and
	// maxRateReduction the fraction by which the rate is lowered for it at most. They guard a small
	// tenant's requests against rejections by chance.
	minTokensPerMember, maxRateReduction = 6, 0.1
	// defaultFloor is how many tokens each floor holds, where the capacity allows it.
	defaultFloor = 5
	// maxPrepaidMembers is the number of members up to which a tenant's rate is not lowered by more than
	// maxRateReduction so that each has a token, and minPrepaidFloor the smallest floor with which they
	// are granted tokens. They guard clients against floors that chance empties.
	maxPrepaidMembers, minPrepaidFloor = 16, 1
	// maxTightMembers is the largest number of members that are granted tokens where the rule leaves one
	// for each of them, and maxTightRateReduction the fraction by which the rate is lowered for it at
	// most. They guard the limit against requests that run before they are reported, and the leader
	// against more than some 130 requests a second of members that ask each renewInterval.
	maxTightMembers, maxTightRateReduction = 32, 0.2
)

// Deferred tenants.
const (
	// deferredRateFraction is the fraction of the rate at which a deferred tenant's bucket fills. It
	// guards against the overrun of the time in which throttling reaches the sidecars.
	deferredRateFraction = 0.97
	// deferredDepthTokens tokens and deferredDepthFraction of a second's rate are the depth of a deferred
	// tenant's bucket. They guard against throttling by chance: at 1/1.6 of the rate chance takes six
	// tokens from the bucket for 0.5 % of the time.
	deferredDepthTokens, deferredDepthFraction = 6, 0.2
	// deferredFloorFraction is the fraction of the capacity that the floors of a deferred tenant hold
	// together, if that is a token each.
	deferredFloorFraction = 0.85
	// localRateMultiple is how many times its even share of the rate the local bucket of a member in
	// contact fills at, localDepthSeconds how many seconds of that share it holds, and minLocalDepth how
	// many tokens at least. They bound what one member admits before it reports.
	localRateMultiple, localDepthSeconds, minLocalDepth = 4, 1, 3
	// reportSeconds is how many seconds of its even share a member admits before it reports at once, and
	// minReportThreshold the fewest requests. They bound what all members together have admitted that
	// the Allocator doesn't know of.
	reportSeconds, minReportThreshold = 0.5, 2
)

// plan is how a limit is divided among the Allocator and the floors; the package's comment works it
// out. Rates are in tokens a second, depths in tokens.
type plan struct {
	rate       float64 // T*R, the flow of both sources together
	depth      float64 // b, the Allocator's bucket
	floorRate  float64 // of one member
	floorDepth float64 // of one member

	deferred        bool
	localRate       float64 // of one member's local bucket while in contact
	localDepth      float64
	reportThreshold float64 // requests that one member admits before it reports at once
}

// plan divides a tenant's limit among so many members. Of 0 members, which means that their number isn't
// known, none has a floor: only what is granted can be spent.
func (r Rules) plan(limit Limit, members int) plan {
	if members == UnknownMembers {
		return plan{rate: limit.Rate}
	}
	if members <= maxTightMembers {
		if p := r.prepaidPlan(limit, members); p.floorDepth >= minPrepaidFloor {
			return p
		}
	}
	if members > maxPrepaidMembers && members <= maxTightMembers {
		if p, fits := r.tightPlan(limit, members); fits {
			return p
		}
	}
	return r.deferredPlan(limit, members)
}

// prepaidPlan is the plan of a tenant whose members are granted tokens, with floors as deep as its capacity
// allows.
func (r Rules) prepaidPlan(limit Limit, members int) plan {
	count := float64(members)
	flowing, capacity := r.divide(limit)
	rateFraction := 1.0
	minCapacity := minCapacityRateFraction*limit.Rate + minCapacitySlackFraction*r.Slack
	if tokens := min(minTokensPerMember*count, capacity+maxRateReduction*flowing); tokens > minCapacity {
		minCapacity = tokens
	}
	if capacity < minCapacity {
		rateFraction = max(0, 1-(minCapacity-capacity)/flowing)
		capacity = minCapacity
	}
	maxFloors := max(capacity/2, min(maxFloorFraction*capacity, capacity-minBucketFraction*limit.Rate))
	floor := min(max(defaultFloor, floorDepthFraction*limit.Rate/count), maxFloors/count)
	if floor > 1 {
		floor = math.Floor(floor)
	}
	return newPrepaidPlan(limit, members, rateFraction, capacity, floor)
}

// tightPlan is the plan of a tenant whose capacity leaves just one token for each member, if the rate is
// lowered for it. It reports whether that is enough.
func (r Rules) tightPlan(limit Limit, members int) (tight plan, fits bool) {
	flowing, capacity := r.divide(limit)
	needed := float64(minPrepaidFloor*members) + minBucketFraction*limit.Rate
	rateFraction := 1 - max(0, needed-capacity)/flowing
	tight = newPrepaidPlan(limit, members, rateFraction, max(capacity, needed), minPrepaidFloor)
	return tight, rateFraction >= 1-maxTightRateReduction
}

// divide returns what flows within a window at the full rate, and the capacity that the rule leaves beside
// it for buckets and floors. It may be below zero.
func (r Rules) divide(limit Limit) (flowing, capacity float64) {
	window := r.Window.Seconds()
	flowing = limit.Rate * (window + TokenTTL.Seconds())
	allowed := (limit.Rate*window + limit.Burst) * (1 + r.Overage)
	reserve := reservedRateFraction*limit.Rate + reservedSlackFraction*r.Slack
	return flowing, allowed + r.Slack - flowing - reserve
}

func newPrepaidPlan(limit Limit, members int, rateFraction, capacity, floor float64) plan {
	count := float64(members)
	return plan{
		rate:       rateFraction * limit.Rate,
		depth:      capacity - floor*count,
		floorRate:  floorRateFraction * rateFraction * limit.Rate / count,
		floorDepth: floor,
	}
}

// deferredPlan is the plan of a tenant whose sidecars report afterwards what ran.
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
