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
	// allocateTimeout bounds one request for tokens: they are valid for hardly longer.
	allocateTimeout = 500 * time.Millisecond
	// allocateBackoff is the time between a failed request and the next one.
	allocateBackoff = 100 * time.Millisecond
	// minAllocateInterval is the least time between two requests.
	minAllocateInterval = 20 * time.Millisecond
	// usageLogInterval is the time between two log entries of what tenants used. It guards the log's
	// ring against one entry for each request.
	usageLogInterval = time.Second
	// unusedQuotaWindow stands in for the window of settings without quotas: nothing asks for tokens.
	unusedQuotaWindow = time.Second
)

// AllocatePath is where core machines receive requests for tokens.
const AllocatePath = "/mesh/deal"

// AllocateRequest asks for tokens for a sidecar's tenants.
type AllocateRequest struct {
	Node string `json:"node"`
	quota.Request
	Forwarded bool `json:"passed,omitempty"` // by one member to another: it goes no further
}

// AllocateResponse is what the leader allocates; its epoch is the leader's term.
type AllocateResponse struct {
	quota.Response
}

// TenantLimits are the limits of a configuration's tenants that have a rate.
func TenantLimits(c *config.Snapshot) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, t := range c.Tenants() {
		if t.RatePerS > 0 {
			limits[t.Name] = quota.Limit{Rate: t.RatePerS, Burst: t.Burst}
		}
	}
	return limits
}

// quotaConfig is what a quotaClient is made of.
type quotaConfig struct {
	clock       clock.Clock
	log         *zap.Logger
	httpClient  *http.Client
	node        string
	peers       func() []string          // addresses of core machines, the one in use first
	serviceName func(service int) string // by the service's number
	// sidecarCount is how many share the limits, quota.UnknownMembers at first and when the core may have
	// forgotten this sidecar.
	sidecarCount func() int
}

// quotaClient decides what this sidecar may admit for each tenant and may retry for each service. It
// requests tokens from core machines as they are needed.
type quotaClient struct {
	quotaConfig
	wake chan struct{} // holds a signal for run to look again

	mu          sync.Mutex // guards all below
	limiter     *quota.LocalLimiter
	retryBudget *quota.RetryBudget
	limits      map[string]quota.Limit
	divided     bool // limits and budget are divided by sidecars; else they have to be anew
	sidecars    int
	usageLogged time.Duration // when the usage was logged last
}

func newQuotaClient(bounds settings.Bounds, cfg quotaConfig) (*quotaClient, error) {
	q := &quotaClient{quotaConfig: cfg, wake: make(chan struct{}, 1)}
	window := bounds.QuotaWindow
	if window <= 0 {
		window = unusedQuotaWindow
	}
	var err error
	q.limiter, err = quota.NewLocalLimiter(q.clock.Now(), quota.Rules{
		Window: window, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack,
	})
	if err != nil {
		return nil, err
	}
	q.retryBudget, err = quota.NewRetryBudget(quota.RetryBudgetRules{
		Window: bounds.RetryWindow, Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack,
	})
	return q, err
}

// configure applies the limits of a configuration.
func (q *quotaClient) configure(c *config.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits, q.divided = TenantLimits(c), false
	q.updateShares(q.clock.Now())
	if len(q.limits) > 0 {
		q.wakeUp()
	}
}

// updateShares divides the limits and the retry budget by the sidecars that there are now. The
// caller holds mu.
func (q *quotaClient) updateShares(now time.Duration) {
	sidecars := q.sidecarCount()
	if q.divided && sidecars == q.sidecars {
		return
	}
	if q.sidecars != quota.UnknownMembers && sidecars == quota.UnknownMembers {
		q.log.Warn("out of contact for too long, tenants with limits are rejected")
	}
	q.divided, q.sidecars = true, sidecars
	if err := q.limiter.Configure(now, q.limits, sidecars); err != nil {
		q.log.Error("tenant limits rejected, the previous ones stay in force", zap.Error(err))
	}
	if err := q.retryBudget.Configure(now, countOrAssumed(sidecars)); err != nil {
		q.log.Error("number of sidecars rejected, the retry budget stays as it is", zap.Error(err))
	}
}

