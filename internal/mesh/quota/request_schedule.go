package quota

import "time"

const (
	// minRequestInterval is the shortest time between two requests for tokens. It guards the leader
	// against a request of its own for each client's request.
	minRequestInterval = 60 * time.Millisecond
	// scarceRequestInterval is the time between two requests when only tenants run short whose last
	// demand wasn't granted in full. It guards the leader against many sidecars under pressure, where
	// asking sooner brings no more.
	scarceRequestInterval = 120 * time.Millisecond
	// renewInterval is the longest time between two requests. It is about half of limiterFloorLease,
	// so that one late request doesn't cost a sidecar's share.
	renewInterval = 250 * time.Millisecond
	// idleInterval is the longest time between two requests where all tenants are deferred and no demand
	// is throttled. It guards the leader against many sidecars.
	idleInterval = time.Second
)

// requestSchedule decides when a LocalLimiter requests tokens, and knows whether a request is in flight.
type requestSchedule struct {
	hasPrepaid bool // some tenant is granted tokens: the floors' lease is renewed

	requestedAt      time.Duration // the last request
	hasRequested     bool
	awaitingResponse bool          // the last request has no response yet
	unansweredSince  time.Duration // when the first unanswered request was made, if awaitingResponse

	// Since the last request:
	urgent    bool // a tenant runs short, or has much to report
	scarce    bool // a tenant runs short whose last demand wasn't granted in full
	throttled bool // a throttled tenant has something to report
	leaseDue  bool // the Allocator can take a floor lease, and has none
}

// request begins a request.
func (s *requestSchedule) request(now time.Duration) {
	if !s.awaitingResponse {
		s.unansweredSince = now
	}
	s.requestedAt, s.hasRequested, s.awaitingResponse = now, true, true
	s.urgent, s.scarce, s.throttled, s.leaseDue = false, false, false, false
}

// next is when the next request is due.
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
