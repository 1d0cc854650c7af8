package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"caperarch/internal/mesh/config"
	"caperarch/meshapi"
)

// explanation describes how the mesh would handle a request under the configuration in force, with the upstreams that
// the responding core machine knows.
type explanation struct {
	ConfigVersion int64 `json:"configVersion"`
	// RejectionStatus is the HTTP status with which a sidecar rejects the request, 0 if the sidecar forwards it.
	RejectionStatus int    `json:"refusal,omitempty"`
	Route           string `json:"route,omitempty"`
	Tenant          string `json:"tenant,omitempty"`
	Compartment     string `json:"compartment,omitempty"`
	// Priority is the priority of the request. The highest priority is 0.
	Priority int `json:"priority"`
	// ReportedBy is the node name of the core machine that listed the upstreams.
	ReportedBy string             `json:"upstreamsAsOf,omitempty"`
	Services   []candidateService `json:"services,omitempty"`
	Sentences  []string           `json:"words"`
}

// candidateService is a service that the request may be sent to, with its upstreams.
type candidateService struct {
	Service string `json:"service"`
	// Share is the fraction of the route's requests that is sent to the service, from 0 to 1.
	Share     float64            `json:"share"`
	Upstreams []meshapi.Upstream `json:"upstreams"`
}

// why writes how the mesh would handle a request.
func why(ctx context.Context, inv *invocation) error {
	host, path := inv.args[0], inv.args[1]
	if !strings.HasPrefix(path, "/") {
		return usageErrorf("the path %.80q does not begin with a slash", path)
	}
	e, err := explain(ctx, inv, host, path)
	if err != nil {
		return err
	}
	return inv.write(e, e.writeText)
}

func (e *explanation) writeText(w io.Writer) error {
	_, err := fmt.Fprintln(w, strings.Join(e.Sentences, "\n"))
	return err
}

// explain determines the route, the compartment and the candidate upstreams of a request in the same way as a sidecar
// does.
func explain(ctx context.Context, inv *invocation, host, path string) (*explanation, error) {
	doc, err := inv.client.Describe(ctx)
	if err != nil {
		return nil, err
	}
	e := &explanation{ConfigVersion: doc.ConfigVersion}
	if doc.ConfigVersion == 0 {
		e.reject(http.StatusServiceUnavailable, "No configuration is in force yet: the answer is 503.")
		return e, nil
	}
	snapshot, err := decodeSnapshot(doc)
	if err != nil {
		return nil, fmt.Errorf("this version of meshd cannot decode the configuration in force: %w", err)
	}
	e.addf("Version %d of the configuration is in force.", e.ConfigVersion)
	route := e.matchRoute(snapshot, host, path)
	if route == nil {
		return e, nil
	}
	e.assignCompartment(snapshot, route, inv)
	if e.RejectionStatus != 0 {
		return e, nil
	}
	list, err := inv.client.Upstreams(ctx)
	if err != nil {
		return nil, err
	}
	e.listUpstreams(route, list)
	return e, nil
}

// addf appends a formatted sentence.
func (e *explanation) addf(format string, args ...any) {
	e.Sentences = append(e.Sentences, fmt.Sprintf(format, args...))
}

// reject records that the request is rejected with an HTTP status, and appends a sentence with the reason.
func (e *explanation) reject(status int, format string, args ...any) {
	e.RejectionStatus = status
	e.addf(format, args...)
}

// matchRoute returns the route of the request, or nil if no route matches and the request is rejected.
func (e *explanation) matchRoute(snapshot *config.Snapshot, host, path string) *config.Route {
	route := snapshot.Match(host, path)
	if route == nil {
		e.reject(http.StatusNotFound, "No route of host %q has a prefix that begins %q: the answer is 404.", host, path)
		return nil
	}
	e.Route, e.Priority = route.Name, route.Priority
	e.addf("Route %s takes it: of host %s, prefix %s, the longest that begins the path.",
		route.Name, route.Host, route.Prefix)
	executions := "at most once, so that it is sent to a second upstream only when the first has proved not to have run it"
	if route.Idempotent {
		executions = "more than once"
	}
	e.addf("It may run %s. One try is sent to %d upstreams at most and held for %v at most.",
		executions, route.MaxAttempts, route.Timeout)
	return route
}

