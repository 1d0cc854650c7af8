package balancer

import (
	"slices"
	"time"

	"caperarch/internal/proxy/sizing"
)

// CompartmentSpec names a request's compartment and tells its part of all of them.
type CompartmentSpec struct {
	Name     string
	Share    float64 // of the slots of all compartments, above 0 and below 1
	MinSlots int     // slots that it has at least: internal checks come many at once from few sidecars
}

type compartment struct {
	name       string
	share      float64
	minSlots   int
	slots      int
	queueSlots int
	used       int
	queue      []*request
	usedAt     time.Duration
}

// waits says whether a request for a service waits in a compartment.
func (c *compartment) hasWaiting(service int) bool {
	return slices.ContainsFunc(c.queue, func(r *request) bool { return r.class.Service == service })
}

// compartment is the one of a name, sized by its share now.
func (b *Balancer) compartmentFor(now time.Duration, w CompartmentSpec) *compartment {
	c := b.compartments[w.Name]
	if c == nil {
		c = &compartment{name: w.Name}
		b.compartments[w.Name] = c
	}
	c.usedAt = now
	if n := max(1, b.cfg.Members()); n != b.members {
		b.members = n
		b.resizeAll()
	}
	if c.share != w.Share || c.minSlots != w.MinSlots {
		c.share, c.minSlots = w.Share, w.MinSlots
		b.resize(c)
	}
	return c
}

// size derives a compartment's slots: by its share of what the slots of all ready upstreams come to
// at one of so many sidecars, see sizing.Compartments.
func (b *Balancer) resize(c *compartment) {
	all, _ := sizing.Compartments(b.totalSlots*c.share, b.members, 0, -1, 1, []float64{1})
	c.slots = max(all[0].Slots, c.minSlots)
	c.queueSlots = max(1, all[0].Places, c.minSlots/2)
}

func (b *Balancer) resizeAll() {
	for _, c := range b.compartments {
		b.resize(c)
	}
}

// wait puts a request into its compartment's queue.
func (b *Balancer) enqueue(now time.Duration, r *request, first bool) {
	b.counters.Queued++
	b.waiting++
	if first {
		r.compartment.queue = slices.Insert(r.compartment.queue, 0, r)
	} else {
		r.compartment.queue = append(r.compartment.queue, r)
	}
	b.scheduleWake(now, min(r.waitDeadline, b.nextAvailable(now, r))-now)
}

// unwait takes a request out of its queue.
func (b *Balancer) dequeue(r *request) {
	if i := slices.Index(r.compartment.queue, r); i >= 0 {
		r.compartment.queue = slices.Delete(r.compartment.queue, i, i+1)
		b.waiting--
	}
}

// sweep forgets compartments that are empty and were not asked for lately: tenants come and go with
// configurations.
func (b *Balancer) removeIdleCompartments(now time.Duration) {
	if now < b.sweepAt {
		return
	}
	b.sweepAt = now + idleCompartmentTTL
	for name, c := range b.compartments {
		if c.used == 0 && len(c.queue) == 0 && now-c.usedAt > idleCompartmentTTL {
			delete(b.compartments, name)
		}
	}
}

// release gives a compartment's slot back.
func (b *Balancer) release(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		r.compartment.used--
	}
}
