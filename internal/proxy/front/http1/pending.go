package http1

import (
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

// lateReplyDelay is when the replies to cancelled requests are looked at once more: one that crossed the cancellation
// may hold a server's connection. The engine learns of the cancellation in far less.
const lateReplyDelay = 5 * time.Second

// pendingRequest is a request that is accepted and has no response yet.
type pendingRequest struct {
	target       *Target
	metrics      *metrics.Class
	sharedLimits *SharedLimits // nil: there are none
	bodyBytes    int64         // of its body, as far as it is buffered
	id           policy.RequestID
	reply        chan call.Answer

	reservedAtTarget bool
	reserved         bool // at the target and in the shared limits
}

// beginRead reserves a place for reading its body, and returns whether there was one.
func (p *pendingRequest) beginRead() bool {
	return p.sharedLimits == nil || (*p.sharedLimits).BeginRead()
}

// endRead releases that place.
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
// enough. release has to be called either way.
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

// release releases what reserve has reserved.
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

// discardReplies closes what has come for cancelled requests, and what comes within lateReplyDelay.
func discardReplies(replies []chan call.Answer) {
	discardPendingReplies(replies)
	time.AfterFunc(lateReplyDelay, func() { discardPendingReplies(replies) })
}

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
