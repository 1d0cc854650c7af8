package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/call"

	"go.uber.org/zap"
)

// emptyConfig is a watch.ConfigSource without a configuration.
type emptyConfig struct{}

func (emptyConfig) Current() int64                        { return 0 }
func (emptyConfig) Since(int64) ([]json.RawMessage, bool) { return nil, true }
func (emptyConfig) FullConfig() json.RawMessage           { return json.RawMessage(`{}`) }

// startTestCore starts a core machine in contact with itself, and returns it with its address.
func startTestCore(t *testing.T) (core *watch.Server, address string) {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address = strings.TrimPrefix(server.URL, "http://")
	core = watch.NewServer(watch.ServerConfig{
		Self: address, Zone: "hall-a", Epoch: 1, Peers: func() []string { return []string{address} },
		ConfigSource: emptyConfig{}, Contact: func() (time.Duration, bool) { return 0, true },
		HTTP: watch.NewHTTPClient(), Log: zap.NewNop(),
	})
	core.Register(mux)
	return core, address
}

// startTestSidecar starts a sidecar that keeps its lease at a core machine, and waits until it is connected.
func startTestSidecar(t *testing.T, core string) *Sidecar {
	t.Helper()
	s := newTestSidecar(t)
	s.watchClient = watch.NewClient(watch.ClientConfig{
		Node: "n", Incarnation: registry.Incarnation(time.Now().UnixNano()), Zone: "hall-a", Seeds: []string{core},
		HTTP: watch.NewHTTPClient(), State: s.currentLease,
		ConfigVersion: func() int64 { return 0 }, OnConfig: func(json.RawMessage) bool { return true },
		OnRegistry: s.applyRegistry, OnDeregistered: s.applyDeregistration, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.gateEngine.Run(ctx, call.ServerList{})
	go s.balancerEngine.Run(ctx, call.ServerList{})
	go s.watchClient.Run(ctx)
	awaitCondition(t, "the sidecar is connected", s.watchClient.Connected)
	return s
}

func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testbed.MaxWait); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// lists reports whether a core machine has pushed an entry for an instance.
func (e *endpoints) lists(instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, listed := e.upstreams[instance]
	return listed
}

// Guards against requests for an upstream whose deregistration a core machine has acknowledged, because its own sidecar
// did not receive the call: the sidecar went on sending it the requests of its own machine.
func TestDeregistrationAtCoreEndsLocalUpstream(t *testing.T) {
	core, address := startTestCore(t)
	s := startTestSidecar(t, address)
	postHeartbeat(s, "i-1", "ready", 1)
	awaitCondition(t, "the core machine lists the upstream", func() bool { return s.endpoints.lists("i-1") })
	if err := core.Heartbeat(registry.Upstream{Instance: "i-1", State: registry.Deregistered}); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "the local upstream has ended", func() bool {
		return s.endpoints.localUpstream().State == registry.Deregistered
	})
	if w := postHeartbeat(s, "i-1", "ready", 2); w.Code != http.StatusOK || s.endpoints.hasReady() {
		t.Errorf("a later heartbeat has status %d, and the upstream is listed as ready: %v", w.Code, s.endpoints.hasReady())
	}
	postHeartbeat(s, "i-2", "ready", 1)
	if local := s.endpoints.localUpstream(); local.Instance != "i-2" || local.State != registry.Ready {
		t.Errorf("the local upstream is %+v, want i-2, ready", local)
	}
}

// Guards against a late heartbeat of a deregistered upstream that reaches its sidecar after a restart: the sidecar
// accepted the upstream as ready although the core machines have its tombstone.
func TestLateHeartbeatAfterRestartIsRejected(t *testing.T) {
	core, address := startTestCore(t)
	if err := core.Heartbeat(registry.Upstream{Instance: "i-1", State: registry.Deregistered}); err != nil {
		t.Fatal(err)
	}
	s := startTestSidecar(t, address)
	for sequence := range 3 {
		w := postHeartbeat(s, "i-1", "ready", sequence+1)
		if local := s.endpoints.localUpstream(); w.Code != http.StatusOK || local != nil {
			t.Fatalf("the late heartbeat has status %d, and the local upstream is %+v, want 200 and none", w.Code, local)
		}
	}
	postHeartbeat(s, "i-2", "ready", 1)
	if local := s.endpoints.localUpstream(); local == nil || local.Instance != "i-2" {
		t.Errorf("the local upstream is %+v, want i-2", local)
	}
}

// Guards against requests of other sidecars for an upstream that deregisters at its own sidecar right after a restart,
// before the sidecar knows it: the core machines were not told, and listed it as ready until it expired.
func TestDeregistrationAtRestartedSidecarReachesCore(t *testing.T) {
	core, address := startTestCore(t)
	if err := core.Heartbeat(testUpstream("i-1", localInbound, registry.Ready, 1)); err != nil {
		t.Fatal(err)
	}
	s := startTestSidecar(t, address)
	awaitCondition(t, "the core machine lists the upstream", func() bool { return s.endpoints.lists("i-1") })
	if w := post(s, "/api/instances/i-1/deregister", ""); w.Code != http.StatusOK {
		t.Fatalf("the deregistration has status %d, want 200", w.Code)
	}
	awaitCondition(t, "the core machine lists the upstream no more", func() bool { return !s.endpoints.lists("i-1") })
	postHeartbeat(s, "i-2", "ready", 1)
	if local := s.endpoints.localUpstream(); local.Instance != "i-2" || local.State != registry.Ready {
		t.Errorf("the local upstream is %+v, want i-2, ready", local)
	}
}

// A late deregistration of a former instance does not hide the instance that a core machine lists beside this sidecar.
func TestLateDeregistrationHidesNoOtherInstance(t *testing.T) {
	e := newEndpoints(nil, localInbound)
	e.apply(true, []registry.Upstream{testUpstream("i-2", localInbound, registry.Ready, 1)}, nil)
	e.recordDeregistration("i-1")
	if local := e.localUpstream(); local != nil || !e.hasReady() {
		t.Errorf("the deregistration of i-1 changed the local upstream to %+v; i-2 is listed as ready: %v",
			local, e.hasReady())
	}
}

// A sidecar without a core machine accepts a new instance at once.
func TestNewInstanceIsAcceptedWithoutCore(t *testing.T) {
	s := newTestSidecar(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.gateEngine.Run(ctx, call.ServerList{})
	started := time.Now()
	postHeartbeat(s, "i-1", "ready", 1)
	if local := s.endpoints.localUpstream(); local == nil || time.Since(started) >= instanceCheckTimeout {
		t.Errorf("after %v the local upstream is %+v, want i-1 at once", time.Since(started), local)
	}
}
