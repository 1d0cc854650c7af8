package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
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
)

const localAppAddress = "10.1.0.40:8103"

// newBeside is a sidecar that no core machine has heard of, and whose engines don't run yet.
func newTestSidecar(t *testing.T) *Sidecar {
	t.Helper()
	s := &Sidecar{settings: new(settings.Settings), clock: clock.New(), log: zap.NewNop(), endpoints: newEndpoints([]string{"hall-a"}, localInbound), inbound: new(inbound)}
	s.settings.Self.AppAddress, s.settings.Self.NodeName, s.settings.Self.Zone = localAppAddress, "n", "hall-a"
	s.config.Store(config.Empty())
	s.watchClient = watch.NewClient(watch.ClientConfig{Node: "n", Log: s.log})
	var err error
	module := func(m engine.Module) func(policy.Config, uint64, policy.Host) (engine.Module, error) {
		return func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			if m != nil {
				return m, nil
			}
			s.inbound.gate = gate.New(host)
			return s.inbound.gate, nil
		}
	}
	cfg := engine.Config{Policy: policy.Config{MaxAttempts: 1}, Clock: s.clock, Transport: http1.New(http1.Config{Clock: s.clock}), Log: logring.NewSlog(s.log), Silent: true, Sleeps: true}
	cfg.Module = module(balancer.New(balancer.Config{Members: func() int { return 1 }}, nil))
	if s.balancerEngine, err = engine.New(cfg); err == nil {
		cfg.Module = module(nil)
		s.gateEngine, err = engine.New(cfg)
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// beat sends a heartbeat of an instance beside the sidecar and gives the answer.
func postHeartbeat(s *Sidecar, instance, state string, sequence int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	body := fmt.Sprintf(`{"address":"%s","nodeInfo":{"serviceName":"s","zone":"hall-a","capacitySlots":4},"status":{"state":"%s","callSequence":%d}}`, localAppAddress, state, sequence)
	s.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", "/api/instances/"+instance+"/heartbeat", strings.NewReader(body)))
	return w
}

// That an upstream drains is acknowledged once its gate goes by it and no sooner, also where it is said again or out of order, and whether or not there is a core.
func TestDrainingIsAcknowledgedOnceTheGateHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSidecar(t)
		s.endpoints.recordHeartbeat(registry.Upstream{Instance: "i-1", Service: "s", Address: localAppAddress, Slots: 4, Sequence: 1})
		var acked sync.WaitGroup
		answers := make(chan *httptest.ResponseRecorder, 3)
		for _, sequence := range []int{5, 5, 4} {
			acked.Go(func() { answers <- postHeartbeat(s, "i-1", "draining", sequence) })
			synctest.Wait()
			if len(answers) > 0 {
				t.Errorf("sequence %d: acknowledged while the gate has not heard of it", sequence)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.gateEngine.Run(ctx, call.Listing{})
		acked.Wait()
		for range 3 {
			w := <-answers
			if w.Code != 200 || w.Header().Get("Content-Type") != "application/json" || w.Body.Len() > 4<<10 {
				t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
			}
		}
		if s := s.endpoints.gateListing(localAppAddress).Servers[0].State; s != policy.Draining {
			t.Errorf("state %v", s)
		}
		if w := postHeartbeat(s, "i-1", "ready", 2); w.Code != 200 || s.endpoints.localUpstream().State != registry.Draining {
			t.Errorf("a late beat: %d, then %+v", w.Code, s.endpoints.localUpstream())
		}
		w := httptest.NewRecorder()
		s.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", "/api/instances/i-1/deregister", http.NoBody))
		if w.Code != 200 || s.endpoints.localUpstream().State != registry.Deregistered {
			t.Errorf("deregistered: %d, then %+v", w.Code, s.endpoints.localUpstream())
		}
		if w := postHeartbeat(s, "i-2", "ready", 1); w.Code != 200 || *s.inbound.instance.Load() != "i-2" {
			t.Errorf("a new life at the address: %d, and the gate takes requests for %s", w.Code, *s.inbound.instance.Load())
		}
		cancel()
		synctest.Wait()
	})
}

// What a later beat says is told behind what an earlier one said, never before it: the gate and the list would name two lives for good.
func TestHeartbeatsOfTwoInstancesArePublishedInOrder(t *testing.T) {
	s := newTestSidecar(t)
	published := func() string {
		if instance := s.inbound.instance.Load(); instance != nil {
			return *instance
		}
		return ""
	}
	until := func(is func() bool) {
		for end := time.Now().Add(testbed.Generous); !is(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("waited in vain, the gate takes requests for %q", published())
			}
		}
	}
	var both sync.WaitGroup
	both.Go(func() { postHeartbeat(s, "i-1", "ready", 1) })
	until(func() bool { return published() == "i-1" }) // it waits for the gate's engine now, which does not run yet
	both.Go(func() { postHeartbeat(s, "i-2", "ready", 1) })
	until(func() bool { return s.endpoints.localUpstream().Instance == "i-2" })
	for range 10000 { // it would need a moment only
		if runtime.Gosched(); published() != "i-1" {
			t.Fatal("a later beat is told while an earlier one is")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.gateEngine.Run(ctx, call.Listing{})
	both.Wait()
	if published() != "i-2" {
		t.Errorf("the gate takes requests for %s", published())
	}
}

// The last word of a life that nobody heard of before does not take the place of the one that is here.
func TestLateHeartbeatOfFormerInstanceIsIgnored(t *testing.T) {
	e := newEndpoints(nil, localInbound)
	e.recordHeartbeat(testUpstream("i-2", "", registry.Ready, 1))
	for range 2 {
		if e.recordHeartbeat(testUpstream("i-1", "", registry.Draining, 9)) || e.localUpstream().Instance != "i-2" {
			t.Fatalf("%+v is here", e.localUpstream())
		}
	}
	if !e.recordHeartbeat(testUpstream("i-2", "", registry.Draining, 2)) || !e.recordHeartbeat(testUpstream("i-3", "", registry.Ready, 1)) {
		t.Errorf("%+v is here", e.localUpstream())
	}
}

// A process that is asked to end does so within its grace period, and uses most of a usual one.
func TestDrainTimesFitTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{1600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second, time.Minute} {
		linger, longest := drainTimes(grace)
		if sum := linger + longest + shutdownReserve; sum > grace || linger < grace/3 {
			t.Errorf("of %v new clients come for %v, what is held has %v, and the end %v", grace, linger, longest, shutdownReserve)
		}
	}
	if linger, longest := drainTimes(6 * time.Second); linger+longest != 4500*time.Millisecond {
		t.Errorf("%v and %v", linger, longest)
	}
}
