package registry

import "time"

// recentMaximum is the largest of the numbers recorded within a window, to a second.
type recentMaximum struct {
	samples []maximumSample // one for each second of the window and the current one, by the second
}

// maximumSample is the largest number of one second of the table's clock.
type maximumSample struct {
	second int64
	number int
}

func newRecentMaximum(window time.Duration) recentMaximum {
	return recentMaximum{samples: make([]maximumSample, window/time.Second+1)}
}

func (m recentMaximum) record(now time.Duration, number int) {
	second := int64(now / time.Second)
	sample := &m.samples[second%int64(len(m.samples))]
	if sample.second != second {
		*sample = maximumSample{second: second}
	}
	sample.number = max(sample.number, number)
}

func (m recentMaximum) at(now time.Duration) int {
	largest, second := 0, int64(now/time.Second)
	for _, sample := range m.samples {
		if sample.second > second-int64(len(m.samples)-1) {
			largest = max(largest, sample.number)
		}
	}
	return largest
}
