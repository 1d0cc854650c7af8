package admission

import "time"

// Budget bounds attempts after requests' first: within any Span they number at most Free plus Share for each request taken in that
// span. A Span of 0 is no bound. It is used from one goroutine.
type Budget struct {
	Span  time.Duration
	Free  float64
	Share float64

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
	return float64(b.more.since(from)+1) > b.Free+b.Share*float64(b.taken.since(from+1))
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
