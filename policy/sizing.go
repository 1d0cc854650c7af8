// Sizes: the slots of compartments, the in-flight limits of servers, and the arc of servers that get turns.

package policy

import (
	"cmp"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/sizing"
	"caperarch/internal/proxy/slowstart"
	"caperarch/internal/proxy/subset"
)

// setBalancers sets the number of balancers in the fleet, and derives the sizes that depend on it.
func (b *Balancer) setBalancers(n int) {
	b.balancers = n
	b.deriveSlots()
	b.discovery.SetBalancers(n)
}

// deriveSlots sizes compartments by Little's law: the quotas times slotHoldFraction of the mean latency target.
func (b *Balancer) deriveSlots() {
	var shares []float64
	b.quota = 0
	for _, t := range b.cfg.tenants() {
		shares = append(shares, t.Share)
		b.quota += t.Quota
	}
	n := float64(b.balancers)
	b.fleetSlots = cmp.Or(b.quota*b.meanTargetSeconds*slotHoldFraction, slotsPerServer*float64(len(b.servers)))
	b.perBalancerRate = b.quota / n
	b.bulkhead.EvenShare = cmp.Or(float64(b.cfg.Slots), b.fleetSlots/n)
	all, slots := sizing.Compartments(b.fleetSlots, b.balancers, b.cfg.Slots, b.maxQueued, b.minShareSum, shares)
	b.slots = slots
	for i, c := range all {
		b.compartments[i].share, b.compartments[i].slots, b.compartments[i].queueSlots = c.Share, c.Slots, c.QueueSlots
		admission.SetFairShare(b.compartments[i].gate, c.Share)
	}
}

// maxInFlight limits this balancer's attempts in flight at a server: the server's share of the slots, less if it is
// congested. It grows little (shortageFactor) while others fail or leave: more would overload the remaining servers.
func (b *Balancer) maxInFlight(s *server) float64 {
	share := b.weightShare(float64(b.slots), s) * b.readyWeight / b.arcWeight
	return max(1, share*congestionFactor(s.squareLatency)*b.shortageFactor)
}

// computeShortageFactor returns the factor on server limits while other servers of the arc fail or reject requests.
func (b *Balancer) computeShortageFactor() float64 {
	healthy := 0.0
	for _, s := range b.arc {
		if s.State == Ready && s.failures < 2 && len(s.spacing) == 0 {
			healthy += s.Weight * s.arcShare
		}
	}
	return min(maxShortageFactor, b.arcWeight/max(healthy, b.arcWeight/maxShortageFactor))
}

// congestionFactor returns the fraction of its limit that a server keeps. The square makes a long latency tail count.
func congestionFactor(meanSquareLatency float64) float64 {
	return min(1, congestedLatency*congestedLatency/max(meanSquareLatency, 1e-4))
}

// targetArcLength returns how many servers this balancer's traffic can feed, but enough for all arcs to cover the list.
func (b *Balancer) targetArcLength(now time.Duration) float64 {
	interval := b.prober.TurnInterval()
	count, seconds := b.arrivals.Recent(now)
	minLength := max(minArcServers-1, float64(len(b.servers))/float64(b.balancers)) // an arc of n touches n+1 servers
	rate := (count + b.perBalancerRate*ratePriorSeconds) / (seconds + ratePriorSeconds)
	return subset.ArcLength(b.arcLength, rate*interval, b.perBalancerRate*interval, minLength)
}

// chooseArc picks the arc: as many servers as the balancer's own traffic can feed. doc.go gives the reasons.
func (b *Balancer) chooseArc(now time.Duration) {
	all, weights := b.readyServers(), []float64(nil)
	for _, s := range all {
		weights = append(weights, s.Weight)
	}
	b.arcLength, b.arcWeight, b.arc = b.targetArcLength(now), 0, nil
	for i, share := range subset.ArcShares(b.arcStart, b.arcLength, weights, minArcServers) {
		s := all[i]
		if share == 0 {
			s.inArc, s.arcShare = false, 1
			continue
		}
		if s.arcShare = share; !s.inArc { // a random first turn, so that balancers do not start in step
			s.inArc, s.nextTurn = true, b.lastTurn+b.rng.Float64()*b.turnGap(now, s)
		}
		b.arcWeight += s.Weight * share
		b.arc = append(b.arc, s)
	}
}

// turnGap returns the virtual time between a server's turns. Slow and remote servers keep some turns; see doc.go.
func (b *Balancer) turnGap(now time.Duration, s *server) float64 {
	warmth := slowstart.Warmth(s.slowStartUntil-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare)
	gap := max(0.5, min(s.slowness, failureSlowness/2)) / (s.Weight * s.arcShare * warmth)
	if b.crossesZone(s) {
		gap /= crossZoneTurnFraction
	}
	return gap
}
