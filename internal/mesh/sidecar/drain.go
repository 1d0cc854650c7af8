package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	fronthttp1 "caperarch/internal/proxy/front/http1"

	"go.uber.org/zap"
)

const (
	// lingerFraction and drainFraction divide the grace period: new clients are still accepted
	// during the first, and requests in flight have the second to end.
	lingerFraction = 0.37
	drainFraction  = 0.38
	// promisedFraction of the grace period has to pass before a request in flight is cut: whoever sent
	// it before the stop, or within promisedAfter of it, counts on that and on no more.
	promisedFraction = 5.0 / 6
	promisedAfter    = 3 * time.Second
	// cutSlack is how long before the cut a request's time has to be over for it to be accepted: its client's
	// began before that which this process is told.
	cutSlack = 50 * time.Millisecond
	// drainRetryAfter is the Retry-After of requests that this process has too little time left for.
	drainRetryAfter = 100 * time.Millisecond
	// leaveTimeout bounds giving up the lease.
	leaveTimeout = dialTimeout
	// shutdownReserve is what remains of the grace period for the fronts' own close and for giving
	// up the lease.
	shutdownReserve = fronthttp1.DrainMargin + leaveTimeout
)

// drainTimes divides a grace period: for how long new clients are accepted after a SIGTERM, and how
// long requests in flight have after that, so that the process ends by itself within the period.
func drainTimes(grace time.Duration) (linger, longest time.Duration) {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	linger = part(lingerFraction)
	longest = max(part(drainFraction), part(promisedFraction)-linger-fronthttp1.DrainMargin)
	return linger, max(0, min(longest, grace-linger-shutdownReserve))
}

// drainDeadline is when a drain cuts what is still in flight. Its zero value is that of a process that doesn't
// drain. It is safe for concurrent use.
type drainDeadline struct {
	begunAt atomic.Int64 // a time.Duration of the sidecar's clock
	cutAt   atomic.Int64 // the same; 0: there is no drain
}

// begin records that a drain has begun, and when it cuts what is in flight.
func (d *drainDeadline) begin(now, cutAt time.Duration) {
	d.begunAt.Store(int64(now))
	d.cutAt.Store(int64(cutAt))
}

// leavesTime reports whether a request that arrives now with so much time can use all of it before the cut.
func (d *drainDeadline) leavesTime(now, remaining time.Duration) bool {
	cutAt := time.Duration(d.cutAt.Load())
	return cutAt == 0 || now+remaining+cutSlack <= cutAt
}

// isLate reports whether a request that arrives now was sent too late to be cut.
func (d *drainDeadline) isLate(now time.Duration) bool {
	return d.cutAt.Load() != 0 && now > time.Duration(d.begunAt.Load())+promisedAfter
}

// drain ends without losing a request. Others learn of it first, clients are still accepted for a
// while, and what was accepted is answered. What could be cut before its time is over, and counts on not being
// cut, is rejected at once: others can still serve it.
func (s *Sidecar) drain(fronts fronts) error {
	now := s.clock.Now()
	linger, longest := drainTimes(s.settings.Guarantees.Bounds.GracePeriod)
	cutAt := now + linger + longest + fronthttp1.DrainMargin
	s.inbound.drain.begin(now, cutAt)
	s.outbound.drain.begin(now, cutAt)
	s.draining.Store(true)
	s.watchClient.RenewNow()
	var drained sync.WaitGroup
	for _, front := range []*fronthttp1.Front{fronts.outbound, fronts.inbound} {
		drained.Go(func() {
			if err := front.Drain(); err != nil {
				s.log.Warn("drain ended with requests in flight", zap.Error(err))
			}
		})
	}
	drained.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.watchClient.Leave(ctx)
	return nil
}
