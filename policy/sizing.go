// How much: slots of the compartments, portions of the servers, the arc that turns are taken among.

package policy

import (
	"cmp"
	"math"
	"time"
)

// deriveSlots sizes the walls, once. By Little's law a rate holds rate x time slots: the quotas
// times a small share of the aim, to leave most of it for what goes wrong. Each balancer gets
// what the largest of n random parts of the traffic comes to, ln n + 0.58 even ones, and two
// standard deviations of such a count, so as not to refuse on chance.
func (b *Balancer) deriveSlots() {
	tenants, shares := b.cfg.tenants(), 0.0
	for _, t := range tenants {
		shares += t.Share
		b.quota += t.Quota
	}
	b.mean = cmp.Or(b.quota*b.aim*slotAim, serverSlots*float64(len(b.servers)))
	b.rate = cmp.Or(b.quota/float64(b.cfg.Balancers), float64(len(b.servers))/b.inquiry.Every())
	n := float64(b.cfg.Balancers)
	total, room := b.mean*min(1, (math.Log(n)+0.58)/n), spread
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	b.wall.Even, b.slots = cmp.Or(float64(b.cfg.Slots), b.mean/n), 0
	for i, t := range tenants {
		c, mean := &b.parts[i], total*t.Share/shares
		c.share = t.Share / shares
		c.slots = max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		c.places = int(math.Ceil(float64(c.slots) * placesShare))
		b.slots += c.slots
	}
}

// portion is how many of our attempts a server may hold: its part of our slots, less the more of
// the aim its answers take (mean square: a long tail counts). It does not grow when others leave
// or fail, but by a little (short): the last would be overrun.
func (b *Balancer) portion(s *server) float64 {
	return max(1, b.part(float64(b.slots), s)*b.weight/b.reach*ease(s.used)*b.short)
}

// shortage is how many times as much servers may hold while others of ours fail or turn away.
func (b *Balancer) shortage() float64 {
	well := 0.0
	for _, s := range b.arc {
		if s.State == Ready && s.fails < 2 && len(s.apart) == 0 {
			well += s.Weight
		}
	}
	return min(shortMost, b.reach/max(well, b.reach/shortMost))
}

// ease is the share of its portion that crowding leaves.
func ease(used float64) float64 { return min(1, crowdedAt*crowdedAt/max(used, 1e-4)) }

// cut picks the servers to take turns among. A thousand balancers of few requests each would hold
// connections to all servers and never learn how any of them fares, so each keeps to an arc of the
// list that its own traffic can feed. Arcs begin evenly spread, by the balancers' numbers.
func (b *Balancer) cut() {
	b.wanted = max(fewest, b.rate*b.inquiry.Every())
	_, start := math.Modf(float64(b.cfg.Index) * math.Phi)
	all, left := b.ready(), b.wanted
	b.reach, b.arc = 0, nil
	for i := range all {
		s := all[(int(start*float64(len(all)))+i)%len(all)]
		if left <= 0 {
			s.ours = false
			continue
		}
		if !s.ours { // at a random point of its round: balancers must not begin in step
			s.ours, s.due = true, b.turn+b.rng.Float64()*b.gap(b.rateAt, s)
		}
		left--
		b.reach += s.Weight
		b.arc = append(b.arc, s)
	}
}

// gap is the time between a server's turns, in turns' own time. It is bounded, so that turns show recovery.
// Other zones' have turns too, if fewer: a zone may have more traffic than its own servers can bear.
func (b *Balancer) gap(now time.Duration, s *server) float64 {
	gap := max(0.5, min(s.strain, failStrain/2)) / (s.Weight * b.warmth(now, s))
	if b.far(s) {
		gap /= farTurns
	}
	return gap
}
