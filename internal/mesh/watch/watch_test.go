package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// network connects hosts by pipes within a synctest bubble, so that time is virtual. A severed link breaks its
// connections and accepts none.
type network struct {
	mu      sync.Mutex
	ports   map[string]*port
	severed map[string]bool
	links   map[string][]net.Conn
}

type port struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
}

func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *port) Close() error   { close(p.closed); return nil }
func (p *port) Addr() net.Addr { return &net.UnixAddr{Name: p.address} }

func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(_ context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		p := n.ports[to]
		if p == nil || n.severed[from+to] {
			return nil, io.ErrClosedPipe
		}
		here, there := net.Pipe()
		n.links[from+to] = append(n.links[from+to], here)
		p.conns <- there
		return here, nil
	}}}
}

func (n *network) sever(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.severed[from+to] = true
	for _, c := range n.links[from+to] {
		_ = c.Close()
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.severed)
}

// configs is a log of numbered changes: version v has the frame `v`, and the full configuration is `[v]`.
type configs struct {
	mu      sync.Mutex
	version int64
	stall   time.Duration // how long the next FullConfig takes
}

func (c *configs) Current() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *configs) Since(version int64) (frames []json.RawMessage, ok bool) {
	for v := version + 1; v <= c.Current(); v++ {
		frames = append(frames, json.RawMessage(fmt.Sprint(v)))
	}
	return frames, version > 0 && version <= c.Current()
}
func (c *configs) FullConfig() json.RawMessage {
	whole := fmt.Sprintf("[%d]", c.Current())
	c.mu.Lock()
	stall := c.stall
	c.stall = 0
	c.mu.Unlock()
	time.Sleep(stall)
	return json.RawMessage(whole)
}

type member struct {
	*Server
	configs   *configs
	mu        sync.Mutex
	noContact bool
	contactOf func() (time.Duration, bool) // nil: by noContact
	stop      func()
}

func (m *member) publish(version int64) {
	m.configs.mu.Lock()
	m.configs.version = version
	m.configs.mu.Unlock()
	m.Publish()
}

func (m *member) contactAge() (time.Duration, bool) {
	m.mu.Lock()
	contactOf, noContact := m.contactOf, m.noContact
	m.mu.Unlock()
	if contactOf != nil {
		return contactOf()
	}
	return 0, !noContact
}

func (m *member) setContact(in bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noContact = !in
}

var memberAddresses = []string{"m1:1", "m2:1", "m3:1"}

func (n *network) member(name string, epoch uint64) *member {
	m := &member{configs: &configs{}}
	client := n.client(name)
	m.Server = NewServer(ServerConfig{
		Self: name, Zone: "zone-" + name, Epoch: epoch, Peers: func() []string { return memberAddresses }, ConfigSource: m.configs,
		Contact: m.contactAge,
		HTTP:    client, Log: zap.NewNop(),
	})
	mux := http.NewServeMux()
	m.Register(mux)
	server := &http.Server{Handler: mux}
	p := &port{name, make(chan net.Conn, 64), make(chan struct{})}
	n.mu.Lock()
	n.ports[name] = p
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx) })
	running.Go(func() { _ = server.Serve(p) })
	m.stop = sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.ports, name)
		n.mu.Unlock()
		_ = server.Close()
		cancel()
		running.Wait()
		client.CloseIdleConnections()
	})
	return m
}

type sidecar struct {
	*Client
	mu         sync.Mutex
	up         registry.Upstream
	services   []string
	rejectNext bool
	version    int64
	wentBack   bool // a version older than the applied one arrived
	frames     []string
	known      map[string]registry.Upstream
	fulls      int
	stop       func()
}

