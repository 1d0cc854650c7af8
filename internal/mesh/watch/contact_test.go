package watch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// memberChanges records the core machine that a sidecar uses, how often it changed, and when it changed last.
type memberChanges struct {
	current string
	count   int
	last    time.Duration
}

// observe records a change if the sidecar's current core machine differs from the one recorded last.
func (c *memberChanges) observe(s *testSidecar, now time.Duration) {
	if current := s.Peers()[0]; current != c.current {
		c.current, c.count, c.last = current, c.count+1, now
	}
}

// maxMoveTime is the longest time from the last contact of a core machine until its sidecars have moved: the
// contact expires, the core machine checks it, and the sidecar asks the other core machines and opens a
// watch.
const maxMoveTime = maxContactAge + tickInterval + probeTimeout + 50*ms

// partitionFirstMember partitions the first core machine from the two others, both in the simulated log and
// for gossip.
func partitionFirstMember(network *testNetwork, quorum *quorumSimulator) {
	for _, i := range []int{1, 2} {
		quorum.blockLink(0, i)
		quorum.blockLink(i, 0)
		network.blockLink(memberAddresses[0], memberAddresses[i])
		network.blockLink(memberAddresses[i], memberAddresses[0])
	}
}

func TestPartitionedMember(t *testing.T) {
	title := "A core machine that is partitioned for 20 s sends nothing outdated, and its sidecars move in time"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		quorum := newQuorumSimulator(members)
		defer close(quorum.done)
		advance(time.Second)
		partitionFirstMember(network, quorum)
		for _, address := range memberAddresses[1:] {
			network.blockLink("new", address)
		}
		quorum.update(func() { quorum.leader = 1 })
		// The partitioned core machine does not learn that sidecar c2 is draining, nor that the upstream of
		// c3 was deregistered.
		sidecars[1].update(func() { sidecars[1].upstream.State, sidecars[1].upstream.Sequence = registry.Draining, 2 })
		sidecars[1].RenewNow()
		So(members[1].Heartbeat(registry.Upstream{Instance: "i-c3", State: registry.Deregistered}), ShouldBeNil)
		newSidecar := network.testSidecar("new", "zone-m1:1", memberAddresses[0])
		defer newSidecar.stop()
		newSidecar.update(func() { newSidecar.upstream.Instance = "" }) // the new sidecar has no upstream
		changes := memberChanges{current: memberAddresses[0]}
		unusedClient := httpclient.New(time.Second)
		defer unusedClient.CloseIdleConnections()
		initialVersion, _ := sidecars[0].appliedVersion()
		quorum.run(20*time.Second, true, func(now time.Duration) {
			changes.observe(sidecars[0], now)
			if now > maxMoveTime {
				version, _ := sidecars[0].appliedVersion()
				if version < quorum.committed {
					t.Fatalf("after %v sidecar c1 has applied version %d, want %d", now, version, quorum.committed)
				}
			}
			if now < maxContactAge {
				return // the contact of the partitioned core machine has not expired yet
			}
			if version, _ := newSidecar.appliedVersion(); version > initialVersion {
				t.Fatalf("after %v the new sidecar received version %d from the partitioned core machine, want none", now, version)
			}
		})
		So(changes.count, ShouldEqual, 1)
		So(changes.last, ShouldBeBetween, time.Duration(0), maxMoveTime)
		err := sidecars[0].requestWatch(context.Background(), memberAddresses[0], "x")
		So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)
		lease := &registry.Lease{Node: "x", Incarnation: 1, Sequence: 1}
		url := "http://" + memberAddresses[0] + leasePath
		response, err := rpc.Call[registry.Lease, LeaseResponse](context.Background(), sidecars[0].cfg.HTTP, url, lease)
		So(err, ShouldBeNil)
		So(response.Contact.OK || response.CaughtUp, ShouldBeFalse)

		// After contact is regained, the core machine must not list the deregistered upstream, nor the
		// draining one as ready.
		quorum.heal()
		advance(2 * leaderInterval)
		network.heal()
		for _, address := range memberAddresses[1:] {
			network.blockLink("new", address)
			network.blockLink("later", address)
		}
		laterSidecar := network.testSidecar("later", "zone-m1:1", memberAddresses[0])
		defer laterSidecar.stop()
		quorum.run(5*time.Second, true, func(now time.Duration) {
			for _, s := range []*testSidecar{laterSidecar, newSidecar} {
				listed := s.upstreams()
				if s == newSidecar && now < maxRegistryDelay {
					continue // the new sidecar connected before the contact expired, so it still holds the old registry
				}
				if strings.Contains(listed, "i-c3") || strings.Contains(listed+" ", "i-c2 ") {
					t.Fatalf("%v after contact was regained the core machine lists %s, want no i-c3 and i-c2 draining", now, listed)
				}
			}
			changes.observe(sidecars[0], now)
		})
		So(newSidecar.upstreams(), ShouldContainSubstring, "i-c2!")
		So(laterSidecar.upstreams(), ShouldContainSubstring, "i-c2!")
		version, _ := newSidecar.appliedVersion()
		So(version, ShouldEqual, quorum.committed)
		So(changes.count, ShouldEqual, 1)
		for _, s := range append(sidecars, newSidecar) {
			_, regressed := s.appliedVersion()
			So(regressed, ShouldBeFalse)
		}
	})
}

