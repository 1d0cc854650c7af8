package watch

import (
	"context"
	"encoding/json"
	"fmt"
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

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// appliedVersion returns the newest configuration version that the sidecar has applied, and whether the sidecar
// ever received a version older than the applied one.
func (s *testSidecar) appliedVersion() (version int64, hasRegressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.regressed
}

// configSource is a ConfigSource for tests with numbered versions: the change to version v has the frame `v`,
// and the full configuration at version v is `[v]`.
type configSource struct {
	mu              sync.Mutex
	version         int64
	fullConfigDelay time.Duration // duration of the next call of FullConfig
}

func (c *configSource) Current() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *configSource) Since(version int64) (frames []json.RawMessage, ok bool) {
	for v := version + 1; v <= c.Current(); v++ {
		frames = append(frames, json.RawMessage(fmt.Sprint(v)))
	}
	return frames, version > 0 && version <= c.Current()
}

func (c *configSource) FullConfig() json.RawMessage {
	full := fmt.Sprintf("[%d]", c.Current())
	c.mu.Lock()
	fullConfigDelay := c.fullConfigDelay
	c.fullConfigDelay = 0
	c.mu.Unlock()
	time.Sleep(fullConfigDelay)
	return json.RawMessage(full)
}

// testMember is a core machine: a Server with its HTTP server on a host of the test network.
type testMember struct {
	*Server
	configSource *configSource
	mu           sync.Mutex
	noContact    bool
	contactFunc  func() (time.Duration, bool) // overrides noContact unless nil
	stop         func()
}

// publish sets the newest configuration version of this core machine and pushes it.
func (m *testMember) publish(version int64) {
	m.configSource.mu.Lock()
	m.configSource.version = version
	m.configSource.mu.Unlock()
	m.Publish()
}

func (m *testMember) contactAge() (time.Duration, bool) {
	m.mu.Lock()
	contactFunc, noContact := m.contactFunc, m.noContact
	m.mu.Unlock()
	if contactFunc != nil {
		return contactFunc()
	}
	return 0, !noContact
}

func (m *testMember) setContact(inContact bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noContact = !inContact
}

var memberAddresses = []string{"m1:1", "m2:1", "m3:1"}

// testMember starts a core machine on the host of the given name. Its zone is "zone-" followed by the name.
func (n *testNetwork) testMember(name string, epoch registry.Epoch) *testMember {
	m := &testMember{configSource: &configSource{}}
	client := n.client(name)
	m.Server = NewServer(ServerConfig{
		Self:         name,
		Zone:         "zone-" + name,
		Epoch:        epoch,
		Peers:        func() []string { return memberAddresses },
		ConfigSource: m.configSource,
		Contact:      m.contactAge,
		HTTP:         client,
		Log:          zap.NewNop(),
	})
	mux := http.NewServeMux()
	m.Register(mux)
	server := &http.Server{Handler: mux}
	p := &pipeListener{name, make(chan net.Conn, 64), make(chan struct{})}
	n.mu.Lock()
	n.listeners[name] = p
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx) })
	running.Go(func() { _ = server.Serve(p) })
	m.stop = sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.listeners, name)
		n.mu.Unlock()
		_ = server.Close()
		cancel()
		running.Wait()
		client.CloseIdleConnections()
	})
	return m
}

// testSidecar is a sidecar: a Client that records the configuration and the upstreams it receives.
type testSidecar struct {
	*Client
	mu                  sync.Mutex
	upstream            registry.Upstream
	services            []string
	rejectNext          bool
	version             int64
	regressed           bool // true once a version older than the applied one was received
	receivedConfigs     []string
	upstreamsByInstance map[string]registry.Upstream
	fullUpdateCount     int
	stop                func()
}

