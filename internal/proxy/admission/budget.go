package admission

import "time"

// ProcessCount is how many processes a budget is divided among, at least one; a nil function means one.
func ProcessCount(count func() int) float64 {
	if count == nil {
		return 1
	}
	return float64(max(1, count()))
}

// RetryBudget counts the requests and retries that a RetryLimit allows. It is used from one goroutine.
type RetryBudget struct {
	RetryLimit
	Processes         func() int // processes that Free is divided among; nil: one
	requests, retries window
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.requests.since(now - b.Span)
	b.retries.since(now - b.Span)
	b.requests = append(b.requests, now)
}

// Exhausted says whether no retry is left. A request exactly one span ago no longer counts, a retry of then still does.
func (b *RetryBudget) Exhausted(now time.Duration) bool {
	if b.Span == 0 {
		return false
	}
	from := now - b.Span
	return float64(b.retries.since(from)+1) > b.Free/ProcessCount(b.Processes)+b.Share*float64(b.requests.since(from+1))
}

// RecordRetry counts an attempt after a request's first.
func (b *RetryBudget) RecordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// window holds the times of recent events, in order.
type window []time.Duration

// since drops the events before t and counts the others.
func (w *window) since(t time.Duration) int {
	n := 0
	for n < len(*w) && (*w)[n] < t {
		n++
	}
	*w = (*w)[n:]
	return len(*w)
}
