package subset

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The arcs of n balancers begin at equal distances. Where n is wrong, the starts of some of them leave no gap of much
// more than twice the even one, and a number outside n has a start too.
func TestArcStartsAreEvenlySpread(t *testing.T) {
	for n := 1; n <= 700; n++ {
		taken := make([]bool, n)
		for i := range n {
			position := int(math.Round(ArcStart(i, n, nil) * float64(n)))
			if position >= n || taken[position] {
				t.Fatalf("of %d two begin at %d", n, position)
			}
			taken[position] = true
		}
	}
	for _, c := range [][2]int{
		{400, 40}, {1000, 40}, {300, 30}, {300, 90}, {3000, 300}, {100_000, 40}, {40, 400}, {30, 31},
	} {
		var at []float64
		for i := range c[1] {
			x := ArcStart(i, c[0], nil)
			if x < 0 || x > 1 {
				t.Fatalf("number %d of %d begins at %v", i, c[0], x)
			}
			at = append(at, x)
		}
		slices.Sort(at)
		widest := 1 - at[len(at)-1] + at[0]
		for i := range at[1:] {
			widest = max(widest, at[i+1]-at[i])
		}
		if even := 1 / float64(min(c[0], c[1])); widest > 2.2*even {
			t.Errorf("of %d the first %d leave a gap of %.4f, even ones are %.4f", c[0], c[1], widest, even)
		}
	}
}

// The arcs of the live balancers, whichever they are, begin at equal distances.
func TestArcStartsOfLiveBalancersAreEvenlySpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "n")
		down := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "down")
		live := func(i int) bool { return !down[i] }
		var at []float64
		for i := range n {
			if !down[i] {
				at = append(at, ArcStart(i, n, live))
			}
		}
		slices.Sort(at)
		for k, x := range at {
			if math.Abs(x-float64(k)/float64(len(at))) > 1e-9 {
				t.Fatalf("start %d of %d is %v", k, len(at), x)
			}
		}
	})
}

// drawWeights draws weights as a server list has them, or as a faulty one may.
func drawWeights(t *rapid.T) []float64 {
	like := rapid.SampledFrom([][]float64{{1}, {1, 2}, {0.6, 0.95, 1.6}, {1e-9, 1, 1e9}}).Draw(t, "like")
	return rapid.SliceOfN(rapid.SampledFrom(like), 1, 200).Draw(t, "weights")
}

// Whatever the weights, an arc has servers, each share is from 0 to 1, and equal inputs give equal arcs. With weights
// as machines have them, an arc has its least number of servers.
func TestArcSharesOfAnyWeightsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights, begins := drawWeights(t), rapid.Float64Range(0, 1).Draw(t, "begins")
		length := ArcLength(0, rapid.Float64Range(0, 1e5).Draw(t, "feeds"), rapid.Float64Range(0, 100).Draw(t, "even"), 3)
		shares := ArcShares(begins, length, weights, 4)
		inside := 0
		for i, p := range shares {
			if !(p >= 0 && p <= 1) {
				t.Fatalf("share %v of server %d", p, i)
			}
			if p > 0 {
				inside++
			}
		}
		if inside == 0 || inside < min(4, len(weights)) && slices.Max(weights) < 100 {
			t.Fatalf("%d of %d servers", inside, len(weights))
		}
		if !slices.Equal(shares, ArcShares(begins, length, weights, 4)) {
			t.Fatal("the same arc twice differs")
		}
	})
}

// Guards against servers that lie in more arcs than others, by their weights: what all balancers together send to each
// is even, except for the shares that are left out at the ends.
func TestArcsOfAllBalancersLoadServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		like := rapid.SampledFrom([][]float64{{1}, {1, 1.3}, {0.6, 0.95, 1.6}}).Draw(t, "like")
		weights := rapid.SliceOfN(rapid.SampledFrom(like), 12, 100).Draw(t, "weights")
		n := rapid.IntRange(4*len(weights), 600).Draw(t, "n")
		length := ArcLength(0, rapid.Float64Range(0, 40).Draw(t, "feeds"), 0, 6)
		load, whole, sent := make([]float64, len(weights)), 0.0, 0.0
		for i := range n {
			shares, arcWeight := ArcShares(ArcStart(i, n, nil), length, weights, 4), 0.0
			for k, p := range shares {
				arcWeight += p * weights[k]
			}
			for k, p := range shares {
				load[k] += p * weights[k] / arcWeight
			}
			sent++
		}
		for _, w := range weights {
			whole += w
		}
		for k, l := range load {
			if even := sent * weights[k] / whole; math.Abs(l-even) > 0.06*even+1 {
				t.Fatalf("server %d of weight %v has %.2f of %v balancers, evenly %.2f", k, weights[k], l, n, even)
			}
		}
	})
}

// A server that is added or removed changes the shares by little, at the ends of the arc.
func TestServerThatLeavesMovesFewTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(13, 300).Draw(t, "servers")
		begins := rapid.Float64Range(0, 1).Draw(t, "begins")
		length := ArcLength(0, rapid.Float64Range(0, 12).Draw(t, "feeds"), 0, 3)
		weights := slices.Repeat([]float64{1}, n)
		before, without := ArcShares(begins, length, weights, 4), rapid.IntRange(0, n-1).Draw(t, "without")
		after := slices.Insert(ArcShares(begins, length, weights[1:], 4), without, 0)
		moved := 0.0
		for i := range before {
			if i != without {
				moved += math.Abs(after[i] - before[i])
			}
		}
		if moved > 4+2*length/float64(n) {
			t.Fatalf("the turns of %v servers moved as 1 of %d left", moved, n)
		}
	})
}

// A length is kept while the traffic is about the same, and follows it otherwise; with more than the even traffic it
// grows more than in proportion.
func TestArcLengthFollowsTheTraffic(t *testing.T) {
	for _, c := range []struct{ current, feeds, even, want float64 }{
		{0, 4, 4.8, 3}, {0, 4.5, 4.8, 6}, {6, 4, 4.8, 6}, {6, 3.1, 4.8, 6}, {6, 2.9, 4.8, 3}, {3, 5.9, 6, 3},
		{3, 6.1, 6.1, 6}, {0, 0, 0, 3},
		{12, 11, 11, 12}, {0, 20, 5, 48}, {0, 20, 20, 24}, {0, 1, 1e9, 3},
	} {
		if got := ArcLength(c.current, c.feeds, c.even, 3); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("ArcLength(%v, %v, %v) is %v, want %v", c.current, c.feeds, c.even, got, c.want)
		}
	}
}