// testSidecar starts a sidecar on the host of the given name. It has the upstream "i-" followed by the name.
func (n *testNetwork) testSidecar(name, zone string, seeds ...string) *testSidecar {
	s := &testSidecar{upstreamsByInstance: map[string]registry.Upstream{}, upstream: registry.Upstream{
		Instance: "i-" + name, Service: "s-" + name, Address: name + ":80", Inbound: name + ":90", Sequence: 1,
	}}
	client := n.client(name)
	s.Client = NewClient(ClientConfig{
		Node:        name,
		Incarnation: registry.Incarnation(time.Now().Add(n.clockStep).UnixNano()),
		Zone:        zone,
		Seeds:       seeds,
		HTTP:        client,
		Log:         zap.NewNop(),
		State: func() registry.Lease {
			s.mu.Lock()
			defer s.mu.Unlock()
			upstream := s.upstream
			if upstream.Instance == "" {
				return registry.Lease{Applied: s.version}
			}
			return registry.Lease{Upstream: &upstream, Applied: s.version}
		},
		ConfigVersion: func() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.version },
		OnConfig: func(f json.RawMessage) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.receivedConfigs = append(s.receivedConfigs, string(f))
			if s.rejectNext {
				s.rejectNext = false
				return false
			}
			var v int64
			_, _ = fmt.Sscanf(strings.Trim(string(f), "[]"), "%d", &v)
			s.regressed = s.regressed || v < s.version
			s.version = max(s.version, v)
			s.RenewNow()
			return true
		},
		OnRegistry: func(full bool, upserts []registry.Upstream, removals []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if full {
				s.fullUpdateCount++
				clear(s.upstreamsByInstance)
			}
			for _, u := range upserts {
				s.upstreamsByInstance[u.Instance] = u
			}
			for _, instance := range removals {
				delete(s.upstreamsByInstance, instance)
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

// upstreams lists the known instances, with a question mark after a stale one and an exclamation mark after a
// draining one.
func (s *testSidecar) upstreams() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, u := range s.upstreamsByInstance {
		suffix := ""
		if u.Stale {
			suffix = "?"
		}
		if u.State == registry.Draining {
			suffix += "!"
		}
		list = append(list, u.Instance+suffix)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func (s *testSidecar) inboundAddress(instance string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreamsByInstance[instance].Inbound
}

func (s *testSidecar) configFrames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.receivedConfigs)
}

func (s *testSidecar) fullUpdates() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullUpdateCount
}

func (s *testSidecar) leasesSent() registry.Sequence {
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	return s.leaseSequence
}

// requestWatch sends a watch request under a node's name. It always returns an error: that of the core
// machine if it rejects the request, or one of kind Unreachable once the opened watch ends, since a watch is
// not a single response.
func (s *testSidecar) requestWatch(ctx context.Context, address, node string) error {
	url := "http://" + address + watchPath
	_, err := rpc.Call[watchRequest, struct{}](ctx, s.cfg.HTTP, url, &watchRequest{Node: node})
	return err
}

// openWatches returns the number of watches that the core machine serves.
func (m *testMember) openWatches() int {
	m.Server.mu.Lock()
	defer m.Server.mu.Unlock()
	return len(m.sessions)
}

// update runs f while holding the lock that guards the sidecar's fields.
func (s *testSidecar) update(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
}

// advance lets virtual time pass and then waits until all goroutines of the synctest bubble are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

const ms = time.Millisecond

// runMesh runs a scenario in a synctest bubble with three core machines and the sidecars c1 to c3, one in the
// zone of each core machine, after all sidecars are connected and all core machines are synced.
func runMesh(
	t *testing.T, title string,
	scenario func(network *testNetwork, members []*testMember, sidecars []*testSidecar),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork()
		var members []*testMember
		var sidecars []*testSidecar
		for i, name := range memberAddresses {
			members = append(members, network.testMember(name, registry.Epoch(i+1)))
		}
		for i, name := range memberAddresses {
			sidecars = append(sidecars, network.testSidecar(fmt.Sprint("c", i+1), "zone-"+name, memberAddresses[0]))
		}
		defer func() {
			for i := range memberAddresses {
				sidecars[i].stop()
				members[i].stop()
			}
			advance(2 * network.longestDelay()) // until all delayed bytes have arrived
		}()
		advance(5 * time.Second)
		Convey(title, t, func() {
			for i, s := range sidecars {
				So(s.Connected(), ShouldBeTrue)
				So(s.Peers()[0], ShouldEqual, memberAddresses[i])
				So(s.upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
				So(s.Counts().Live, ShouldEqual, 3)
			}
			scenario(network, members, sidecars)
		})
	})
}
