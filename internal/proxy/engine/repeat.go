package engine

import (
	"math"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// noRepeatLimit is the repeatBy of an attempt that may be written at any time before its time-out.
const noRepeatLimit = time.Duration(math.MaxInt64)

// sentAttempt is an attempt that the module requested, whether or not it was sent.
type sentAttempt struct {
	handle   call.Attempt  // nil: the attempt was not sent
	sentAt   time.Duration // when the attempt was handed to the transport
	repeatBy time.Duration // time after which the transport must not write the request
	neverRan bool          // the ending proves that the request did not run at the server
}

// cancel cancels the attempt if it was sent.
func (a *sentAttempt) cancel() {
	if a.handle != nil {
		a.handle.Cancel()
	}
}

// repeatBy returns the time until which a request's next attempt may be written. Servers drop repeats of a deduplicated
// request only within its deduplication window. Between the module's decision to repeat and the write, time passes: the
// connection must open, the request may wait in queues, and the process may be suspended. Therefore the transport gets
// this time and compares it with its clock right before it writes.
func (e *Engine) repeatBy(r *request) time.Duration {
	classes := e.Config.Policy.Classes
	if r.policy.Class < 0 || r.policy.Class >= len(classes) {
		return noRepeatLimit // the module's configuration has no classes
	}
	class := classes[r.policy.Class]
	if class.Effect != policy.Deduplicated {
		return noRepeatLimit
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			return a.sentAt + class.RepeatTime()
		}
	}
	return noRepeatLimit
}

// recordEnding records whether an attempt's ending proves that the request did not run, and counts a repeat that was
// not written because its time had passed.
func (e *Engine) recordEnding(a *sentAttempt, ending policy.Ending) {
	a.neverRan = ending.NeverRan()
	if (ending == policy.NotSent || ending == policy.NoConnection) && e.now >= a.repeatBy {
		e.repeatsHeldBack.Add(1)
	}
}

// RepeatsHeldBack returns the number of repeats of deduplicated requests that were not written because their time had
// passed, for example as a connection was slow to open or the process was suspended. It counts since the engine was
// created, and does not block.
func (e *Engine) RepeatsHeldBack() int64 { return e.repeatsHeldBack.Load() }
