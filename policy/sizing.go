// Sizes: the slots of the compartments, the limits of the servers, the arc that turns are taken among.

package policy

import (
	"cmp"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/sizing"
	"caperarch/internal/proxy/slowstart"
	"caperarch/internal/proxy/subset"
)

// setBalancers sets how many balancers there are now.
func (b *Balancer) setBalancers(n int) {
	b.balancers = n
	b.deriveSlots()
	b.discovery.SetBalancers(n)
}

// deriveSlots sizes the compartments by Little's law: slots are a quota times slotTargetShare of the latency target.
func (b *Balancer) deriveSlots() {
	var shares []float64
	b.quota = 0
	for _, t := range b.cfg.tenants() {
		shares = append(shares, t.Share)
		b.quota += t.Quota
	}
	n := float64(b.balancers)
	b.fleetSlots = cmp.Or(b.quota*b.meanTarget*slotTargetShare, serverSlots*float64(len(b.servers)))
	b.evenRate = b.quota / n
	b.bulkhead.EvenShare = cmp.Or(float64(b.cfg.Slots), b.fleetSlots/n)
	all, slots := sizing.Compartments(b.fleetSlots, b.balancers, b.cfg.Slots, b.maxQueued, b.minShareSum, shares)
	b.slots = slots
	for i, c := range all {
		b.compartments[i].share, b.compartments[i].slots, b.compartments[i].queueSlots = c.Share, c.Slots, c.QueueSlots
		admission.SetFairShare(b.compartments[i].gate, c.Share)
	}
}

// maxInFlight is how many of our attempts a server may have: its share of our slots, less if it is crowded. It grows by
// little (shortageFactor) when others are deregistered or fail, or the last ones would be overloaded.
func (b *Balancer) maxInFlight(s *server) float64 {
	share := b.weightShare(float64(b.slots), s) * b.readyWeight / b.arcWeight
	return max(1, share*crowdingFactor(s.squareLatency)*b.shortageFactor)
}

// shortage is the factor for the limits of servers while others of the arc fail or reject requests.
func (b *Balancer) shortage() float64 {
	healthy := 0.0
	for _, s := range b.arc {
		if s.State == Ready && s.failures < 2 && len(s.spacing) == 0 {
			healthy += s.Weight * s.arcShare
		}
	}
	return min(maxShortageFactor, b.arcWeight/max(healthy, b.arcWeight/maxShortageFactor))
}

// crowdingFactor is the fraction of its limit that a server keeps, by the mean square of its latency: long tails count.
func crowdingFactor(square float64) float64 { return min(1, crowdedAt*crowdedAt/max(square, 1e-4)) }

// wantedArcLength is how many servers our own traffic can feed, and no less than have all arcs together cover all.
func (b *Balancer) wantedArcLength(now time.Duration) float64 {
	interval := b.prober.TurnInterval()
	count, seconds := b.arrivals.Recent(now)
	fewest := max(minArcServers-1, float64(len(b.servers))/float64(b.balancers)) // its ends lie in one more
	rate := (count + b.evenRate*ratePrior) / (seconds + ratePrior)
	return subset.ArcLength(b.arcLength, rate*interval, b.evenRate*interval, fewest)
}

// chooseArc picks the servers to take turns among. A thousand balancers of few requests each would learn too little of
// all servers, so each keeps to an arc that its own traffic can feed. The beginnings of the arcs are evenly spread.
func (b *Balancer) chooseArc(now time.Duration) {
	all, weights := b.ready(), []float64(nil)
	for _, s := range all {
		weights = append(weights, s.Weight)
	}
	b.arcLength, b.arcWeight, b.arc = b.wantedArcLength(now), 0, nil
	for i, share := range subset.ArcShares(b.arcStart, b.arcLength, weights, minArcServers) {
		s := all[i]
		if share == 0 {
			s.inArc, s.arcShare = false, 1
			continue
		}
		if s.arcShare = share; !s.inArc { // a random first turn: balancers must not begin in step
			s.inArc, s.nextTurn = true, b.lastTurn+b.rng.Float64()*b.turnGap(now, s)
		}
		b.arcWeight += s.Weight * share
		b.arc = append(b.arc, s)
	}
}

// turnGap is the virtual time between a server's turns. It is bounded, so that some turns are left to show recovery.
// Servers of other zones have turns too, if fewer: a zone may have more traffic than its own servers can bear.
func (b *Balancer) turnGap(now time.Duration, s *server) float64 {
	warmth := slowstart.Warmth(s.warmAt-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare)
	gap := max(0.5, min(s.slowness, failureSlowness/2)) / (s.Weight * s.arcShare * warmth)
	if b.crossesZone(s) {
		gap /= crossZoneTurns
	}
	return gap
}
