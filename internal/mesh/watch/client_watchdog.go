package watch

import (
	"sync"
	"time"
)

// watchdog detects that a watch receives no bytes. It calls onSilence after the limit, so that the Client
// searches for another core machine at once, and onTimeout only after slowLinkTimeout: if no other core
// machine responds sooner, the sidecar's own link is slow. It is safe for concurrent use.
type watchdog struct {
	onSilence func()
	onTimeout func()

	// mu guards the fields below.
	mu       sync.Mutex
	timer    *time.Timer
	lastByte time.Time
	limit    time.Duration // time without a byte until onSilence is called
	stopped  bool
}

// newWatchdog starts the watchdog of a watch that is about to be opened. Its first limit is shorter than
// idleTimeout, so a core machine that does not respond at all is detected sooner than one that falls silent
// later.
func newWatchdog(onSilence, onTimeout func()) *watchdog {
	d := &watchdog{
		onSilence: onSilence, onTimeout: onTimeout, lastByte: time.Now(), limit: probeTimeout,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(d.limit, d.expire)
	return d
}

// expire runs when the timer fires. It calls onSilence or onTimeout if the limit has passed without a byte,
// and starts the timer again unless the watchdog is stopped or the watch has timed out.
func (d *watchdog) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	silence := time.Since(d.lastByte)
	switch {
	case d.stopped:
	case silence < d.limit: // a byte arrived after the timer was set
		d.timer.Reset(d.limit - silence)
	case silence >= slowLinkTimeout:
		d.onTimeout()
	default:
		d.onSilence()
		d.timer.Reset(min(d.limit, slowLinkTimeout-silence))
	}
}

// reset restarts the watchdog after a byte has arrived, or when the wait for the next frame begins.
func (d *watchdog) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastByte, d.limit, d.stopped = time.Now(), idleTimeout, false
	d.timer.Reset(d.limit)
}

// stop turns the watchdog off until the next reset.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
