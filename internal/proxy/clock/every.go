package clock

import (
	"context"
	"time"
)

// Every calls do at intervals of d until ctx is done. It returns after the last call has returned.
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
