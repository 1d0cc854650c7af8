package watch

import "time"

const (
	// maxContactAge is how old a core machine's contact with a majority may be
	// when it hands out configuration or registry. It guards against a member
	// that is partitioned and does not know it. It spans ten heartbeats of the
	// leader, and with the time that a sidecar needs to change members it stays
	// under two seconds: docs/design/control-contact.md adds it up.
	maxContactAge = 1200 * time.Millisecond
	// freshContactAge is how old the contact of another member may be for a
	// sidecar to move to it. It guards against sidecars that move back and forth
	// while the leader is replaced and all members' contacts age alike.
	freshContactAge = maxContactAge / 2
	// maxUnobserved is how long a member may go without checking its contact
	// before it counts as lost. It guards against a process that was frozen, and
	// whose contact was renewed before it checked.
	maxUnobserved = time.Second
	// maxRegistryDelay is how long, after contact was regained, registry changes
	// may wait for the other members' responses. It guards against reporting old
	// instances as new; it is bounded so that a member that answers nobody delays
	// no start.
	maxRegistryDelay = time.Second
)

// Contact is what a core machine knows of its contact with a majority: how long
// ago the majority is known to have confirmed the leader that the member
// follows, with everything applied that was committed then.
type Contact struct {
	// OK is false if there is none, or if Age was over the bound.
	OK  bool          `json:"ok"`
	Age time.Duration `json:"age"`
}

// fresh reports whether a sidecar may move to the member.
func (c Contact) fresh() bool { return c.OK && c.Age <= freshContactAge }

// contactState is a Server's contact when it was last checked.
type contactState uint8

const (
	// contactNever means that this process has not been in contact yet, so its
	// registry holds nothing from before a loss of contact.
	contactNever contactState = iota
	contactOK
	contactLost
)

// checkContact reads the current contact, and records its loss or return. It is
// called right before each act that needs contact, without s.mu held.
func (s *Server) checkContact() Contact {
	age, ok := s.cfg.Contact()
	s.mu.Lock()
	defer s.mu.Unlock()
	contact := Contact{OK: ok && age <= maxContactAge, Age: age}
	s.observeContact(s.now(), contact.OK)
	return contact
}

// observeContact records whether there is contact. s.mu is held.
func (s *Server) observeContact(now time.Duration, ok bool) {
	if s.contact == contactOK && (!ok || now-s.observedAt > maxUnobserved) {
		s.contact = contactLost
		s.wakeAll() // so that the sidecars learn of it and go to other members
	}
	s.observedAt = now
	if ok && s.contact != contactOK {
		s.gainContact(now)
	}
}

// gainContact starts syncing with all peers, since there is contact for the
// first time or again. s.mu is held.
func (s *Server) gainContact(now time.Duration) {
	s.syncingUntil = now + syncingPeriod
	if s.contact == contactLost {
		s.registryDelayedUntil = now + maxRegistryDelay
	}
	s.contact = contactOK
	s.table.Expire(now)
	for _, p := range s.peers {
		p.requestSync()
	}
}

// delaysRegistry reports whether registry changes wait for the responses of the
// other members, since the table may be from before the contact was lost: until
// each member has answered or failed, and one has answered. s.mu is held.
func (s *Server) delaysRegistry(now time.Duration) bool {
	if now >= s.registryDelayedUntil || len(s.peers) == 0 {
		return false
	}
	anyDone := false
	for _, p := range s.peers {
		if p.sync == syncPending {
			return true
		}
		anyDone = anyDone || p.sync == syncDone
	}
	return !anyDone
}
