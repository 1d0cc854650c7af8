package subset

import "math"

const (
	lengthStep  = 2.0 // arc lengths are minServers times a power of this
	hysteresis  = 2.0 // factor by which traffic must change, up or down, to change the length: few requests measure it
	heavyFactor = 2.0 // traffic is heavy above this multiple of the even traffic; few balancers have heavy traffic
	minShare    = 0.1 // a server with a smaller part in the arc is left out, as its turns would be too far apart
)

// ArcStart returns the start of the arc of balancer i of n, as a fraction of the circle. The arcs of the live balancers
// (live nil: of all) start at equal distances, in the order of the fractional parts of the golden ratio's multiples:
// these are evenly spread for any subset of the balancers (docs/measurements/even.md).
func ArcStart(i, n int, live func(int) bool) float64 {
	before, total := 0, 1
	_, at := math.Modf(float64(i) * math.Phi)
	for j := range n {
		if j == i || live != nil && !live(j) {
			continue
		}
		total++
		if _, x := math.Modf(float64(j) * math.Phi); x < at {
			before++
		}
	}
	return float64(before) / float64(total)
}

// ArcLength returns the number of servers in an arc. current is the present number (0: none yet), supported the number
// that the balancer's own traffic supports, and even the number that even traffic supports. The few arcs for heavy
// traffic may overlap and are up to one lengthStep longer; with more, balancers learn too little of each server.
func ArcLength(current, supported, even, minServers float64) float64 {
	extension := min(lengthStep, max(1, supported/max(heavyFactor*even, minServers)))
	want := max(minServers, supported*extension)
	if current > 0 && want < current*hysteresis && want > current/hysteresis {
		return current
	}
	return minServers * math.Pow(lengthStep, math.Round(math.Log(want/minServers)/math.Log(lengthStep)))
}

// ArcShares returns the part of each server, from 0 to 1, that lies in an arc. The arc begins at start, a fraction of
// the circle. It is as long as length servers of mean weight, or longer if it needs that to hold minServers servers.
func ArcShares(start, length float64, weights []float64, minServers int) []float64 {
	shares, circle := make([]float64, len(weights)), 0.0
	for _, w := range weights {
		circle += w
	}
	start *= circle
	end := start + circle*min(1, length/float64(max(1, len(weights))))
	limit, position, inside := start+circle, 0.0, 0
	for i := range 2 * len(weights) { // two rounds, as an arc may extend past the start of the circle
		w, serverStart := weights[i%len(weights)], position
		if position += w; position <= start || serverStart >= limit {
			continue
		}
		if position > end && inside < minServers {
			end = min(position, limit)
		}
		part := max(0, min(position, end)-max(serverStart, start)) / w
		if part >= minShare && shares[i%len(weights)] == 0 {
			inside++
		}
		shares[i%len(weights)] = min(1, shares[i%len(weights)]+part)
	}
	for i := range shares {
		if shares[i] < minShare {
			shares[i] = 0
		}
	}
	return shares
}
