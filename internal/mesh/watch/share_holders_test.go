package watch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestShareExpiresWithoutConfirmedRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A sidecar holds its share until it may be forgotten; only core machines in contact confirm it", t, func() {
			client := NewClient(ClientConfig{})
			So(client.ShareHolders(), ShouldEqual, 0)
			client.recordRenewal(time.Now(), &LeaseResponse{Contact: Contact{OK: true}})
			client.recordMembers(&LeaseResponse{
				Contact: Contact{OK: true}, Counts: registry.Counts{Live: 2, Peak: 2, ShareHolders: 12},
			})
			retention := registry.SilentRetention - retentionMargin
			<-time.After(retention - time.Second)
			So(client.ShareHolders(), ShouldEqual, 12)
			client.recordRenewal(time.Now(), &LeaseResponse{})
			<-time.After(time.Second)
			So(client.ShareHolders(), ShouldEqual, 0)
			client.recordRenewal(time.Now(), &LeaseResponse{Contact: Contact{OK: true}})
			So(client.ShareHolders(), ShouldEqual, 12)
		})
		Convey("If an earlier release sends no number of share holders, the peak number of sidecars counts", t, func() {
			client := NewClient(ClientConfig{})
			client.recordMembers(&LeaseResponse{Contact: Contact{OK: true}, Counts: registry.Counts{Live: 2, Peak: 7}})
			So(client.ShareHolders(), ShouldEqual, 7)
		})
	})
}

func TestRestartedMemberLearnsSilentSidecars(t *testing.T) {
	title := "A restarted core machine counts the silent sidecars that only the other core machines remember"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		sidecars[2].stop()
		members[1].stop()
		advance(registry.LeaseTTL + registry.PeakWindow + time.Second)
		restarted := network.testMember(memberAddresses[1], 99)
		defer restarted.stop()
		advance(syncingPeriod)
		So(restarted.Counts(), ShouldResemble, registry.Counts{Live: 2, Peak: 2, ShareHolders: 3})
		So(sidecars[0].ShareHolders(), ShouldEqual, 3)
	})
}
