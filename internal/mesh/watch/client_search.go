package watch

import (
	"context"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
)

const (
	// probeInterval is the time until core machines are asked again if some have not responded and none has
	// reported fresh contact: a machine that started in the meantime did not receive the first request. It
	// doubles with each round, to limit the load of many sidecars that search at the same time.
	probeInterval = 400 * time.Millisecond
	// probeGrace is how long a search continues after a first core machine has reported fresh contact, so
	// that machines that rank higher, for example by zone, can still be chosen. It is short so that machines
	// that no longer run delay no move.
	probeGrace = 50 * time.Millisecond
)

// memberSearch asks core machines whether they have fresh contact with a majority, in rounds. Responses to
// earlier rounds count, however late they arrive: on a slow link all responses are late.
type memberSearch struct {
	client    *Client
	lease     *registry.Lease
	addresses []string
	results   chan probeResult
	probes    sync.WaitGroup
	pending   int // probes without a result yet
}

// probeResult is the result of one request to a core machine: fresh is true if it responded with fresh
// contact.
type probeResult struct {
	address string
	fresh   bool
}

// run returns the core machines with fresh contact that have responded by probeGrace after the first of them.
// The result is empty if all probes have failed or ctx has ended before. run cancels ctx and waits until all
// probes have ended.
func (s *memberSearch) run(ctx context.Context, cancel context.CancelFunc) map[string]bool {
	defer s.probes.Wait()
	defer cancel()
	s.results = make(chan probeResult)
	s.probeAll(ctx)
	interval := probeInterval
	retryTimer := time.NewTimer(interval)
	defer retryTimer.Stop()
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
		case <-retryTimer.C:
			if len(inContact) == 0 {
				s.probeAll(ctx)
			}
			interval *= 2
			retryTimer.Reset(interval)
		case <-ctx.Done():
			return inContact
		}
	}
	return inContact
}

// probeAll sends the lease to all core machines at once.
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
