package quota

import "time"

// legacyFloorLeaseTTL is how long the floors of a limiter count as leased at an Allocator of an earlier release, which
// sends no clock, after a request that was answered. It includes the time that the request may be in transit.
const legacyFloorLeaseTTL = 600 * time.Millisecond

// leaseState is the state of the lease by which a LocalLimiter lends the fill of its floors to the Allocator.
type leaseState struct {
	leasedUntil         time.Duration // floors of prepaid tenants don't fill before
	deferredLeasedUntil time.Duration // floors of deferred tenants don't fill before
	leaseSent           bool          // the last request carried a lease

	// The last response with a clock, which the next lease repeats.
	epoch       Epoch
	clock       time.Duration
	respondedAt time.Duration
	hasClock    bool
}

// newLeaseState returns the state of a process that has started by now. The preceding process, of any release,
// may have leased its floors to the Allocator just before it ended; the floors don't fill until that lease has
// expired.
func newLeaseState(now time.Duration) leaseState {
	return leaseState{leasedUntil: now + legacyFloorLeaseTTL, deferredLeasedUntil: now + contactTTL}
}

// renew leases the floors from now on, and returns the lease for a request that is sent immediately. It returns
// nil in three cases: if the last request was not answered, so that the floors fill where no response arrives;
// if no clock of the Allocator is known, as the Allocator couldn't determine the age of the lease; and if the
// number of members is unknown.
func (s *leaseState) renew(now time.Duration, lastUnanswered bool, members int) *FloorLease {
	s.leaseSent = !lastUnanswered && s.hasClock && members != UnknownMembers
	if !s.leaseSent {
		return nil
	}
	s.extend(now)
	return &FloorLease{
		Share: 1 / float64(members), Epoch: s.epoch, Clock: s.clock, Elapsed: now - s.respondedAt,
	}
}

// recordResponse records the response to the request that was sent at requestedAt. The floors don't fill after
// that time even if the request carried no lease, because an Allocator of an earlier release assumes a lease.
// The result reports whether a lease should be sent that this Allocator doesn't have.
func (s *leaseState) recordResponse(now, requestedAt time.Duration, response *Response) (due bool) {
	due = !s.leaseSent || s.epoch != response.Epoch
	if response.Clock == 0 {
		s.leasedUntil = max(s.leasedUntil, requestedAt+legacyFloorLeaseTTL)
	}
	s.extend(requestedAt)
	s.epoch, s.clock, s.respondedAt = response.Epoch, response.Clock, now
	s.hasClock = response.Clock > 0
	return due && s.hasClock
}

// extend extends the leases to their full duration after from.
func (s *leaseState) extend(from time.Duration) {
	s.leasedUntil = max(s.leasedUntil, from+floorLeaseTTL)
	s.deferredLeasedUntil = max(s.deferredLeasedUntil, from+contactTTL)
}
