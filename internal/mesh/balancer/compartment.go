package balancer

import (
	"slices"
	"time"

	"caperarch/internal/proxy/sizing"
)

// idleCompartmentTTL is how long an empty compartment is kept that no request asked for.
const idleCompartmentTTL = 30 * time.Second

// CompartmentSpec names a request's compartment and says how large it is.
type CompartmentSpec struct {
	Name     string
	Share    float64 // of the slots of all compartments, above 0 and at most 1
	MinSlots int     // for internal checks, which arrive many at once from few sidecars
}

// compartment is the slots and the queue of a tenant or a service.
type compartment struct {
	name       string
	share      float64
	minSlots   int
	slots      int // attempts that may be in flight
	used       int // slots that requests hold
	queueSlots int // requests that may be queued
	queue      []*request
	usedAt     time.Duration // when a request asked for it last
}

// hasWaiting reports whether a request for a service is queued.
func (c *compartment) hasWaiting(service int) bool {
	return slices.ContainsFunc(c.queue, func(r *request) bool { return r.class.Service == service })
}

// compartmentFor is the compartment of a spec, sized by its share now.
func (b *Balancer) compartmentFor(now time.Duration, spec CompartmentSpec) *compartment {
	c := b.compartments[spec.Name]
	if c == nil {
		c = &compartment{name: spec.Name}
		b.compartments[spec.Name] = c
	}
	c.usedAt = now
	if n := max(1, b.cfg.Members()); n != b.members {
		b.members = n
		b.resizeAll()
	}
	if c.share != spec.Share || c.minSlots != spec.MinSlots {
		c.share, c.minSlots = spec.Share, spec.MinSlots
		b.resize(c)
	}
	return c
}

// resize derives a compartment's slots: its share of what one of so many sidecars may use of the ready
// upstreams' slots, see sizing.Compartments.
func (b *Balancer) resize(c *compartment) {
	all, _ := sizing.Compartments(b.totalSlots*c.share, b.members, 0, -1, 1, []float64{1})
	c.slots = max(all[0].Slots, c.minSlots)
	c.queueSlots = max(1, all[0].QueueSlots, c.minSlots/2)
}

func (b *Balancer) resizeAll() {
	for _, c := range b.compartments {
		b.resize(c)
	}
}

// removeIdleCompartments drops, at intervals, empty compartments that no request has used lately:
// configurations add and remove tenants.
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

// releaseSlot gives the slot of its compartment back that a request holds, if any.
func (b *Balancer) releaseSlot(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		r.compartment.used--
	}
}
