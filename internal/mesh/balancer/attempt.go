package balancer

import (
	"time"

	"caperarch/policy"
)

type attempt struct {
	to    *upstream
	sent  time.Duration
	gated bool
	done  bool
}

// dispatch sends a request if its compartment has a slot and an upstream has its turn.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.held && r.home.used >= r.home.slots || now >= r.deadline {
		return false
	}
	further := r.arrivals > r.paid // the budget is asked where it is spent: others may have spent it since
	if further && !b.cfg.RetryBudget.Allowed(now, r.order.Service) {
		return false
	}
	u := b.pick(now, r)
	if u == nil {
		return false
	}
	if !r.held {
		r.held = true
		r.home.used++
	}
	if len(r.attempts) == 0 {
		b.count.Ordinary++
	} else {
		b.count.Retries++
	}
	if u.Zone != b.cfg.Zone {
		b.count.Crossed++
	}
	if further {
		r.paid = r.arrivals
		b.cfg.RetryBudget.Charge(now, r.order.Service)
	}
	r.attempts = append(r.attempts, attempt{to: u, sent: now})
	r.out = true
	u.out++
	u.load++
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
	a.done, r.out = true, false
	u := a.to
	u.out--
	u.load = max(0, u.load-1)
	if o.Load.Has&policy.HasInFlight != 0 && o.Ending != policy.NotSent {
		u.load, u.toldAt = o.Load.InFlight, now
	}
	b.judge(now, a, o.Ending)
	switch {
	case r.over || o.Settled || o.Ending == policy.Served:
		b.settle(r)
	default:
		b.further(now, r, a, o.Ending)
	}
	b.feed(now)
}

// further gives a request another attempt whose last one failed, or ends it.
func (b *Balancer) further(now time.Duration, r *request, a *attempt, end policy.Ending) {
	free := false // it never came to an upstream: nothing is spent by going elsewhere
	switch end {
	case policy.Gated, policy.NoConnection, policy.NotSent:
		free = true
	case policy.TurnedAway:
		r.arrivals++
	default:
		r.arrivals++
		r.mayRun = true
	}
	if r.mayRun && !r.order.Idempotent || r.arrivals >= max(1, r.order.MaxAttempts) || now >= r.deadline {
		b.finish(r)
		return
	}
	if !free && !b.again(now, r, end) {
		b.finish(r)
		return
	}
	if b.dispatch(now, r) {
		return
	}
	// All have been asked. Those whose gates turned it back may have room soon.
	r.forgive()
	if now >= r.until || r.mayRun {
		b.finish(r)
		return
	}
	b.release(r)
	b.wait(now, r, true)
}

// again says whether a request that came to an upstream may go to another.
func (b *Balancer) again(now time.Duration, r *request, end policy.Ending) bool {
	if !b.cfg.RetryBudget.Allowed(now, r.order.Service) {
		return false
	}
	if end == policy.Errored {
		if b.errors[r.order.Service] < 1 {
			return false
		}
		b.errors[r.order.Service]--
	}
	return true
}

// finish answers a request: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request) {
	if r.mayRun {
		b.count.Failed++
		b.host.Fail(r.id)
		b.settle(r)
		return
	}
	b.refuse(r)
}

// refuse tells a client to come back.
func (b *Balancer) refuse(r *request) {
	b.count.Refused++
	b.host.Refuse(r.id, b.pause(r))
	b.settle(r)
}

// pause is when a client is to come back: after a part of its aim that leaves the new try within it.
func (b *Balancer) pause(r *request) time.Duration {
	return min(pauseMost, max(pauseLeast, r.order.LatencyTarget/8))
}

// settle closes a request that has its answer. It is forgotten once nothing of it is out.
func (b *Balancer) settle(r *request) {
	r.over = true
	b.unwait(r)
	if r.out {
		return
	}
	b.release(r)
	delete(b.requests, r.id)
}
