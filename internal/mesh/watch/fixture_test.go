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

func (s *sidecar) applied() (version int64, back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.wentBack
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

func (n *network) member(name string, epoch registry.Epoch) *member {
	m := &member{configs: &configs{}}
	client := n.client(name)
	m.Server = NewServer(ServerConfig{
		Self:         name,
		Zone:         "zone-" + name,
		Epoch:        epoch,
		Peers:        func() []string { return memberAddresses },
		ConfigSource: m.configs,
		Contact:      m.contactAge,
		HTTP:         client,
		Log:          zap.NewNop(),
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
		Node:        name,
		Incarnation: registry.Incarnation(time.Now().Add(n.clockStep).UnixNano()),
		Zone:        zone,
		Seeds:       seeds,
		HTTP:        client,
		Log:         zap.NewNop(),
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

// upstreams lists the instances known, the stale with a question mark and the draining with an
// exclamation mark.
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

func (s *sidecar) leasesSent() registry.Sequence {
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	return s.leaseSequence
}

// requestWatch opens a watch under the node's name, and returns why there is none to decode.
func (s *sidecar) requestWatch(ctx context.Context, address, node string) error {
	url := "http://" + address + watchPath
	_, err := rpc.Call[watchRequest, struct{}](ctx, s.cfg.HTTP, url, &watchRequest{Node: node})
	return err
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

// runMesh runs a scenario in a bubble with three members and the sidecars c1 to c3, each in the zone
// of a member, after all are connected and synced.
func runMesh(t *testing.T, what string, scenario func(n *network, m []*member, c []*sidecar)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var m []*member
		var c []*sidecar
		for i, name := range memberAddresses {
			m = append(m, n.member(name, registry.Epoch(i+1)))
		}
		for i, name := range memberAddresses {
			c = append(c, n.sidecar(fmt.Sprint("c", i+1), "zone-"+name, memberAddresses[0]))
		}
		defer func() {
			for i := range memberAddresses {
				c[i].stop()
				m[i].stop()
			}
			advance(2 * n.longestDelay()) // what is under way arrives
		}()
		advance(5 * time.Second)
		Convey(what, t, func() {
			for i, s := range c {
				So(s.Connected(), ShouldBeTrue)
				So(s.Peers()[0], ShouldEqual, memberAddresses[i])
				So(s.upstreams(), ShouldEqual, "i-c1 i-c2 i-c3")
				So(s.Counts().Live, ShouldEqual, 3)
			}
			scenario(n, m, c)
		})
	})
}
