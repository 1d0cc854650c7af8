package main

import (
	"fmt"
	"slices"
	"time"
)

// samples is a figure over several rounds.
type samples []float64

func (s samples) median() float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

func (s samples) String() string {
	if len(s) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.median(), slices.Min(s), slices.Max(s))
}

// add takes one more value.
func (s *samples) add(v float64) { *s = append(*s, v) }

// max is the largest value; 0: there is none.
func (s samples) max() float64 {
	if len(s) == 0 {
		return 0
	}
	return slices.Max(s)
}

// at is the value at a part of the whole, in ascending order.
func (s samples) at(part float64) float64 {
	if len(s) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(s))[min(len(s)-1, int(part*float64(len(s))))]
}

// over is the ratio, round by round.
func (s samples) over(reference samples) (ratio samples) {
	for i := range min(len(s), len(reference)) {
		ratio = append(ratio, s[i]/reference[i])
	}
	return ratio
}

// minus is the difference, round by round.
func (s samples) minus(reference samples) (added samples) {
	for i := range min(len(s), len(reference)) {
		added = append(added, s[i]-reference[i])
	}
	return added
}

// quantile of times in any order, in milliseconds.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(q*float64(len(times))))]) / float64(time.Millisecond)
}

// metrics of one kind of subject, by name, a value a round.
type metrics map[string]samples

func (f metrics) add(name string, v float64) { f[name] = append(f[name], v) }
