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
	// quotaTenant is the name of the tenant, which sends requests at quotaLoadFactor times its rate limit.
	quotaTenant     = "surging"
	quotaLoadFactor = 8
	allocateLatency = 3 * time.Millisecond
	quotaStep       = time.Millisecond
)

var errNoLeader = errors.New("no leader")

// quotaFleet simulates the quota clients of a fleet and one allocator in virtual time. The clients and their run
// loops are a sidecar's own; RoundTrip simulates the core machine.
type quotaFleet struct {
	t      *testing.T
	rng    *rand.Rand
	limit  quota.Limit
	bounds settings.Bounds
	// countDelay is the time from a sidecar's start until it learns the number of sidecars from a core machine.
	countDelay time.Duration
	clients    []*fleetClient // an entry is nil while its sidecar is down
	admitted   []time.Time    // when requests were admitted
	startedAt  time.Time

	// dropsResponse reports whether responses to a node are lost now. nil: no responses are lost.
	dropsResponse func(node string) bool
	// outOfContact reports whether a node is out of contact with the core now. nil: no node is.
	outOfContact func(node string) bool
	// members returns the number of sidecars that share the limits, as known by a node or, for the name "", by the
	// leader. It returns quotaFleetSize unless a test replaces it.
	members func(node string) int

	allocatorMu sync.Mutex // guards allocator
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

// newStoppedQuotaFleet returns a fleet whose sidecars have not started, so that a test can replace its functions.
func newStoppedQuotaFleet(t *testing.T, countDelay time.Duration, limit quota.Limit) *quotaFleet {
	t.Helper()
	f := &quotaFleet{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), limit: limit, startedAt: time.Now(), countDelay: countDelay,
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

// start starts a new client for a sidecar. The client has the configuration at once, and learns the number of
// sidecars after countDelay.
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
				return quota.UnknownMembers // like watch.Client before it has received a number
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

// nodeName returns the name of the i-th sidecar.
func nodeName(i int) string { return string(rune('a' + i)) }

// kill stops a sidecar's client and discards its state.
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

// RoundTrip is the leader's handler of requests for tokens; it implements http.RoundTripper.
func (f *quotaFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	var request AllocateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, err
	}
	if err := wait(r.Context(), allocateLatency); err != nil {
		return nil, err
	}
	if f.outOfContact != nil && f.outOfContact(request.Node) {
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
	if f.dropsResponse != nil && f.dropsResponse(request.Node) {
		latency = time.Hour // longer than the caller's timeout
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

// allocate has the leader's allocator handle a request now.
func (f *quotaFleet) allocate(request *AllocateRequest) (quota.Response, error) {
	f.allocatorMu.Lock()
	defer f.allocatorMu.Unlock()
	now := time.Since(f.startedAt)
	limits := map[string]quota.Limit{quotaTenant: f.limit}
	if err := f.allocator.Configure(now, limits, f.members("")); err != nil {
		return quota.Response{}, err
	}
	return f.allocator.Allocate(now, 1, request.Node, &request.Request)
}

// wait waits in virtual time, or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends the tenant's requests at quotaLoadFactor times its rate to random sidecars for a duration. Requests to
// sidecars that are down are dropped.
func (f *quotaFleet) run(duration time.Duration) {
	perStep := f.limit.Rate * quotaLoadFactor * quotaStep.Seconds()
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

// checkWindows fails the test if any sliding window has more admitted requests than the quota rule allows.
func (f *quotaFleet) checkWindows() {
	f.t.Helper()
	window := f.bounds.QuotaWindow
	allowed := (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+f.bounds.QuotaOverage) + f.bounds.QuotaSlack
	maxAdmitted, windowStart, first := 0, time.Duration(0), 0
	for last, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		if count := last - first + 1; count > maxAdmitted {
			maxAdmitted, windowStart = count, f.admitted[first].Sub(f.startedAt)
		}
	}
	if float64(maxAdmitted) > allowed {
		f.t.Errorf("%d requests admitted in the %v window from %v, want at most %.0f",
			maxAdmitted, window, windowStart, allowed)
	}
	f.t.Logf("fullest window: %d requests admitted from %v on, at most %.0f allowed", maxAdmitted, windowStart, allowed)
}

// Guards against exceeding the quota while sidecars restart one after the other under overload. Each restarted
// sidecar does not know the number of sidecars at first.
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

// Guards against exceeding the quota when all sidecars restart at once repeatedly. They always know the number of
// sidecars, so any excess would be tokens that new processes assume to have at their start.
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

// Guards against exceeding the quota while the leader receives the requests of most sidecars but its responses to
// them are lost, as in a one-way partition. The leader then gives the floors that these sidecars lease to it to the
// other sidecars.
func TestLostResponsesKeepQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 0, quota.Limit{Rate: 312, Burst: 312})
		defer f.close()
		f.run(8 * time.Second)
		lostFrom := time.Now()
		f.dropsResponse = func(node string) bool { return node > "c" && time.Since(lostFrom) < 10*time.Second }
		f.run(20 * time.Second)
		f.checkWindows()
	})
}
