package balancer

import (
	"slices"
	"time"
)

// dispatch sends a request if its compartment has a slot and an upstream can be selected.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.holdsSlot && r.compartment.used >= r.compartment.slots || now >= r.deadline {
		return false
	}
	// The budget is asked here as well, where it is charged: others may have used it up meanwhile.
	isRetry := r.arrivals > r.chargedArrivals
	if isRetry && !b.cfg.RetryBudget.Allowed(now, r.class.Service) {
		return false
	}
	u := b.selectUpstream(now, r)
	if u == nil {
		return false
	}
	if !r.holdsSlot {
		r.holdsSlot = true
		r.compartment.used++
	}
	if isRetry {
		r.chargedArrivals = r.arrivals
		b.cfg.RetryBudget.Charge(now, r.class.Service)
	}
	b.send(now, r, u)
	return true
}

// send starts an attempt.
func (b *Balancer) send(now time.Duration, r *request, u *upstream) {
	if len(r.attempts) == 0 {
		b.counters.Ordinary++
	} else {
		b.counters.Retries++
	}
	if !b.inOwnZone(u) {
		b.counters.Crossed++
	}
	r.attempts = append(r.attempts, attempt{upstream: u})
	r.inFlight = true
	u.inFlight++
	u.reportedLoad++
	b.host.Send(r.id, u.ID, r.deadline-now)
}

// dispatchQueued sends what is queued and can go, and rejects what has waited too long.
func (b *Balancer) dispatchQueued(now time.Duration) {
	if b.queued == 0 {
		return
	}
	next := now + noTimeKnown
	for _, c := range b.compartments {
		for i := 0; i < len(c.queue); {
			r := c.queue[i]
			switch {
			case now >= r.waitDeadline:
				b.reject(r) // which removes it from the queue
			case b.dispatch(now, r):
				b.dequeue(r)
			default:
				next = min(next, r.waitDeadline, b.nextAvailable(now, r))
				i++
			}
		}
	}
	if b.queued > 0 {
		b.scheduleWake(now, next-now)
	}
}

// enqueue puts a new request at the end of its compartment's queue.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	r.compartment.queue = append(r.compartment.queue, r)
	b.afterEnqueue(now, r)
}

// enqueueFirst puts a request that was sent before at the front of its compartment's queue.
func (b *Balancer) enqueueFirst(now time.Duration, r *request) {
	r.compartment.queue = slices.Insert(r.compartment.queue, 0, r)
	b.afterEnqueue(now, r)
}

// afterEnqueue counts a queued request, and asks for a Wake when it may go or has waited too long.
func (b *Balancer) afterEnqueue(now time.Duration, r *request) {
	b.counters.Queued++
	b.queued++
	b.scheduleWake(now, min(r.waitDeadline, b.nextAvailable(now, r))-now)
}

// dequeue removes a request from its queue, if it is in one.
func (b *Balancer) dequeue(r *request) {
	if i := slices.Index(r.compartment.queue, r); i >= 0 {
		r.compartment.queue = slices.Delete(r.compartment.queue, i, i+1)
		b.queued--
	}
}
