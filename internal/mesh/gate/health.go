package gate

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// meanSmoothing is the divisor of the moving mean service time: a new sample changes the mean by 1/meanSmoothing
	// of the difference. The value is large enough that one slow request does not cause all others to be rejected,
	// and small enough that a change shows within some dozens of requests.
	meanSmoothing = 16
	// assumedServiceTime is the expected service time before any attempt has ended, for all priorities.
	assumedServiceTime = time.Millisecond
	// shedDuration is how long the concurrency limit is lower by one slot after the upstream has rejected a request.
	shedDuration = 200 * time.Millisecond
	// maxConnectFailures is the number of consecutive connection failures after which the upstream is considered
	// unreachable.
	maxConnectFailures = 3
	// minUnreachable and maxUnreachable bound the time for which the upstream is considered unreachable. The time
	// doubles from the minimum to the maximum while connections fail, so that a dead upstream costs few attempts and
	// a restarted upstream is detected soon.
	minUnreachable = 100 * time.Millisecond
	maxUnreachable = 800 * time.Millisecond
)

// health holds what the gate derives from the endings of attempts at the current upstream.
type health struct {
	meanService      time.Duration                     // 0: unknown
	meanByPriority   [lowestPriority + 1]time.Duration // 0: unknown
	shedUntil        []time.Duration                   // times at which shed slots become available again, ascending
	connectFailures  int                               // consecutive connection failures
	unreachableFor   time.Duration
	unreachableUntil time.Duration
}

// record updates the state by the end of an attempt at an upstream with the given number of slots.
func (h *health) record(now time.Duration, r *request, ending policy.Ending, slots int) {
	switch ending {
	case policy.Served, policy.Errored, policy.InvalidRequest, policy.NotProcessed: // the upstream answered
		h.connectFailures, h.unreachableFor, h.unreachableUntil = 0, 0, 0
	}
	switch ending {
	case policy.NotSent, policy.GateRejected:
	case policy.NotProcessed:
		h.shedUntil = append(h.shedUntil, now+shedDuration)
		if len(h.shedUntil) > slots {
			h.shedUntil = slices.Delete(h.shedUntil, 0, 1)
		}
	case policy.NoConnection:
		h.recordConnectFailure(now, r)
	case policy.Cancelled:
		h.recordCancelled(r.priority, now-r.sentAt)
	default: // the attempt occupied its slot for this time
		updateMean(&h.meanService, now-r.sentAt)
		updateMean(&h.meanByPriority[r.priority], now-r.sentAt)
	}
}

// recordCancelled records an attempt that was cancelled after the given time. Without the cancellation the attempt
// would have taken longer, so the time is counted only where it raises a mean: callers that leave early must not make
// the upstream look faster than it is.
func (h *health) recordCancelled(priority int, after time.Duration) {
	if after > h.meanService {
		updateMean(&h.meanService, after)
	}
	if after > h.meanByPriority[priority] {
		updateMean(&h.meanByPriority[priority], after)
	}
}

// updateMean adds a service time to an exponential moving mean.
func updateMean(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += (took - *mean) / meanSmoothing
}

// recordConnectFailure counts a failed connection. After maxConnectFailures consecutive failures the upstream is
// considered unreachable for unreachableFor. Requests are sent to the upstream again afterwards; the first further
// connection failure makes the upstream unreachable for twice as long.
func (h *health) recordConnectFailure(now time.Duration, r *request) {
	if r.sentAt < h.unreachableUntil {
		return // the attempt was sent before the upstream became unreachable
	}
	h.connectFailures++
	if h.connectFailures >= maxConnectFailures {
		h.unreachableFor = min(max(2*h.unreachableFor, minUnreachable), maxUnreachable)
		h.unreachableUntil = now + h.unreachableFor
	}
}

// shedSlots returns the number of slots that are unavailable because the upstream has rejected requests within the last
// shedDuration.
func (h *health) shedSlots(now time.Duration) int {
	h.shedUntil = slices.DeleteFunc(h.shedUntil, func(until time.Duration) bool { return now >= until })
	return len(h.shedUntil)
}

// expectedServiceTime returns how long a request of a priority is expected to run.
func (h *health) expectedServiceTime(priority int) time.Duration {
	return cmp.Or(h.meanByPriority[priority], h.meanService, assumedServiceTime)
}
