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

// newTestSidecar is a sidecar without a core, whose engines don't run yet.
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

// post calls the control listener.
func post(s *Sidecar, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(body)))
	return w
}

// postHeartbeat sends a heartbeat of an instance beside the sidecar.
func postHeartbeat(s *Sidecar, instance, state string, sequence int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"address":"%s",
		"nodeInfo":{"serviceName":"s","zone":"hall-a","capacitySlots":4},
		"status":{"state":"%s","callSequence":%d}}`, localAppAddress, state, sequence)
	return post(s, "/api/instances/"+instance+"/heartbeat", body)
}

// That an upstream drains is acknowledged once its gate goes by it and no sooner, also where the
// heartbeat is repeated or out of order, and without a core.
func TestDrainingIsAcknowledgedOnceTheGateHasIt(t *testing.T) {
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
				t.Errorf("sequence %d: acknowledged before the gate goes by it", sequence)
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
				t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
			}
		}
		if state := s.endpoints.gateListing(localAppAddress).Servers[0].State; state != policy.Draining {
			t.Errorf("the gate's list has state %v", state)
		}
		w, local := postHeartbeat(s, "i-1", "ready", 2), s.endpoints.localUpstream()
		if w.Code != 200 || local.State != registry.Draining {
			t.Errorf("a late heartbeat: %d, then %+v", w.Code, local)
		}
		w, local = post(s, "/api/instances/i-1/deregister", ""), s.endpoints.localUpstream()
		if w.Code != 200 || local.State != registry.Deregistered {
			t.Errorf("deregistered: %d, then %+v", w.Code, local)
		}
		w, instance := postHeartbeat(s, "i-2", "ready", 1), *s.inbound.instance.Load()
		if w.Code != 200 || instance != "i-2" {
			t.Errorf("the next instance: %d, and the gate takes requests for %s", w.Code, instance)
		}
		cancel()
		synctest.Wait()
	})
}

// What a later heartbeat says is published after what an earlier one said, never before it: else the
// gate and the list would name two instances for good.
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
		for end := time.Now().Add(testbed.Generous); !holds(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("timed out, the gate takes requests for %q", published())
			}
		}
	}
	var both sync.WaitGroup
	both.Go(func() { postHeartbeat(s, "i-1", "ready", 1) })
	waitUntil(func() bool { return published() == "i-1" }) // and waits for the engine, which doesn't run
	both.Go(func() { postHeartbeat(s, "i-2", "ready", 1) })
	waitUntil(func() bool { return s.endpoints.localUpstream().Instance == "i-2" })
	for range 10000 { // it would need a moment only
		if runtime.Gosched(); published() != "i-1" {
			t.Fatal("a later heartbeat is published while an earlier one is")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.gateEngine.Run(ctx, call.ServerList{})
	both.Wait()
	if published() != "i-2" {
		t.Errorf("the gate takes requests for %s", published())
	}
}

func TestHeartbeatOfAnotherAddressIsRejected(t *testing.T) {
	s := newTestSidecar(t)
	err := s.Heartbeat(registry.Upstream{Instance: "i-1", Address: "10.1.0.41:8103"})
	if kind := errs.KindOf(err); kind != errs.Invalid {
		t.Errorf("the error is %v", err)
	}
	if local := s.endpoints.localUpstream(); local != nil {
		t.Errorf("the local upstream is %+v", local)
	}
}