// assignCompartment sets the compartment and the priority of the request. If the route requires an API key, they are
// those of the key's tenant, and a request without a valid key is rejected. A tenant without a priority leaves the
// route's priority.
func (e *explanation) assignCompartment(snapshot *config.Snapshot, route *config.Route, inv *invocation) {
	switch {
	case !snapshot.HasTenants():
		e.addf("The configuration has no tenants: no key is asked for.")
	case route.Public:
		e.addf("The route is public: no key is asked for.")
	default:
		e.assignTenant(snapshot.Tenant(inv.key), inv.keyGiven)
		return
	}
	e.Compartment = "service"
	e.addf("Its priority is %d, the route's, in the compartment of the service that it goes to.", e.Priority)
}

// assignTenant assigns the request to the compartment of the tenant that owns its API key. If tenant is nil, the key
// is missing or unknown and the request is rejected.
func (e *explanation) assignTenant(tenant *config.Tenant, keyGiven bool) {
	if tenant == nil {
		message := "No tenant has this key: the answer is 401."
		if !keyGiven {
			message = "The route needs the key of a tenant, and none is given (--key): the answer is 401."
		}
		e.reject(http.StatusUnauthorized, "%s", message)
		return
	}
	e.Tenant, e.Compartment = tenant.Name, "tenant "+tenant.Name
	e.addQuota(tenant)
	prioritySource := "route"
	if tenant.Priority >= 0 {
		e.Priority, prioritySource = tenant.Priority, "tenant"
	}
	e.addf("Its priority is %d, the %s's, in the compartment of the tenant.", e.Priority, prioritySource)
}

// addQuota appends the request quota of the tenant.
func (e *explanation) addQuota(t *config.Tenant) {
	if t.RatePerS == 0 {
		e.addf("The key is tenant %s's, which has no quota.", t.Name)
		return
	}
	e.addf("The key is tenant %s's, which may have %g requests a second and %g on top; more are answered 429.",
		t.Name, t.RatePerS, t.Burst)
}

// listUpstreams appends the upstreams that a sidecar chooses from, grouped by the services of the route.
func (e *explanation) listUpstreams(route *config.Route, list *meshapi.UpstreamList) {
	e.ReportedBy = list.ReportedBy
	totalWeight := 0.0
	for _, t := range route.Targets {
		totalWeight += t.Weight
	}
	for _, t := range route.Targets {
		e.addService(t.Service, t.Weight/totalWeight, list)
	}
	e.addf("Among those, the sidecar where the request begins prefers its own zone while there is room; " +
		"it leaves out for a moment those that failed or turned it away.")
}

// addService appends a service with its share of the route's requests and its upstreams.
func (e *explanation) addService(service string, share float64, list *meshapi.UpstreamList) {
	candidate := candidateService{Service: service, Share: share, Upstreams: []meshapi.Upstream{}}
	eligible := 0
	for _, u := range list.Upstreams {
		if u.Service != service {
			continue
		}
		candidate.Upstreams = append(candidate.Upstreams, u)
		if exclusionReason(u) == "" {
			eligible++
		}
	}
	e.Services = append(e.Services, candidate)
	e.addf("Service %s gets %.3g%% of the route's requests; %s knows %d upstreams of it, %d of which are sent requests%s:",
		service, 100*share, list.ReportedBy, len(candidate.Upstreams), eligible, syncingNote(list.Syncing))
	for _, u := range candidate.Upstreams {
		e.addf("  %s in zone %s, %d slots: %s", u.Instance, u.Zone, u.Slots, describeEligibility(u))
	}
	if eligible == 0 {
		e.addf("  Nothing can run it there: it waits for an upstream while it has time, and is then turned away.")
	}
}

// exclusionReason returns the reason why an upstream receives no requests, or an empty string if the upstream
// receives requests.
func exclusionReason(u meshapi.Upstream) string {
	switch {
	case u.State != meshapi.StateReady:
		return u.State + ", nothing new is sent to it"
	case u.Node == "":
		return "no sidecar beside it is known, nothing is sent to it"
	}
	return ""
}

// describeEligibility returns whether an upstream receives requests, and if not, the reason.
func describeEligibility(u meshapi.Upstream) string {
	if reason := exclusionReason(u); reason != "" {
		return reason
	}
	if u.Stale {
		return "ready, but nobody has vouched for it of late; it is still sent requests"
	}
	return "ready"
}
