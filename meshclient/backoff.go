package meshclient

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// minBackoff and maxBackoff bound the delay between two attempts. The delay protects overloaded machines from
// immediate retries.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff calculates the delays between attempts. They grow exponentially from minBackoff to max, with jitter.
type backoff struct{ next, max time.Duration }

// newBackoff returns a backoff whose delays are at most limit.
func newBackoff(limit time.Duration) *backoff {
	return &backoff{next: min(minBackoff, limit), max: limit}
}

// delay returns the next delay. If retryAfter is longer, delay returns retryAfter instead, but at most max.
func (b *backoff) delay(retryAfter time.Duration) time.Duration {
	half := b.next / 2
	b.next = min(2*b.next, b.max)
	return max(half+rand.N(half+1), min(retryAfter, b.max))
}

// sleep waits for the next delay. If ctx ends first, sleep returns the cause.
func (b *backoff) sleep(ctx context.Context, retryAfter time.Duration) error {
	timer := time.NewTimer(b.delay(retryAfter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "context ended before the next attempt")
	}
}