func TestSidecarsLeavePartitionedMemberInTime(t *testing.T) {
	for offset := time.Duration(0); offset < renewInterval; offset += 100 * ms {
		title := "A sidecar moves in time, at whatever time between two renewals the partition begins"
		runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
			quorum := newQuorumSimulator(members)
			defer close(quorum.done)
			advance(time.Second + offset)
			partitionFirstMember(network, quorum)
			quorum.update(func() { quorum.leader = 1 })
			quorum.run(maxMoveTime, true, nil)
			So(sidecars[0].Peers()[0], ShouldNotEqual, memberAddresses[0])
			So(sidecars[0].Connected(), ShouldBeTrue)
			version, _ := sidecars[0].appliedVersion()
			So(version, ShouldEqual, quorum.committed)
		})
	}
}

func TestOneWayPartitions(t *testing.T) {
	title := "If the leader receives no responses, the contact of all core machines ages alike and no sidecar moves"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		quorum := newQuorumSimulator(members)
		defer close(quorum.done)
		advance(time.Second)
		quorum.update(func() { quorum.lag = []time.Duration{0, 200 * ms, 400 * ms} })
		advance(time.Second)
		// The leader receives no responses, so no confirmation is renewed. What it commits then must reach no
		// sidecar.
		quorum.blockLink(1, 0)
		quorum.blockLink(2, 0)
		changes := []memberChanges{
			{current: memberAddresses[0]}, {current: memberAddresses[1]}, {current: memberAddresses[2]},
		}
		quorum.run(maxContactAge+tickInterval, false, func(now time.Duration) {
			for i, s := range sidecars {
				changes[i].observe(s, now)
			}
		})
		for _, member := range members {
			member.publish(99)
		}
		quorum.run(10*time.Second, false, func(now time.Duration) {
			for i, s := range sidecars {
				changes[i].observe(s, now)
				if !s.Connected() {
					t.Fatalf("after %v a sidecar is disconnected, want it to stay since no core machine is in contact", now)
				}
				if version, _ := s.appliedVersion(); version == 99 {
					t.Fatalf("after %v a sidecar has applied version 99, want it held back without contact", now)
				}
			}
		})
		quorum.heal()
		quorum.run(time.Second, false, nil)
		for i, s := range sidecars {
			So(changes[i].count, ShouldEqual, 0)
			So(s.Connected(), ShouldBeTrue)
			version, _ := s.appliedVersion()
			So(version, ShouldEqual, 99)
		}
		// A core machine whose responses to the leader are lost stays in contact: the others confirm the
		// leader, and the core machine receives the confirmation in heartbeats.
		quorum.update(func() { quorum.committed = 100 })
		quorum.blockLink(2, 0)
		quorum.run(5*time.Second, true, nil)
		version, _ := sidecars[2].appliedVersion()
		So(version, ShouldEqual, quorum.committed)
		So(sidecars[2].Peers()[0], ShouldEqual, memberAddresses[2])
	})
}

func TestMemberThatHasNotApplied(t *testing.T) {
	title := "A core machine that has not applied the committed versions serves no sidecar"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		quorum := newQuorumSimulator(members)
		defer close(quorum.done)
		quorum.update(func() { quorum.notApplied[2] = true })
		quorum.run(5*time.Second, true, nil)
		So(sidecars[2].Peers()[0], ShouldNotEqual, memberAddresses[2])
		version, regressed := sidecars[2].appliedVersion()
		So(version, ShouldEqual, quorum.committed)
		So(regressed, ShouldBeFalse)
		network.blockLink("new", memberAddresses[0])
		network.blockLink("new", memberAddresses[1])
		newSidecar := network.testSidecar("new", "zone-m3:1", memberAddresses[2])
		defer newSidecar.stop()
		quorum.run(5*time.Second, true, nil)
		So(newSidecar.configFrames(), ShouldBeEmpty)
		quorum.update(func() { quorum.notApplied[2] = false })
		quorum.run(2*time.Second, true, nil)
		version, _ = newSidecar.appliedVersion()
		So(version, ShouldEqual, quorum.committed)
	})
}

func TestFrozenMember(t *testing.T) {
	title := "A core machine that is frozen within a frame never completes the frame, and syncs when it resumes"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		quorum := newQuorumSimulator(members)
		defer close(quorum.done)
		advance(time.Second)
		// The core machine has checked its contact and is frozen while it reads the configuration, until
		// contact has expired and the leader has changed.
		members[0].configSource.mu.Lock()
		members[0].configSource.fullConfigDelay = time.Second
		members[0].configSource.mu.Unlock()
		for _, address := range memberAddresses[1:] {
			network.blockLink("new", address)
		}
		newSidecar := network.testSidecar("new", "zone-m1:1", memberAddresses[0])
		defer newSidecar.stop()
		synctest.Wait()
		quorum.update(func() { quorum.observed[0] = quorum.observed[0].Add(-maxContactAge) })
		quorum.blockLink(1, 0)
		quorum.update(func() { quorum.leader = 1 })
		quorum.run(3*time.Second, true, nil)
		So(newSidecar.configFrames(), ShouldBeEmpty)

		server := NewServer(ServerConfig{
			Self: "x", Epoch: 1, ConfigSource: &configSource{}, Log: zap.NewNop(), Peers: func() []string { return nil },
			Contact: func() (time.Duration, bool) { return 0, true },
		})
		So(server.checkContact().OK, ShouldBeTrue)
		So(server.registryDelayedUntil, ShouldEqual, 0) // the registry holds nothing from before a loss of contact
		for range 20 {
			advance(syncingPeriod / 10)
			server.checkContact()
		}
		So(server.Syncing(), ShouldBeFalse)
		advance(10 * time.Second) // the process is frozen, and its contact is renewed before its next check
		So(server.checkContact().OK, ShouldBeTrue)
		So(server.Syncing(), ShouldBeTrue)
		So(server.registryDelayedUntil, ShouldBeGreaterThan, server.now())
	})
}
