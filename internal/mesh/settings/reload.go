package settings

import (
	"context"
	"os"
	"syscall"
	"time"
)

// pollInterval is the time between two looks at the settings file, which may change without a signal.
const pollInterval = time.Second

// ReloadSignals forwards signals, and adds a SIGHUP for each change of the settings file that came
// without one. The channel is closed once ctx ends; until then the caller receives from it.
func ReloadSignals(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
	out := make(chan os.Signal)
	go forwardSignals(ctx, signals, out)
	return out
}

// forwardSignals runs until ctx ends, and then closes out.
func forwardSignals(ctx context.Context, signals <-chan os.Signal, out chan<- os.Signal) {
	defer close(out)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	announced := modTime()
	for {
		var s os.Signal
		select {
		case <-ctx.Done():
			return
		case s = <-signals:
		case <-ticker.C:
			if modTime() != announced {
				s = syscall.SIGHUP
			}
		}
		if s == nil {
			continue
		}
		if s == syscall.SIGHUP {
			announced = modTime()
		}
		select {
		case out <- s:
		case <-ctx.Done():
			return
		}
	}
}

// modTime is when the settings file was last written; zero if it can't be looked at.
func modTime() time.Time {
	info, err := os.Stat(os.Getenv(BootVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
