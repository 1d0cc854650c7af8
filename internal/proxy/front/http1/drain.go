package http1

import (
	"cmp"
	"context"
	"time"
)

const (
	defaultDrainLinger = 500 * time.Millisecond // how long connections are still accepted
	drainMinIdle       = 250 * time.Millisecond // a more recently used connection is likely to be used again meanwhile
	drainPollInterval  = 50 * time.Millisecond  // time between two checks for idle connections
)

// DrainMargin is how much longer a drain may take than Config.Linger and Config.MaxDeadline together.
const DrainMargin = 600 * time.Millisecond

// Drain stops the front without losing a request. For Config.Linger the listener stays open, because clients still
// connect and still send on open connections. Each connection closes with its next response, or at once if it is
// idle; a client whose request crosses such a close sends the request again on a new connection. Drain returns
// context.DeadlineExceeded if requests are still open when its time is over.
func (f *Front) Drain() error {
	f.cfg.Log.Info("stopping", "held", f.openRequests.Load())
	f.ready.Store(false)
	f.draining.Store(true)
	a := f.acceptor
	// A connection in frequent use closes with its next response, which crosses no request. So until the listener
	// closes, only connections idle for drainMinIdle are closed without a response.
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
			if f.openRequests.Load() > 0 { // otherwise the connections that are left never sent a complete request
				err = context.DeadlineExceeded
			}
		}
		break
	}
	f.cfg.Log.Info("stopped", "held", f.openRequests.Load(), "connections", f.Counters())
	return err
}
