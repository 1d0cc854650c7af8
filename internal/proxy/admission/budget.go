package admission

import "time"

// ProcessCount returns the number of processes that share a budget, at least 1. A nil count stands for one process.
func ProcessCount(count func() int) float64 {
	if count == nil {
		return 1
	}
	return float64(max(1, count()))
}

// RetryBudget enforces a RetryLimit over a sliding window of its Span. It is used from one goroutine.
type RetryBudget struct {
	RetryLimit
	Processes         func() int // returns the number of processes that Free is divided among; nil: one process
	requests, retries eventTimes
}

// RecordRequest records a request.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.requests.since(now - b.Span)
	b.retries.since(now - b.Span)
	b.requests = append(b.requests, now)
}

// Exhausted reports whether no retry is allowed. A retry exactly one Span ago counts, a request of that time does not.
func (b *RetryBudget) Exhausted(now time.Duration) bool {
	if b.Span == 0 {
		return false
	}
	from := now - b.Span
	return float64(b.retries.since(from)+1) > b.Free/ProcessCount(b.Processes)+b.Share*float64(b.requests.since(from+1))
}

// RecordRetry records an attempt after a request's first.
func (b *RetryBudget) RecordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// eventTimes holds the times of recent events, oldest first.
type eventTimes []time.Duration

// since removes the events before t and returns the number of events left.
func (e *eventTimes) since(t time.Duration) int {
	n := 0
	for n < len(*e) && (*e)[n] < t {
		n++
	}
	*e = (*e)[n:]
	return len(*e)
}
