package replication

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

func TestNodeWithFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A leader whose disk is full steps down, and follows the next leader after the disk recovers", t, func() {
			ids := allMembers[:3]
			nodes, disks, apps := make([]*Node, 3), make([]*memoryStorage, 3), make([]*application, 3)
			var mu sync.Mutex
			mu.Lock()
			for i, id := range ids {
				first := Snapshot{Membership: Membership{Voters: ids}}
				disks[i] = &memoryStorage{state: State{ID: id, Cluster: testCluster, Snapshot: first}}
				apps[i] = &application{}
				n, err := StartNode(NodeConfig{
					Storage: disks[i], State: disks[i].state, Logger: zap.NewNop(), AppliedIndex: apps[i].applied,
					Apply: apps[i].apply, Restore: apps[i].restore, Snapshot: apps[i].snapshot,
					Send: func(to MemberID, msgs []Message) {
						mu.Lock()
						peer := nodes[slices.Index(ids, to)]
						mu.Unlock()
						peer.Deliver(id, msgs)
					}})
				if err != nil {
					t.Fatal(err)
				}
				nodes[i] = n
			}
			mu.Unlock()
			first := proposeToLeader(nodes, "one")
			So(first, ShouldBeGreaterThanOrEqualTo, 0)
			ctx := context.Background()
			So(nodes[first].Read(ctx), ShouldBeNil)
			So(errs.KindOf(nodes[(first+1)%3].Read(ctx)), ShouldEqual, errs.NotLeader)

			disks[first].setFull(true)
			_, err := nodes[first].Propose(ctx, []byte("refused"))
			So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)
			// A caller receives its result before the same iteration of the loop publishes the status.
			synctest.Wait()
			So(nodes[first].Status().StorageFailed, ShouldBeTrue)
			_, err = nodes[first].Propose(ctx, []byte("refused"))
			So(errs.KindOf(err), ShouldEqual, errs.DiskFailed)
			second := proposeToLeader(nodes, "two")
			So(second, ShouldNotEqual, first)

			disks[first].setFull(false)
			<-time.After(2 * time.Second)
			So(nodes[first].Status().StorageFailed, ShouldBeFalse)
			So(nodes[first].InContact(), ShouldBeTrue)
			So(apps[first].commands(), ShouldResemble, apps[second].commands())
			So(apps[second].commands()[0], ShouldEqual, "one")
			So(apps[second].commands(), ShouldContain, "two")
			for _, n := range nodes {
				So(n.Close(), ShouldBeNil)
			}
		})
	})
}
