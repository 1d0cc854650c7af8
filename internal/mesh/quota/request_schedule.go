package quota

import "time"

const (
	// minRequestInterval is the shortest time between two requests to the Allocator. It prevents a request to
	// the leader for each client request.
	minRequestInterval = 60 * time.Millisecond
	// scarceRequestInterval is the time between two requests if the only tenants short of tokens are tenants
	// whose last demand was not granted in full. It reduces the load on the leader from many sidecars of an
	// overloaded tenant, where earlier requests bring no more tokens.
	scarceRequestInterval = 120 * time.Millisecond
	// renewInterval is the longest time between two requests if a tenant is prepaid. It is about half of
	// floorLeaseTTL, so a single late request doesn't interrupt the lease of a sidecar's floors.
	renewInterval = 250 * time.Millisecond
	// idleInterval is the longest time between two requests if all tenants are deferred and none of them is
	// throttled. It reduces the load on the leader from many sidecars.
	idleInterval = time.Second
)

// requestSchedule determines when a LocalLimiter sends its requests, and tracks whether a request is in flight.
type requestSchedule struct {
	hasPrepaid bool // at least one tenant is prepaid, so the lease of the floors is renewed

	requestedAt      time.Duration // when the last request was sent
	hasRequested     bool
	awaitingResponse bool          // the last request has no response yet
	unansweredSince  time.Duration // when the first unanswered request was sent, if awaitingResponse

	// Conditions since the last request:
	urgent    bool // a tenant is short of tokens, or has reached its report threshold
	scarce    bool // a tenant is short of tokens whose last demand was not granted in full
	throttled bool // a throttled tenant has requests to report
	leaseDue  bool // the Allocator supports floor leases but has none from this limiter
}

// request records that a request is sent at now.
func (s *requestSchedule) request(now time.Duration) {
	if !s.awaitingResponse {
		s.unansweredSince = now
	}
	s.requestedAt, s.hasRequested, s.awaitingResponse = now, true, true
	s.urgent, s.scarce, s.throttled, s.leaseDue = false, false, false, false
}

// next returns when the next request is due.
func (s *requestSchedule) next(now time.Duration) time.Duration {
	switch {
	case !s.hasRequested:
		return now
	case s.urgent, s.leaseDue:
		return s.requestedAt + minRequestInterval
	case s.scarce:
		return s.requestedAt + scarceRequestInterval
	case s.hasPrepaid, s.throttled, s.awaitingResponse:
		return s.requestedAt + renewInterval
	}
	return s.requestedAt + idleInterval
}
