package subset

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The arcs of n balancers start at equal distances. If the actual number of balancers differs from n, no gap between
// two starts is larger than 2.2 times the even gap. A balancer whose number is n or above has a start too.
func TestArcStartsAreEvenlySpread(t *testing.T) {
	for n := 1; n <= 700; n++ {
		taken := make([]bool, n)
		for i := range n {
			position := int(math.Round(ArcStart(i, n, nil) * float64(n)))
			if position >= n || taken[position] {
				t.Fatalf("n = %d: position %d is outside the circle or taken by two arcs", n, position)
			}
			taken[position] = true
		}
	}
	for _, c := range [][2]int{
		{400, 40}, {1000, 40}, {300, 30}, {300, 90}, {3000, 300}, {100_000, 40}, {40, 400}, {30, 31},
	} {
		var starts []float64
		for i := range c[1] {
			x := ArcStart(i, c[0], nil)
			if x < 0 || x > 1 {
				t.Fatalf("balancer %d of %d starts at %v, want 0 to 1", i, c[0], x)
			}
			starts = append(starts, x)
		}
		slices.Sort(starts)
		widest := 1 - starts[len(starts)-1] + starts[0]
		for i := range starts[1:] {
			widest = max(widest, starts[i+1]-starts[i])
		}
		if even := 1 / float64(min(c[0], c[1])); widest > 2.2*even {
			t.Errorf("n = %d, starts of the first %d balancers: widest gap %.4f, want at most 2.2 times the even gap of %.4f",
				c[0], c[1], widest, even)
		}
	}
}

// The arcs of any set of live balancers start at equal distances.
func TestArcStartsOfLiveBalancersAreEvenlySpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "n")
		down := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "down")
		live := func(i int) bool { return !down[i] }
		var starts []float64
		for i := range n {
			if !down[i] {
				starts = append(starts, ArcStart(i, n, live))
			}
		}
		slices.Sort(starts)
		for k, x := range starts {
			if math.Abs(x-float64(k)/float64(len(starts))) > 1e-9 {
				t.Fatalf("start %d of %d is %v, want equal distances", k, len(starts), x)
			}
		}
	})
}

// drawWeights draws weights as in a server list, including extreme weights as in a faulty list.
func drawWeights(t *rapid.T) []float64 {
	like := rapid.SampledFrom([][]float64{{1}, {1, 2}, {0.6, 0.95, 1.6}, {1e-9, 1, 1e9}}).Draw(t, "like")
	return rapid.SliceOfN(rapid.SampledFrom(like), 1, 200).Draw(t, "weights")
}

// For any weights, an arc has servers, each share is from 0 to 1, and equal inputs give equal arcs. With weights that
// do not differ by more than those of real machines, an arc has at least minServers servers.
func TestArcSharesOfAnyWeightsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights, start := drawWeights(t), rapid.Float64Range(0, 1).Draw(t, "begins")
		length := ArcLength(0, rapid.Float64Range(0, 1e5).Draw(t, "feeds"), rapid.Float64Range(0, 100).Draw(t, "even"), 3)
		shares := ArcShares(start, length, weights, 4)
		inside := 0
		for i, p := range shares {
			if !(p >= 0 && p <= 1) {
				t.Fatalf("share %v of server %d, want 0 to 1", p, i)
			}
			if p > 0 {
				inside++
			}
		}
		if inside == 0 || inside < min(4, len(weights)) && slices.Max(weights) < 100 {
			t.Fatalf("the arc has %d of %d servers, want at least 4 or all", inside, len(weights))
		}
		if !slices.Equal(shares, ArcShares(start, length, weights, 4)) {
			t.Fatal("two calls with equal arguments return different shares")
		}
	})
}

// Guards against servers that lie in more arcs than their weights allow: all balancers together load the servers by
// weight, except for the small shares that are left out at the ends of arcs.
func TestArcsOfAllBalancersLoadServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		like := rapid.SampledFrom([][]float64{{1}, {1, 1.3}, {0.6, 0.95, 1.6}}).Draw(t, "like")
		weights := rapid.SliceOfN(rapid.SampledFrom(like), 12, 100).Draw(t, "weights")
		n := rapid.IntRange(4*len(weights), 600).Draw(t, "n")
		length := ArcLength(0, rapid.Float64Range(0, 40).Draw(t, "feeds"), 0, 6)
		load, totalWeight, balancerCount := make([]float64, len(weights)), 0.0, 0.0
		for i := range n {
			shares, arcWeight := ArcShares(ArcStart(i, n, nil), length, weights, 4), 0.0
			for k, p := range shares {
				arcWeight += p * weights[k]
			}
			for k, p := range shares {
				load[k] += p * weights[k] / arcWeight
			}
			balancerCount++
		}
		for _, w := range weights {
			totalWeight += w
		}
		for k, l := range load {
			if even := balancerCount * weights[k] / totalWeight; math.Abs(l-even) > 0.06*even+1 {
				t.Fatalf("server %d of weight %v gets the traffic of %.2f of %v balancers, want %.2f", k, weights[k], l, n, even)
			}
		}
	})
}

// The removal of a server changes few shares, at the ends of the arc.
func TestServerRemovalChangesFewShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(13, 300).Draw(t, "servers")
		start := rapid.Float64Range(0, 1).Draw(t, "begins")
		length := ArcLength(0, rapid.Float64Range(0, 12).Draw(t, "feeds"), 0, 3)
		weights := slices.Repeat([]float64{1}, n)
		before, without := ArcShares(start, length, weights, 4), rapid.IntRange(0, n-1).Draw(t, "without")
		after := slices.Insert(ArcShares(start, length, weights[1:], 4), without, 0)
		changed := 0.0
		for i := range before {
			if i != without {
				changed += math.Abs(after[i] - before[i])
			}
		}
		if changed > 4+2*length/float64(n) {
			t.Fatalf("shares of %v servers changed by the removal of 1 of %d servers", changed, n)
		}
	})
}

// The length of an arc stays the same for small changes of traffic and follows large changes. Above the even traffic it
// grows faster than in proportion to the traffic.
func TestArcLengthFollowsTheTraffic(t *testing.T) {
	for _, c := range []struct{ current, supported, even, want float64 }{
		{0, 4, 4.8, 3}, {0, 4.5, 4.8, 6}, {6, 4, 4.8, 6}, {6, 3.1, 4.8, 6}, {6, 2.9, 4.8, 3}, {3, 5.9, 6, 3},
		{3, 6.1, 6.1, 6}, {0, 0, 0, 3},
		{12, 11, 11, 12}, {0, 20, 5, 48}, {0, 20, 20, 24}, {0, 1, 1e9, 3},
	} {
		if got := ArcLength(c.current, c.supported, c.even, 3); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("ArcLength(%v, %v, %v) is %v, want %v", c.current, c.supported, c.even, got, c.want)
		}
	}
}
