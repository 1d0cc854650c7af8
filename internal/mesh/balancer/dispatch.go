package balancer

import (
	"slices"
	"time"
)

// dispatch sends a request if its compartment has a free slot, the retry budget allows the attempt and an upstream is
// available. It reports whether the request was sent.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.holdsSlot && r.compartment.usedSlots >= r.compartment.slots || now >= r.deadline {
		return false
	}
	// retry has checked the budget already, but other requests may have exhausted it while the request was queued.
	isRetry := r.reachedAttempts > r.chargedAttempts
	if isRetry && !b.cfg.RetryBudget.Allowed(now, r.class.Service) {
		return false
	}
	u := b.selectUpstream(now, r)
	if u == nil {
		return false
	}
	if !r.holdsSlot {
		r.holdsSlot = true
		r.compartment.usedSlots++
	}
	if isRetry {
		r.chargedAttempts = r.reachedAttempts
		b.cfg.RetryBudget.Charge(now, r.class.Service)
	}
	b.send(now, r, u)
	return true
}

// send starts an attempt at an upstream.
func (b *Balancer) send(now time.Duration, r *request, u *upstream) {
	if len(r.attempts) == 0 {
		b.counters.Ordinary++
	} else {
		b.counters.Retries++
	}
	if !b.inLocalZone(u) {
		b.counters.Crossed++
	}
	r.attempts = append(r.attempts, attempt{upstream: u})
	r.inFlight = true
	u.inFlight++
	u.reportedLoad++
	b.host.Send(r.id, u.ID, r.deadline-now)
}

// dispatchQueued sends queued requests for which a slot and an upstream are available, and rejects queued requests
// whose wait has expired. It requests a Wake for the remaining requests.
func (b *Balancer) dispatchQueued(now time.Duration) {
	if b.queued == 0 {
		return
	}
	next := now + maxWakeDelay
	for _, c := range b.compartments {
		for i := 0; i < len(c.queue); {
			r := c.queue[i]
			switch {
			case now >= r.waitDeadline:
				b.reject(r) // removes r from the queue, so that i is the index of the next request
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

// enqueue appends a new request to the queue of its compartment.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	r.compartment.queue = append(r.compartment.queue, r)
	b.afterEnqueue(now, r)
}

// enqueueFront inserts a request that was sent before at the front of the queue of its compartment.
func (b *Balancer) enqueueFront(now time.Duration, r *request) {
	r.compartment.queue = slices.Insert(r.compartment.queue, 0, r)
	b.afterEnqueue(now, r)
}

// afterEnqueue counts a queued request, and requests a Wake for the time at which an upstream may become available or
// the request's wait expires.
func (b *Balancer) afterEnqueue(now time.Duration, r *request) {
	b.counters.Queued++
	b.queued++
	b.scheduleWake(now, min(r.waitDeadline, b.nextAvailable(now, r))-now)
}

// dequeue removes a request from its compartment's queue. A request that is not queued is ignored.
func (b *Balancer) dequeue(r *request) {
	if i := slices.Index(r.compartment.queue, r); i >= 0 {
		r.compartment.queue = slices.Delete(r.compartment.queue, i, i+1)
		b.queued--
	}
}
