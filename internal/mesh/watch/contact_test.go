package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

func (s *sidecar) applied() (version int64, back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.wentBack
}

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

// maxMoveTime is how long after a member's last contact its sidecars have moved: the contact expires, the member checks
// it, the sidecar asks the others, and opens a watch.
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
	runMesh(t, "A member that is partitioned for 20 s sends nothing old, and its sidecars move in time", func(n *network, m []*member, c []*sidecar) {
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
		raw := rpc.NewClient(time.Second)
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
		_, err := rpc.Call[watchRequest, struct{}](context.Background(), c[0].cfg.HTTP, "http://"+memberAddresses[0]+watchPath, &watchRequest{Node: "x"})
		So(errs.KindOf(err), ShouldEqual, errs.NoQuorum)
		answer, err := rpc.Call[registry.Lease, LeaseResponse](context.Background(), c[0].cfg.HTTP, "http://"+memberAddresses[0]+leasePath, &registry.Lease{Node: "x", Incarnation: 1, Sequence: 1})
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
		runMesh(t, "A sidecar moves in time, whenever between two renewals the partition begins", func(n *network, m []*member, c []*sidecar) {
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
	runMesh(t, "A leader that receives no responses ages everywhere alike, and no sidecar moves", func(n *network, m []*member, c []*sidecar) {
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
	runMesh(t, "A member that has not applied what the leader says is committed serves nobody", func(n *network, m []*member, c []*sidecar) {
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
	runMesh(t, "A member that is frozen within a frame never completes it, and syncs when it wakes", func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		advance(time.Second)
		// It has checked its contact, reads the configuration, and is frozen until after the next two changes.
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

// scripted starts a member whose responses a test gives. stop ends it.
func (n *network) scripted(address string, lease, watch http.HandlerFunc) (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leasePath, lease)
	mux.HandleFunc("POST "+watchPath, watch)
	server := &http.Server{Handler: mux}
	p := &port{address, make(chan net.Conn, 64), make(chan struct{})}
	n.mu.Lock()
	n.ports[address] = p
	n.mu.Unlock()
	go func() { _ = server.Serve(p) }()
	return func() {
		_ = server.Close()
		time.Sleep(2 * callTimeout) // until its handlers end
	}
}

func TestContactAgesAddUp(t *testing.T) {
	runMesh(t, "A member that follows a follower never takes its contact for newer than it is", func(n *network, m []*member, c []*sidecar) {
		q := newMajority(m)
		defer close(q.done)
		reader := n.member("r:1", 7)
		defer reader.stop()
		follower := n.sidecar("reader", "zone-m1:1", memberAddresses[0])
		defer follower.stop()
		reader.mu.Lock()
		reader.contactOf = follower.ContactAge
		reader.mu.Unlock()
		last := n.sidecar("last", "zone-r:1", "r:1")
		defer last.stop()
		for _, to := range memberAddresses {
			n.sever("last", to) // the reader is its only member
		}
		q.run(3*time.Second, true, func(time.Duration) {
			if version, _ := follower.applied(); version > reader.configs.Current() {
				reader.publish(version)
			}
		})
		version, _ := last.applied()
		So(version, ShouldEqual, q.committed)

		for _, i := range []int{1, 2} {
			q.sever(i, 0) // the leader sends and receives nothing
		}
		q.change(func() { q.committed++ })
		end := time.Now()
		before, _ := last.applied()
		q.run(10*time.Second, false, func(now time.Duration) {
			age, ok := follower.ContactAge()
			if !ok || age < time.Since(end) {
				t.Fatalf("%v after the last round the reader says %v", now, age)
			}
			if now > maxContactAge {
				reader.publish(1000)
			}
			if version, _ := last.applied(); version > before+1 {
				t.Fatalf("%v after the last round a reader sent version %d", now, version)
			}
			if now > maxContactAge && reader.Server.checkContact().OK {
				t.Fatalf("%v after the last round the reader counts as in contact", now)
			}
		})
	})
	runMesh(t, "A delayed response proves no more than the time of its request", func(n *network, m []*member, c []*sidecar) {
		stop := n.scripted("slow:1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(callTimeout - 100*ms)
			_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: Contact{OK: true, Age: 50 * ms}, CaughtUp: true})
		}, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(heartbeatInterval)
			}
		})
		defer stop()
		s := n.sidecar("new", "", "slow:1")
		defer s.stop()
		advance(callTimeout - 90*ms)
		age, ok := s.ContactAge()
		So(ok, ShouldBeTrue)
		So(age, ShouldBeBetween, callTimeout-51*ms, callTimeout)
	})
	runMesh(t, "A delayed first configuration is only applied after a check of the contact", func(n *network, m []*member, c []*sidecar) {
		var mu sync.Mutex
		contact := Contact{OK: false}
		stop := n.scripted("woken:1", func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			_ = json.NewEncoder(w).Encode(LeaseResponse{Contact: contact})
		}, func(w http.ResponseWriter, r *http.Request) {
			for range 4 {
				fmt.Fprintln(w, `{"beat":{"contact":{"ok":true}}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(heartbeatInterval)
			}
			fmt.Fprintln(w, `{"charter":[5]}`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		defer stop()
		s := n.sidecar("new", "", "woken:1")
		defer s.stop()
		advance(5 * time.Second)
		So(s.configFrames(), ShouldBeEmpty)
		mu.Lock()
		contact.OK = true
		mu.Unlock()
		advance(5 * time.Second)
		So(s.configFrames(), ShouldContain, "[5]")
	})
}

func TestLeavingWithoutContact(t *testing.T) {
	runMesh(t, "A sidecar that leaves notifies a member that can notify the others", func(n *network, m []*member, c []*sidecar) {
		m[0].setContact(false)
		for _, i := range []int{1, 2} {
			n.sever(memberAddresses[0], memberAddresses[i])
			n.sever(memberAddresses[i], memberAddresses[0])
		}
		So(c[0].Leave(context.Background()), ShouldBeNil)
		advance(30 * ms)
		So(c[1].upstreams(), ShouldEqual, "i-c2 i-c3")
		for _, to := range memberAddresses[1:] {
			n.sever("c1", to)
		}
		So(c[0].Leave(context.Background()), ShouldBeNil)
		n.sever("c1", memberAddresses[0])
		So(errs.KindOf(c[0].Leave(context.Background())), ShouldEqual, errs.Unreachable)
	})
	runMesh(t, "What one member says of its contact does not count against another", func(n *network, m []*member, c []*sidecar) {
		stop := n.scripted("out:1", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * ms)
			peers := []Peer{{Address: memberAddresses[0]}, {Address: memberAddresses[1]}, {Address: memberAddresses[2]}}
			_ = json.NewEncoder(w).Encode(LeaseResponse{Peers: peers})
		}, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				fmt.Fprintln(w, `{"beat":{}}`)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Millisecond)
			}
		})
		defer stop()
		s := n.sidecar("new", "", "out:1")
		defer s.stop()
		moved := moves{at: "out:1"}
		for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
			advance(5 * ms)
			moved.observe(s, now)
		}
		So(moved.count, ShouldEqual, 1)
	})
}

func TestRegistryDelay(t *testing.T) {
	Convey("Registry changes wait until each peer has answered or failed and one has answered, or for the bound", t, func() {
		one, two := newGossipPeer("a:1", nil), newGossipPeer("b:1", nil)
		s := &Server{registryDelayedUntil: maxRegistryDelay, peers: map[string]*gossipPeer{"a:1": one, "b:1": two}}
		So(s.delaysRegistry(0), ShouldBeTrue)
		one.sync = syncDone
		So(s.delaysRegistry(0), ShouldBeTrue)
		two.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeFalse)
		one.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeTrue)
		So(s.delaysRegistry(maxRegistryDelay), ShouldBeFalse)
		So((&Server{registryDelayedUntil: maxRegistryDelay}).delaysRegistry(0), ShouldBeFalse)
	})
}

func TestWhatResponsesProve(t *testing.T) {
	Convey("A response without contact proves nothing, lowers no count and removes no member", t, func() {
		c := NewClient(ClientConfig{Zone: "z"})
		now := time.Now()
		for _, answer := range []LeaseResponse{
			{Contact: Contact{OK: false}, CaughtUp: true}, {Contact: Contact{OK: true}, CaughtUp: false},
			{Contact: Contact{OK: true, Age: -time.Hour}, CaughtUp: true},
		} {
			c.recordConfirmation(now, &answer)
			_, ok := c.ContactAge()
			So(ok, ShouldBeFalse)
		}
		peers := []Peer{{Address: "a:1"}, {Address: "b:1"}}
		c.recordMembers(&LeaseResponse{Contact: Contact{OK: true}, Members: 9, PeakMembers: 9, Peers: peers})
		c.recordMembers(&LeaseResponse{Members: 2, PeakMembers: 3, Peers: []Peer{{Address: "a:1"}, {Address: "c:1"}}})
		So([]int{c.Members(), c.PeakMembers()}, ShouldResemble, []int{9, 9})
		So(c.Peers(), ShouldHaveLength, 3)
	})
}

func TestLateGossipExtendsNothing(t *testing.T) {
	runMesh(t, "A message between members that was delayed for long refreshes nothing", func(n *network, m []*member, c []*sidecar) {
		now := m[0].now()
		up := registry.Upstream{Instance: "late", Service: "s", Address: "late:80", Inbound: "late:90", Sequence: 1}
		message := func(echo clockReading, node string) *gossipRequest {
			return &gossipRequest{From: memberAddresses[1], Echo: echo, Leases: []registry.RemoteLease{{
				Lease: registry.Lease{Node: node, Incarnation: 1, Sequence: 1, Upstream: &up}, Remaining: registry.LeaseTTL,
			}}}
		}
		late := message(m[0].clock(now), "late")
		advance(registry.LeaseTTL)
		for _, q := range []*gossipRequest{late, message(clockReading{99, m[0].now()}, "foreign")} {
			_, err := m[0].receiveGossip(nil, q)
			So(err, ShouldBeNil)
			So(len(m[0].Upstreams()), ShouldEqual, 3)
		}
		_, err := m[0].receiveGossip(nil, message(m[0].clock(m[0].now()), "prompt"))
		So(err, ShouldBeNil)
		So(len(m[0].Upstreams()), ShouldEqual, 4)
	})
}
