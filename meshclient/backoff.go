package meshclient

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// minBackoff and maxBackoff bound the wait between two attempts. It protects overloaded machines
// from callers that come back at once.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff is the wait between attempts: it doubles from minBackoff to max, with jitter.
type backoff struct{ next, max time.Duration }

func newBackoff(limit time.Duration) *backoff {
	return &backoff{next: min(minBackoff, limit), max: limit}
}

// delay returns the next wait: retryAfter where that is longer, as far as max.
func (b *backoff) delay(retryAfter time.Duration) time.Duration {
	half := b.next / 2
	b.next = min(2*b.next, b.max)
	return max(half+rand.N(half+1), min(retryAfter, b.max))
}

// sleep waits for the next delay. When ctx ends before, it returns the cause.
func (b *backoff) sleep(ctx context.Context, retryAfter time.Duration) error {
	timer := time.NewTimer(b.delay(retryAfter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "the time ran out")
	}
}
