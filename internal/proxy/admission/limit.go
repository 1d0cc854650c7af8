package admission

import (
	"fmt"
	"math"
	"time"
)

// RetryLimit bounds the retries, which are the attempts after the first attempt of each request. Within any period of
// length Span, at most Free retries are allowed, plus Share retries for each request of that period.
type RetryLimit struct {
	Span  time.Duration // 0: retries are not limited
	Free  float64
	Share float64
}

// Check returns an error if the limit is unusable.
func (l RetryLimit) Check() error {
	invalid := func(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
	switch {
	case l.Span < 0 || invalid(l.Free) || invalid(l.Share):
		return fmt.Errorf("retry limit: Span %v, Free %v or Share %v is negative, infinite or not a number",
			l.Span, l.Free, l.Share)
	case l.Span == 0 && l != (RetryLimit{}):
		return fmt.Errorf("retry limit: Free is %v and Share is %v, want 0 for both since Span is 0", l.Free, l.Share)
	}
	return nil
}
