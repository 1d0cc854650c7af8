package watch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

func TestUpdatesReachAllSidecars(t *testing.T) {
	title := "Upstreams and configurations reach every sidecar within 15 ms, and lagging sidecars are counted"
	runMesh(t, title, func(_ *testNetwork, members []*testMember, sidecars []*testSidecar) {
		sidecars[2].update(func() { sidecars[2].upstream.State, sidecars[2].upstream.Sequence = registry.Draining, 2 })
		sidecars[2].RenewNow()
		advance(15 * ms)
		So(sidecars[0].upstreams()+","+sidecars[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3!,i-c1 i-c2 i-c3!")

		So(members[0].CountBehind(7), ShouldEqual, 3)
		for _, member := range members {
			member.publish(7)
		}
		began := time.Now()
		So(members[0].WaitApplied(context.Background(), 7), ShouldEqual, 0)
		So(time.Since(began), ShouldBeLessThanOrEqualTo, 15*ms)
		So(sidecars[0].configFrames(), ShouldResemble, []string{"[7]"})
		members[0].publish(9)
		members[1].publish(9)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		So(members[0].WaitApplied(ctx, 9), ShouldEqual, 1)
		So(sidecars[0].configFrames(), ShouldResemble, []string{"[7]", "8", "9"})

		// A change that a sidecar rejects is followed by the full configuration.
		sidecars[2].update(func() { sidecars[2].rejectNext = true })
		members[2].publish(9)
		advance(30 * ms)
		So(sidecars[2].configFrames(), ShouldResemble, []string{"[7]", "8", "[9]"})
		So(members[1].CountBehind(9), ShouldEqual, 0)
		sidecars[2].update(func() { sidecars[2].rejectNext = true })
		members[2].publish(10)
		advance(30 * ms)
		So(sidecars[2].configFrames(), ShouldResemble, []string{"[7]", "8", "[9]", "10", "[10]"})
		So(sidecars[2].Peers()[0], ShouldEqual, "m3:1")

		// A deregistration that reaches one core machine directly takes effect at all of them, although the
		// upstream's sidecar still renews its lease.
		So(members[0].Heartbeat(registry.Upstream{Instance: "i-c2", State: registry.Deregistered}), ShouldBeNil)
		advance(30 * ms)
		So(sidecars[2].upstreams(), ShouldEqual, "i-c1 i-c3!")
		sidecars[1].update(func() { sidecars[1].upstream.Sequence++ })
		advance(5 * time.Second)
		So(sidecars[1].upstreams(), ShouldEqual, "i-c1 i-c3!")
		So(errs.KindOf(members[0].Heartbeat(registry.Upstream{})), ShouldEqual, errs.Invalid)
	})
}

func TestSidecarMovesAfterMemberFailure(t *testing.T) {
	title := "A sidecar moves to another core machine within 20 ms, applies no older version and loses no upstream"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		members[0].publish(5)
		advance(15 * ms)
		fullUpdatesBefore := sidecars[0].fullUpdates()
		members[0].stop()
		advance(20 * ms)
		So(sidecars[0].Connected(), ShouldBeTrue)
		So(sidecars[0].Peers()[0], ShouldNotEqual, "m1:1")
		members[1].publish(4)
		members[2].publish(4)
		advance(3 * time.Second)
		So(sidecars[0].cfg.ConfigVersion(), ShouldEqual, 5)
		So(sidecars[0].configFrames(), ShouldResemble, []string{"[5]"})
		So(sidecars[0].fullUpdates(), ShouldEqual, fullUpdatesBefore+1)
		So(members[1].CountBehind(5)*10+members[2].CountBehind(4), ShouldEqual, 20)

		// A core machine that has lost contact keeps no sidecar and sends no configuration.
		previous := sidecars[1].Peers()[0]
		for i, member := range members {
			member.setContact(memberAddresses[i] != previous)
			if memberAddresses[i] == previous {
				member.publish(6)
			}
		}
		advance(1200 * ms)
		So(sidecars[1].Peers()[0], ShouldNotEqual, previous)
		So(sidecars[1].cfg.ConfigVersion(), ShouldEqual, 4)
		err := sidecars[1].requestWatch(context.Background(), previous, "x")
		So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)

		// A restarted core machine fetches the registry from the others and reports meanwhile that it is
		// syncing.
		restarted := network.testMember("m1:1", 99)
		defer restarted.stop()
		advance(50 * ms)
		So(restarted.Syncing(), ShouldBeTrue)
		So(len(restarted.Upstreams()), ShouldEqual, 3)
		for _, s := range sidecars {
			So(s.upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		}
	})
}

