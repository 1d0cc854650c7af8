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
	// configRetryAfter is the Retry-After value of requests that arrive before the first configuration, and of
	// requests that the current configuration does not allow although a newer one may be committed.
	configRetryAfter = 300 * time.Millisecond
	// defaultLatencyTarget is used for a route without a latency target.
	defaultLatencyTarget = time.Second
)

// outbound admits the requests of clients on this machine according to the current configuration.
type outbound struct {
	config           *atomic.Pointer[config.Snapshot]
	endpoints        *endpoints
	quota            *quotaClient
	derived          derivedConfigCache
	callerFieldValue []string // the local service as a header field value
	// contactAge returns how old the current configuration may be, and false if no core machine has confirmed it
	// yet. If the age exceeds maxConfigAge, the configuration may have been replaced for longer than configApplyS
	// allows. A maxConfigAge of 0 disables that check.
	contactAge   func() (age time.Duration, ok bool)
	maxConfigAge time.Duration
	clock        clock.Clock
	versions     *knownVersions
	drain        drainDeadline
}

func (s *Sidecar) newOutbound() *outbound {
	return &outbound{
		config: &s.config, endpoints: s.endpoints, quota: s.quota,
		callerFieldValue: []string{s.settings.Self.ServiceName},
		contactAge:       s.watchClient.ContactAge, maxConfigAge: s.settings.Guarantees.Bounds.ConfigApply,
		clock: s.clock, versions: &s.knownVersions,
	}
}

// frontDialect returns the dialect of the front that receives requests from clients.
func (o *outbound) frontDialect() *http1.Dialect {
	return &http1.Dialect{
		ParseRequest:   o.admit,
		RewriteHeaders: o.rewriteHeaders,
		CanPipeline:    canPipeline,
		ProxyHeaders:   proxyResponseFields,
	}
}

// canPipeline reports whether a request may be in flight together with others on its connection.
func canPipeline(q *policy.Request) bool { return q.Attributes.(*balancer.RequestClass).Idempotent }

// proxyResponseFields returns the header fields of a response that the front creates itself.
func proxyResponseFields(h *h1.Head, _ *call.Answer) http.Header {
	if id := h.Get(headers.AttemptID); id != "" {
		return http.Header{headers.AttemptID: {id}}
	}
	return nil
}

// clientLimits returns the limits on what clients send, according to the current configuration.
func (o *outbound) clientLimits() http1.RequestLimits {
	limits := o.config.Load().Limits()
	return http1.RequestLimits{
		HeadBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout,
	}
}

// admit determines a request's route, tenant and service, and the time that remains for it. It charges the request
// to the tenant's quota.
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
	if now := o.clock.Now(); o.drain.isPastGuarantee(now) && !o.drain.canFinish(now, remaining) {
		return policy.Request{}, 0, rejectWithRetryAfter(http.StatusServiceUnavailable,
			"this sidecar ends before the request's time", drainRetryAfter)
	}
	tenant, rejection := o.admitTenant(snapshot, route, h)
	if rejection != nil {
		return policy.Request{}, 0, rejection
	}
	return policy.Request{Attributes: o.classify(snapshot, route, tenant)}, remaining, nil
}

// rejectAndClose rejects a request whose head or body may not end where it claims to, and closes its connection.
func rejectAndClose(status int, reason string) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason}
}

// rejectAndKeep rejects a request and keeps its connection open for the next one.
func rejectAndKeep(status int, reason string) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason, KeepAlive: true}
}

// rejectWithRetryAfter is rejectAndKeep with a Retry-After value.
func rejectWithRetryAfter(status int, reason string, retryAfter time.Duration) *http1.Rejection {
	return &http1.Rejection{Status: status, Reason: reason, KeepAlive: true, RetryAfter: retryAfter}
}

// checkHead rejects requests that are invalid under every configuration.
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

// findRoute returns the route that matches a request's host and path. It rejects a request without a route, or
// whose body is longer than the configuration allows.
func (o *outbound) findRoute(snapshot *config.Snapshot, h *h1.Head) (*config.Route, *http1.Rejection) {
	if snapshot.Version() == 0 {
		return nil, rejectWithRetryAfter(
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

// rejectUnlessOutdated rejects a request that the current configuration does not allow. The status is 503 with a
// Retry-After if a newer configuration, which may allow the request, is known to be committed. The same applies if no
// core machine has confirmed the current configuration within maxConfigAge, so that a newer one may be committed.
func (o *outbound) rejectUnlessOutdated(status int, reason string) *http1.Rejection {
	if o.versions.isOutdated(o.clock.Now(), o.config.Load().Version(), 0, o.contactAge) {
		return rejectWithRetryAfter(http.StatusServiceUnavailable, "the configuration is outdated: "+reason, configRetryAfter)
	}
	if o.maxConfigAge > 0 {
		if age, confirmed := o.contactAge(); !confirmed || age > o.maxConfigAge {
			return rejectWithRetryAfter(
				http.StatusServiceUnavailable, "the configuration may be outdated: "+reason, configRetryAfter)
		}
	}
	return rejectAndKeep(status, reason)
}

// remainingTime returns how long a request may take: the shorter of the client's and the route's timeout, or
// defaultLatencyTarget if neither is set.
func remainingTime(h *h1.Head, route *config.Route) (time.Duration, *http1.Rejection) {
	remaining := route.Timeout
	if text := h.Get(headers.Timeout); text != "" {
		clientTimeout, ok := headers.ParseTimeout(text)
		if headers.IsExpired(text) { // the client called at its own deadline, so its request is not malformed
			return 0, rejectAndKeep(http.StatusServiceUnavailable, "no time is left")
		}
		if !ok {
			return 0, rejectAndKeep(http.StatusBadRequest, headers.Timeout+" is malformed")
		}
		if remaining = clientTimeout; route.Timeout != 0 {
			remaining = min(clientTimeout, route.Timeout)
		}
	}
	if remaining <= 0 {
		return defaultLatencyTarget, nil
	}
	return remaining, nil
}

// admitTenant returns the tenant of a request's key and charges its quota. It returns nil if the route needs no
// tenant.
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
		return nil, rejectWithRetryAfter(http.StatusTooManyRequests, "over the quota", retryAfter)
	}
	return tenant, nil
}

// rewriteHeaders prepares the header fields that are sent to a gate. Fields that only sidecars may set are replaced
// by this sidecar's values, and the tenant's key is removed.
func (o *outbound) rewriteHeaders(q *policy.Request, fields http.Header) {
	key := fields[headers.APIKey]
	headers.StripInternal(fields)
	class := q.Attributes.(*balancer.RequestClass)
	o.attemptConfig(class, key).Set(fields)
	fields[headers.Caller] = o.callerFieldValue
	if class.Tenant != "" {
		fields[headers.Tenant] = []string{class.Tenant}
	}
	terms := headers.AttemptTerms{
		Priority: class.Priority, LatencyTarget: class.LatencyTarget, Idempotent: class.Idempotent,
	}
	terms.Set(fields)
}

// attemptConfig returns what a gate is told about the configuration that a request was admitted by. If that
// configuration is known to be outdated, it includes the digest of the tenant's key, as a newer configuration may have
// revoked the key or assigned it to another tenant.
func (o *outbound) attemptConfig(class *balancer.RequestClass, key []string) headers.AttemptConfig {
	attempt := headers.AttemptConfig{AdmittedVersion: class.ConfigVersion}
	if o.versions.newest() > class.ConfigVersion && class.Tenant != "" && len(key) > 0 {
		attempt.APIKeyDigest = config.DigestKey(key[0])
	}
	return attempt
}
