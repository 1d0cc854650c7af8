package watch

import "time"

// minPushInterval is the minimum time between two pushes, so that a burst of changes is sent in few frames. A
// change that follows the last push by more than this time is pushed at once.
const minPushInterval = 5 * time.Millisecond

// Publish pushes the configuration to the sidecars. It must be called when ConfigSource has a new version.
func (s *Server) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push()
}

// notifyChanged pushes a change of the table to the watches and wakes the waiters whose condition is met. It
// is called after each operation that may have changed the table. s.mu is held.
func (s *Server) notifyChanged() {
	if s.table.Number() != s.lastPushedNumber {
		s.push()
	}
	s.wakeWaiters()
}

// push wakes the watches, at once or when minPushInterval has passed since the last push. s.mu is held.
func (s *Server) push() {
	s.lastPushedNumber = s.table.Number()
	if s.pushScheduled {
		return
	}
	wait := s.lastPushedAt + minPushInterval - s.now()
	if wait <= 0 {
		s.wakeAll()
		return
	}
	s.pushScheduled = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pushScheduled = false
		s.wakeAll()
	})
}

// wakeAll wakes all watches; each of them then sends its outstanding updates. s.mu is held.
func (s *Server) wakeAll() {
	s.lastPushedAt = s.now()
	for _, active := range s.sessions {
		signal(active.wake)
	}
}
