package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/proxy/clock"

	"go.uber.org/zap"
)

const (
	quotaFleetSize = 12
	// quotaTenant sends surge times the rate of its limit.
	quotaTenant     = "surging"
	quotaSurge      = 8
	allocateLatency = 3 * time.Millisecond
	quotaStep       = time.Millisecond
)

var errNoLeader = errors.New("no leader")

// quotaFleet is the quota clients of a fleet, with one allocator, in virtual time. The clients and their
// loops are those of a sidecar; what a core machine does is the round tripper's.
type quotaFleet struct {
	t      *testing.T
	rng    *rand.Rand
	limit  quota.Limit
	bounds settings.Bounds
	// countDelay is how long after its start a sidecar hears of a core machine how many there are.
	countDelay time.Duration
	clients    []*fleetClient // nil while a sidecar is down
	admitted   []time.Time
	began      time.Time

	// loses reports whether responses to a node are lost now; nil: none is.
	loses func(node string) bool
	// silent reports whether a node is out of contact with the core now; nil: none is.
	silent func(node string) bool
	// members is how many sidecars a node, or the leader by the name "", takes part in the limits with. It
	// is quotaFleetSize unless a test counts them.
	members func(node string) int

	allocatorMu sync.Mutex // guards the allocator
	allocator   *quota.Allocator
}

type fleetClient struct {
	*quotaClient
	stop context.CancelFunc
}

func newQuotaFleet(t *testing.T, countDelay time.Duration, limit quota.Limit) *quotaFleet {
	t.Helper()
	f := newStoppedQuotaFleet(t, countDelay, limit)
	f.startAll()
	return f
}

// newStoppedQuotaFleet is a fleet of which no sidecar has started, so that what they call can be set.
func newStoppedQuotaFleet(t *testing.T, countDelay time.Duration, limit quota.Limit) *quotaFleet {
	t.Helper()
	f := &quotaFleet{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), limit: limit, began: time.Now(), countDelay: countDelay,
		bounds: settings.Bounds{
			QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
			RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 62,
		},
		clients: make([]*fleetClient, quotaFleetSize),
		members: func(string) int { return quotaFleetSize },
	}
	var err error
	f.allocator, err = quota.NewAllocator(quota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *quotaFleet) startAll() {
	f.t.Helper()
	for i := range f.clients {
		f.start(i)
	}
}

// start starts a sidecar's client anew: it has the configuration at once, and hears the number of
// sidecars countDelay later.
func (f *quotaFleet) start(i int) {
	f.t.Helper()
	startedAt, node := time.Now(), nodeName(i)
	client, err := newQuotaClient(f.bounds, quotaConfig{
		clock: clock.New(), log: zap.NewNop(), node: node,
		httpClient:  &http.Client{Transport: f},
		peers:       func() []string { return []string{"leader"} },
		serviceName: func(int) string { return "s" },
		sidecarCount: func() int {
			if time.Since(startedAt) < f.countDelay {
				return quota.UnknownMembers // as watch.Client says it
			}
			return f.members(node)
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	client.configure(f.snapshot())
	ctx, stop := context.WithCancel(context.Background())
	go client.run(ctx)
	f.clients[i] = &fleetClient{quotaClient: client, stop: stop}
}

// nodeName is the name of a sidecar by its number.
func nodeName(i int) string { return string(rune('a' + i)) }

// kill ends a sidecar's client with all that it knows.
func (f *quotaFleet) kill(i int) {
	f.clients[i].stop()
	f.clients[i] = nil
}

func (f *quotaFleet) close() {
	for i := range f.clients {
		if f.clients[i] != nil {
			f.kill(i)
		}
	}
}

func (f *quotaFleet) snapshot() *config.Snapshot {
	f.t.Helper()
	tenant := map[string]any{
		"apiKeys": []string{"k"}, "ratePerS": f.limit.Rate, "burstLimit": f.limit.Burst,
	}
	body, err := json.Marshal(map[string]any{"configVersion": 1, "resources": []any{map[string]any{
		"resourceType": "tenants", "metadata": map[string]any{"name": quotaTenant}, "specification": tenant,
	}}})
	if err != nil {
		f.t.Fatal(err)
	}
	change, err := config.ParseReplace(body)
	if err != nil {
		f.t.Fatal(err)
	}
	snapshot, _, err := config.Empty().Apply(change)
	if err != nil {
		f.t.Fatal(err)
	}
	return snapshot
}

// RoundTrip is the leader: it allocates by the fleet's true size.
func (f *quotaFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	var request AllocateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, err
	}
	if err := wait(r.Context(), allocateLatency); err != nil {
		return nil, err
	}
	if f.silent != nil && f.silent(request.Node) {
		return nil, errNoLeader
	}
	response, err := f.allocate(&request)
	if errs.KindOf(err) == errs.Busy {
		return nil, errNoLeader
	}
	if err != nil {
		return nil, err
	}
	latency := allocateLatency
	if f.loses != nil && f.loses(request.Node) {
		latency = time.Hour // the caller gives up before
	}
	if err := wait(r.Context(), latency); err != nil {
		return nil, err
	}
	body, err := json.Marshal(AllocateResponse{Response: response})
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
	}, err
}

// allocate has the leader allocate now.
func (f *quotaFleet) allocate(request *AllocateRequest) (quota.Response, error) {
	f.allocatorMu.Lock()
	defer f.allocatorMu.Unlock()
	now := time.Since(f.began)
	limits := map[string]quota.Limit{quotaTenant: f.limit}
	if err := f.allocator.Configure(now, limits, f.members("")); err != nil {
		return quota.Response{}, err
	}
	return f.allocator.Allocate(now, 1, request.Node, &request.Request)
}

// wait waits in virtual time.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run has the tenant surge at all sidecars that are up.
func (f *quotaFleet) run(duration time.Duration) {
	perStep := f.limit.Rate * quotaSurge * quotaStep.Seconds()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for demand := perStep; demand > 0; demand-- {
			client := f.clients[f.rng.IntN(len(f.clients))]
			if client == nil || f.rng.Float64() >= demand {
				continue
			}
			if _, allowed := client.allow(quotaTenant); allowed {
				f.admitted = append(f.admitted, time.Now())
			}
		}
		<-time.After(quotaStep)
	}
}

