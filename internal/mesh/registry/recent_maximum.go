package registry

import "time"

// recentMaximum is the maximum of the numbers recorded within a window, at a resolution of one second.
type recentMaximum struct {
	// samples is a ring indexed by the second modulo its length, with a place for each second of the window and for
	// the current second.
	samples []maximumSample
}

// maximumSample is the largest number recorded within one second of the table's clock.
type maximumSample struct {
	second int64
	number int
}

// newRecentMaximum returns a recentMaximum for a window of whole seconds.
func newRecentMaximum(window time.Duration) recentMaximum {
	return recentMaximum{samples: make([]maximumSample, window/time.Second+1)}
}

// record adds a number observed at now.
func (m recentMaximum) record(now time.Duration, number int) {
	second := int64(now / time.Second)
	sample := &m.samples[second%int64(len(m.samples))]
	if sample.second != second {
		*sample = maximumSample{second: second}
	}
	sample.number = max(sample.number, number)
}

// at returns the largest number recorded within the window that ends at now, or 0 if there is none.
func (m recentMaximum) at(now time.Duration) int {
	largest, second := 0, int64(now/time.Second)
	for _, sample := range m.samples {
		if sample.second > second-int64(len(m.samples)-1) {
			largest = max(largest, sample.number)
		}
	}
	return largest
}
