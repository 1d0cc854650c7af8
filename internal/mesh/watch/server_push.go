package watch

import "time"

// minPushInterval is the least time between two pushes, so that a burst of
// changes makes few frames. A change that is made later than that after the last
// push is pushed at once.
const minPushInterval = 5 * time.Millisecond

// Publish pushes the configuration to the sidecars. The caller calls it when
// ConfigSource has a new version.
func (s *Server) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push()
}

// notifyChanged wakes whom a change of the table concerns. It is called after
// each change, with s.mu held.
func (s *Server) notifyChanged() {
	if s.table.Number() != s.lastPushed {
		s.push()
	}
	s.wakeWaiters()
}

// push wakes the watches now, or when minPushInterval is over. s.mu is held.
func (s *Server) push() {
	s.lastPushed = s.table.Number()
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

// wakeAll wakes all watches, each of which then sends what it has not sent yet.
// s.mu is held.
func (s *Server) wakeAll() {
	s.lastPushedAt = s.now()
	for _, open := range s.sessions {
		signal(open.wake)
	}
}
