package clock

import (
	"context"
	"time"
)

// Every calls do every d until ctx ends. It returns when the last call has.
func Every(ctx context.Context, d time.Duration, do func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