// wakeUp signals run to look at what is needed.
func (q *quotaClient) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// allow charges a tenant for one request; false: it is over its quota until retryAfter from now.
func (q *quotaClient) allow(tenant string) (retryAfter time.Duration, allowed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.updateShares(now)
	allowed = q.limiter.Allow(now, tenant)
	if q.limiter.NextRequest(now) <= now {
		q.wakeUp()
	}
	if allowed {
		return 0, true
	}
	return q.limiter.RetryAfter(now, tenant), false
}

// run requests tokens while there are tenants with limits, until ctx ends.
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
		due := q.collectDemands()
		switch {
		case !due.hasLimits:
			continue // until there are limits again
		case due.wait > 0:
			timer.Reset(due.wait)
		case q.requestTokens(ctx, due.request):
			timer.Reset(minAllocateInterval)
		default:
			timer.Reset(allocateBackoff)
		}
	}
}

// dueDemands is what run has to do next.
type dueDemands struct {
	hasLimits bool
	wait      time.Duration // until the next request; 0: it is due
	request   quota.Request // may demand nothing: it renews the lease of the floors
}

// collectDemands looks at what is needed now.
func (q *quotaClient) collectDemands() dueDemands {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.logUsage(now)
	due := dueDemands{hasLimits: len(q.limits) > 0, wait: max(0, q.limiter.NextRequest(now)-now)}
	if due.hasLimits && due.wait == 0 {
		due.request = q.limiter.Request(now)
	}
	return due
}

// logUsage logs, once in usageLogInterval, what tenants used here: those whose requests were rejected or
// exceeded an even share of the limit. The caller holds mu.
func (q *quotaClient) logUsage(now time.Duration) {
	interval := now - q.usageLogged
	if interval < usageLogInterval {
		return
	}
	q.usageLogged = now
	for _, usage := range q.limiter.TakeUsage() {
		evenShare := usage.Rate * min(interval, usageLogInterval).Seconds() / float64(usage.Members)
		if usage.Rejected == 0 && float64(usage.Admitted()) <= evenShare {
			continue
		}
		q.log.Debug("tenant usage", zap.String("tenant", usage.Tenant),
			zap.Int("granted", usage.FromGrants), zap.Int("floor", usage.FromFloor),
			zap.Int("deferred", usage.Deferred), zap.Int("rejected", usage.Rejected),
			zap.Float64("rate", usage.Rate), zap.Int("members", usage.Members))
	}
}

// requestTokens asks the core machine in use; false: no answer came.
func (q *quotaClient) requestTokens(ctx context.Context, tokens quota.Request) bool {
	peers := q.peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, allocateTimeout)
	defer cancel()
	url := "http://" + peers[0] + AllocatePath
	request := &AllocateRequest{Node: q.node, Request: tokens}
	response, err := rpc.Call[AllocateRequest, AllocateResponse](ctx, q.httpClient, url, request)
	if err != nil {
		q.log.Debug("quota request failed", zap.Error(err))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err = q.limiter.ApplyResponse(q.clock.Now(), response.Response); err != nil {
		q.log.Debug("quota grant rejected", zap.Error(err))
	}
	return true
}

// RecordRequest counts a request of a service, by its number, towards its retry budget.
func (q *quotaClient) RecordRequest(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateShares(now)
	q.retryBudget.RecordRequest(now, q.serviceName(service))
}

// Allowed reports whether a service's retry budget allows one more.
func (q *quotaClient) Allowed(now time.Duration, service int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryBudget.Allowed(now, q.serviceName(service))
}

// Charge charges one retry to a service's budget.
func (q *quotaClient) Charge(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retryBudget.Charge(now, q.serviceName(service))
}
