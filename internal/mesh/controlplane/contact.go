package controlplane

import "time"

// readerRenewEvery is how often a core machine without a log renews at the one
// that it follows. It bounds what is added to the age of its contact, which its
// own sidecars go by.
const readerRenewEvery = 300 * time.Millisecond

// contact is how long ago a majority of the voters is known to have confirmed the leader that this
// machine follows, with all applied here that was committed then. Ok is false while that is
// unknown.
func (s *Server) contact() (age time.Duration, ok bool) {
	if node := s.node.Load(); node != nil {
		return 0, node.InContact()
	}
	client := s.news.Load()
	if client == nil {
		return 0, false
	}
	return client.ContactAge()
}
