package watch

import (
	"context"
	"time"
)

type waiter struct {
	version int64
	done    chan struct{}
}

// Behind counts the live leases whose sidecar has not applied the version.
func (s *Server) Behind(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MembersBehind(version)
}

// WaitApplied returns 0 as soon as every live lease known here has applied the
// version, or how many have not when ctx ends. A sidecar whose lease lapses is
// no longer waited for. While Syncing, leases may not be known here yet.
func (s *Server) WaitApplied(ctx context.Context, version int64) (behind int) {
	w := &waiter{version, make(chan struct{})}
	s.mu.Lock()
	if s.table.MembersBehind(version) == 0 {
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
	return s.table.MembersBehind(version)
}

// Publish pushes the configuration to the sidecars. The caller calls it when
// ConfigSource has something new.
func (s *Server) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push()
}

// spread wakes whom a change of the table concerns. It is called under the
// lock after each change.
func (s *Server) notifyChanged() {
	if s.table.Number() != s.lastPushed {
		s.push()
	}
	for w := range s.waiters {
		if s.table.MembersBehind(w.version) == 0 {
			delete(s.waiters, w)
			close(w.done)
		}
	}
}

// push wakes the watches now, or when pushGap is over. The lock is held.
func (s *Server) push() {
	s.lastPushed = s.table.Number()
	if s.pushScheduled {
		return
	}
	if wait := s.pushedAt + minPushInterval - s.now(); wait > 0 {
		s.pushScheduled = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pushScheduled = false
			s.wakeAll()
		})
		return
	}
	s.wakeAll()
}

func (s *Server) wakeAll() {
	s.pushedAt = s.now()
	for _, w := range s.sessions {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}
