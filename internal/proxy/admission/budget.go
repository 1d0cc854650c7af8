package admission

import (
	"time"
)

// ProcessCount is among how many processes a budget is divided, at least one.
func ProcessCount(of func() int) float64 {
	if of == nil {
		return 1
	}
	return float64(max(1, of()))
}

// RetryBudget keeps count of what a Limit allows. It is used from one goroutine.
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

// Exhausted says whether there is no further attempt left. A request taken just a span ago no longer counts, an attempt
// made just then still does.
func (b *RetryBudget) Exhausted(now time.Duration) bool {
	if b.Span == 0 {
		return false
	}
	from := now - b.Span
	return float64(b.retries.since(from)+1) > b.Free/ProcessCount(b.Processes)+b.Share*float64(b.requests.since(from+1))
}

// RecordRetry counts an attempt after a request's first.
func (b *RetryBudget) RecordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// window counts what happened lately.
type window []time.Duration

// since drops what happened before t and counts the rest.
func (w *window) since(t time.Duration) int {
	n := 0
	for n < len(*w) && (*w)[n] < t {
		n++
	}
	*w = (*w)[n:]
	return len(*w)
}
