package admission

import (
	"fmt"
	"math"
	"time"
)

// RetryLimit bounds the attempts after each request's first: within any Span there are at most Free of them, plus
// Share for each request of that Span.
type RetryLimit struct {
	Span  time.Duration // 0: no limit
	Free  float64
	Share float64
}

// Check returns an error that says why the limit is unusable.
func (l RetryLimit) Check() error {
	bad := func(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
	switch {
	case l.Span < 0 || bad(l.Free) || bad(l.Share):
		return fmt.Errorf("negative or no number: Span %v, Free %v or Share %v", l.Span, l.Free, l.Share)
	case l.Span == 0 && l != (RetryLimit{}):
		return fmt.Errorf("without a Span, Free %v and Share %v mean nothing", l.Free, l.Share)
	}
	return nil
}
