package watch

import (
	"sync"
	"time"
)

// watchdog notices that a watch is silent. It has the Client look for another member
// at once, and gives the watch up only after slowLinkTimeout: if no other member
// answers sooner, the sidecar's own link is slow. It is safe for concurrent use.
type watchdog struct {
	lookElsewhere func()
	giveUp        func()

	// mu guards the fields below.
	mu       sync.Mutex
	timer    *time.Timer
	lastByte time.Time
	limit    time.Duration // of silence, before another member is looked for
	stopped  bool
}

// newWatchdog starts a watchdog of a watch that is about to be opened: a member that
// does not answer at all is noticed sooner than one that falls silent.
func newWatchdog(lookElsewhere, giveUp func()) *watchdog {
	d := &watchdog{
		lookElsewhere: lookElsewhere, giveUp: giveUp, lastByte: time.Now(), limit: probeTimeout,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(d.limit, d.expire)
	return d
}

// expire is called when the limit may be over.
func (d *watchdog) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	silence := time.Since(d.lastByte)
	switch {
	case d.stopped:
	case silence < d.limit: // a byte has arrived meanwhile
		d.timer.Reset(d.limit - silence)
	case silence >= slowLinkTimeout:
		d.giveUp()
	default:
		d.lookElsewhere()
		d.timer.Reset(min(d.limit, slowLinkTimeout-silence))
	}
}

// reset records that a byte has arrived, or that waiting for the next one begins.
func (d *watchdog) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastByte, d.limit, d.stopped = time.Now(), idleTimeout, false
	d.timer.Reset(d.limit)
}

// stop ends the watch over silence until the next reset.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
