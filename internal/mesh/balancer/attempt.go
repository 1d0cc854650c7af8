package balancer

import (
	"time"

	"caperarch/policy"
)

type attempt struct {
	upstream       *upstream
	sentAt         time.Duration
	rejectedByGate bool
	done           bool
}

// dispatch sends a request if its compartment has a slot and an upstream has its turn.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.holdsSlot && r.compartment.used >= r.compartment.slots || now >= r.deadline {
		return false
	}
	further := r.arrivals > r.chargedArrivals // the budget is asked where it is spent: others may have spent it since
	if further && !b.cfg.RetryBudget.Allowed(now, r.class.Service) {
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
	if len(r.attempts) == 0 {
		b.counters.Ordinary++
	} else {
		b.counters.Retries++
	}
	if u.Zone != b.cfg.Zone {
		b.counters.Crossed++
	}
	if further {
		r.chargedArrivals = r.arrivals
		b.cfg.RetryBudget.Charge(now, r.class.Service)
	}
	r.attempts = append(r.attempts, attempt{upstream: u, sentAt: now})
	r.inFlight = true
	u.inFlight++
	u.reportedLoad++
	b.host.Send(r.id, u.ID, r.deadline-now)
	return true
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o policy.Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, r.inFlight = true, false
	u := a.upstream
	u.inFlight--
	u.reportedLoad = max(0, u.reportedLoad-1)
	if o.Load.Has&policy.HasInFlight != 0 && o.Ending != policy.NotSent {
		u.reportedLoad, u.reportedAt = o.Load.InFlight, now
	}
	b.recordOutcome(now, a, o.Ending)
	switch {
	case r.answered || o.Settled || o.Ending == policy.Served:
		b.complete(r)
	default:
		b.retry(now, r, a, o.Ending)
	}
	b.dispatchQueued(now)
}

// further gives a request another attempt whose last one failed, or ends it.
func (b *Balancer) retry(now time.Duration, r *request, a *attempt, end policy.Ending) {
	free := false // it never came to an upstream: nothing is spent by going elsewhere
	switch end {
	case policy.Gated, policy.NoConnection, policy.NotSent:
		free = true
	case policy.TurnedAway:
		r.arrivals++
	default:
		r.arrivals++
		r.mayHaveRun = true
	}
	if r.mayHaveRun && !r.class.Idempotent || r.arrivals >= max(1, r.class.MaxAttempts) || now >= r.deadline {
		b.giveUp(r)
		return
	}
	if !free && !b.mayRetry(now, r, end) {
		b.giveUp(r)
		return
	}
	if b.dispatch(now, r) {
		return
	}
	// All have been asked. Those whose gates turned it back may have room soon.
	r.clearGateRejections()
	if now >= r.waitDeadline || r.mayHaveRun {
		b.giveUp(r)
		return
	}
	b.release(r)
	b.enqueue(now, r, true)
}

// again says whether a request that came to an upstream may go to another.
func (b *Balancer) mayRetry(now time.Duration, r *request, end policy.Ending) bool {
	if !b.cfg.RetryBudget.Allowed(now, r.class.Service) {
		return false
	}
	if end == policy.Errored {
		if b.errorRetryCredit[r.class.Service] < 1 {
			return false
		}
		b.errorRetryCredit[r.class.Service]--
	}
	return true
}

// finish answers a request: refused where that is true, failed where it is not.
func (b *Balancer) giveUp(r *request) {
	if r.mayHaveRun {
		b.counters.Failed++
		b.host.Fail(r.id)
		b.complete(r)
		return
	}
	b.reject(r)
}

// refuse tells a client to come back.
func (b *Balancer) reject(r *request) {
	b.counters.Refused++
	b.host.Refuse(r.id, b.retryAfter(r))
	b.complete(r)
}

// pause is when a client is to come back: after a part of its aim that leaves the new try within it.
func (b *Balancer) retryAfter(r *request) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, r.class.LatencyTarget/8))
}

// settle closes a request that has its answer. It is forgotten once nothing of it is out.
func (b *Balancer) complete(r *request) {
	r.answered = true
	b.dequeue(r)
	if r.inFlight {
		return
	}
	b.release(r)
	delete(b.requests, r.id)
}
