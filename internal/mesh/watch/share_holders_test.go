package watch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestSidecarThatMayBeForgottenHoldsNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A sidecar holds its share until the core may forget it, by members in contact alone", t, func() {
			client := NewClient(ClientConfig{})
			So(client.ShareHolders(), ShouldEqual, 0)
			client.recordRenewal(time.Now(), &LeaseResponse{Contact: Contact{OK: true}})
			client.recordMembers(&LeaseResponse{
				Contact: Contact{OK: true}, Counts: registry.Counts{Live: 2, Peak: 2, ShareHolders: 12},
			})
			lost := registry.SilentRetention - retentionMargin
			<-time.After(lost - time.Second)
			So(client.ShareHolders(), ShouldEqual, 12)
			client.recordRenewal(time.Now(), &LeaseResponse{})
			<-time.After(time.Second)
			So(client.ShareHolders(), ShouldEqual, 0)
			client.recordRenewal(time.Now(), &LeaseResponse{Contact: Contact{OK: true}})
			So(client.ShareHolders(), ShouldEqual, 12)
		})
		Convey("A member of an earlier release names no share holders: its largest recent number counts", t, func() {
			client := NewClient(ClientConfig{})
			client.recordMembers(&LeaseResponse{Contact: Contact{OK: true}, Counts: registry.Counts{Live: 2, Peak: 7}})
			So(client.ShareHolders(), ShouldEqual, 7)
		})
	})
}

func TestMemberThatStartsHearsOfSilentSidecars(t *testing.T) {
	title := "A core machine that starts anew counts the sidecars that only the others remember"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		c[2].stop()
		m[1].stop()
		advance(registry.LeaseTTL + registry.PeakWindow + time.Second)
		fresh := n.member(memberAddresses[1], 99)
		defer fresh.stop()
		advance(syncingPeriod)
		So(fresh.Counts(), ShouldResemble, registry.Counts{Live: 2, Peak: 2, ShareHolders: 3})
		So(c[0].ShareHolders(), ShouldEqual, 3)
	})
}
