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
	title := "Upstreams and configs reach every sidecar at once, and each is counted"
	runMesh(t, title, func(_ *network, m []*member, c []*sidecar) {
		c[2].change(func() { c[2].up.State, c[2].up.Sequence = registry.Draining, 2 })
		c[2].RenewNow()
		advance(15 * ms)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3!,i-c1 i-c2 i-c3!")

		So(m[0].CountBehind(7), ShouldEqual, 3)
		for _, one := range m {
			one.publish(7)
		}
		began := time.Now()
		So(m[0].WaitApplied(context.Background(), 7), ShouldEqual, 0)
		So(time.Since(began), ShouldBeLessThanOrEqualTo, 15*ms)
		So(c[0].configFrames(), ShouldResemble, []string{"[7]"})
		m[0].publish(9)
		m[1].publish(9)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		So(m[0].WaitApplied(ctx, 9), ShouldEqual, 1)
		So(c[0].configFrames(), ShouldResemble, []string{"[7]", "8", "9"})

		// A frame that does not apply is followed by the full configuration.
		c[2].change(func() { c[2].rejectNext = true })
		m[2].publish(9)
		advance(30 * ms)
		So(c[2].configFrames(), ShouldResemble, []string{"[7]", "8", "[9]"})
		So(m[1].CountBehind(9), ShouldEqual, 0)
		c[2].change(func() { c[2].rejectNext = true })
		m[2].publish(10)
		advance(30 * ms)
		So(c[2].configFrames(), ShouldResemble, []string{"[7]", "8", "[9]", "10", "[10]"})
		So(c[2].Peers()[0], ShouldEqual, "m3:1")

		// A deregistration that reaches a member directly counts everywhere, although the sidecar
		// still renews.
		So(m[0].Heartbeat(registry.Upstream{Instance: "i-c2", State: registry.Deregistered}), ShouldBeNil)
		advance(30 * ms)
		So(c[2].upstreams(), ShouldEqual, "i-c1 i-c3!")
		c[1].change(func() { c[1].up.Sequence++ })
		advance(5 * time.Second)
		So(c[1].upstreams(), ShouldEqual, "i-c1 i-c3!")
		So(errs.KindOf(m[0].Heartbeat(registry.Upstream{})), ShouldEqual, errs.Invalid)
	})
}

func TestSidecarChangesMemberOnFailure(t *testing.T) {
	title := "A sidecar moves to another member at once, applies nothing older, and loses nothing"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		m[0].publish(5)
		advance(15 * ms)
		fulls := c[0].fullUpdates()
		m[0].stop()
		advance(20 * ms)
		So(c[0].Connected(), ShouldBeTrue)
		So(c[0].Peers()[0], ShouldNotEqual, "m1:1")
		m[1].publish(4)
		m[2].publish(4)
		advance(3 * time.Second)
		So(c[0].cfg.ConfigVersion(), ShouldEqual, 5)
		So(c[0].configFrames(), ShouldResemble, []string{"[5]"})
		So(c[0].fullUpdates(), ShouldEqual, fulls+1)
		So(m[1].CountBehind(5)*10+m[2].CountBehind(4), ShouldEqual, 20)

		// Partitioned from the others, a member keeps no sidecar and sends no configuration.
		was := c[1].Peers()[0]
		for i, one := range m {
			one.setContact(memberAddresses[i] != was)
			if memberAddresses[i] == was {
				one.publish(6)
			}
		}
		advance(1200 * ms)
		So(c[1].Peers()[0], ShouldNotEqual, was)
		So(c[1].cfg.ConfigVersion(), ShouldEqual, 4)
		err := c[1].requestWatch(context.Background(), was, "x")
		So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)

		// A member that restarts syncs with the others, and says so meanwhile.
		fresh := n.member("m1:1", 99)
		defer fresh.stop()
		advance(50 * ms)
		So(fresh.Syncing(), ShouldBeTrue)
		So(len(fresh.Upstreams()), ShouldEqual, 3)
		for _, s := range c {
			So(s.upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		}
	})
}

