package cluster

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/replication"
)

func TestMemberList(t *testing.T) {
	local := Announcement{ID: "10.1.0.1:1", Zone: "a"}
	Convey("A member list contains the live machines, and all machines ever named are announcement targets", t, func() {
		list := NewMemberList(local, []string{"10.9.0.1:1"})
		So(list.Receive(0, Announcement{ID: "10.2.0.1:1", Zone: "b"}), ShouldBeNil)
		So(list.Receive(0, Announcement{ID: "nowhere"}), ShouldNotBeNil)
		So(list.Addresses(0), ShouldResemble, []string{"10.1.0.1:1", "10.2.0.1:1"})
		So(list.AnnounceTargets(0), ShouldResemble, []string{"10.2.0.1:1", "10.9.0.1:1"})
		So(list.Addresses(announcementTTL+1), ShouldResemble, []string{"10.1.0.1:1"})
		list.SetMembership(replication.Membership{Voters: []replication.MemberID{"10.3.0.1:1"}})
		list.Merge(&AnnounceResponse{Machines: []Announcement{{ID: "10.4.0.1:1#x"}, {ID: "nowhere"}}})
		So(list.AnnounceTargets(announcementTTL+1), ShouldResemble, []string{"10.3.0.1:1", "10.4.0.1:1", "10.9.0.1:1"})
	})
	Convey("A new disk at a known address counts as a newly joined machine", t, func() {
		list := NewMemberList(local, nil)
		So(list.Receive(0, Announcement{ID: "10.2.0.1:1"}), ShouldBeNil)
		So(list.Receive(time.Second, Announcement{ID: "10.2.0.1:1#new"}), ShouldBeNil)
		So(list.NewestJoin(), ShouldEqual, time.Second)
		So(list.LiveMembers(time.Second)[1].ID, ShouldEqual, replication.MemberID("10.2.0.1:1#new"))
	})
	Convey("The number of machines is bounded, so that false announcements can't exhaust the memory", t, func() {
		list := NewMemberList(local, nil)
		var rejected int
		for i := range 2 * maxMachines {
			port := string(rune('0'+i%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i/100))
			if list.Receive(0, Announcement{ID: replication.NewMemberID("10.5.0.1:"+port, "")}) != nil {
				rejected++
			}
		}
		So(rejected, ShouldEqual, 2*maxMachines-maxMachines)
	})
}
