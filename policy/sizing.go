// How much: slots of the compartments, portions of the servers, the arc that turns are taken among.

package policy

import (
	"cmp"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/sizing"
	"caperarch/internal/proxy/slowstart"
	"caperarch/internal/proxy/subset"
)

// resize takes how many there are now.
func (b *Balancer) resize(n int) {
	b.sharers = n
	b.deriveSlots()
	b.asking.SetBalancers(n)
}

// deriveSlots sizes the walls. By Little's law a rate holds rate x time slots: the quotas times a small share of the aim, to leave most of
// it for what goes wrong.
func (b *Balancer) deriveSlots() {
	var shares []float64
	b.quota = 0
	for _, t := range b.cfg.tenants() {
		shares = append(shares, t.Share)
		b.quota += t.Quota
	}
	n := float64(b.sharers)
	b.mean = cmp.Or(b.quota*b.aim*slotAim, serverSlots*float64(len(b.servers)))
	b.even = b.quota / n
	b.wall.EvenShare = cmp.Or(float64(b.cfg.Slots), b.mean/n)
	all, slots := sizing.Compartments(b.mean, b.sharers, b.cfg.Slots, b.queued, b.whole, shares)
	b.slots = slots
	for i, c := range all {
		b.parts[i].share, b.parts[i].slots, b.parts[i].places = c.Share, c.Slots, c.QueueSlots
		admission.SetFairShare(b.parts[i].gate, c.Share)
	}
}

// portion is how many of our attempts a server may hold: its part of our slots, less the more of the aim its answers take (mean square: a
// long tail counts). It does not grow when others leave or fail, but by a little (short): the last would be overrun.
func (b *Balancer) portion(s *server) float64 {
	return max(1, b.part(float64(b.slots), s)*b.weight/b.reach*ease(s.used)*b.short)
}

// shortage is how many times as much servers may hold while others of ours fail or turn away.
func (b *Balancer) shortage() float64 {
	well := 0.0
	for _, s := range b.arc {
		if s.State == Ready && s.fails < 2 && len(s.apart) == 0 {
			well += s.Weight * s.part
		}
	}
	return min(shortMost, b.reach/max(well, b.reach/shortMost))
}

// ease is the share of its portion that crowding leaves.
func ease(used float64) float64 { return min(1, crowdedAt*crowdedAt/max(used, 1e-4)) }

// want is how many servers the arc is to have: those that our own traffic can feed, and so many that all arcs together leave none out.
func (b *Balancer) want(now time.Duration) float64 {
	each := b.inquiry.TurnInterval()
	came, seconds := b.came.Recent(now)
	least := max(fewest-1, float64(len(b.servers))/float64(b.sharers)) // it touches one more
	return subset.ArcLength(b.wanted, (came+b.even*rateBegin)/(seconds+rateBegin)*each, b.even*each, least)
}

// cut picks the servers to take turns among. A thousand balancers of few requests each would hold connections to all servers and never learn
// how any of them fares, so each keeps to an arc of the list that its own traffic can feed. Arcs begin evenly spread, by the balancers' numbers.
func (b *Balancer) cut(now time.Duration) {
	all, weights := b.ready(), []float64(nil)
	for _, s := range all {
		weights = append(weights, s.Weight)
	}
	b.wanted, b.reach, b.arc = b.want(now), 0, nil
	for i, part := range subset.ArcShares(b.begins, b.wanted, weights, fewest) {
		s := all[i]
		if part == 0 {
			s.ours, s.part = false, 1
			continue
		}
		if s.part = part; !s.ours { // at a random point of its round: balancers must not begin in step
			s.ours, s.due = true, b.turn+b.rng.Float64()*b.gap(now, s)
		}
		b.reach += s.Weight * part
		b.arc = append(b.arc, s)
	}
}

// gap is the time between a server's turns, in turns' own time. It is bounded, so that turns show recovery.
// Other zones' have turns too, if fewer: a zone may have more traffic than its own servers can bear.
func (b *Balancer) gap(now time.Duration, s *server) float64 {
	gap := max(0.5, min(s.strain, failStrain/2)) / (s.Weight * s.part * slowstart.Warmth(s.warmAt-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare))
	if b.far(s) {
		gap /= farTurns
	}
	return gap
}
