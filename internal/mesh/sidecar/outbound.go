package sidecar

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

const (
	// noCharterPause is when a client comes back that was here before the configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// standardAim is the aim of a route that names none.
	defaultLatencyTarget = time.Second
	// mostShare is the largest part of all slots that one tenant's compartment may have: well under the whole, whatever its rate.
	maxTenantShare = 0.35
	// callsOfRun is how many internal checks one run of the upstream beside us may have under way, for the size of their compartment.
	nestedCallsPerRequest = 3
	// lowestRank is that of what names none.
	lowestPriority = 9
)

// outbound reads the requests that begin on this machine, by the configuration in force.
type outbound struct {
	b           *Sidecar
	callerField []string // the service of this machine

	mu          sync.Mutex
	derivedFrom *config.Snapshot // that the next two were worked out for
	shares      map[string]float64
	checks      map[*config.Route]bool
}

func (o *outbound) frontDialect() *http1.Dialect {
	return &http1.Dialect{Read: o.admit, Pass: o.rewriteHeaders, Ahead: func(q *policy.Request) bool { return q.Terms.(*balancer.RequestClass).Idempotent }, Own: func(h *h1.Head, _ *call.Answer) http.Header {
		if id := h.Get(headers.AttemptID); id != "" {
			return http.Header{headers.AttemptID: {id}}
		}
		return nil
	}}
}

// read finds a request's route, its tenant and the service that is to run it.
func (o *outbound) admit(h *h1.Head) (q policy.Request, left time.Duration, bad *http1.Rejection) {
	no := func(status int, reason string, keep bool) (policy.Request, time.Duration, *http1.Rejection) {
		return policy.Request{}, 0, &http1.Rejection{Status: status, Reason: reason, Keep: keep}
	}
	if h.Old {
		return no(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed", false)
	}
	if name := headers.DuplicateField(h, headers.AttemptID, headers.Timeout, headers.Key); name != "" {
		return no(http.StatusBadRequest, name+" is given twice", false)
	}
	if h.Get(headers.AttemptID) == "" {
		return no(http.StatusBadRequest, headers.AttemptID+" is missing", false)
	}
	c := o.b.config.Load()
	if c.Version() == 0 {
		return policy.Request{}, 0, &http1.Rejection{Status: http.StatusServiceUnavailable, Reason: "no configuration yet", Keep: true, Pause: noConfigRetryAfter}
	}
	path, _, _ := strings.Cut(h.Target, "?")
	route := c.Match(h.Host, path)
	if route == nil {
		return no(http.StatusNotFound, "no route", true)
	}
	if h.Length > c.Limits().BodyBytes {
		return no(http.StatusRequestEntityTooLarge, "the body is too long", false)
	}
	left = route.Timeout
	if text := h.Get(headers.Timeout); text != "" {
		told, ok := headers.ParseTimeout(text)
		if headers.IsExpired(text) { // a call that an upstream makes at its request's deadline: nothing is wrong with it
			return no(http.StatusServiceUnavailable, "no time is left", true)
		}
		if !ok {
			return no(http.StatusBadRequest, headers.Timeout+" is malformed", true)
		}
		if left = min(told, route.Timeout); route.Timeout == 0 {
			left = told
		}
	}
	if left <= 0 {
		left = defaultLatencyTarget
	}
	aim, rank, name := route.LatencyTarget, route.Priority, ""
	if aim <= 0 {
		aim = defaultLatencyTarget
	}
	service := pickService(route)
	wall := balancer.CompartmentSpec{Name: "service " + service, Share: o.b.endpoints.slotShare(service)}
	if c.HasTenants() && !route.Public {
		tenant := c.Tenant(h.Get(headers.Key))
		if tenant == nil {
			return no(http.StatusUnauthorized, "no such key", true)
		}
		name = tenant.Name
		if tenant.Priority >= 0 {
			rank = tenant.Priority
		}
		wall = balancer.CompartmentSpec{Name: "tenant " + tenant.Name, Share: o.tenantShare(c, tenant.Name)}
		if pause, ok := o.b.quota.allow(tenant.Name); !ok {
			return policy.Request{}, 0, &http1.Rejection{Status: http.StatusTooManyRequests, Reason: "over the quota", Keep: true, Pause: pause}
		}
	}
	rank++ // below internal checks, whatever the operator's ranks are
	if name == "" && o.isInternalCheck(c, route) {
		rank = 0
		wall.Name, wall.MinSlots = "checks of "+service, nestedCallsPerRequest*o.b.endpoints.localSlots()
	}
	return policy.Request{Terms: &balancer.RequestClass{
		Service: o.b.endpoints.serviceNumber(service), Compartment: wall, Tenant: name, Priority: min(max(0, rank), lowestPriority), Idempotent: route.Idempotent, MaxAttempts: route.MaxAttempts, LatencyTarget: aim,
	}}, left, nil
}

// target draws the service by the route's weights.
func pickService(r *config.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// share is a tenant's part of all slots: by its rate against all tenants' rates, evenly where none is limited, and never more than mostShare.
func (o *outbound) tenantShare(c *config.Snapshot, tenant string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deriveRoutes(c)
	return o.shares[tenant]
}

// isCheck says whether requests of a route are internal checks: calls that a run makes, which go before all else, as the request that waits for them holds a slot meanwhile. Nothing in a
// request tells. A route is one if all the time that it may take fits into the aim of every route that may take longer and is none: else it could be no part of their requests.
func (o *outbound) isInternalCheck(c *config.Snapshot, r *config.Route) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deriveRoutes(c)
	return o.checks[r]
}

// work works out what a configuration means for requests, once for each.
func (o *outbound) deriveRoutes(c *config.Snapshot) {
	if o.derivedFrom == c {
		return
	}
	o.derivedFrom, o.shares, o.checks = c, make(map[string]float64), make(map[*config.Route]bool)
	sum, all := 0.0, c.Tenants()
	for _, t := range all {
		sum += t.RatePerS
	}
	for _, t := range all {
		share := 1 / float64(len(all))
		if sum > 0 && t.RatePerS > 0 {
			share = t.RatePerS / sum
		}
		o.shares[t.Name] = min(maxTenantShare, share)
	}
	routes := slices.SortedFunc(slices.Values(c.Routes()), func(a, b *config.Route) int { return cmp.Compare(b.Timeout, a.Timeout) })
	least := time.Duration(0) // aim of those that may take longer and are no checks; 0: there is none
	for i := 0; i < len(routes); {
		next := i
		for ; next < len(routes) && routes[next].Timeout == routes[i].Timeout; next++ {
			r := routes[next]
			o.checks[r] = least > 0 && r.Timeout > 0 && r.Timeout <= least && r.Idempotent && (r.Public || !c.HasTenants())
		}
		for ; i < next; i++ {
			if aim := routes[i].LatencyTarget; aim > 0 && !o.checks[routes[i]] && (least == 0 || aim < least) {
				least = aim
			}
		}
	}
}

// pass changes what goes on: what only the system may say is its own, the key stays here.
func (o *outbound) rewriteHeaders(q *policy.Request, fields http.Header) {
	headers.StripInternal(fields)
	order := q.Terms.(*balancer.RequestClass)
	fields[headers.Caller] = o.callerField
	if order.Tenant != "" {
		fields[headers.Tenant] = []string{order.Tenant}
	}
	headers.AttemptTerms{Priority: order.Priority, LatencyTarget: order.LatencyTarget, Idempotent: order.Idempotent}.Set(fields)
}
