// Package subset decides which servers a balancer takes turns among, so that many balancers together load all evenly.
// Servers lie on a circle, each as long as its weight. A balancer has an arc that its own traffic can feed; a server at
// the arc's end has turns by how much of it lies inside.
package subset

import "math"

const (
	lengthStep  = 2.0 // lengths are powers of it, so that balancers of like traffic have evenly spread ends too
	hysteresis  = 2.0 // the traffic's change, either way, below which a length is kept: it is measured over few requests
	heavyFactor = 2.0 // more than this multiple of the even traffic is heavy: few balancers have it
	minShare    = 0.1 // of a server; one with less inside is left out, as its turns would be too far apart
)

// ArcStart is where the arc of balancer i of n begins, as a fraction of the circle: at equal distances for live ones
// (live nil: all), in the order of the golden ratio's multiples, which spread any of them (docs/measurements/even.md).
func ArcStart(i, n int, live func(int) bool) float64 {
	before, all := 0, 1
	_, at := math.Modf(float64(i) * math.Phi)
	for j := range n {
		if j == i || live != nil && !live(j) {
			continue
		}
		all++
		if _, x := math.Modf(float64(j) * math.Phi); x < at {
			before++
		}
	}
	return float64(before) / float64(all)
}

// ArcLength is how many servers an arc has. current is how many it has now (0: none yet); the balancer's own traffic
// can feed feeds servers, and even traffic even. The arcs of the few with heavy traffic, which may overlap, are up to
// one step longer. No more: their balancers would learn too little of each server.
func ArcLength(current, feeds, even, fewest float64) float64 {
	more := min(lengthStep, max(1, feeds/max(heavyFactor*even, fewest)))
	want := max(fewest, feeds*more)
	if current > 0 && want < current*hysteresis && want > current/hysteresis {
		return current
	}
	return fewest * math.Pow(lengthStep, math.Round(math.Log(want/fewest)/math.Log(lengthStep)))
}

// ArcShares is how much of each server, from 0 to 1, lies in an arc that begins at a fraction of the circle and is as
// long as length servers of mean weight, or as it takes for parts of fewest servers.
func ArcShares(begins, length float64, weights []float64, fewest int) []float64 {
	shares, whole := make([]float64, len(weights)), 0.0
	for _, w := range weights {
		whole += w
	}
	begins *= whole
	ends := begins + whole*min(1, length/float64(max(1, len(weights))))
	limit, at, inside := begins+whole, 0.0, 0
	for i := range 2 * len(weights) { // twice round, as an arc may cross the circle's beginning
		w, from := weights[i%len(weights)], at
		if at += w; at <= begins || from >= limit {
			continue
		}
		if at > ends && inside < fewest {
			ends = min(at, limit)
		}
		in := max(0, min(at, ends)-max(from, begins)) / w
		if in >= minShare && shares[i%len(weights)] == 0 {
			inside++
		}
		shares[i%len(weights)] = min(1, shares[i%len(weights)]+in)
	}
	for i := range shares {
		if shares[i] < minShare {
			shares[i] = 0
		}
	}
	return shares
}
