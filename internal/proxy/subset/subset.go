// Package subset decides which part of the servers a balancer takes turns among, so that the parts of many balancers add up to something even. Servers lie on a circle, each
// as long as it weighs; a balancer has an arc of it that its own traffic can feed, and a server at an arc's end has fewer turns, as much of it as lies inside. It is free of I/O.
package subset

import "math"

const (
	lengthStep  = 2.0 // lengths are powers of it: those of like traffic have like arcs, whose ends are as evenly spread as their beginnings
	hysteresis  = 2.0 // a length is kept until traffic wants so many times as much, or as little: measured over some dozens of requests, it is never quite the same
	heavyFactor = 2.0 // who has more than so many times the even traffic is one of a few
	minShare    = 0.1 // a server of which less lies inside is left out: its turns would be too far apart for a connection to be kept
)

// ArcStart is where balancer i of n begins on the circle, a share of it: all that live at equal distances, in the order of the golden ratio's multiples, so that some of them are spread well too. By
// those multiples alone some servers were in three balancers' arcs and others in five, for as long as nothing changed (docs/measurements/even.md). lives tells of the others; nil: all do.
func ArcStart(i, n int, lives func(int) bool) float64 {
	before, all := 0, 1
	_, at := math.Modf(float64(i) * math.Phi)
	for j := range n {
		if j == i || lives != nil && !lives(j) {
			continue
		}
		all++
		if _, x := math.Modf(float64(j) * math.Phi); x < at {
			before++
		}
	}
	return float64(before) / float64(all)
}

// ArcLength is the servers in an arc that has now so many (0: none yet), where a balancer's own traffic can feed feeds of them and that of an even one of all balancers even. The
// few that have far more than the even traffic may lie anywhere, side by side too, and nobody evens out what they do: their arcs are up to a step longer.
// No more: they would learn of each server too seldom.
func ArcLength(now, feeds, even, fewest float64) float64 {
	more := min(lengthStep, max(1, feeds/max(heavyFactor*even, fewest)))
	want := max(fewest, feeds*more)
	if now > 0 && want < now*hysteresis && want > now/hysteresis {
		return now
	}
	return fewest * math.Pow(lengthStep, math.Round(math.Log(want/fewest)/math.Log(lengthStep)))
}

// ArcShares is how much of each server, by their weights, lies in an arc that begins at a place and is as long as so many servers of mean weight, or as it takes for some of fewest.
func ArcShares(begins, length float64, weights []float64, fewest int) []float64 {
	parts, whole := make([]float64, len(weights)), 0.0
	for _, w := range weights {
		whole += w
	}
	begins *= whole
	ends := begins + whole*min(1, length/float64(max(1, len(weights))))
	most, at, inside := begins+whole, 0.0, 0
	for i := range 2 * len(weights) { // twice round, as an arc may lie over the circle's beginning
		w, from := weights[i%len(weights)], at
		if at += w; at <= begins || from >= most {
			continue
		}
		if at > ends && inside < fewest {
			ends = min(at, most)
		}
		in := max(0, min(at, ends)-max(from, begins)) / w
		if in >= minShare && parts[i%len(weights)] == 0 {
			inside++
		}
		parts[i%len(weights)] = min(1, parts[i%len(weights)]+in)
	}
	for i := range parts {
		if parts[i] < minShare {
			parts[i] = 0
		}
	}
	return parts
}
