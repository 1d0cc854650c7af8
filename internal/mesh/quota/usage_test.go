package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUsageCountsAdmissionsByTokenSource(t *testing.T) {
	Convey("Usage counts granted, floor and rejected requests once, and has the rate and the members", t, func() {
		l, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, map[string]Limit{"a": {172, 172}, "idle": {8, 8}}, 12), ShouldBeNil)
		l.Allow(10*second, "idle")
		l.TakeUsage()
		l.Request(10 * second)
		So(l.ApplyResponse(10*second, Response{Epoch: 1, Grants: []Grant{{"a", 2}}}), ShouldBeNil)
		admitted := 0
		for range 20 {
			if l.Allow(10*second, "a") {
				admitted++
			}
		}
		usage := l.TakeUsage()
		So(usage, ShouldHaveLength, 1)
		So(usage[0].FromGrants, ShouldEqual, 2)
		So(usage[0].Admitted(), ShouldEqual, admitted)
		So(usage[0].FromFloor, ShouldBeGreaterThan, 0)
		So(usage[0].Admitted()+usage[0].Rejected, ShouldEqual, 20)
		So(usage[0].Tenant, ShouldEqual, "a")
		So(usage[0].Rate, ShouldEqual, 172)
		So(usage[0].Members, ShouldEqual, 12)
		So(l.TakeUsage(), ShouldBeEmpty)
	})
}
