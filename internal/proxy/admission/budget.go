package admission

import (
	"time"
)

// Parts is among how many processes a budget is divided, at least one.
func Parts(of func() int) float64 {
	if of == nil {
		return 1
	}
	return float64(max(1, of()))
}

// Budget keeps count of what a Limit allows. It is used from one goroutine.
type Budget struct {
	Limit
	Parts       func() int // processes that Free is divided among; nil: one
	taken, more window
}

// Taken counts a request.
func (b *Budget) Taken(now time.Duration) {
	b.taken.since(now - b.Span)
	b.more.since(now - b.Span)
	b.taken = append(b.taken, now)
}

// Spent says whether there is no further attempt left. A request taken just a span ago no longer counts, an attempt
// made just then still does.
func (b *Budget) Spent(now time.Duration) bool {
	if b.Span == 0 {
		return false
	}
	from := now - b.Span
	return float64(b.more.since(from)+1) > b.Free/Parts(b.Parts)+b.Share*float64(b.taken.since(from+1))
}

// Tried counts an attempt after a request's first.
func (b *Budget) Tried(now time.Duration) { b.more = append(b.more, now) }

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
