package watch

import "context"

// waiter is a call of WaitApplied that waits.
type waiter struct {
	version int64
	done    chan struct{} // closed once the version is applied everywhere
}

// WaitApplied returns 0 as soon as every live lease known here has applied the
// version, or the number of those that have not when ctx ends. A sidecar whose
// lease expires is no longer waited for. While Syncing, some leases may not be
// known here yet.
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

// wakeWaiters ends the calls of WaitApplied whose version is applied. s.mu is
// held.
func (s *Server) wakeWaiters() {
	for w := range s.waiters {
		if s.table.LaggingCount(w.version) == 0 {
			delete(s.waiters, w)
			close(w.done)
		}
	}
}
