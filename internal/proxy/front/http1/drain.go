package http1

import (
	"cmp"
	"context"
	"time"
)

const (
	defaultDrainLinger = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	drainMinIdle       = 250 * time.Millisecond // a connection that was used so lately is likely to be used again meanwhile
	drainPollInterval  = 50 * time.Millisecond  // between two looks at what rests
	drainMargin        = 600 * time.Millisecond // more than the longest deadline that may pass until the end
)

// Drain ends the service without losing a request. Clients still connect for a while, and send on
// what they have: so the listener stays open at first, and every connection closes with its next
// answer, or at once if it is at rest (a request that crosses this is sent again on a new one).
func (f *Front) Drain() error {
	f.cfg.Log.Info("stopping", "held", f.openRequests.Load())
	f.ready.Store(false)
	f.draining.Store(true)
	a := f.acceptor
	// What clients use often closes with its next answer, which crosses nothing; only what they let rest is closed under them at first.
	for begun := a.clock.Now(); a.clock.Now()-begun < cmp.Or(f.cfg.Linger, defaultDrainLinger); time.Sleep(drainPollInterval) {
		a.closeIdle(drainMinIdle)
	}
	err := a.close()
	for end := time.After(f.cfg.MaxDeadline + drainMargin); ; {
		a.closeIdle(0)
		if a.counters().Open == 0 {
			break
		}
		select {
		case <-a.mayHaveRoom:
			continue
		case <-time.After(drainPollInterval):
			continue
		case <-end:
			if f.openRequests.Load() > 0 { // what is left else are connections that nothing whole came on
				err = context.DeadlineExceeded
			}
		}
		break
	}
	f.cfg.Log.Info("stopped", "held", f.openRequests.Load(), "connections", f.Counters())
	return err
}
