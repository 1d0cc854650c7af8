package watch

import "context"

// waiter is a pending call of WaitApplied.
type waiter struct {
	version int64
	done    chan struct{} // closed once every live lease has applied the version
}

// WaitApplied waits until every live lease known to this core machine has applied the configuration version,
// and returns 0; if ctx ends before, it returns the number of leases that have not. A lease that expires
// during the wait is no longer waited for. While Syncing returns true, some leases may not be known here yet.
func (s *Server) WaitApplied(ctx context.Context, version int64) (behind int) {
	w := &waiter{version: version, done: make(chan struct{})}
	s.mu.Lock()
	if s.table.LaggingCount(version) == 0 {
		s.mu.Unlock()
		return 0
	}
	s.waiters[w] = struct{}{}
	s.mu.Unlock()
	select {
	case <-w.done:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
	return s.table.LaggingCount(version)
}

// wakeWaiters ends the calls of WaitApplied whose version has been applied by all live leases. s.mu is held.
func (s *Server) wakeWaiters() {
	for w := range s.waiters {
		if s.table.LaggingCount(w.version) == 0 {
			delete(s.waiters, w)
			close(w.done)
		}
	}
}
