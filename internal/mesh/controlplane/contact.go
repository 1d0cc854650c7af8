package controlplane

import "time"

// contact is how long ago a majority of the voters is known to have confirmed the leader that this
// machine follows, with all applied here that was committed then. Ok is false while that is
// unknown.
func (s *Server) contact() (age time.Duration, ok bool) {
	node := s.node.Load()
	if node == nil {
		return 0, false
	}
	return node.Contact()
}

// inContact says whether what is known here was confirmed by a majority of late.
func (s *Server) inContact() bool {
	node := s.node.Load()
	return node != nil && node.InContact()
}
