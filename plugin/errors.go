package plugin

import (
	"fmt"
	"net/http"
	"time"
)

// RefusedError reports that a call was refused and is safe to repeat. A call with an effect is refused only if no
// attempt of it has run or will run. An idempotent call may also be refused after attempts that failed.
type RefusedError struct {
	RetryAfter time.Duration // recommended delay before a repeat; 0: no recommendation
	Reason     string
}

// Error returns the reason for the refusal and the recommended delay.
func (e *RefusedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("caperarch: refused: %s; retry after %v", e.Reason, e.RetryAfter.Round(time.Millisecond))
	}
	return "caperarch: refused: " + e.Reason
}

// Temporary reports that a repeat of the call may succeed. It is always true.
func (e *RefusedError) Temporary() bool { return true }

// FailedError reports that a call failed. The call may or may not have run.
type FailedError struct {
	TimedOut bool // no answer was received before the deadline
	// Status, Header and Body are the last response of a server. Status is 0 if no server responded.
	Status int
	Header http.Header
	Body   []byte
	// Cause is the error of the caller's context if the context ended first, else nil.
	Cause error
}

// Error reports that the call may have run, and why it has no answer.
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

// Unwrap returns Cause, so that errors.Is finds context.Canceled and context.DeadlineExceeded if the context ended.
func (e *FailedError) Unwrap() error { return e.Cause }

// Timeout reports whether no answer was received before the deadline.
func (e *FailedError) Timeout() bool { return e.TimedOut }

// InvalidError reports that a call or a configuration is not valid. Nothing was sent.
type InvalidError struct {
	Field  string // field of Request or Config, or name of a header
	Reason string
}

// Error returns the name of the invalid field and the reason.
func (e *InvalidError) Error() string { return "caperarch: " + e.Field + ": " + e.Reason }
