package http1

import "time"

const (
	// maxHeadBytes bounds HeadBytes, whatever is configured: a head is held in memory for each connection that is being
	// read.
	maxHeadBytes = 1 << 20
	// minHeadBytes is the smallest HeadBytes that takes effect: less fits no request.
	minHeadBytes = 256
)

// RequestLimits bound what clients may send, and how long they may take. A field of 0 is the front's own bound.
type RequestLimits struct {
	HeadBytes int64         // of a head's fields; its request line may have as many
	BodyBytes int64         // of a body in chunks; one of a known length is for the Dialect to reject by its head
	HeadTime  time.Duration // from the first byte of a head to its last
	// IdleTime is how long a connection may be idle between two requests, or before the first one. A shorter one takes
	// effect when a connection becomes idle the next time, a longer one at once: its client may know either.
	IdleTime time.Duration
}

// headBytes is the limit that heads are parsed with.
func (l RequestLimits) headBytes() int {
	if l.HeadBytes <= 0 {
		return 0
	}
	return int(min(max(l.HeadBytes, minHeadBytes), maxHeadBytes))
}

// requestLimits are the current limits.
func (f *Front) requestLimits() RequestLimits {
	if f.cfg.RequestLimits == nil {
		return RequestLimits{}
	}
	return f.cfg.RequestLimits()
}
