package controlplane

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/quota"
)

// minElectionTimeout is how long a voter that has received a leader's message votes for no other member.
const minElectionTimeout = 500 * time.Millisecond

func TestOnlyTheLeaderInContactAllocates(t *testing.T) {
	Convey("Only a leader in its own term with a recent contact to a majority may allocate tokens", t, func() {
		So(checkAllocator(maxAllocateContactAge, true, true), ShouldBeNil)
		So(errs.KindOf(checkAllocator(maxAllocateContactAge+1, true, true)), ShouldEqual, errs.NoQuorum)
		So(errs.KindOf(checkAllocator(0, false, true)), ShouldEqual, errs.NoQuorum)
		So(errs.KindOf(checkAllocator(0, true, false)), ShouldEqual, errs.NotLeader)
	})
	Convey("Tokens of a partitioned leader and of its successor are never valid at the same time", t, func() {
		rules := quota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		limits := map[string]quota.Limit{"a": {Rate: 172, Burst: 172}}
		demands := []quota.Demand{{Tenant: "a", Requested: 1}}
		var allocators []*quota.Allocator
		for range 2 {
			allocator, err := quota.NewAllocator(rules)
			So(err, ShouldBeNil)
			So(allocator.Configure(0, limits, 3), ShouldBeNil)
			allocators = append(allocators, allocator)
		}
		allocates := func(now time.Duration, epoch quota.Epoch, node string) bool {
			response, err := allocators[epoch-1].Allocate(now, epoch, node, &quota.Request{Demands: demands})
			return err == nil && len(response.Grants) > 0
		}
		allocates(0, 1, "n1")
		confirmed := 2 * time.Second // time of the old leader's last heartbeat that a majority confirmed
		var lastByOldLeader, firstByNewLeader time.Duration
		for now := confirmed; now < confirmed+3*time.Second; now += 5 * time.Millisecond {
			if checkAllocator(now-confirmed, true, true) == nil && allocates(now, 1, "n1") {
				lastByOldLeader = now
			}
			if now < confirmed+minElectionTimeout {
				continue
			}
			if allocates(now, 2, "n2") && firstByNewLeader == 0 {
				firstByNewLeader = now
			}
		}
		So(lastByOldLeader, ShouldBeGreaterThan, confirmed)
		So(firstByNewLeader, ShouldBeGreaterThanOrEqualTo, lastByOldLeader+quota.TokenTTL)
	})
}
