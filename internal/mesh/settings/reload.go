package settings

import (
	"context"
	"os"
	"syscall"
	"time"
)

// lookEvery is the time between two looks at the file: it may change with no signal.
const lookEvery = time.Second

// ReloadSignals passes signals on, and one more SIGHUP for each change of the settings file that came without one. It ends with ctx.
func ReloadSignals(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
	out := make(chan os.Signal)
	go func() {
		defer close(out)
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		known := modified()
		for {
			var s os.Signal
			select {
			case <-ctx.Done():
				return
			case s = <-signals:
			case <-ticker.C:
				if now := modified(); now != known {
					s = syscall.SIGHUP
				}
			}
			if s == syscall.SIGHUP {
				known = modified()
			}
			if s == nil {
				continue
			}
			select {
			case out <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// modified is when the file was written last; a file that can't be looked at has not changed.
func modified() time.Time {
	info, err := os.Stat(os.Getenv(BootVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
