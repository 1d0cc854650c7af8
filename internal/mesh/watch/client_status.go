package watch

import "time"

// Status describes a Client's sessions with core machines, for log entries.
type Status struct {
	// Member is the address of the core machine that the session is with, empty if there is no session.
	// Connected is true while that core machine serves the watch.
	Member    string
	Connected bool
	// FrameAge is the time since the last complete frame was received, 0 before the first one. ApplyingFor is
	// the time since the start of applying a frame, 0 while no frame is being applied.
	FrameAge    time.Duration
	ApplyingFor time.Duration
	// FailedSessions is the number of sessions that have failed since the configuration was last confirmed.
	// LastFailure is the reason of the last of these failures, nil if there is none.
	FailedSessions int
	LastFailure    error
}

// sessionStats holds the data of Status. The Client's mu guards it.
type sessionStats struct {
	frameAt        time.Time
	applyingSince  time.Time // zero while no frame is being applied
	failedSessions int
	lastFailure    error
}

// Status returns the current state of the sessions.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := Status{
		Member: c.current, Connected: c.connected,
		FailedSessions: c.sessions.failedSessions, LastFailure: c.sessions.lastFailure,
	}
	if !c.sessions.frameAt.IsZero() {
		status.FrameAge = time.Since(c.sessions.frameAt)
	}
	if !c.sessions.applyingSince.IsZero() {
		status.ApplyingFor = time.Since(c.sessions.applyingSince)
	}
	return status
}

func (c *Client) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.failedSessions++
	c.sessions.lastFailure = err
}

// startFrame records that a complete frame was received and is being applied. The caller calls finishFrame
// once the frame is applied.
func (c *Client) startFrame() (finishFrame func()) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.frameAt, c.sessions.applyingSince = now, now
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sessions.applyingSince = time.Time{}
	}
}
