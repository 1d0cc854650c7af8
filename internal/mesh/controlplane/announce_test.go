package controlplane

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/settings"
)

func TestAnnounceResponseOmitsKnownMachines(t *testing.T) {
	Convey("A response lists the live machines unless the sender knows the same machines", t, func() {
		local := cluster.Announcement{ID: "10.1.0.1:7000#a", Zone: "x"}
		other := cluster.Announcement{ID: "10.1.0.2:7000#b", Zone: "y"}
		s := &Server{
			settings:   &settings.Settings{},
			memberList: cluster.NewMemberList(local, nil),
			startedAt:  time.Now(),
		}
		receive := func(known ...cluster.Announcement) []cluster.Announcement {
			request := &cluster.AnnounceRequest{Announcement: other}
			if known != nil {
				request.KnownMachines = cluster.DigestMachines(known)
			}
			response, err := s.receiveAnnouncement(nil, request)
			So(err, ShouldBeNil)
			return response.Machines
		}
		all := []cluster.Announcement{local, other}
		So(receive(), ShouldResemble, all)
		So(receive(other), ShouldResemble, all)
		So(receive(all...), ShouldBeEmpty)
		leaving := other
		leaving.Leaving = true
		So(receive(local, leaving), ShouldResemble, all)
		moved := other
		moved.Zone = "z"
		So(receive(local, moved), ShouldResemble, all)
		So(cluster.DigestMachines(nil), ShouldNotEqual, cluster.MachinesDigest(0))
	})
}