func (n *network) sidecar(name, zone string, seeds ...string) *sidecar {
	s := &sidecar{known: map[string]registry.Upstream{}, up: registry.Upstream{
		Instance: "i-" + name, Service: "s-" + name, Address: name + ":80", Inbound: name + ":90", Sequence: 1,
	}}
	client := n.client(name)
	s.Client = NewClient(ClientConfig{
		Node: name, Incarnation: uint64(time.Now().UnixNano()), Zone: zone, Seeds: seeds, HTTP: client, Log: zap.NewNop(),
		State: func() registry.Lease {
			s.mu.Lock()
			defer s.mu.Unlock()
			up := s.up
			if up.Instance == "" {
				return registry.Lease{Applied: s.version}
			}
			return registry.Lease{Upstream: &up, Applied: s.version}
		},
		ConfigVersion: func() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.version },
		OnConfig: func(f json.RawMessage) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.frames = append(s.frames, string(f))
			if s.rejectNext {
				s.rejectNext = false
				return false
			}
			var v int64
			_, _ = fmt.Sscanf(strings.Trim(string(f), "[]"), "%d", &v)
			s.wentBack = s.wentBack || v < s.version
			s.version = max(s.version, v)
			s.RenewNow()
			return true
		},
		OnRegistry: func(full bool, upserts []registry.Upstream, removals []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if full {
				s.fulls++
				clear(s.known)
			}
			for _, u := range upserts {
				s.known[u.Instance] = u
			}
			for _, instance := range removals {
				delete(s.known, instance)
			}
		},
		Services: func() []string { s.mu.Lock(); defer s.mu.Unlock(); return s.services },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	s.stop = sync.OnceFunc(func() { cancel(); running.Wait(); client.CloseIdleConnections() })
	return s
}

// upstreams lists the instances known, the stale with a question mark and the draining with an exclamation mark.
func (s *sidecar) upstreams() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, u := range s.known {
		mark := ""
		if u.Stale {
			mark = "?"
		}
		if u.State == registry.Draining {
			mark += "!"
		}
		list = append(list, u.Instance+mark)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func (s *sidecar) inbound(instance string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[instance].Inbound
}

func (s *sidecar) configFrames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.frames)
}

func (s *sidecar) fullUpdates() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fulls
}

func (s *sidecar) leasesSent() uint64 {
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	return s.leaseSequence
}

func (m *member) openWatches() int {
	m.Server.mu.Lock()
	defer m.Server.mu.Unlock()
	return len(m.sessions)
}

func (s *sidecar) change(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
}

// advance lets virtual time pass, and all goroutines block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

const ms = time.Millisecond

// runMesh runs a scenario in a bubble with three members and the sidecars c1 to c3, each in the zone of a member, after
// all are connected and synced.
func runMesh(t *testing.T, what string, scenario func(n *network, m []*member, c []*sidecar)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{ports: map[string]*port{}, severed: map[string]bool{}, links: map[string][]net.Conn{}}
		var m []*member
		var c []*sidecar
		for i, name := range memberAddresses {
			m = append(m, n.member(name, uint64(i+1)))
		}
		for i, name := range memberAddresses {
			c = append(c, n.sidecar(fmt.Sprint("c", i+1), "zone-"+name, memberAddresses[0]))
		}
		defer func() {
			for i := range memberAddresses {
				c[i].stop()
				m[i].stop()
			}
		}()
		advance(5 * time.Second)
		Convey(what, t, func() {
			for i, s := range c {
				So(s.Connected(), ShouldBeTrue)
				So(s.Peers()[0], ShouldEqual, memberAddresses[i])
				So(s.upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
				So(s.Members(), ShouldEqual, 3)
			}
			scenario(n, m, c)
		})
	})
}

