package http1

import (
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// lateReplyDelay is the delay of the second check for replies to cancelled requests. A reply that crossed the
// cancellation may hold a connection to a server. The engine processes a cancellation in far less time.
const lateReplyDelay = 5 * time.Second

// pendingRequest is a request that passed its checks and has no response yet.
type pendingRequest struct {
	target       *Target
	metrics      *metrics.Class
	sharedLimits *SharedLimits // nil: no shared limits
	bodyBytes    int64         // buffered bytes of the body
	id           policy.RequestID
	reply        chan call.Answer

	reservedAtTarget bool // capacity is reserved at the target
	reserved         bool // capacity is reserved at the target and in the shared limits
}

// beginRead reserves a place in the shared limits for reading the body, and returns whether a place was free.
func (p *pendingRequest) beginRead() bool {
	return p.sharedLimits == nil || (*p.sharedLimits).BeginRead()
}

// endRead releases the place that beginRead reserved.
func (p *pendingRequest) endRead() {
	if p.sharedLimits != nil {
		(*p.sharedLimits).EndRead()
	}
}

// hasCapacity returns whether reserve would succeed now.
func (p *pendingRequest) hasCapacity() bool {
	return p.target.hasCapacity(1, p.bodyBytes) && (p.sharedLimits == nil || (*p.sharedLimits).HasCapacity(p.bodyBytes))
}

// reserve reserves capacity for the request at its target and in the shared limits, and returns whether there was
// enough. The caller must call release in both cases.
func (p *pendingRequest) reserve(f *Front) bool {
	p.reservedAtTarget = p.target.reserve(p.bodyBytes)
	if !p.reservedAtTarget || p.sharedLimits != nil && !(*p.sharedLimits).Reserve(p.bodyBytes) {
		return false
	}
	p.reserved = true
	f.openRequests.Add(1)
	p.metrics.RequestStarted()
	return true
}

// release releases the capacity that reserve reserved.
func (p *pendingRequest) release(f *Front) {
	if p.reserved {
		p.metrics.RequestFinished()
		f.openRequests.Add(-1)
		if p.sharedLimits != nil {
			(*p.sharedLimits).Release(p.bodyBytes)
		}
	}
	if p.reservedAtTarget {
		p.target.release(p.bodyBytes)
	}
}

// discardReplies closes the streamed replies to cancelled requests: those already received, and those received within
// lateReplyDelay.
func discardReplies(replies []chan call.Answer) {
	discardPendingReplies(replies)
	time.AfterFunc(lateReplyDelay, func() { discardPendingReplies(replies) })
}

// discardPendingReplies closes the streamed replies that are already received.
func discardPendingReplies(replies []chan call.Answer) {
	for _, reply := range replies {
		select {
		case a := <-reply:
			if a.Stream != nil {
				a.Stream.Close()
			}
		default:
		}
	}
}
