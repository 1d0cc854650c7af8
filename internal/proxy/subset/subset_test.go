package subset

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// All n stand at equal distances; where n is wrong, some of them leave no gap of more than about twice the even one, and a number outside has a place too.
func TestPlace(t *testing.T) {
	for n := 1; n <= 700; n++ {
		taken := make([]bool, n)
		for i := range n {
			place := int(math.Round(ArcStart(i, n, nil) * float64(n)))
			if place >= n || taken[place] {
				t.Fatalf("of %d two stand at %d", n, place)
			}
			taken[place] = true
		}
	}
	for _, c := range [][2]int{{400, 40}, {1000, 40}, {300, 30}, {300, 90}, {3000, 300}, {100_000, 40}, {40, 400}, {30, 31}} {
		var at []float64
		for i := range c[1] {
			x := ArcStart(i, c[0], nil)
			if x < 0 || x > 1 {
				t.Fatalf("number %d of %d stands at %v", i, c[0], x)
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

// Of those that live, whoever they are, all stand at equal distances, each its own place; nobody is moved further than the share that went.
func TestPlaceAmongThoseThatLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "n")
		gone := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "gone")
		lives := func(i int) bool { return !gone[i] }
		var at []float64
		for i := range n {
			if !gone[i] {
				at = append(at, ArcStart(i, n, lives))
			}
		}
		slices.Sort(at)
		for k, x := range at {
			if math.Abs(x-float64(k)/float64(len(at))) > 1e-9 {
				t.Fatalf("place %d of %d is %v", k, len(at), x)
			}
		}
	})
}

// drawn draws weights as a list has them, or as a bad one may.
func drawn(t *rapid.T) []float64 {
	like := rapid.SampledFrom([][]float64{{1}, {1, 2}, {0.6, 0.95, 1.6}, {1e-9, 1, 1e9}}).Draw(t, "like")
	return rapid.SliceOfN(rapid.SampledFrom(like), 1, 200).Draw(t, "weights")
}

// Whatever the weights, an arc has servers, each part is a share, and equal inputs give equal arcs; where weights are no worse than machines are, it has as many as it is to have at least.
func TestPartsOfAnyWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights, begins := drawn(t), rapid.Float64Range(0, 1).Draw(t, "begins")
		length := ArcLength(0, rapid.Float64Range(0, 1e5).Draw(t, "feeds"), rapid.Float64Range(0, 100).Draw(t, "even"), 3)
		parts := ArcShares(begins, length, weights, 4)
		inside := 0
		for i, p := range parts {
			if !(p >= 0 && p <= 1) {
				t.Fatalf("part %v of server %d", p, i)
			}
			if p > 0 {
				inside++
			}
		}
		if inside == 0 || inside < min(4, len(weights)) && slices.Max(weights) < 100 {
			t.Fatalf("%d of %d servers", inside, len(weights))
		}
		if !slices.Equal(parts, ArcShares(begins, length, weights, 4)) {
			t.Fatal("the same arc twice differs")
		}
	})
}

// Guards against servers that lie in more arcs than others, by their weights: what all balancers together send each is even to the part that ends leave out.
func TestArcsOfAllAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		like := rapid.SampledFrom([][]float64{{1}, {1, 1.3}, {0.6, 0.95, 1.6}}).Draw(t, "like")
		weights := rapid.SliceOfN(rapid.SampledFrom(like), 12, 100).Draw(t, "weights")
		n, length := rapid.IntRange(4*len(weights), 600).Draw(t, "n"), ArcLength(0, rapid.Float64Range(0, 40).Draw(t, "feeds"), 0, 6)
		load, whole, sent := make([]float64, len(weights)), 0.0, 0.0
		for i := range n {
			parts, reach := ArcShares(ArcStart(i, n, nil), length, weights, 4), 0.0
			for k, p := range parts {
				reach += p * weights[k]
			}
			for k, p := range parts {
				load[k] += p * weights[k] / reach
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

// A server that comes or goes changes parts by little, at the ends of the arc.
func TestLeastMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(13, 300).Draw(t, "servers")
		begins, length := rapid.Float64Range(0, 1).Draw(t, "begins"), ArcLength(0, rapid.Float64Range(0, 12).Draw(t, "feeds"), 0, 3)
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
			t.Fatalf("%v servers' turns moved as 1 of %d went", moved, n)
		}
	})
}

// Lengths stand still while traffic is about the same, and follow it where it is not; who has more than the even traffic takes more than in proportion.
func TestLength(t *testing.T) {
	for _, c := range []struct{ now, feeds, even, want float64 }{
		{0, 4, 4.8, 3}, {0, 4.5, 4.8, 6}, {6, 4, 4.8, 6}, {6, 3.1, 4.8, 6}, {6, 2.9, 4.8, 3}, {3, 5.9, 6, 3}, {3, 6.1, 6.1, 6}, {0, 0, 0, 3},
		{12, 11, 11, 12}, {0, 20, 5, 48}, {0, 20, 20, 24}, {0, 1, 1e9, 3},
	} {
		if got := ArcLength(c.now, c.feeds, c.even, 3); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("Length(%v, %v, %v) is %v, want %v", c.now, c.feeds, c.even, got, c.want)
		}
	}
}
