package quota

import "time"

// contact is the Allocator's record of a node that sends requests.
type contact struct {
	requestedAt time.Duration // when the last request was received
	members     int           // the number of members known to the node, or UnknownMembers

	// The lease of the node's floors.
	share               float64       // fraction of all floors
	leasedUntil         time.Duration // end of the lease of prepaid tenants' floors
	deferredLeasedUntil time.Duration // end of the lease of deferred tenants' floors
}

// record records a request. The caller has added the fill seconds up to now, because the lease counts from now.
func (c *contact) record(now time.Duration, epoch Epoch, request *Request) {
	c.requestedAt, c.members = now, request.Members
	lease := request.Lease
	if lease == nil || lease.Epoch != epoch {
		return
	}
	// The earliest time at which the request can have been sent: the limiter adds its elapsed time to the
	// clock of a response that spent some time in transit.
	sentAt := min(lease.Clock+lease.Elapsed, now)
	c.share = lease.Share
	c.leasedUntil = max(c.leasedUntil, sentAt+floorLeaseTTL)
	c.deferredLeasedUntil = max(c.deferredLeasedUntil, sentAt+contactTTL)
}

// expired reports whether neither the leases nor the reported number of members count any longer.
func (c *contact) expired(now time.Duration) bool { return now-c.requestedAt > contactTTL }
