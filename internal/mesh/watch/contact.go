package watch

import "time"

const (
	// maxContactAge is how old a core member's contact with a majority may be
	// when it hands out configuration or registry. It guards against a member
	// that is cut off and does not know it. It spans ten heartbeats of the
	// leader, and with what a sidecar needs to go elsewhere it stays under two
	// seconds: docs/design/control-contact.md adds it up.
	maxContactAge = 1200 * time.Millisecond
	// freshContactAge is how old the contact of another member may be for a
	// sidecar to move to it. It guards against sidecars that move to and fro
	// while the leader is replaced and all members' contacts age alike.
	freshContactAge = maxContactAge / 2
	// maxUnobserved is how long a member may go without looking at its contact
	// before it counts as having lost it. It guards against a process that was
	// frozen, and whose contact was renewed before it looked.
	maxUnobserved = time.Second
	// registryHold is how long, after contact was regained, registry news may
	// be held back for the other members' answers. It guards against old
	// instances told anew; it is bounded so that a member that answers nobody
	// holds up no start.
	maxRegistryDelay = time.Second
)

// Contact is what a core member knows of its contact with a majority: how long
// ago the majority is known to have confirmed the leader that the member
// follows, with all applied that was committed then.
type Contact struct {
	// OK is false if there is none, or if Age was over the bound.
	OK  bool          `json:"ok"`
	Age time.Duration `json:"age"`
}

// fresh says whether a sidecar may move to the member for its contact.
func (c Contact) fresh() bool { return c.OK && c.Age <= freshContactAge }

// contact looks at the contact now, and notes when it was lost or regained. It
// is called right before each act that needs it. The lock is not held.
func (s *Server) contact() Contact {
	age, ok := s.cfg.Contact()
	s.mu.Lock()
	defer s.mu.Unlock()
	contact := Contact{OK: ok && age <= maxContactAge, Age: age}
	s.observe(s.now(), contact.OK)
	return contact
}

// observe notes whether there is contact. The lock is held.
func (s *Server) observe(now time.Duration, ok bool) {
	lost := s.inContact && (!ok || now-s.observedAt > maxUnobserved)
	if lost {
		s.inContact = false
		s.wakeAll() // the sidecars are told to go elsewhere
	}
	s.observedAt = now
	if !ok || s.inContact {
		return
	}
	s.inContact = true
	s.syncingUntil = now + syncingPeriod
	if s.hadContact { // else nothing here is from before
		s.registryDelayedUntil = now + maxRegistryDelay
	}
	s.hadContact = true
	s.table.Expire(now)
	for _, n := range s.peers {
		n.requestSync()
	}
}

// holdsRegistry says whether registry news waits for what the other members
// answer, since what is held here may be from before the contact was lost: until
// each has answered or was not reached, and one has answered. The lock is held.
func (s *Server) delaysRegistry(now time.Duration) bool {
	if now >= s.registryDelayedUntil || len(s.peers) == 0 {
		return false
	}
	answered := false
	for _, n := range s.peers {
		if n.awaitingSync {
			return true
		}
		answered = answered || !n.needsSync
	}
	return !answered
}
