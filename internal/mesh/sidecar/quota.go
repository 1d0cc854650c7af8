package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/clock"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"

	"go.uber.org/zap"
)

const (
	// dealTimeout bounds one call for tokens: they live hardly longer.
	dealTimeout = 500 * time.Millisecond
	// dealPause is how long after a failed call the next one is made.
	dealPause = 100 * time.Millisecond
	// dealLeast is the least time between two calls.
	dealLeast = 20 * time.Millisecond
)

// AllocatePath is where core members take asks for tokens.
const AllocatePath = "/mesh/deal"

// AllocateRequest is a sidecar's request for tokens, and AllocateResponse the answer.
type (
	AllocateRequest struct {
		Node      string      `json:"node"`
		Demands   []quota.Ask `json:"asks"`
		Forwarded bool        `json:"passed,omitempty"` // by one member to another: it goes no further
	}
	AllocateResponse struct {
		Epoch     uint64         `json:"epoch"`
		Grants    []quota.Grant  `json:"grants"`
		Throttled []quota.Closed `json:"closed,omitempty"`
	}
)

// quotaClient is what this sidecar may let in for each tenant, and may send again for each service.
type quotaClient struct {
	clock clock.Clock
	node  string
	peers func() []string
	to    *http.Client
	log   *zap.Logger
	some  chan struct{} // has an item once there are tenants with a limit

	mu      sync.Mutex
	purse   *quota.Purse
	budget  *quota.Budget
	names   func(service int) string
	count   func() int // sidecars that share the limits
	limits  map[string]quota.Limit
	limited bool
	members int
}

func newQuota(b settings.Bounds, c clock.Clock, node string, names func(int) string, count func() int, peers func() []string, to *http.Client, log *zap.Logger) (*quotaClient, error) {
	q := &quotaClient{clock: c, node: node, peers: peers, to: to, log: log, names: names, count: count, some: make(chan struct{}, 1)}
	var err error
	window := b.QuotaWindow
	if window <= 0 { // no quotas here: nobody asks
		window = time.Second
	}
	if q.purse, err = quota.NewPurse(quota.Rules{Window: window, Overage: b.QuotaOverage, Slack: b.QuotaSlack}); err != nil {
		return nil, err
	}
	q.budget, err = quota.NewBudget(quota.BudgetRules{Window: b.RetryWindow, Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack})
	return q, err
}

// configure takes the limits of a configuration.
func (q *quotaClient) configure(c *config.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits, q.members = TenantLimits(c), 0
	q.share(q.clock.Now())
	if q.limited = len(q.limits) > 0; q.limited {
		q.rouse()
	}
}

// share divides the limits by the sidecars that there are now. The caller holds the lock.
func (q *quotaClient) share(now time.Duration) {
	members := max(1, q.count())
	if members == q.members {
		return
	}
	q.members = members
	if err := q.purse.Configure(now, q.limits, members); err != nil {
		q.log.Error("limits that can't be used, the last ones hold", zap.Error(err))
	}
	if err := q.budget.Configure(now, members); err != nil {
		q.log.Error("members that can't be used", zap.Error(err))
	}
}

// rouse has run look at what is wanted.
func (q *quotaClient) rouse() {
	select {
	case q.some <- struct{}{}:
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
func (q *quotaClient) take(tenant string) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.share(now)
	taken := q.purse.Take(now, tenant)
	if q.purse.NextAsk(now) <= now {
		q.rouse()
	}
	if taken {
		return 0, true
	}
	return q.purse.RetryAfter(now, tenant), false
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
		case <-q.some:
		}
		q.mu.Lock()
		now := q.clock.Now()
		limited, due := q.limited, q.purse.NextAsk(now)
		var asks []quota.Ask
		if limited && due <= now {
			asks = q.purse.Asks(now)
		}
		q.mu.Unlock()
		switch {
		case !limited:
			continue // until there are limits again
		case due > now:
			timer.Reset(due - now)
		case q.ask(ctx, asks): // also where nothing is wanted: the dealer counts on who keeps asking
			timer.Reset(dealLeast)
		default:
			timer.Reset(dealPause)
		}
	}
}

// ask asks the member that we keep to; false: no answer came.
func (q *quotaClient) ask(ctx context.Context, asks []quota.Ask) bool {
	peers := q.peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dealTimeout)
	defer cancel()
	dealt, err := rpc.Call[AllocateRequest, AllocateResponse](ctx, q.to, "http://"+peers[0]+AllocatePath, &AllocateRequest{Node: q.node, Demands: asks})
	if err != nil {
		q.log.Debug("no tokens", zap.Error(err))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.purse.Granted(q.clock.Now(), dealt.Epoch, dealt.Grants, dealt.Throttled); err != nil {
		q.log.Debug("tokens that can't be used", zap.Error(err))
	}
	return true
}

// RecordRequest, Allowed and Charge are the budget of further tries, by a service's number.
func (q *quotaClient) RecordRequest(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share(now)
	q.budget.Request(now, q.names(service))
}

func (q *quotaClient) Allowed(now time.Duration, service int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget.May(now, q.names(service))
}

func (q *quotaClient) Charge(now time.Duration, service int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Spent(now, q.names(service))
}