func TestRegistryKeptUntilMembersSynced(t *testing.T) {
	title := "After all core machines have restarted, sidecars keep their registry until the core machines have synced"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		for _, member := range members {
			member.stop()
		}
		sidecars[2].stop()
		advance(10 * time.Second)
		So(sidecars[0].Connected(), ShouldBeFalse)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		began := time.Now()
		restarted := network.testMember("m2:1", 99)
		defer restarted.stop()
		advance(maxBackoff + 4*minBackoff)
		So(sidecars[0].Connected() && sidecars[1].Connected(), ShouldBeTrue)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		So(sidecars[0].Counts().Live, ShouldEqual, 3)
		advance(syncingPeriod + heartbeatInterval - time.Since(began))
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c2")
		So(sidecars[0].Counts().Live, ShouldEqual, 2)
	})
}

func TestSidecarsLeaveOrExpire(t *testing.T) {
	title := "A partitioned sidecar's upstream becomes stale and expires; a leaving sidecar's upstream is removed at once"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		So(sidecars[1].Leave(context.Background()), ShouldBeNil)
		advance(30 * ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		sent := sidecars[1].leasesSent()
		advance(2 * time.Second)
		So(sidecars[1].leasesSent(), ShouldEqual, sent)
		sidecars[1].stop()
		for _, name := range memberAddresses {
			network.blockLink("c3", name)
		}
		// The last renewal may have been sent up to renewInterval ago.
		advance(registry.LeaseTTL - renewInterval - ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		members[0].publish(2)
		So(members[0].WaitApplied(context.Background(), 2), ShouldEqual, 0)
		advance(time.Second)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c3?")
		So(members[1].Counts(), ShouldResemble, registry.Counts{Live: 1, Peak: 3, ShareHolders: 3})
		So(sidecars[2].Connected(), ShouldBeFalse)
		// The partitioned sidecar's upstream sends a heartbeat directly to a core machine.
		upstream := registry.Upstream{Instance: "i-c3", Service: "s-c3", Address: "c3:80", Sequence: 5}
		So(members[1].Heartbeat(upstream), ShouldBeNil)
		advance(30 * ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		So(sidecars[0].inboundAddress("i-c3"), ShouldEqual, "c3:90")
		advance(registry.StaleTTL + 3*time.Second)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1")
	})
}

func TestServiceFilterAndSlowSidecar(t *testing.T) {
	title := "A sidecar receives only the services it calls, and a sidecar that does not read its watch blocks no other"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		sidecars[0].update(func() { sidecars[0].services = []string{"s-c2"} })
		sidecars[0].Resubscribe()
		advance(15 * ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c2")
		So(sidecars[0].Peers()[0], ShouldEqual, "m1:1")
		sidecars[2].update(func() { sidecars[2].upstream.State, sidecars[2].upstream.Sequence = registry.Draining, 2 })
		sidecars[2].RenewNow()
		advance(15 * ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c2")

		conn, err := network.dial("slow", "m1:1")
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST "+watchPath+" HTTP/1.1\r\n"+
			"Host: m1\r\nContent-Length: 15\r\n\r\n{\"node\":\"slow\"}")
		So(err, ShouldBeNil)
		advance(50 * ms)
		So(members[0].openWatches(), ShouldEqual, 2)
		sidecars[1].update(func() { sidecars[1].upstream.State, sidecars[1].upstream.Sequence = registry.Draining, 2 })
		sidecars[1].RenewNow()
		advance(15 * ms)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c2!")
		advance(writeTimeout + 500*ms)
		So(members[0].openWatches(), ShouldEqual, 1)

		// A newer watch of a node ends the older one.
		ctx, cancel := context.WithTimeout(context.Background(), 50*ms)
		defer cancel()
		err = sidecars[1].requestWatch(ctx, "m1:1", "c1")
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		synctest.Wait()
		So(sidecars[0].Peers()[0], ShouldNotEqual, "m1:1")
		So(sidecars[0].Connected(), ShouldBeTrue)
	})
}

func TestStatusExplainsMissingUpdates(t *testing.T) {
	title := "A core machine lists lagging sidecars with the versions sent, and a sidecar reports why its sessions fail"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		publishAll := func(version int64) {
			for _, target := range members {
				target.publish(version)
			}
			advance(time.Second)
		}
		publishAll(1)
		So(members[0].Lagging(1), ShouldBeEmpty)
		So(sidecars[0].Status().FailedSessions, ShouldEqual, 0)
		So(sidecars[0].Status().FrameAge, ShouldBeLessThan, 2*heartbeatInterval)
		for _, target := range memberAddresses {
			network.blockLink("c1", target)
		}
		publishAll(2)
		lagging := members[0].Lagging(2)
		So(len(lagging), ShouldEqual, 1)
		So(lagging[0].Node, ShouldEqual, "c1")
		So(lagging[0].Applied, ShouldEqual, 1)
		advance(idleTimeout)
		status := sidecars[0].Status()
		So(status.Connected, ShouldBeFalse)
		So(status.FailedSessions, ShouldBeGreaterThan, 0)
		So(status.LastFailure, ShouldNotBeNil)
	})
}
