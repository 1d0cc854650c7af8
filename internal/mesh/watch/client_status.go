package watch

import "time"

// Status is what a Client knows of its sessions with core machines, for the log.
type Status struct {
	// Member is the address of the member that the session is with, empty while
	// there is none. Connected says that it serves the watch.
	Member    string
	Connected bool
	// FrameAge is the time since the last frame was complete, ApplyingFor the time
	// for which one is being applied, 0 while none is.
	FrameAge    time.Duration
	ApplyingFor time.Duration
	// FailedSessions is how many sessions have failed since the configuration was
	// confirmed last, LastFailure why the last of them did, nil if none has.
	FailedSessions int
	LastFailure    error
}

// sessionRecord is what Status is made of. The Client's mu guards it.
type sessionRecord struct {
	frameAt        time.Time
	applyingSince  time.Time // zero: no frame is being applied
	failedSessions int
	lastFailure    error
}

// Status returns what is known of the sessions.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := Status{
		Member: c.current, Connected: c.connected,
		FailedSessions: c.record.failedSessions, LastFailure: c.record.lastFailure,
	}
	if !c.record.frameAt.IsZero() {
		status.FrameAge = time.Since(c.record.frameAt)
	}
	if !c.record.applyingSince.IsZero() {
		status.ApplyingFor = time.Since(c.record.applyingSince)
	}
	return status
}

// recordFailure records that a session failed.
func (c *Client) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.failedSessions++
	c.record.lastFailure = err
}

// recordFrame records that a frame is complete and being applied, until applied is
// called.
func (c *Client) recordFrame() (applied func()) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.frameAt, c.record.applyingSince = now, now
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.record.applyingSince = time.Time{}
	}
}
