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

// moves counts how often a sidecar goes to another member, and records when it last did.
type moves struct {
	at    string
	count int
	last  time.Duration
}

func (m *moves) observe(s *sidecar, now time.Duration) {
	if at := s.Peers()[0]; at != m.at {
		m.at, m.count, m.last = at, m.count+1, now
	}
}

// maxMoveTime is how long after a member's last contact its sidecars have moved: the contact expires, the
// member checks it, the sidecar asks the others, and opens a watch.
const maxMoveTime = maxContactAge + tickInterval + probeTimeout + 50*ms

// isolate partitions the first member from the two others, in the log and between the members.
func isolate(n *network, q *majority) {
	for _, i := range []int{1, 2} {
		q.sever(0, i)
		q.sever(i, 0)
		n.sever(memberAddresses[0], memberAddresses[i])
		n.sever(memberAddresses[i], memberAddresses[0])
	}
}

func TestPartitionedMember(t *testing.T) {
	title := "A member that is partitioned for 20 s sends nothing old, and its sidecars move in time"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		advance(time.Second)
		isolate(n, q)
		for _, to := range memberAddresses[1:] {
			n.sever("new", to)
		}
		q.change(func() { q.leader = 1 })
		// The others do not learn what its own sidecar reports, and it does not learn what theirs do.
		c[1].change(func() { c[1].up.State, c[1].up.Sequence = registry.Draining, 2 })
		c[1].RenewNow()
		So(m[1].Heartbeat(registry.Upstream{Instance: "i-c3", State: registry.Deregistered}), ShouldBeNil)
		newcomer := n.sidecar("new", "zone-m1:1", memberAddresses[0])
		defer newcomer.stop()
		newcomer.change(func() { newcomer.up.Instance = "" }) // it has no upstream here
		moved := moves{at: memberAddresses[0]}
		raw := httpclient.New(time.Second)
		defer raw.CloseIdleConnections()
		old, _ := c[0].applied()
		q.run(20*time.Second, true, func(now time.Duration) {
			moved.observe(c[0], now)
			if now > maxMoveTime {
				version, _ := c[0].applied()
				if version < q.committed {
					t.Fatalf("after %v the sidecar has version %d, not %d", now, version, q.committed)
				}
			}
			if now < maxContactAge {
				return // its contact has not expired yet
			}
			if version, _ := newcomer.applied(); version > old {
				t.Fatalf("after %v the newcomer got version %d of a partitioned member", now, version)
			}
		})
		So(moved.count, ShouldEqual, 1)
		So(moved.last, ShouldBeBetween, time.Duration(0), maxMoveTime)
		err := c[0].requestWatch(context.Background(), memberAddresses[0], "x")
		So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)
		lease := &registry.Lease{Node: "x", Incarnation: 1, Sequence: 1}
		url := "http://" + memberAddresses[0] + leasePath
		answer, err := rpc.Call[registry.Lease, LeaseResponse](context.Background(), c[0].cfg.HTTP, url, lease)
		So(err, ShouldBeNil)
		So(answer.Contact.OK || answer.CaughtUp, ShouldBeFalse)

		// Back in contact it lists no deregistered upstream, and none as ready that is draining.
		q.heal()
		advance(2 * leaderInterval)
		n.heal()
		for _, to := range memberAddresses[1:] {
			n.sever("new", to)
			n.sever("later", to)
		}
		later := n.sidecar("later", "zone-m1:1", memberAddresses[0])
		defer later.stop()
		q.run(5*time.Second, true, func(now time.Duration) {
			for _, s := range []*sidecar{later, newcomer} {
				sees := s.upstreams()
				if s == newcomer && now < maxRegistryDelay {
					continue // it connected before the contact expired
				}
				if strings.Contains(sees, "i-c3") || strings.Contains(sees+" ", "i-c2 ") {
					t.Fatalf("%v after its return the member lists %s", now, sees)
				}
			}
			moved.observe(c[0], now)
		})
		So(newcomer.upstreams(), ShouldContainSubstring, "i-c2!")
		So(later.upstreams(), ShouldContainSubstring, "i-c2!")
		version, _ := newcomer.applied()
		So(version, ShouldEqual, q.committed)
		So(moved.count, ShouldEqual, 1)
		for _, s := range append(c, newcomer) {
			_, back := s.applied()
			So(back, ShouldBeFalse)
		}
	})
}

func TestSidecarsLeavePartitionedMemberInTime(t *testing.T) {
	for offset := time.Duration(0); offset < renewInterval; offset += 100 * ms {
		title := "A sidecar moves in time, whenever between two renewals the partition begins"
		runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
			q := newMajority(m)
			defer close(q.done)
			advance(time.Second + offset)
			isolate(n, q)
			q.change(func() { q.leader = 1 })
			q.run(maxMoveTime, true, nil)
			So(c[0].Peers()[0], ShouldNotEqual, memberAddresses[0])
			So(c[0].Connected(), ShouldBeTrue)
			version, _ := c[0].applied()
			So(version, ShouldEqual, q.committed)
		})
	}
}

