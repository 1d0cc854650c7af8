package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many balancers share a cold server, what they send together within any time stays under its budget, but for the first send of each.
func TestTogetherWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "balancers")
		capacity := rapid.Float64Range(1, 1e4).Draw(t, "requests a second")
		multiple := rapid.Float64Range(1, 10).Draw(t, "multiple")
		from := rapid.Float64Range(0.05, 1).Draw(t, "from")
		left := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "left"))
		rate := capacity * Warmth(left, 10*time.Second, from) / float64(n)
		if rate < minRate/budgetFraction {
			return // a part so small that the least rate takes its place
		}
		if sent := float64(n) / Gap(rate, multiple).Seconds(); sent > multiple*capacity*Warmth(left, 10*time.Second, from) {
			t.Fatalf("%v a second together", sent)
		}
	})
}
