package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The sends of all balancers together, except for the first send of each, stay within the capacity of a starting
// server, for any number of balancers.
func TestBalancersTogetherStayWithinTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "balancers")
		capacity := rapid.Float64Range(1, 1e4).Draw(t, "requests a second")
		multiple := rapid.Float64Range(1, 10).Draw(t, "multiple")
		from := rapid.Float64Range(0.05, 1).Draw(t, "from")
		left := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "left"))
		rate := capacity * Warmth(left, 10*time.Second, from) / float64(n)
		if rate < minRate/budgetFraction {
			return // minRate applies
		}
		budget := multiple * capacity * Warmth(left, 10*time.Second, from)
		if sent := float64(n) / Gap(rate, multiple).Seconds(); sent > budget {
			t.Fatalf("all balancers send %v requests a second, above the budget", sent)
		}
	})
}
