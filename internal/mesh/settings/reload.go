package settings

import (
	"context"
	"os"
	"syscall"
	"time"
)

// pollInterval is the time between two checks of the settings file for a change without a signal.
const pollInterval = time.Second

// ReloadSignals forwards signals, and adds a SIGHUP for each change of the settings file for which no SIGHUP was
// received. The caller must receive from the returned channel until ctx ends. The channel is closed then.
func ReloadSignals(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
	out := make(chan os.Signal)
	go forwardSignals(ctx, signals, out)
	return out
}

// forwardSignals sends the signals of ReloadSignals to out until ctx ends, and then closes out.
func forwardSignals(ctx context.Context, signals <-chan os.Signal, out chan<- os.Signal) {
	defer close(out)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastReported := modTime()
	for {
		var s os.Signal
		select {
		case <-ctx.Done():
			return
		case s = <-signals:
		case <-ticker.C:
			if modTime() != lastReported {
				s = syscall.SIGHUP
			}
		}
		if s == nil {
			continue
		}
		if s == syscall.SIGHUP {
			lastReported = modTime()
		}
		select {
		case out <- s:
		case <-ctx.Done():
			return
		}
	}
}

// modTime returns the modification time of the settings file, or the zero time if the file cannot be accessed.
func modTime() time.Time {
	info, err := os.Stat(os.Getenv(BootVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
