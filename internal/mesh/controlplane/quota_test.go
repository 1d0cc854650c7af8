package controlplane

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/quota"
)

// leastElectionTimeout is how long a voter that heard a leader votes for nobody else.
const leastElectionTimeout = 500 * time.Millisecond

func TestWhoMayDeal(t *testing.T) {
	Convey("Tokens are dealt by a leader in its own term, with young contact", t, func() {
		So(checkAllocator(maxAllocateContactAge, true, true), ShouldBeNil)
		So(errs.KindOf(checkAllocator(maxAllocateContactAge+1, true, true)), ShouldEqual, errs.NoQuorum)
		So(errs.KindOf(checkAllocator(0, false, true)), ShouldEqual, errs.NoQuorum)
		So(errs.KindOf(checkAllocator(0, true, false)), ShouldEqual, errs.NotLeader)
	})
	Convey("A leader that is cut off and the next one never deal tokens that can be spent at the same time", t, func() {
		rules := quota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		limits := map[string]quota.Limit{"a": {Rate: 172, Burst: 172}}
		ask := []quota.Demand{{Tenant: "a", Want: 1}}
		var dealers []*quota.Allocator
		for range 2 {
			d, err := quota.NewAllocator(rules)
			So(err, ShouldBeNil)
			So(d.Configure(0, limits, 3), ShouldBeNil)
			dealers = append(dealers, d)
		}
		_, _, _ = dealers[0].Allocate(0, 1, "n1", ask)
		confirmed := 2 * time.Second // the old leader's last round
		var last, first time.Duration
		for now := confirmed; now < confirmed+3*time.Second; now += 5 * time.Millisecond {
			if checkAllocator(now-confirmed, true, true) == nil {
				if grants, _, err := dealers[0].Allocate(now, 1, "n1", ask); err == nil && len(grants) > 0 {
					last = now
				}
			}
			if now < confirmed+leastElectionTimeout {
				continue
			}
			if grants, _, err := dealers[1].Allocate(now, 2, "n2", ask); err == nil && len(grants) > 0 && first == 0 {
				first = now
			}
		}
		So(last, ShouldBeGreaterThan, confirmed)
		So(first, ShouldBeGreaterThanOrEqualTo, last+quota.TokenTTL)
	})
}
