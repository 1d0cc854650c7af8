// Package loadspread tells how evenly requests were spread over upstreams, and whether those who
// send chose alike, from arrivals alone. It is free of I/O. Measurements use it; nothing that ships
// does.
package loadspread

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is a request at an upstream.
type Arrival struct {
	At   time.Duration
	To   int // upstream, from 0
	From int // who sent it
}

// Spread is how evenly arrivals were spread over windows of some length.
type Spread struct {
	Window time.Duration
	// over mean of the arrivals at an upstream in a window, each against its window's mean: 1 is
	// chance alone, 0 a turn for each
	Variance float64
	Greatest float64 // over mean, in the median window
	Worst    float64 // and in the worst
	Idle     float64 // share of upstreams and windows with nothing, where five or more were due
	Due      float64 // share of those in which so many were due
}

// Measure measures windows of a length over all whole ones from a time on. weights are the upstreams',
// and say what was due; 0: it is not there.
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
	whole := 0.0
	for _, w := range weights {
		whole += w
	}
	var greatest []float64
	sum, n, due, idle := 0.0, 0, 0, 0
	for _, here := range count {
		total, most := 0.0, 0.0
		for _, c := range here {
			total += c
		}
		if total == 0 {
			continue
		}
		for i, c := range here {
			mean := total * weights[i] / whole
			if mean == 0 { // it is not there
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
	// Of k upstreams one is bound by the window's sum.
	there := float64(len(weights) - absent(weights))
	s.Variance = sum / float64(n) * there / max(1, there-1)
	slices.Sort(greatest)
	s.Greatest, s.Worst, s.Due = greatest[len(greatest)/2], greatest[len(greatest)-1], float64(due)/float64(n)
	if due > 0 {
		s.Idle = float64(idle) / float64(due)
	}
	return s
}

// absent counts the upstreams that are not there.
func absent(weights []float64) (n int) {
	for _, w := range weights {
		if w == 0 {
			n++
		}
	}
	return n
}

// RecoveryTime is how long after a moment an upstream had at least half of its part again and kept it for
// good, in windows of a length; negative: it had not, by the end.
func RecoveryTime(all []Arrival, weights []float64, to int, from, until, window time.Duration) time.Duration {
	whole := 0.0
	for _, w := range weights {
		whole += w
	}
	windows := int((until - from) / window)
	its, total := make([]float64, windows), make([]float64, windows)
	for _, a := range all {
		w := int((a.At - from) / window)
		if a.At < from || w >= windows || a.To >= len(weights) || weights[a.To] == 0 {
			continue
		}
		if total[w]++; a.To == to {
			its[w]++
		}
	}
	back := time.Duration(-1)
	for w := windows - 1; w >= 0 && its[w] >= total[w]*weights[to]/whole/2; w-- {
		back = time.Duration(w) * window
	}
	return back
}

// Coincidence is how often two that different senders sent within a time of one another went to the same
// upstream, over how often chance has it, by weight: 1 is chance.
func Coincidence(all []Arrival, weights []float64, within time.Duration) float64 {
	whole, same := 0.0, 0.0
	for _, w := range weights {
		whole += w
	}
	for _, w := range weights {
		same += w / whole * w / whole
	}
	pairs, met := 0, 0
	for i, a := range all {
		for _, b := range all[i+1:] {
			if b.At-a.At > within {
				break
			}
			if a.From != b.From {
				pairs++
				if a.To == b.To {
					met++
				}
			}
		}
	}
	if pairs == 0 {
		return 1
	}
	return float64(met) / float64(pairs) / same
}

// Random is the same arrivals, each at an upstream drawn by weight: what chance alone does.
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

// TwoChoices is the same arrivals, each at the one of two drawn by weight at which its sender has less
// out, by its own view alone; what is sent is out for so long.
func TwoChoices(all []Arrival, weights []float64, out time.Duration, seed uint64) []Arrival {
	first, second := Random(all, weights, seed), Random(all, weights, seed+1)
	type sent struct {
		to  int
		end time.Duration
	}
	busy := make(map[int][]sent) // by sender
	chosen := slices.Clone(all)
	for i, a := range all {
		mine := slices.DeleteFunc(busy[a.From], func(s sent) bool { return s.end <= a.At })
		held := func(to int) (n float64) {
			for _, s := range mine {
				if s.to == to {
					n++
				}
			}
			return n / weights[to]
		}
		if chosen[i].To = first[i].To; held(second[i].To) < held(first[i].To) {
			chosen[i].To = second[i].To
		}
		busy[a.From] = append(mine, sent{chosen[i].To, a.At + out})
	}
	return chosen
}

// RoundRobin is the same arrivals as one round robin for all would have them: the most even there can be.
func RoundRobin(all []Arrival, weights []float64) []Arrival {
	due := make([]float64, len(weights))
	for i, w := range weights {
		due[i] = 0.5 / w
	}
	turn := slices.Clone(all)
	for i := range turn {
		first := 0
		for k := range due {
			if due[k] < due[first] {
				first = k
			}
		}
		turn[i].To = first
		due[first] += 1 / weights[first]
	}
	return turn
}
