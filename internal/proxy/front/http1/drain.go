package http1

import (
	"cmp"
	"context"
	"time"
)

const (
	defaultDrainLinger = 500 * time.Millisecond // connections are still accepted for so long
	drainMinIdle       = 250 * time.Millisecond // a connection used so lately is likely to be used again meanwhile
	drainPollInterval  = 50 * time.Millisecond  // between two looks at idle connections
)

// DrainMargin is how much longer than Config.Linger and Config.MaxDeadline a drain may take.
const DrainMargin = 600 * time.Millisecond

// Drain ends the service without losing a request. Clients still connect for a while, and send on the connections that
// they have: so the listener stays open at first, and every connection closes with its next response, or at once if it
// is idle (a request that crosses this is sent again on a new one). It returns context.DeadlineExceeded if requests are
// open when its time is over.
func (f *Front) Drain() error {
	f.cfg.Log.Info("stopping", "held", f.openRequests.Load())
	f.ready.Store(false)
	f.draining.Store(true)
	a := f.acceptor
	// Connections that are used often close with their next response, which crosses no request; only idle ones are closed
	// under their clients at first.
	linger := cmp.Or(f.cfg.Linger, defaultDrainLinger)
	for begun := a.clock.Now(); a.clock.Now()-begun < linger; time.Sleep(drainPollInterval) {
		a.closeIdle(drainMinIdle)
	}
	err := a.close()
	for end := time.After(f.cfg.MaxDeadline + DrainMargin); ; {
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
			if f.openRequests.Load() > 0 { // otherwise no complete request came on those that are left
				err = context.DeadlineExceeded
			}
		}
		break
	}
	f.cfg.Log.Info("stopped", "held", f.openRequests.Load(), "connections", f.Counters())
	return err
}
