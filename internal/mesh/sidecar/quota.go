package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/proxy/clock"

	"go.uber.org/zap"
)

const (
	// dealTimeout bounds one call for tokens: they live hardly longer.
	allocateTimeout = 500 * time.Millisecond
	// dealPause is how long after a failed call the next one is made.
	allocateBackoff = 100 * time.Millisecond
	// dealLeast is the least time between two calls.
	minAllocateInterval = 20 * time.Millisecond
)

// AllocatePath is where core members take asks for tokens.
const AllocatePath = "/mesh/deal"

// AllocateRequest is a sidecar's request for tokens, and AllocateResponse the answer.
type (
	AllocateRequest struct {
		Node      string         `json:"node"`
		Demands   []quota.Demand `json:"asks"`
		Forwarded bool           `json:"passed,omitempty"` // by one member to another: it goes no further
	}
	AllocateResponse struct {
		Epoch     uint64            `json:"epoch"`
		Grants    []quota.Grant     `json:"grants"`
		Throttled []quota.Throttled `json:"closed,omitempty"`
	}
)

// quotaClient is what this sidecar may let in for each tenant, and may send again for each service.
type quotaClient struct {
	clock      clock.Clock
	node       string
	peers      func() []string
	httpClient *http.Client
	log        *zap.Logger
	wake       chan struct{} // has an item once there are tenants with a limit

	mu           sync.Mutex
	limiter      *quota.LocalLimiter
	retryBudget  *quota.RetryBudget
	serviceName  func(service int) string
	sidecarCount func() int // sidecars that share the limits
	limits       map[string]quota.Limit
	hasLimits    bool
	sidecars     int
}

func newQuotaClient(bounds settings.Bounds, clk clock.Clock, node string, serviceName func(int) string, sidecarCount func() int, peers func() []string, httpClient *http.Client, log *zap.Logger) (*quotaClient, error) {
	q := &quotaClient{clock: clk, node: node, peers: peers, httpClient: httpClient, log: log, serviceName: serviceName, sidecarCount: sidecarCount, wake: make(chan struct{}, 1)}
	var err error
	window := bounds.QuotaWindow
	if window <= 0 { // no quotas here: nobody asks
		window = time.Second
	}
	if q.limiter, err = quota.NewLocalLimiter(quota.Rules{Window: window, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}); err != nil {
		return nil, err
	}
	q.retryBudget, err = quota.NewRetryBudget(quota.RetryBudgetRules{Window: bounds.RetryWindow, Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack})
	return q, err
}

// configure takes the limits of a configuration.
func (q *quotaClient) configure(c *config.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits, q.sidecars = TenantLimits(c), 0
	q.updateShares(q.clock.Now())
	if q.hasLimits = len(q.limits) > 0; q.hasLimits {
		q.wakeUp()
	}
}

// share divides the limits by the sidecars that there are now. The caller holds the lock.
func (q *quotaClient) updateShares(now time.Duration) {
	sidecars := max(1, q.sidecarCount())
	if sidecars == q.sidecars {
		return
	}
	q.sidecars = sidecars
	if err := q.limiter.Configure(now, q.limits, sidecars); err != nil {
		q.log.Error("limits that can't be used, the last ones hold", zap.Error(err))
	}
	if err := q.retryBudget.Configure(now, sidecars); err != nil {
		q.log.Error("members that can't be used", zap.Error(err))
	}
}

// rouse has run look at what is wanted.
func (q *quotaClient) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// TenantLimits are the limits of a configuration's tenants.
func TenantLimits(c *config.Snapshot) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, t := range c.Tenants() {
		if t.RatePerS > 0 {
			limits[t.Name] = quota.Limit{Rate: t.RatePerS, Burst: t.Burst}
		}
	}
	return limits
}

// take takes a token; without one it tells when the client is to come back.
func (q *quotaClient) allow(tenant string) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.updateShares(now)
	allowed := q.limiter.Allow(now, tenant)
	if q.limiter.NextRequest(now) <= now {
		q.wakeUp()
	}
	if allowed {
		return 0, true
	}
	return q.limiter.RetryAfter(now, tenant), false
}

// run asks for tokens as long as some are wanted.
func (q *quotaClient) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wake:
		}
		q.mu.Lock()
		now := q.clock.Now()
		hasLimits, due := q.hasLimits, q.limiter.NextRequest(now)
		var demands []quota.Demand
		if hasLimits && due <= now {
			demands = q.limiter.Demands(now)
		}
		q.mu.Unlock()
		switch {
		case !hasLimits:
			continue // until there are limits again
		case due > now:
			timer.Reset(due - now)
		case q.requestTokens(ctx, demands): // also where nothing is wanted: the dealer counts on who keeps asking
			timer.Reset(minAllocateInterval)
		default:
			timer.Reset(allocateBackoff)
		}
	}
}

// ask asks the member that we keep to; false: no answer came.
func (q *quotaClient) requestTokens(ctx context.Context, demands []quota.Demand) bool {
	peers := q.peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, allocateTimeout)
	defer cancel()
	response, err := rpc.Call[AllocateRequest, AllocateResponse](ctx, q.httpClient, "http://"+peers[0]+AllocatePath, &AllocateRequest{Node: q.node, Demands: demands})
	if err != nil {
		q.log.Debug("no tokens", zap.Error(err))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.limiter.ApplyGrants(q.clock.Now(), response.Epoch, response.Grants, response.Throttled); err != nil {
		q.log.Debug("tokens that can't be used", zap.Error(err))
	}
	return true
}

// RecordRequest, Allowed and Charge are the budget of further tries, by a service's number.
func (q *quotaClient) RecordRequest(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateShares(now)
	q.retryBudget.RecordRequest(now, q.serviceName(service))
}

func (q *quotaClient) Allowed(now time.Duration, service int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryBudget.Allowed(now, q.serviceName(service))
}

func (q *quotaClient) Charge(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retryBudget.Charge(now, q.serviceName(service))
}