func TestUpdatesReachAllSidecars(t *testing.T) {
	runMesh(t, "Upstreams and configs reach every sidecar at once, and each is counted", func(_ *network, m []*member, c []*sidecar) {
		c[2].change(func() { c[2].up.State, c[2].up.Sequence = registry.Draining, 2 })
		c[2].RenewNow()
		advance(15 * ms)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3!,i-c1 i-c2 i-c3!")

		So(m[0].Behind(7), ShouldEqual, 3)
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
		So(m[1].Behind(9), ShouldEqual, 0)
		c[2].change(func() { c[2].rejectNext = true })
		m[2].publish(10)
		advance(30 * ms)
		So(c[2].configFrames(), ShouldResemble, []string{"[7]", "8", "[9]", "10", "[10]"})
		So(c[2].Peers()[0], ShouldEqual, "m3:1")

		// A deregistration that reaches a member directly counts everywhere, although the sidecar still renews.
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
	runMesh(t, "A sidecar moves to another member at once, applies nothing older, and loses nothing", func(n *network, m []*member, c []*sidecar) {
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
		So(m[1].Behind(5)*10+m[2].Behind(4), ShouldEqual, 20)

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
		_, err := rpc.Call[watchRequest, struct{}](context.Background(), c[1].cfg.HTTP, "http://"+was+watchPath, &watchRequest{Node: "x"})
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
	runMesh(t, "With all members restarted, sidecars keep their registry until the members have synced", func(n *network, m []*member, c []*sidecar) {
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
		So(c[0].Members(), ShouldEqual, 3)
		advance(syncingPeriod + heartbeatInterval - time.Since(began))
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2")
		So(c[0].Members(), ShouldEqual, 2)
	})
}

func TestSidecarsLeaveOrExpire(t *testing.T) {
	runMesh(t, "A partitioned sidecar goes stale and expires; one that leaves is removed at once", func(n *network, m []*member, c []*sidecar) {
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
		live, largest := m[1].Members()
		So([]int{live, largest}, ShouldResemble, []int{1, 3})
		So(c[2].Connected(), ShouldBeFalse)
		// Its upstream reaches a member directly.
		So(m[1].Heartbeat(registry.Upstream{Instance: "i-c3", Service: "s-c3", Address: "c3:80", Sequence: 5}), ShouldBeNil)
		advance(30 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c3")
		So(c[0].inbound("i-c3"), ShouldEqual, "c3:90")
		advance(registry.StaleTTL + 3*time.Second)
		So(c[0].upstreams(), ShouldEqual, "i-c1")
	})
}

func TestGossipAroundSeveredLink(t *testing.T) {
	runMesh(t, "A severed link between two members hides nothing while a third reaches both", func(n *network, m []*member, c []*sidecar) {
		n.sever("m1:1", "m2:1")
		n.sever("m2:1", "m1:1")
		advance(10 * time.Second)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3,i-c1 i-c2 i-c3")
		c[0].change(func() { c[0].up.State, c[0].up.Sequence = registry.Draining, 2 })
		c[0].RenewNow()
		advance(30 * ms)
		So(c[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3")
		So(m[0].Heartbeat(registry.Upstream{Instance: "i-c3", State: registry.Deregistered}), ShouldBeNil)
		advance(time.Second)
		So(c[1].upstreams(), ShouldEqual, "i-c1! i-c2")

		// After a partition so long that its leases expired, a member receives them in full again.
		n.sever("m3:1", "m2:1")
		n.sever("m2:1", "m3:1")
		advance(registry.LeaseTTL + registry.TombstoneTTL + registry.StaleTTL)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1! i-c3,i-c2")
		n.heal()
		advance(2 * time.Second)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3,i-c1! i-c2 i-c3")
	})
}

func TestServiceFilterAndSlowSidecar(t *testing.T) {
	runMesh(t, "A sidecar receives the services it calls, and one that does not read blocks nobody", func(n *network, m []*member, c []*sidecar) {
		c[0].change(func() { c[0].services = []string{"s-c2"} })
		c[0].Resubscribe()
		advance(15 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c2")
		So(c[0].Peers()[0], ShouldEqual, "m1:1")
		c[2].change(func() { c[2].up.State, c[2].up.Sequence = registry.Draining, 2 })
		c[2].RenewNow()
		advance(15 * ms)
		So(c[0].upstreams(), ShouldEqual, "i-c2")

		conn, err := n.client("slow").Transport.(*http.Transport).DialContext(context.Background(), "tcp", "m1:1")
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST "+watchPath+" HTTP/1.1\r\nHost: m1\r\nContent-Length: 15\r\n\r\n{\"node\":\"slow\"}")
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
		_, err = rpc.Call[watchRequest, struct{}](ctx, c[1].cfg.HTTP, "http://m1:1"+watchPath, &watchRequest{Node: "c1"})
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		synctest.Wait()
		So(c[0].Peers()[0], ShouldNotEqual, "m1:1")
		So(c[0].Connected(), ShouldBeTrue)
	})
}
