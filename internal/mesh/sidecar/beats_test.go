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

const appHere = "10.1.0.40:8103"

// newBeside is a sidecar that no core machine has heard of, and whose engines don't run yet.
func newBeside(t *testing.T) *Sidecar {
	t.Helper()
	b := &Sidecar{settings: new(settings.Settings), clock: clock.New(), log: zap.NewNop(), endpoints: newEndpoints([]string{"hall-a"}, inboundHere), inbound: new(inbound)}
	b.settings.Self.AppAddress, b.settings.Self.NodeName, b.settings.Self.Zone = appHere, "n", "hall-a"
	b.config.Store(config.Empty())
	b.watchClient = watch.NewClient(watch.ClientConfig{Node: "n", Log: b.log})
	var err error
	module := func(m engine.Module) func(policy.Config, uint64, policy.Host) (engine.Module, error) {
		return func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			if m != nil {
				return m, nil
			}
			b.inbound.gate = gate.New(host)
			return b.inbound.gate, nil
		}
	}
	cfg := engine.Config{Policy: policy.Config{MaxAttempts: 1}, Clock: b.clock, Transport: http1.New(http1.Config{Clock: b.clock}), Log: logring.NewSlog(b.log), Silent: true, Sleeps: true}
	cfg.Module = module(balancer.New(balancer.Config{Members: func() int { return 1 }}, nil))
	if b.balancerEngine, err = engine.New(cfg); err == nil {
		cfg.Module = module(nil)
		b.gateEngine, err = engine.New(cfg)
	}
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// beat sends a heartbeat of an instance beside the sidecar and gives the answer.
func beat(b *Sidecar, instance, state string, sequence int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	body := fmt.Sprintf(`{"address":"%s","nodeInfo":{"serviceName":"s","zone":"hall-a","capacitySlots":4},"status":{"state":"%s","callSequence":%d}}`, appHere, state, sequence)
	b.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", "/api/instances/"+instance+"/heartbeat", strings.NewReader(body)))
	return w
}

// That an upstream drains is acknowledged once its gate goes by it and no sooner, also where it is said again or out of order, and whether or not there is a core.
func TestDrainingIsAcknowledgedOnceTheGateHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBeside(t)
		b.endpoints.recordHeartbeat(registry.Upstream{Instance: "i-1", Service: "s", Address: appHere, Slots: 4, Sequence: 1})
		var acked sync.WaitGroup
		answers := make(chan *httptest.ResponseRecorder, 3)
		for _, sequence := range []int{5, 5, 4} {
			acked.Go(func() { answers <- beat(b, "i-1", "draining", sequence) })
			synctest.Wait()
			if len(answers) > 0 {
				t.Errorf("sequence %d: acknowledged while the gate has not heard of it", sequence)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go b.gateEngine.Run(ctx, call.Listing{})
		acked.Wait()
		for range 3 {
			w := <-answers
			if w.Code != 200 || w.Header().Get("Content-Type") != "application/json" || w.Body.Len() > 4<<10 {
				t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
			}
		}
		if s := b.endpoints.gateListing(appHere).Servers[0].State; s != policy.Draining {
			t.Errorf("state %v", s)
		}
		if w := beat(b, "i-1", "ready", 2); w.Code != 200 || b.endpoints.localUpstream().State != registry.Draining {
			t.Errorf("a late beat: %d, then %+v", w.Code, b.endpoints.localUpstream())
		}
		w := httptest.NewRecorder()
		b.controlHandler().ServeHTTP(w, httptest.NewRequest("POST", "/api/instances/i-1/deregister", http.NoBody))
		if w.Code != 200 || b.endpoints.localUpstream().State != registry.Deregistered {
			t.Errorf("deregistered: %d, then %+v", w.Code, b.endpoints.localUpstream())
		}
		if w := beat(b, "i-2", "ready", 1); w.Code != 200 || *b.inbound.instance.Load() != "i-2" {
			t.Errorf("a new life at the address: %d, and the gate takes requests for %s", w.Code, *b.inbound.instance.Load())
		}
		cancel()
		synctest.Wait()
	})
}

// What a later beat says is told behind what an earlier one said, never before it: the gate and the list would name two lives for good.
func TestBeatsOfTwoLivesAtOnce(t *testing.T) {
	b := newBeside(t)
	told := func() string {
		if instance := b.inbound.instance.Load(); instance != nil {
			return *instance
		}
		return ""
	}
	until := func(is func() bool) {
		for end := time.Now().Add(testbed.Generous); !is(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("waited in vain, the gate takes requests for %q", told())
			}
		}
	}
	var both sync.WaitGroup
	both.Go(func() { beat(b, "i-1", "ready", 1) })
	until(func() bool { return told() == "i-1" }) // it waits for the gate's engine now, which does not run yet
	both.Go(func() { beat(b, "i-2", "ready", 1) })
	until(func() bool { return b.endpoints.localUpstream().Instance == "i-2" })
	for range 10000 { // it would need a moment only
		if runtime.Gosched(); told() != "i-1" {
			t.Fatal("a later beat is told while an earlier one is")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.gateEngine.Run(ctx, call.Listing{})
	both.Wait()
	if told() != "i-2" {
		t.Errorf("the gate takes requests for %s", told())
	}
}

// The last word of a life that nobody heard of before does not take the place of the one that is here.
func TestLastWordOfAnEarlierLife(t *testing.T) {
	s := newEndpoints(nil, inboundHere)
	s.recordHeartbeat(upstream("i-2", "", registry.Ready, 1))
	for range 2 {
		if s.recordHeartbeat(upstream("i-1", "", registry.Draining, 9)) || s.localUpstream().Instance != "i-2" {
			t.Fatalf("%+v is here", s.localUpstream())
		}
	}
	if !s.recordHeartbeat(upstream("i-2", "", registry.Draining, 2)) || !s.recordHeartbeat(upstream("i-3", "", registry.Ready, 1)) {
		t.Errorf("%+v is here", s.localUpstream())
	}
}

// A process that is asked to end does so within its grace period, and uses most of a usual one.
func TestDrainTimes(t *testing.T) {
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
