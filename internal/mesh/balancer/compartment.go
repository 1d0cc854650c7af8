package balancer

import (
	"slices"
	"time"

	"caperarch/internal/sizing"
)

// CompartmentSpec names a request's compartment and tells its part of all of them.
type CompartmentSpec struct {
	Name     string
	Share    float64 // of the slots of all compartments, above 0 and below 1
	MinSlots int     // slots that it has at least: internal checks come many at once from few sidecars
}

type compartment struct {
	name   string
	share  float64
	least  int
	slots  int
	places int
	used   int
	queue  []*request
	usedAt time.Duration
}

// waits says whether a request for a service waits in a compartment.
func (c *compartment) waits(service int) bool {
	return slices.ContainsFunc(c.queue, func(r *request) bool { return r.order.Service == service })
}

// compartment is the one of a name, sized by its share now.
func (b *Balancer) compartment(now time.Duration, w CompartmentSpec) *compartment {
	c := b.compartments[w.Name]
	if c == nil {
		c = &compartment{name: w.Name}
		b.compartments[w.Name] = c
	}
	c.usedAt = now
	if n := max(1, b.cfg.Members()); n != b.members {
		b.members = n
		b.resize()
	}
	if c.share != w.Share || c.least != w.MinSlots {
		c.share, c.least = w.Share, w.MinSlots
		b.size(c)
	}
	return c
}

// size derives a compartment's slots: by its share of what the slots of all ready upstreams come to
// at one of so many sidecars, see sizing.Compartments.
func (b *Balancer) size(c *compartment) {
	all, _ := sizing.Compartments(b.total*c.share, b.members, 0, -1, 1, []float64{1})
	c.slots = max(all[0].Slots, c.least)
	c.places = max(1, all[0].Places, c.least/2)
}

func (b *Balancer) resize() {
	for _, c := range b.compartments {
		b.size(c)
	}
}

// wait puts a request into its compartment's queue.
func (b *Balancer) wait(now time.Duration, r *request, first bool) {
	b.count.Queued++
	b.waiting++
	if first {
		r.home.queue = slices.Insert(r.home.queue, 0, r)
	} else {
		r.home.queue = append(r.home.queue, r)
	}
	b.wake(now, min(r.until, b.opens(now, r))-now)
}

// unwait takes a request out of its queue.
func (b *Balancer) unwait(r *request) {
	if i := slices.Index(r.home.queue, r); i >= 0 {
		r.home.queue = slices.Delete(r.home.queue, i, i+1)
		b.waiting--
	}
}

// sweep forgets compartments that are empty and were not asked for lately: tenants come and go with
// configurations.
func (b *Balancer) sweep(now time.Duration) {
	if now < b.sweepAt {
		return
	}
	b.sweepAt = now + forgetAfter
	for name, c := range b.compartments {
		if c.used == 0 && len(c.queue) == 0 && now-c.usedAt > forgetAfter {
			delete(b.compartments, name)
		}
	}
}

// release gives a compartment's slot back.
func (b *Balancer) release(r *request) {
	if r.held {
		r.held = false
		r.home.used--
	}
}