func TestRegistryKeptWithoutMembers(t *testing.T) {
	title := "With all members restarted, sidecars keep their registry until the members have synced"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		for _, one := range m {
			one.stop()
		}
		c[2].stop()
		advance(10 * time.Second)
		So(c[0].Connected(), ShouldBeFalse)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		began := time.Now()
		fresh := n.member("m2:1", 99)
		defer fresh.stop()
		advance(maxBackoff + 4*minBackoff)
		So(c[0].Connected() && c[1].Connected(), ShouldBeTrue)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
		So(c[0].Counts().Live, ShouldEqual, 3)
		advance(syncingPeriod + heartbeatInterval - time.Since(began))
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2")
		So(c[0].Counts().Live, ShouldEqual, 2)
	})
}

func TestSidecarsLeaveOrExpire(t *testing.T) {
	title := "A partitioned sidecar goes stale and expires; one that leaves is removed at once"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		So(c[1].Leave(context.Background()), ShouldBeNil)
		advance(30 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		sent := c[1].leasesSent()
		advance(2 * time.Second)
		So(c[1].leasesSent(), ShouldEqual, sent)
		c[1].stop()
		for _, name := range memberAddresses {
			n.sever("c3", name)
		}
		// The last renewal may be renewInterval old.
		advance(registry.LeaseTTL - renewInterval - ms)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		m[0].publish(2)
		So(m[0].WaitApplied(context.Background(), 2), ShouldEqual, 0)
		advance(time.Second)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c3?")
		So(m[1].Counts(), ShouldResemble, registry.Counts{Live: 1, Peak: 3, ShareHolders: 3})
		So(c[2].Connected(), ShouldBeFalse)
		// Its upstream reaches a member directly.
		up := registry.Upstream{Instance: "i-c3", Service: "s-c3", Address: "c3:80", Sequence: 5}
		So(m[1].Heartbeat(up), ShouldBeNil)
		advance(30 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		So(c[0].inbound("i-c3"), ShouldEqual, "c3:90")
		advance(registry.StaleTTL + 3*time.Second)
		So(c[0].upstreams(), ShouldEqual, "i-c1")
	})
}

func TestServiceFilterAndSlowSidecar(t *testing.T) {
	title := "A sidecar receives the services it calls, and one that does not read blocks nobody"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		c[0].change(func() { c[0].services = []string{"s-c2"} })
		c[0].Resubscribe()
		advance(15 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c2")
		So(c[0].Peers()[0], ShouldEqual, "m1:1")
		c[2].change(func() { c[2].up.State, c[2].up.Sequence = registry.Draining, 2 })
		c[2].RenewNow()
		advance(15 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c2")

		conn, err := n.dial("slow", "m1:1")
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST "+watchPath+" HTTP/1.1\r\n"+
			"Host: m1\r\nContent-Length: 15\r\n\r\n{\"node\":\"slow\"}")
		So(err, ShouldBeNil)
		advance(50 * ms)
		So(m[0].openWatches(), ShouldEqual, 2)
		c[1].change(func() { c[1].up.State, c[1].up.Sequence = registry.Draining, 2 })
		c[1].RenewNow()
		advance(15 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c2!")
		advance(writeTimeout + 500*ms)
		So(m[0].openWatches(), ShouldEqual, 1)

		// A node's newer watch ends the older one.
		ctx, cancel := context.WithTimeout(context.Background(), 50*ms)
		defer cancel()
		err = c[1].requestWatch(ctx, "m1:1", "c1")
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		synctest.Wait()
		So(c[0].Peers()[0], ShouldNotEqual, "m1:1")
		So(c[0].Connected(), ShouldBeTrue)
	})
}

func TestStatusTellsWhyNothingNewerComes(t *testing.T) {
	title := "A member names who lags and what it sent, a sidecar why its sessions fail"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		publishAll := func(version int64) {
			for _, to := range m {
				to.publish(version)
			}
			advance(time.Second)
		}
		publishAll(1)
		So(m[0].Lagging(1), ShouldBeEmpty)
		So(c[0].Status().FailedSessions, ShouldEqual, 0)
		So(c[0].Status().FrameAge, ShouldBeLessThan, 2*heartbeatInterval)
		for _, to := range memberAddresses {
			n.sever("c1", to)
		}
		publishAll(2)
		lagging := m[0].Lagging(2)
		So(len(lagging), ShouldEqual, 1)
		So(lagging[0].Node, ShouldEqual, "c1")
		So(lagging[0].Applied, ShouldEqual, 1)
		advance(idleTimeout)
		status := c[0].Status()
		So(status.Connected, ShouldBeFalse)
		So(status.FailedSessions, ShouldBeGreaterThan, 0)
		So(status.LastFailure, ShouldNotBeNil)
	})
}
