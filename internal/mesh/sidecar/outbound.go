package sidecar

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

const (
	// configRetryAfter is the Retry-After of requests that arrive before the first configuration, and of
	// those that the one here does not allow while a newer one may be in force.
	configRetryAfter = 300 * time.Millisecond
	// defaultLatencyTarget is that of a route that names none.
	defaultLatencyTarget = time.Second
)

// outbound admits the requests that begin on this machine, by the configuration in force.
type outbound struct {
	config      *atomic.Pointer[config.Snapshot]
	endpoints   *endpoints
	quota       *quotaClient
	routes      routeCache
	callerField []string // the local service, as the header field has it
	// contactAge is how old the configuration here may be; false: it was never confirmed. What is older
	// than maxConfigAge, unless that is 0, may have been replaced for longer than the rules allow.
	contactAge   func() (age time.Duration, ok bool)
	maxConfigAge time.Duration
	clock        clock.Clock
	known        *knownVersions
	drain        drainDeadline
}

func (s *Sidecar) newOutbound() *outbound {
	return &outbound{
		config: &s.config, endpoints: s.endpoints, quota: s.quota,
		callerField: []string{s.settings.Self.ServiceName},
		contactAge:  s.watchClient.ContactAge, maxConfigAge: s.settings.Guarantees.Bounds.ConfigApply,
		clock: s.clock, known: &s.knownVersions,
	}
}

// frontDialect is how the front for clients treats their requests.
func (o *outbound) frontDialect() *http1.Dialect {
	return &http1.Dialect{
		ParseRequest:   o.admit,
		RewriteHeaders: o.rewriteHeaders,
		CanPipeline:    canPipeline,
		ProxyHeaders:   ownResponseFields,
	}
}

// canPipeline reports whether a request may be in flight together with others of its connection.
func canPipeline(q *policy.Request) bool { return q.Terms.(*balancer.RequestClass).Idempotent }

// ownResponseFields are the fields of a response that the front itself makes.
func ownResponseFields(h *h1.Head, _ *call.Answer) http.Header {
	if id := h.Get(headers.AttemptID); id != "" {
		return http.Header{headers.AttemptID: {id}}
	}
	return nil
}

// clientLimits bound what clients send, by the configuration in force.
func (o *outbound) clientLimits() http1.RequestLimits {
	limits := o.config.Load().Limits()
	return http1.RequestLimits{
		HeadBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout,
	}
}

// admit finds a request's route, tenant and service, and how much time it has. It charges the
// tenant's quota.
func (o *outbound) admit(h *h1.Head) (policy.Request, time.Duration, *http1.Rejection) {
	if rejection := checkHead(h); rejection != nil {
		return policy.Request{}, 0, rejection
	}
	snapshot := o.config.Load()
	route, rejection := o.findRoute(snapshot, h)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	remaining, rejection := remainingTime(h, route)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	if now := o.clock.Now(); o.drain.isLate(now) && !o.drain.leavesTime(now, remaining) {
		return policy.Request{}, 0, rejectUntil(http.StatusServiceUnavailable,
			"this sidecar ends before the request's time", drainRetryAfter)
	}
	tenant, rejection := o.admitTenant(snapshot, route, h)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	return policy.Request{Terms: o.classify(snapshot, route, tenant)}, remaining, nil
}

// rejectAndClose rejects a request whose head or body can't be trusted to end where it says.
func rejectAndClose(status int, reason string) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason}
}

// rejectAndKeep rejects a request whose connection can be used for the next one.
func rejectAndKeep(status int, reason string) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason, KeepAlive: true}
}

// rejectUntil is rejectAndKeep with a Retry-After.
func rejectUntil(status int, reason string, retryAfter time.Duration) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason, KeepAlive: true, RetryAfter: retryAfter}
}

