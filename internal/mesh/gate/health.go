package gate

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// meanWeight is the weight of the past in the mean service time: high enough that one slow
	// request does not have all others rejected, low enough that a change shows within some dozens
	// of requests.
	meanWeight = 16
	// assumedServiceTime is the service time while nothing is known, the same for all priorities.
	assumedServiceTime = time.Millisecond
	// shedDuration is for how long an upstream that rejected a request counts one slot fewer.
	shedDuration = 200 * time.Millisecond
	// maxConnectFailures is how many connections in a row have to fail before the upstream counts as
	// unreachable.
	maxConnectFailures = 3
	// minUnreachable and maxUnreachable bound the time for which it does. It doubles from one to the
	// other while connections fail, so that a dead upstream costs little and a new one is found soon.
	minUnreachable = 100 * time.Millisecond
	maxUnreachable = 800 * time.Millisecond
)

// health is what the endings of attempts show of an upstream.
type health struct {
	meanService      time.Duration                     // 0: not known
	meanByPriority   [lowestPriority + 1]time.Duration // 0: not known
	shedUntil        []time.Duration                   // when each slot that was shed counts again, in order
	connectFailures  int                               // in a row
	unreachableFor   time.Duration
	unreachableUntil time.Duration
}

// record records the end of an attempt at an upstream with so many slots.
func (h *health) record(now time.Duration, r *request, ending policy.Ending, slots int) {
	switch ending {
	case policy.Served, policy.Errored, policy.InvalidRequest, policy.NotProcessed: // it answered
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
	default: // it was in a slot that long
		updateMean(&h.meanService, now-r.sentAt)
		updateMean(&h.meanByPriority[r.priority], now-r.sentAt)
	}
}

// recordCancelled records an attempt that was cancelled after a time. It would have taken longer, so it
// only counts where it raises a mean: callers that leave early must not make the upstream look fast.
func (h *health) recordCancelled(priority int, after time.Duration) {
	if after > h.meanService {
		updateMean(&h.meanService, after)
	}
	if after > h.meanByPriority[priority] {
		updateMean(&h.meanByPriority[priority], after)
	}
}

// updateMean adds a service time to a moving mean.
func updateMean(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += (took - *mean) / meanWeight
}

// recordConnectFailure counts a failed connection. After some in a row the upstream is unreachable
// for a while. Requests then go to it again, and the first of them that fails alike makes it
// unreachable for longer.
func (h *health) recordConnectFailure(now time.Duration, r *request) {
	if r.sentAt < h.unreachableUntil {
		return // sent before it became unreachable: nothing new
	}
	h.connectFailures++
	if h.connectFailures >= maxConnectFailures {
		h.unreachableFor = min(max(2*h.unreachableFor, minUnreachable), maxUnreachable)
		h.unreachableUntil = now + h.unreachableFor
	}
}

// shedSlots is how many slots the upstream has shed recently.
func (h *health) shedSlots(now time.Duration) int {
	h.shedUntil = slices.DeleteFunc(h.shedUntil, func(until time.Duration) bool { return now >= until })
	return len(h.shedUntil)
}

// expectedServiceTime is how long a request of a priority is expected to run.
func (h *health) expectedServiceTime(priority int) time.Duration {
	return cmp.Or(h.meanByPriority[priority], h.meanService, assumedServiceTime)
}
