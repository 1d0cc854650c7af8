package watch

import (
	"context"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
)

const (
	// probeInterval is the time after which the members are asked again while some
	// have not answered: one that starts meanwhile does not hear the first question.
	// It doubles with each round, against many sidecars that all ask without a break.
	probeInterval = 400 * time.Millisecond
	// probeGrace is how long better members, by zone, are waited for once one
	// has fresh contact, so that members that no longer run delay no move.
	probeGrace = 50 * time.Millisecond
)

// memberSearch asks members whether they have fresh contact. Answers to earlier
// rounds of questions count, however late: on a slow link all are.
type memberSearch struct {
	client    *Client
	lease     *registry.Lease
	addresses []string
	results   chan probeResult
	probes    sync.WaitGroup
	pending   int // questions without an answer
}

// probeResult is what became of one question.
type probeResult struct {
	address string
	fresh   bool
}

// run returns the members with fresh contact: those that have answered soon after
// the first of them, or none once all questions have failed or ctx has ended. It
// cancels ctx and waits until all questions have ended.
func (s *memberSearch) run(ctx context.Context, cancel context.CancelFunc) map[string]bool {
	defer s.probes.Wait()
	defer cancel()
	s.results = make(chan probeResult)
	s.probeAll(ctx)
	interval := probeInterval
	again := time.NewTimer(interval)
	defer again.Stop()
	inContact := map[string]bool{}
	for s.pending > 0 {
		select {
		case r := <-s.results:
			s.pending--
			if !r.fresh {
				continue
			}
			if len(inContact) == 0 {
				time.AfterFunc(probeGrace, cancel)
			}
			inContact[r.address] = true
		case <-again.C:
			if len(inContact) == 0 {
				s.probeAll(ctx)
			}
			interval *= 2
			again.Reset(interval)
		case <-ctx.Done():
			return inContact
		}
	}
	return inContact
}

// probeAll sends the lease to all members at once.
func (s *memberSearch) probeAll(ctx context.Context) {
	for _, address := range s.addresses {
		s.pending++
		s.probes.Go(func() {
			response, err := s.client.sendLease(ctx, address, s.lease)
			select {
			case s.results <- probeResult{address, err == nil && response.Contact.fresh()}:
			case <-ctx.Done():
			}
		})
	}
}