// checkHead rejects what no configuration admits.
func checkHead(h *h1.Head) *http1.Rejection {
	if h.HTTP10 {
		return rejectAndClose(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if name := headers.DuplicateField(h, headers.AttemptID, headers.Timeout, headers.APIKey); name != "" {
		return rejectAndClose(http.StatusBadRequest, name+" is given twice")
	}
	if h.Get(headers.AttemptID) == "" {
		return rejectAndClose(http.StatusBadRequest, headers.AttemptID+" is missing")
	}
	return nil
}

// findRoute matches a request's host and path, and bounds its body.
func (o *outbound) findRoute(snapshot *config.Snapshot, h *h1.Head) (*config.Route, *http1.Rejection) {
	if snapshot.Version() == 0 {
		return nil, rejectUntil(
			http.StatusServiceUnavailable, "no configuration yet", configRetryAfter)
	}
	path, _, _ := strings.Cut(h.Target, "?")
	route := snapshot.Match(h.Host, path)
	if route == nil {
		return nil, o.rejectUnlessOutdated(http.StatusNotFound, "no route")
	}
	if h.Length > snapshot.Limits().BodyBytes {
		return nil, rejectAndClose(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return route, nil
}

// rejectUnlessOutdated rejects a request that the configuration here does not allow. Where a newer one is known to
// be in force, or may be for too long already, as no core machine in contact has confirmed this one lately, the
// client is to ask again: the newer one may allow it.
func (o *outbound) rejectUnlessOutdated(status int, reason string) *http1.Rejection {
	if o.known.isOutdated(o.clock.Now(), o.config.Load().Version(), 0, o.contactAge) {
		return rejectUntil(http.StatusServiceUnavailable, "the configuration is outdated: "+reason, configRetryAfter)
	}
	if o.maxConfigAge > 0 {
		if age, confirmed := o.contactAge(); !confirmed || age > o.maxConfigAge {
			return rejectUntil(http.StatusServiceUnavailable, "the configuration may be outdated: "+reason, configRetryAfter)
		}
	}
	return rejectAndKeep(status, reason)
}

// remainingTime is how long a request may take: the lesser of its client's and its route's timeout, or
// the default latency target where there is neither.
func remainingTime(h *h1.Head, route *config.Route) (time.Duration, *http1.Rejection) {
	remaining := route.Timeout
	if text := h.Get(headers.Timeout); text != "" {
		stated, ok := headers.ParseTimeout(text)
		if headers.IsExpired(text) { // a call made at its request's deadline: it is no client's fault
			return 0, rejectAndKeep(http.StatusServiceUnavailable, "no time is left")
		}
		if !ok {
			return 0, rejectAndKeep(http.StatusBadRequest, headers.Timeout+" is malformed")
		}
		if remaining = stated; route.Timeout != 0 {
			remaining = min(stated, route.Timeout)
		}
	}
	if remaining <= 0 {
		return defaultLatencyTarget, nil
	}
	return remaining, nil
}

// admitTenant finds the tenant of a request's key and charges its quota; nil: the route needs none.
func (o *outbound) admitTenant(
	snapshot *config.Snapshot, route *config.Route, h *h1.Head,
) (*config.Tenant, *http1.Rejection) {
	if !snapshot.HasTenants() || route.Public {
		return nil, nil
	}
	tenant := snapshot.Tenant(h.Get(headers.APIKey))
	if tenant == nil {
		return nil, o.rejectUnlessOutdated(http.StatusUnauthorized, "no such key")
	}
	if retryAfter, allowed := o.quota.allow(tenant.Name); !allowed {
		return nil, rejectUntil(http.StatusTooManyRequests, "over the quota", retryAfter)
	}
	return tenant, nil
}

// rewriteHeaders prepares the fields that go to a gate: those that only sidecars may set are this
// one's own, and the tenant's key goes no further.
func (o *outbound) rewriteHeaders(q *policy.Request, fields http.Header) {
	key := fields[headers.APIKey]
	headers.StripInternal(fields)
	class := q.Terms.(*balancer.RequestClass)
	o.attemptConfig(class, key).Set(fields)
	fields[headers.Caller] = o.callerField
	if class.Tenant != "" {
		fields[headers.Tenant] = []string{class.Tenant}
	}
	terms := headers.AttemptTerms{
		Priority: class.Priority, LatencyTarget: class.LatencyTarget, Idempotent: class.Idempotent,
	}
	terms.Set(fields)
}

// attemptConfig is what gates are told of the configuration that a request was admitted by. The digest of its key is
// part of that where the configuration is known to be outdated: the key may be another tenant's by now, or nobody's.
func (o *outbound) attemptConfig(class *balancer.RequestClass, key []string) headers.AttemptConfig {
	attempt := headers.AttemptConfig{AdmittedVersion: class.ConfigVersion}
	if o.known.newest() > class.ConfigVersion && class.Tenant != "" && len(key) > 0 {
		attempt.APIKeyDigest = config.DigestKey(key[0])
	}
	return attempt
}
