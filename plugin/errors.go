package plugin

import (
	"fmt"
	"net/http"
	"time"
)

// RefusedError is the answer 'refused': nothing of the call has run or will, and trying again is harmless.
type RefusedError struct {
	RetryAfter time.Duration // best after this; 0: no advice
	Reason     string
}

// Error says that the request never ran, and why.
func (e *RefusedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("caperarch: refused: %s; retry after %v", e.Reason, e.RetryAfter.Round(time.Millisecond))
	}
	return "caperarch: refused: " + e.Reason
}

// Temporary says that trying again may help.
func (e *RefusedError) Temporary() bool { return true }

// FailedError is the answer 'failed': nothing is promised about the call, it may have run.
type FailedError struct {
	TimedOut bool // no answer came in time
	// What the last server that answered said, where one did. Status is 0 where none did.
	Status int
	Header http.Header
	Body   []byte
	// Cause is the context's error where the caller gave up, else nil.
	Cause error
}

// Error says that the request may have run, and why it has no answer.
func (e *FailedError) Error() string {
	switch {
	case e.Cause != nil:
		return "caperarch: failed, the call may have run: " + e.Cause.Error()
	case e.Status != 0:
		return fmt.Sprintf("caperarch: failed, the call may have run: a server answered %d", e.Status)
	case e.TimedOut:
		return "caperarch: failed, the call may have run: no answer in time"
	}
	return "caperarch: failed, the call may have run"
}

// Unwrap is Cause: errors.Is finds context.Canceled and context.DeadlineExceeded where the caller gave up.
func (e *FailedError) Unwrap() error { return e.Cause }

// Timeout says whether the answer did not come in time.
func (e *FailedError) Timeout() bool { return e.TimedOut }

// InvalidError says that a call or a configuration can't be used as it is. Nothing was sent.
type InvalidError struct {
	Field  string // of Request or Config, or the header
	Reason string
}

// Error names the unusable field and the reason.
func (e *InvalidError) Error() string { return "caperarch: " + e.Field + ": " + e.Reason }
