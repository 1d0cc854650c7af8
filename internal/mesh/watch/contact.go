package watch

import "time"

const (
	// maxContactAge is the maximum age of a core machine's contact with a majority at which it sends
	// configuration or registry. It covers a machine that is partitioned and has not detected it. It spans
	// ten heartbeats of the leader; together with the time that a sidecar needs to move to another core
	// machine it stays under two seconds, as docs/design/control-contact.md derives.
	maxContactAge = 1200 * time.Millisecond
	// freshContactAge is the maximum age of the contact of a core machine to which a sidecar moves. The
	// stricter bound keeps sidecars from moving back and forth while the leader is replaced and the contact
	// of all core machines ages alike.
	freshContactAge = maxContactAge / 2
	// maxContactCheckGap is the longest time between two checks of the contact; after a longer gap the
	// contact counts as lost. It covers a process that was frozen and whose contact was renewed before its
	// first check.
	maxContactCheckGap = time.Second
	// maxRegistryDelay is how long registry changes are held back after contact was regained, to wait for the
	// responses of the other core machines. Without the wait, the core machine would report outdated
	// instances as current. The wait is bounded so that a core machine that responds to nobody delays no
	// start.
	maxRegistryDelay = time.Second
)

// Contact describes a core machine's contact with a majority of the core machines. Age is the time since a
// majority is known to have confirmed the leader that the machine follows, with everything applied that was
// committed at that time.
type Contact struct {
	// OK is false if there is no contact, or if Age exceeded maxContactAge.
	OK  bool          `json:"ok"`
	Age time.Duration `json:"age"`
}

// fresh reports whether the contact is recent enough for a sidecar to move to the core machine.
func (c Contact) fresh() bool { return c.OK && c.Age <= freshContactAge }

// contactState is the result of a Server's last check of its contact with a majority.
type contactState uint8

const (
	// contactNever means that this process has never been in contact, so its registry holds nothing from
	// before a loss of contact.
	contactNever contactState = iota
	contactOK
	contactLost
)

// checkContact reads the current contact and records whether it was lost or regained. It must be called right
// before each act that needs contact, without s.mu held.
func (s *Server) checkContact() Contact {
	age, ok := s.cfg.Contact()
	s.mu.Lock()
	defer s.mu.Unlock()
	contact := Contact{OK: ok && age <= maxContactAge, Age: age}
	s.observeContact(s.now(), contact.OK)
	return contact
}

// observeContact updates the contact state: ok is whether there is contact now. s.mu is held.
func (s *Server) observeContact(now time.Duration, ok bool) {
	if s.contact == contactOK && (!ok || now-s.contactCheckedAt > maxContactCheckGap) {
		s.contact = contactLost
		s.wakeAll() // wake the watches, so that the sidecars learn of the loss and move to other core machines
	}
	s.contactCheckedAt = now
	if ok && s.contact != contactOK {
		s.gainContact(now)
	}
}

// gainContact starts syncing with all peers after contact was gained for the first time or regained. s.mu is
// held.
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

// delaysRegistry reports whether registry changes are held back because the table may date from before
// contact was lost. They are held back until each peer has responded or failed and at least one has
// responded, or until registryDelayedUntil. s.mu is held.
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
