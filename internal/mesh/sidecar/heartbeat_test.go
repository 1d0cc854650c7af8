package sidecar

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/logring"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"

	"go.uber.org/zap"
)

const localAppAddress = "10.1.0.40:8103"

// newTestSidecar returns a sidecar without a core, whose engines are not running yet.
func newTestSidecar(t *testing.T) *Sidecar {
	t.Helper()
	s := &Sidecar{
		settings: new(settings.Settings), clock: clock.New(), log: zap.NewNop(),
		endpoints: newEndpoints([]string{"hall-a"}, localInbound), inbound: new(inbound),
	}
	s.settings.Self.AppAddress = localAppAddress
	s.settings.Self.NodeName = "n"
	s.settings.Self.Zone = "hall-a"
	s.config.Store(config.Empty())
	s.watchClient = watch.NewClient(watch.ClientConfig{Node: "n", Log: s.log})
	cfg := engine.Config{
		Policy: policy.Config{MaxAttempts: 1}, Clock: s.clock,
		Transport: http1.New(http1.Config{Clock: s.clock}),
		Log:       logring.NewSlog(s.log), NoCounterLog: true, SleepsWhenIdle: true,
	}
	cfg.Module = func(_ policy.Config, _ uint64, _ policy.Host) (engine.Module, error) {
		return balancer.New(balancer.Config{SidecarCount: func() int { return 1 }}, nil), nil
	}
	var err error
	if s.balancerEngine, err = engine.New(cfg); err != nil {
		t.Fatal(err)
	}
	cfg.Module = func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
		s.inbound.gate = gate.New(host)
		return s.inbound.gate, nil
	}
	if s.gateEngine, err = engine.New(cfg); err != nil {
		t.Fatal(err)
	}
	return s
}

// post sends a POST request to the control listener's handler.
func post(s *Sidecar, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(body)))
	return w
}

// postHeartbeat sends a heartbeat of a local instance.
func postHeartbeat(s *Sidecar, instance, state string, sequence int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"address":"%s",
		"nodeInfo":{"serviceName":"s","zone":"hall-a","capacitySlots":4},
		"status":{"state":"%s","callSequence":%d}}`, localAppAddress, state, sequence)
	return post(s, "/api/instances/"+instance+"/heartbeat", body)
}

// Guards against acknowledging a draining heartbeat before the gate has applied it. The order must hold without a core
// and for repeated and reordered heartbeats.
func TestDrainingIsAcknowledgedAfterTheGateAppliedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSidecar(t)
		s.endpoints.recordHeartbeat(registry.Upstream{
			Instance: "i-1", Service: "s", Address: localAppAddress, Slots: 4, Sequence: 1,
		})
		var acked sync.WaitGroup
		answers := make(chan *httptest.ResponseRecorder, 3)
		for _, sequence := range []int{5, 5, 4} {
			acked.Go(func() { answers <- postHeartbeat(s, "i-1", "draining", sequence) })
			synctest.Wait()
			if len(answers) > 0 {
				t.Errorf("heartbeat with sequence %d was acknowledged before the gate has applied it", sequence)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.gateEngine.Run(ctx, call.ServerList{})
		acked.Wait()
		for range 3 {
			w := <-answers
			isJSON := w.Header().Get("Content-Type") == "application/json"
			if w.Code != 200 || !isJSON || w.Body.Len() > 4<<10 {
				t.Errorf("heartbeat response: status %d, header %v, body %s; want status 200 and at most 4 KiB of JSON",
					w.Code, w.Header(), w.Body)
			}
		}
		if state := s.endpoints.gateListing(localAppAddress).Servers[0].State; state != policy.Draining {
			t.Errorf("the local upstream's state in the gate's list is %v, want draining", state)
		}
		w, local := postHeartbeat(s, "i-1", "ready", 2), s.endpoints.localUpstream()
		if w.Code != 200 || local.State != registry.Draining {
			t.Errorf("late heartbeat: status %d, then the local upstream is %+v, want 200 and draining", w.Code, local)
		}
		w, local = post(s, "/api/instances/i-1/deregister", ""), s.endpoints.localUpstream()
		if w.Code != 200 || local.State != registry.Deregistered {
			t.Errorf("deregistration: status %d, then the local upstream is %+v, want 200 and deregistered", w.Code, local)
		}
		w, instance := postHeartbeat(s, "i-2", "ready", 1), *s.inbound.instance.Load()
		if w.Code != 200 || instance != "i-2" {
			t.Errorf("heartbeat of the next instance: status %d, then the gate accepts requests for %s, want 200 and i-2",
				w.Code, instance)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against publishing an earlier heartbeat's state after a later one's: the gate and the server list would then
// name two different instances permanently.
func TestHeartbeatsOfTwoInstancesArePublishedInOrder(t *testing.T) {
	s := newTestSidecar(t)
	published := func() string {
		if instance := s.inbound.instance.Load(); instance != nil {
			return *instance
		}
		return ""
	}
	waitUntil := func(holds func() bool) {
		t.Helper()
		for end := time.Now().Add(testbed.MaxWait); !holds(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("timed out, the gate accepts requests for %q", published())
			}
		}
	}
	var both sync.WaitGroup
	both.Go(func() { postHeartbeat(s, "i-1", "ready", 1) })
	// The first publishUpstream then waits for the gate's engine, which is not running.
	waitUntil(func() bool { return published() == "i-1" })
	both.Go(func() { postHeartbeat(s, "i-2", "ready", 1) })
	waitUntil(func() bool { return s.endpoints.localUpstream().Instance == "i-2" })
	for range 10000 { // publishing without the lock would need only a moment
		if runtime.Gosched(); published() != "i-1" {
			t.Fatal("a later heartbeat was published while publishing an earlier one was in progress")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.gateEngine.Run(ctx, call.ServerList{})
	both.Wait()
	if published() != "i-2" {
		t.Errorf("the gate accepts requests for %s, want i-2", published())
	}
}

func TestHeartbeatOfAnotherAddressIsRejected(t *testing.T) {
	s := newTestSidecar(t)
	err := s.Heartbeat(registry.Upstream{Instance: "i-1", Address: "10.1.0.41:8103"})
	if kind := errs.KindOf(err); kind != errs.Invalid {
		t.Errorf("heartbeat of another address: error %v, want kind Invalid", err)
	}
	if local := s.endpoints.localUpstream(); local != nil {
		t.Errorf("after a rejected heartbeat the local upstream is %+v, want none", local)
	}
}
