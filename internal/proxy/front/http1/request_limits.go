package http1

import "time"

const (
	// maxHeadBytes is the upper limit of HeadBytes, whatever is configured: the head of each request being read is
	// held in memory.
	maxHeadBytes = 1 << 20
	// minHeadBytes is the lower limit of HeadBytes: no request fits into less.
	minHeadBytes = 256
)

// RequestLimits are limits on the size of requests and on the time that clients may take. For a field of 0 the
// front's own limit applies.
type RequestLimits struct {
	HeadBytes int64         // size of a head's fields; the request line may have the same size again
	BodyBytes int64         // size of a chunked body; the Dialect rejects long bodies with Content-Length by their head
	HeadTime  time.Duration // time from the first byte of a head to its last
	// IdleTime is how long a connection may be idle between two requests, or before the first one. A shorter value
	// takes effect when a connection next becomes idle, a longer one at once: a client may rely on the old value or
	// on the new one.
	IdleTime time.Duration
}

// headBytes returns the limit for the parser of heads; 0: the parser's own limit.
func (l RequestLimits) headBytes() int {
	if l.HeadBytes <= 0 {
		return 0
	}
	return int(min(max(l.HeadBytes, minHeadBytes), maxHeadBytes))
}

// requestLimits returns the current limits.
func (f *Front) requestLimits() RequestLimits {
	if f.cfg.RequestLimits == nil {
		return RequestLimits{}
	}
	return f.cfg.RequestLimits()
}
