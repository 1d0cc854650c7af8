package sidecar

import (
	"context"
	"sync"
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
	// it before the stop or soon after it counts on that.
	promisedFraction = 5.0 / 6
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

// drain ends without losing a request. Others learn of it first, clients are still accepted for a
// while, and what was accepted is answered.
func (s *Sidecar) drain(fronts fronts) error {
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
