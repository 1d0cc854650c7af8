package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestRetryBudget(t *testing.T) {
	Convey("Retries stay within the budget of any window, and retries without permission count as well", t, func() {
		rng := rand.New(rand.NewPCG(7, 7))
		var requests, retries []time.Duration
		budgets := make([]*RetryBudget, 12)
		for i := range budgets {
			budgets[i], _ = NewRetryBudget(RetryBudgetRules{Window: 10 * second, Ratio: 0.2, Slack: 60})
			So(budgets[i].Configure(0, 12), ShouldBeNil)
		}
		for now := time.Duration(0); now < 60*second; now += 2 * ms {
			budget := budgets[rng.IntN(12)]
			if now < 20*second || now > 40*second {
				budget.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if rng.IntN(100) == 0 { // without asking Allowed
				budget.Charge(now, "s")
				retries = append(retries, now)
			}
			if budget.Allowed(now, "s") {
				budget.Charge(now, "s")
				retries = append(retries, now)
			}
		}
		countInWindow := func(times []time.Duration, from time.Duration) (n float64) {
			for _, at := range times {
				if at >= from && at <= from+10*second {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from <= 50*second; from += 100 * ms {
			largest := max(
				countInWindow(requests, from),
				countInWindow(requests, from-5*second),
				countInWindow(requests, from-10*second),
			)
			So(countInWindow(retries, from), ShouldBeLessThanOrEqualTo, 0.2*largest+60)
		}
		So(countInWindow(retries, 5*second), ShouldBeGreaterThan, 0.1*5000)
		_, err := NewRetryBudget(RetryBudgetRules{})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(budgets[0].Allowed(-second, "t"), ShouldBeTrue)
	})
}