// checkWindows fails the test if any window holds more than the rule allows.
func (f *quotaFleet) checkWindows() {
	f.t.Helper()
	window := f.bounds.QuotaWindow
	allowed := (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+f.bounds.QuotaOverage) + f.bounds.QuotaSlack
	fullest, from, first := 0, time.Duration(0), 0
	for last, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		if held := last - first + 1; held > fullest {
			fullest, from = held, f.admitted[first].Sub(f.began)
		}
	}
	if float64(fullest) > allowed {
		f.t.Errorf("%d requests in %v from %v, allowed are %.0f", fullest, window, from, allowed)
	}
	f.t.Logf("fullest window: %d from %v, allowed are %.0f", fullest, from, allowed)
}

// Sidecars that start one after the other while a tenant surges: each takes an assumed number of sidecars
// for granted until it hears the number.
func TestRestartedSidecarsKeepQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 200*time.Millisecond, quota.Limit{Rate: 56, Burst: 56})
		defer f.close()
		f.run(8 * time.Second)
		for i := range 8 {
			f.kill(i)
			f.run(500 * time.Millisecond)
			f.start(i)
			f.run(500 * time.Millisecond)
		}
		f.run(8 * time.Second)
		f.checkWindows()
	})
}

// All sidecars end at once and start again, again and again. They know how many they are all along, so
// that what is above the limit is what a new process takes for its own.
func TestRestartsOfAllSidecarsKeepQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 0, quota.Limit{Rate: 312, Burst: 312})
		defer f.close()
		f.run(8 * time.Second)
		for range 8 {
			for i := range f.clients {
				f.kill(i)
			}
			f.run(100 * time.Millisecond)
			for i := range f.clients {
				f.start(i)
			}
			f.run(time.Second)
		}
		f.run(6 * time.Second)
		f.checkWindows()
	})
}

// The requests of most sidecars reach the leader, but its responses are lost, as in a partition in one
// direction: the leader gives what these sidecars seem to leave to it to the others.
func TestLostResponsesKeepQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 0, quota.Limit{Rate: 312, Burst: 312})
		defer f.close()
		f.run(8 * time.Second)
		lostFrom := time.Now()
		f.loses = func(node string) bool { return node > "c" && time.Since(lostFrom) < 10*time.Second }
		f.run(20 * time.Second)
		f.checkWindows()
	})
}
