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
	// allocateTimeout bounds one request for tokens. Granted tokens expire quota.TokenTTL after the request is
	// sent, so a response that takes longer brings no tokens, only throttling and lease data.
	allocateTimeout = 500 * time.Millisecond
	// allocateBackoff is the time between a failed request for tokens and the next one.
	allocateBackoff = 100 * time.Millisecond
	// minAllocateInterval is the minimum time between two requests for tokens.
	minAllocateInterval = 20 * time.Millisecond
	// usageLogInterval is the minimum time between two logs of tenants' usage. Logging each request would
	// displace all other entries from the log's ring buffer.
	usageLogInterval = time.Second
	// unusedQuotaWindow is the window if the settings have no quotas. The limiter needs a positive window,
	// although no tokens are requested then.
	unusedQuotaWindow = time.Second
	// defaultRetryWindow and defaultRetryRatio are the rules of the retry budget if the settings have none: in each
	// window, one attempt after a request's first for five requests.
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.2
)

// AllocatePath is the path at which core machines receive requests for tokens.
const AllocatePath = "/mesh/deal"

// AllocateRequest requests tokens for the tenants of a sidecar.
type AllocateRequest struct {
	Node string `json:"node"`
	quota.Request
	Forwarded bool `json:"passed,omitempty"` // by another core machine; the recipient does not forward it again
}

// AllocateResponse is the leader's allocation. Its epoch is the leader's term.
type AllocateResponse struct {
	quota.Response
}

// TenantLimits returns the limits of a configuration's tenants by name. Tenants without a rate are left out.
func TenantLimits(c *config.Snapshot) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, t := range c.Tenants() {
		if t.RatePerS > 0 {
			limits[t.Name] = quota.Limit{Rate: t.RatePerS, Burst: t.Burst}
		}
	}
	return limits
}

// quotaConfig holds the dependencies of a quotaClient.
type quotaConfig struct {
	clock       clock.Clock
	log         *zap.Logger
	httpClient  *http.Client
	node        string
	peers       func() []string          // addresses of core machines, the current one first
	serviceName func(service int) string // takes the service's number
	// sidecarCount returns how many sidecars share the limits. It is quota.UnknownMembers until a number is known,
	// and when the core may have forgotten this sidecar.
	sidecarCount func() int
}

// quotaClient decides which requests of each tenant this sidecar may admit, and which requests of each service it
// may retry. It requests tokens from core machines as needed. It is safe for concurrent use.
type quotaClient struct {
	quotaConfig
	wake chan struct{} // wakes run; capacity 1

	mu            sync.Mutex // guards the fields below
	limiter       *quota.LocalLimiter
	retryBudget   *quota.RetryBudget
	limits        map[string]quota.Limit
	sharesCurrent bool // limits and budget are divided by memberCount; false: they have to be divided again
	memberCount   int
	usageLoggedAt time.Duration // time of the last usage log
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
	q.retryBudget, err = quota.NewRetryBudget(retryBudgetRules(bounds))
	return q, err
}

// retryBudgetRules returns the rules of the retry budget. Settings without the contract on retries have none, and get
// the default ones.
func retryBudgetRules(bounds settings.Bounds) quota.RetryBudgetRules {
	if bounds.RetryWindow <= 0 {
		return quota.RetryBudgetRules{Window: defaultRetryWindow, Ratio: defaultRetryRatio}
	}
	return quota.RetryBudgetRules{
		Window: bounds.RetryWindow, Ratio: bounds.RetryBudgetRatio, Slack: bounds.RetryBudgetSlack,
	}
}

// configure applies the tenant limits of a configuration.
func (q *quotaClient) configure(c *config.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits, q.sharesCurrent = TenantLimits(c), false
	q.updateShares(q.clock.Now())
	if len(q.limits) > 0 {
		q.signalRun()
	}
}

// updateShares divides the limits and the retry budget by the current number of sidecars, if that number or the
// limits have changed. The caller holds mu.
func (q *quotaClient) updateShares(now time.Duration) {
	memberCount := q.sidecarCount()
	if q.sharesCurrent && memberCount == q.memberCount {
		return
	}
	if q.memberCount != quota.UnknownMembers && memberCount == quota.UnknownMembers {
		q.log.Warn("out of contact for too long, tenants with limits are rejected")
	}
	q.sharesCurrent, q.memberCount = true, memberCount
	if err := q.limiter.Configure(now, q.limits, memberCount); err != nil {
		q.log.Error("tenant limits rejected, the previous ones stay in force", zap.Error(err))
	}
	if err := q.retryBudget.Configure(now, countOrAssumed(memberCount)); err != nil {
		q.log.Error("number of sidecars rejected, the retry budget stays as it is", zap.Error(err))
	}
}

// signalRun wakes run, so that it checks whether tokens are needed.
func (q *quotaClient) signalRun() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// allow charges one request to a tenant's quota. If it returns false, the tenant is over its quota, and the client
// may retry after retryAfter.
func (q *quotaClient) allow(tenant string) (retryAfter time.Duration, allowed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.updateShares(now)
	allowed = q.limiter.Allow(now, tenant)
	if q.limiter.NextRequest(now) <= now {
		q.signalRun()
	}
	if allowed {
		return 0, true
	}
	return q.limiter.RetryAfter(now, tenant), false
}

// run requests tokens while the configuration has tenants with limits, until ctx ends.
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
		plan := q.planRequest()
		switch {
		case !plan.hasLimits:
			continue // wait for a configuration with limits
		case plan.wait > 0:
			timer.Reset(plan.wait)
		case q.requestTokens(ctx, plan.request):
			timer.Reset(minAllocateInterval)
		default:
			timer.Reset(allocateBackoff)
		}
	}
}

// requestPlan is the next step of run: whether to request tokens, and when.
type requestPlan struct {
	hasLimits bool
	wait      time.Duration // until the next request; 0: request now
	request   quota.Request // may contain no demands: it then only renews the lease of the floors
}

// planRequest returns the next step of run and, if a request is due now, the request.
func (q *quotaClient) planRequest() requestPlan {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.logUsage(now)
	plan := requestPlan{hasLimits: len(q.limits) > 0, wait: max(0, q.limiter.NextRequest(now)-now)}
	if plan.hasLimits && plan.wait == 0 {
		plan.request = q.limiter.Request(now)
	}
	return plan
}

// logUsage logs the usage of tenants at this sidecar, at most once per usageLogInterval. It includes only tenants
// that had requests rejected or used more than an even share of their limit. The caller holds mu.
func (q *quotaClient) logUsage(now time.Duration) {
	interval := now - q.usageLoggedAt
	if interval < usageLogInterval {
		return
	}
	q.usageLoggedAt = now
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

// requestTokens requests tokens from the current core machine and applies the response. It returns false if there
// is no response.
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

// RecordRequest counts a request for the retry budget of a service, which is given by its number.
func (q *quotaClient) RecordRequest(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateShares(now)
	q.retryBudget.RecordRequest(now, q.serviceName(service))
}

// Allowed reports whether a service's retry budget has capacity for one more retry.
func (q *quotaClient) Allowed(now time.Duration, service int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryBudget.Allowed(now, q.serviceName(service))
}

// Charge charges one retry to a service's retry budget.
func (q *quotaClient) Charge(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retryBudget.Charge(now, q.serviceName(service))
}
