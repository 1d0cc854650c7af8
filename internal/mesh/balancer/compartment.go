package balancer

import (
	"slices"
	"time"

	"caperarch/internal/proxy/sizing"
)

// idleCompartmentTTL is how long an empty compartment is kept after its last request. It is also the interval at which
// idle compartments are removed.
const idleCompartmentTTL = 30 * time.Second

// CompartmentSpec names the compartment of a request and states the size of the compartment.
type CompartmentSpec struct {
	Name     string
	Share    float64 // fraction of the slots of all compartments, above 0 and at most 1
	MinSlots int     // minimum for internal checks, which arrive in bursts from few sidecars; 0: none
}

// compartment holds the slots and the queue of one tenant, or of the requests for one service.
type compartment struct {
	name       string
	share      float64
	minSlots   int
	slots      int // number of attempts that may be in flight
	usedSlots  int // number of slots held by requests
	queueSlots int // number of requests that may be queued
	queue      []*request
	lastUsedAt time.Duration // arrival of the last request
}

// hasQueued reports whether a request for a service is queued.
func (c *compartment) hasQueued(service int) bool {
	return slices.ContainsFunc(c.queue, func(r *request) bool { return r.class.Service == service })
}

// compartmentFor returns the compartment of a spec, with its current size. It creates the compartment if necessary.
func (b *Balancer) compartmentFor(now time.Duration, spec CompartmentSpec) *compartment {
	c := b.compartments[spec.Name]
	if c == nil {
		c = &compartment{name: spec.Name}
		b.compartments[spec.Name] = c
	}
	c.lastUsedAt = now
	if n := max(1, b.cfg.SidecarCount()); n != b.sidecarCount {
		b.sidecarCount = n
		b.resizeAll()
	}
	if c.share != spec.Share || c.minSlots != spec.MinSlots {
		c.share, c.minSlots = spec.Share, spec.MinSlots
		b.resize(c)
	}
	return c
}

// resize computes a compartment's slots: the compartment's share of the slots of all ready upstreams, divided among
// sidecarCount sidecars. See sizing.Compartments.
func (b *Balancer) resize(c *compartment) {
	all, _ := sizing.Compartments(b.totalSlots*c.share, b.sidecarCount, 0, -1, 1, []float64{1})
	c.slots = max(all[0].Slots, c.minSlots)
	c.queueSlots = max(1, all[0].QueueSlots, c.minSlots/2)
}

func (b *Balancer) resizeAll() {
	for _, c := range b.compartments {
		b.resize(c)
	}
}

// removeIdleCompartments removes empty compartments without a request in the last idleCompartmentTTL. Without the
// removal, compartments of tenants that the configuration no longer has would accumulate.
func (b *Balancer) removeIdleCompartments(now time.Duration) {
	if now < b.sweepAt {
		return
	}
	b.sweepAt = now + idleCompartmentTTL
	for name, c := range b.compartments {
		if c.usedSlots == 0 && len(c.queue) == 0 && now-c.lastUsedAt > idleCompartmentTTL {
			delete(b.compartments, name)
		}
	}
}

// releaseSlot returns the slot that a request holds, if any, to the compartment.
func (b *Balancer) releaseSlot(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		r.compartment.usedSlots--
	}
}