func TestOneWayPartitions(t *testing.T) {
	title := "A leader that receives no responses ages everywhere alike, and no sidecar moves"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		advance(time.Second)
		q.change(func() { q.lag = []time.Duration{0, 200 * ms, 400 * ms} })
		advance(time.Second)
		// The leader sends and receives nothing. What it commits then may reach no sidecar.
		q.sever(1, 0)
		q.sever(2, 0)
		where := []moves{{at: memberAddresses[0]}, {at: memberAddresses[1]}, {at: memberAddresses[2]}}
		q.run(maxContactAge+tickInterval, false, func(now time.Duration) {
			for i, s := range c {
				where[i].observe(s, now)
			}
		})
		for _, one := range m {
			one.publish(99)
		}
		q.run(10*time.Second, false, func(now time.Duration) {
			for i, s := range c {
				where[i].observe(s, now)
				if !s.Connected() {
					t.Fatalf("after %v a sidecar has left its member, with no other one to go to", now)
				}
				if version, _ := s.applied(); version == 99 {
					t.Fatalf("after %v a version was sent without contact", now)
				}
			}
		})
		q.heal()
		q.run(time.Second, false, nil)
		for i, s := range c {
			So(where[i].count, ShouldEqual, 0)
			So(s.Connected(), ShouldBeTrue)
			version, _ := s.applied()
			So(version, ShouldEqual, 99)
		}
		// A member whose responses are lost is in contact: others confirm the leader, and it receives that.
		q.change(func() { q.committed = 100 })
		q.sever(2, 0)
		q.run(5*time.Second, true, nil)
		version, _ := c[2].applied()
		So(version, ShouldEqual, q.committed)
		So(c[2].Peers()[0], ShouldEqual, memberAddresses[2])
	})
}

func TestMemberThatHasNotApplied(t *testing.T) {
	title := "A member that has not applied what the leader says is committed serves nobody"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		q.change(func() { q.notApplied[2] = true })
		q.run(5*time.Second, true, nil)
		So(c[2].Peers()[0], ShouldNotEqual, memberAddresses[2])
		version, back := c[2].applied()
		So(version, ShouldEqual, q.committed)
		So(back, ShouldBeFalse)
		n.sever("new", memberAddresses[0])
		n.sever("new", memberAddresses[1])
		newcomer := n.sidecar("new", "zone-m3:1", memberAddresses[2])
		defer newcomer.stop()
		q.run(5*time.Second, true, nil)
		So(newcomer.configFrames(), ShouldBeEmpty)
		q.change(func() { q.notApplied[2] = false })
		q.run(2*time.Second, true, nil)
		version, _ = newcomer.applied()
		So(version, ShouldEqual, q.committed)
	})
}

func TestFrozenMember(t *testing.T) {
	title := "A member that is frozen within a frame never completes it, and syncs when it wakes"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		advance(time.Second)
		// It has checked its contact, reads the configuration, and is frozen until after the next
		// two changes.
		m[0].configs.mu.Lock()
		m[0].configs.stall = time.Second
		m[0].configs.mu.Unlock()
		for _, to := range memberAddresses[1:] {
			n.sever("new", to)
		}
		newcomer := n.sidecar("new", "zone-m1:1", memberAddresses[0])
		defer newcomer.stop()
		synctest.Wait()
		q.change(func() { q.known[0] = q.known[0].Add(-maxContactAge) })
		q.sever(1, 0)
		q.change(func() { q.leader = 1 })
		q.run(3*time.Second, true, nil)
		So(newcomer.configFrames(), ShouldBeEmpty)

		still := NewServer(ServerConfig{
			Self: "x", Epoch: 1, ConfigSource: &configs{}, Log: zap.NewNop(), Peers: func() []string { return nil },
			Contact: func() (time.Duration, bool) { return 0, true },
		})
		So(still.checkContact().OK, ShouldBeTrue)
		So(still.registryDelayedUntil, ShouldEqual, 0) // nothing is from before the first contact
		for range 20 {
			advance(syncingPeriod / 10)
			still.checkContact()
		}
		So(still.Syncing(), ShouldBeFalse)
		advance(10 * time.Second) // frozen, and its contact renewed before it checked
		So(still.checkContact().OK, ShouldBeTrue)
		So(still.Syncing(), ShouldBeTrue)
		So(still.registryDelayedUntil, ShouldBeGreaterThan, still.now())
	})
}
