// Package loadspread measures, from arrivals alone, how evenly requests are spread over upstreams and whether different
// senders choose the same upstreams. It does no I/O. It is for measurements and tests; production code doesn't import
// it.
package loadspread

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is the arrival of a request at an upstream.
type Arrival struct {
	At   time.Duration
	To   int // number of the upstream, from 0
	From int // number of the sender
}

// Spread describes how evenly arrivals are spread, in windows of some length.
type Spread struct {
	Window time.Duration
	// Variance is the ratio of variance to mean of the arrivals at an upstream in a window. It is 1 for a random spread
	// and 0 for a round robin.
	Variance float64
	Greatest float64 // largest ratio of an upstream's arrivals to the mean, in the median window
	Worst    float64 // the same in the worst window
	Idle     float64 // share of upstreams and windows without arrivals, where five or more were due
	Due      float64 // share of upstreams and windows where five or more were due
}

// Measure measures the spread over all complete windows from a time on. The weights of the upstreams determine how many
// arrivals are due; a weight of 0 means that the upstream is absent.
func Measure(all []Arrival, weights []float64, from, until, window time.Duration) (s Spread) {
	s.Window = window
	windows := int((until - from) / window)
	if windows == 0 {
		return s
	}
	count := make([][]float64, windows)
	for w := range count {
		count[w] = make([]float64, len(weights))
	}
	for _, a := range all {
		if w := int((a.At - from) / window); a.At >= from && w < windows {
			count[w][a.To]++
		}
	}
	totalWeight := 0.0
	for _, w := range weights {
		totalWeight += w
	}
	var greatest []float64
	sum, n, due, idle := 0.0, 0, 0, 0
	for _, counts := range count {
		total, most := 0.0, 0.0
		for _, c := range counts {
			total += c
		}
		if total == 0 {
			continue
		}
		for i, c := range counts {
			mean := total * weights[i] / totalWeight
			if mean == 0 { // the upstream is absent
				continue
			}
			sum += (c - mean) * (c - mean) / mean
			n++
			most = max(most, c/mean)
			if mean >= 5 {
				due++
				if c == 0 {
					idle++
				}
			}
		}
		greatest = append(greatest, most)
	}
	if n == 0 {
		return s
	}
	// The sum of a window is fixed, so k upstreams have k-1 degrees of freedom.
	present := float64(len(weights) - absent(weights))
	s.Variance = sum / float64(n) * present / max(1, present-1)
	slices.Sort(greatest)
	s.Greatest, s.Worst, s.Due = greatest[len(greatest)/2], greatest[len(greatest)-1], float64(due)/float64(n)
	if due > 0 {
		s.Idle = float64(idle) / float64(due)
	}
	return s
}

// absent returns the number of upstreams that are absent.
func absent(weights []float64) (n int) {
	for _, w := range weights {
		if w == 0 {
			n++
		}
	}
	return n
}

// RecoveryTime returns how long after a time the upstream to got at least half of its share in every window until the
// end, or a negative duration if it did not in the last window.
func RecoveryTime(all []Arrival, weights []float64, to int, from, until, window time.Duration) time.Duration {
	totalWeight := 0.0
	for _, w := range weights {
		totalWeight += w
	}
	windows := int((until - from) / window)
	own, total := make([]float64, windows), make([]float64, windows)
	for _, a := range all {
		w := int((a.At - from) / window)
		if a.At < from || w >= windows || a.To >= len(weights) || weights[a.To] == 0 {
			continue
		}
		if total[w]++; a.To == to {
			own[w]++
		}
	}
	recovery := time.Duration(-1)
	for w := windows - 1; w >= 0 && own[w] >= total[w]*weights[to]/totalWeight/2; w-- {
		recovery = time.Duration(w) * window
	}
	return recovery
}

// Coincidence returns how often two requests that different senders sent within a short time went to the same upstream,
// relative to a random choice by weight.
func Coincidence(all []Arrival, weights []float64, within time.Duration) float64 {
	totalWeight, same := 0.0, 0.0
	for _, w := range weights {
		totalWeight += w
	}
	for _, w := range weights {
		same += w / totalWeight * w / totalWeight
	}
	pairs, coinciding := 0, 0
	for i, a := range all {
		for _, b := range all[i+1:] {
			if b.At-a.At > within {
				break
			}
			if a.From != b.From {
				pairs++
				if a.To == b.To {
					coinciding++
				}
			}
		}
	}
	if pairs == 0 {
		return 1
	}
	return float64(coinciding) / float64(pairs) / same
}

// Random returns the same arrivals with upstreams drawn at random by weight.
func Random(all []Arrival, weights []float64, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 8))
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		sums[i] = sum
	}
	drawn := slices.Clone(all)
	for i := range drawn {
		drawn[i].To, _ = slices.BinarySearch(sums, sum*rng.Float64())
	}
	return drawn
}

// TwoChoices returns the same arrivals, each at the less loaded of two upstreams drawn by weight. The load of an
// upstream is the number of the sender's own requests in flight there; each request takes the given duration.
func TwoChoices(all []Arrival, weights []float64, duration time.Duration, seed uint64) []Arrival {
	first, second := Random(all, weights, seed), Random(all, weights, seed+1)
	type sent struct {
		to  int
		end time.Duration
	}
	busy := make(map[int][]sent) // by sender
	chosen := slices.Clone(all)
	for i, a := range all {
		inFlight := slices.DeleteFunc(busy[a.From], func(s sent) bool { return s.end <= a.At })
		load := func(to int) (n float64) {
			for _, s := range inFlight {
				if s.to == to {
					n++
				}
			}
			return n / weights[to]
		}
		if chosen[i].To = first[i].To; load(second[i].To) < load(first[i].To) {
			chosen[i].To = second[i].To
		}
		busy[a.From] = append(inFlight, sent{chosen[i].To, a.At + duration})
	}
	return chosen
}

// RoundRobin returns the same arrivals as a single weighted round robin over all senders would assign them, which is
// the most even spread.
func RoundRobin(all []Arrival, weights []float64) []Arrival {
	due := make([]float64, len(weights))
	for i, w := range weights {
		due[i] = 0.5 / w
	}
	assigned := slices.Clone(all)
	for i := range assigned {
		first := 0
		for k := range due {
			if due[k] < due[first] {
				first = k
			}
		}
		assigned[i].To = first
		due[first] += 1 / weights[first]
	}
	return assigned
}
