package main

import (
	"fmt"
	"slices"
	"time"
)

// samples holds the values of one metric over several rounds.
type samples []float64

func (s samples) median() float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

// String returns the median with the smallest and the largest value.
func (s samples) String() string {
	if len(s) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.median(), slices.Min(s), slices.Max(s))
}

// add appends a value.
func (s *samples) add(v float64) { *s = append(*s, v) }

// max returns the largest value, or 0 if there are no values.
func (s samples) max() float64 {
	if len(s) == 0 {
		return 0
	}
	return slices.Max(s)
}

// at returns the quantile for a fraction from 0 to 1, or 0 if there are no values.
func (s samples) at(part float64) float64 {
	if len(s) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(s))[min(len(s)-1, int(part*float64(len(s))))]
}

// over returns the ratio of the two values of each round.
func (s samples) over(reference samples) (ratio samples) {
	for i := range min(len(s), len(reference)) {
		ratio = append(ratio, s[i]/reference[i])
	}
	return ratio
}

// minus returns the difference of the two values of each round.
func (s samples) minus(reference samples) (added samples) {
	for i := range min(len(s), len(reference)) {
		added = append(added, s[i]-reference[i])
	}
	return added
}

// quantile returns a quantile of times in milliseconds, or 0 if there are no times. It sorts times in place.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(q*float64(len(times))))]) / float64(time.Millisecond)
}

// metrics holds the values of each named metric, one value per round.
type metrics map[string]samples

// add appends a value to the named metric.
func (f metrics) add(name string, v float64) { f[name] = append(f[name], v) }
