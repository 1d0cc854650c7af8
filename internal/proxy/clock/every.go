package clock

import (
	"context"
	"time"
)

// Every does something again and again, every d, until ctx ends.
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
