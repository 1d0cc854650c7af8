package http1

import (
	"context"
	"errors"
	"time"
)

const (
	lingerTime = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	exitMargin = 600 * time.Millisecond // more than the longest deadline that may pass until the end
)

// Drain ends the service without losing a request. Clients still connect for a while, and send on
// what they have: so the listener stays open at first, and every connection closes with its next
// answer, or at once if it is idle (a request that crosses this is sent again on a new one).
// Shutdown at once would close the listener under those that are still coming.
func (f *Front) Drain() error {
	end, cancel := context.WithTimeout(context.Background(), f.cfg.Longest+exitMargin)
	defer cancel()
	f.cfg.Log.Info("stopping", "held", f.held.Load())
	f.ready.Store(false)
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(lingerTime)
	err := f.server.Shutdown(end)
	f.cfg.Log.Info("stopped", "held", f.held.Load(), "connections", f.Counters())
	if errors.Is(err, context.DeadlineExceeded) && f.held.Load() == 0 {
		return nil // what is left are connections that nothing came on
	}
	return err
}
