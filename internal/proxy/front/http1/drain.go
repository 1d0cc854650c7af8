package http1

import (
	"cmp"
	"context"
	"time"
)

const (
	lingerTime = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	restLeft   = 250 * time.Millisecond // a connection that was used so lately is likely to be used again meanwhile
	closeEvery = 50 * time.Millisecond  // between two looks at what rests
	exitMargin = 600 * time.Millisecond // more than the longest deadline that may pass until the end
)

// Drain ends the service without losing a request. Clients still connect for a while, and send on
// what they have: so the listener stays open at first, and every connection closes with its next
// answer, or at once if it is at rest (a request that crosses this is sent again on a new one).
func (f *Front) Drain() error {
	f.cfg.Log.Info("stopping", "held", f.held.Load())
	f.ready.Store(false)
	f.draining.Store(true)
	a := f.conns
	// What clients use often closes with its next answer, which crosses nothing; only what they let rest is closed under them at first.
	for begun := a.clock.Now(); a.clock.Now()-begun < cmp.Or(f.cfg.Linger, lingerTime); time.Sleep(closeEvery) {
		a.closeResting(restLeft)
	}
	err := a.close()
	for end := time.After(f.cfg.MaxDeadline + exitMargin); ; {
		a.closeResting(0)
		if a.counters().Open == 0 {
			break
		}
		select {
		case <-a.freed:
			continue
		case <-time.After(closeEvery):
			continue
		case <-end:
			if f.held.Load() > 0 { // what is left else are connections that nothing whole came on
				err = context.DeadlineExceeded
			}
		}
		break
	}
	f.cfg.Log.Info("stopped", "held", f.held.Load(), "connections", f.Counters())
	return err
}
