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
	// lingerFraction and drainFraction are fractions of the grace period. During the first part new client
	// connections are still accepted; in-flight requests may take up to the second part after that.
	lingerFraction = 0.37
	drainFraction  = 0.38
	// guaranteedFraction of the grace period passes before an in-flight request is aborted. Clients rely on this
	// for requests sent before the SIGTERM, or within guaranteeWindow after it; they have no longer guarantee.
	guaranteedFraction = 5.0 / 6
	guaranteeWindow    = 3 * time.Second
	// cutoffMargin is the minimum time between a request's deadline and the drain's cutoff for the request to be
	// accepted. The client started its timer before the remaining time that this process receives was determined.
	cutoffMargin = 50 * time.Millisecond
	// drainRetryAfter is the Retry-After value of requests whose deadline is too late for the drain.
	drainRetryAfter = 100 * time.Millisecond
	// leaveTimeout bounds ending the lease at the core.
	leaveTimeout = dialTimeout
	// shutdownReserve is the part of the grace period that is reserved for closing the fronts and ending the
	// lease.
	shutdownReserve = fronthttp1.DrainMargin + leaveTimeout
)

// drainTimes divides a grace period: new clients are accepted for linger after a SIGTERM, and in-flight requests
// have drainTimeout after that. The two leave enough time for the process to exit within the grace period.
func drainTimes(grace time.Duration) (linger, drainTimeout time.Duration) {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	linger = part(lingerFraction)
	drainTimeout = max(part(drainFraction), part(guaranteedFraction)-linger-fronthttp1.DrainMargin)
	return linger, max(0, min(drainTimeout, grace-linger-shutdownReserve))
}

// drainDeadline is the time at which a drain aborts in-flight requests. The zero value belongs to a process that
// is not draining. It is safe for concurrent use.
type drainDeadline struct {
	startedAt atomic.Int64 // time.Duration on the sidecar's clock
	cutoffAt  atomic.Int64 // time.Duration on the sidecar's clock; 0: no drain has started
}

// begin records that a drain has started, and when it aborts in-flight requests.
func (d *drainDeadline) begin(now, cutoffAt time.Duration) {
	d.startedAt.Store(int64(now))
	d.cutoffAt.Store(int64(cutoffAt))
}

// canFinish reports whether a request that arrives now with this remaining time reaches its deadline at least
// cutoffMargin before the cutoff. It is always true while no drain has started.
func (d *drainDeadline) canFinish(now, remaining time.Duration) bool {
	cutoffAt := time.Duration(d.cutoffAt.Load())
	return cutoffAt == 0 || now+remaining+cutoffMargin <= cutoffAt
}

// isPastGuarantee reports whether a request that arrives now was sent too late in a drain for its client to
// expect that it may be aborted: only requests sent before the SIGTERM or within guaranteeWindow after it may be.
func (d *drainDeadline) isPastGuarantee(now time.Duration) bool {
	return d.cutoffAt.Load() != 0 && now > time.Duration(d.startedAt.Load())+guaranteeWindow
}

// drain stops the sidecar without losing a request. It announces the drain to the other sidecars, accepts new
// clients during the linger time, and waits for accepted requests to be answered. A request that could be aborted
// before its deadline, although its sender does not expect that, is rejected at once, so that another upstream or
// sidecar can serve it. At the end it gives up the lease.
func (s *Sidecar) drain(fronts fronts) error {
	now := s.clock.Now()
	linger, drainTimeout := drainTimes(s.settings.Guarantees.Bounds.GracePeriod)
	cutoffAt := now + linger + drainTimeout + fronthttp1.DrainMargin
	s.inbound.drain.begin(now, cutoffAt)
	s.outbound.drain.begin(now, cutoffAt)
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
