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

// explanation is what becomes of a request, by the configuration in force and the upstreams that a
// core machine knows.
type explanation struct {
	ConfigVersion int64 `json:"configVersion"`
	// RejectionStatus is the status with which a sidecar rejects the request; 0: it forwards it.
	RejectionStatus int    `json:"refusal,omitempty"`
	Route           string `json:"route,omitempty"`
	Tenant          string `json:"tenant,omitempty"`
	Compartment     string `json:"compartment,omitempty"`
	// Priority is 0 for the highest.
	Priority int `json:"priority"`
	// ReportedBy is the node name of the core machine that knows the upstreams.
	ReportedBy string             `json:"upstreamsAsOf,omitempty"`
	Services   []candidateService `json:"services,omitempty"`
	Sentences  []string           `json:"words"`
}

// candidateService is a service that the request may go to, with its upstreams.
type candidateService struct {
	Service string `json:"service"`
	// Share is the fraction of the route's requests that go to the service.
	Share     float64            `json:"share"`
	Upstreams []meshapi.Upstream `json:"upstreams"`
}

// why writes what becomes of a request.
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

// explain follows a request as a sidecar does: to its route, its compartment, and the upstreams it
// may go to.
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
	snapshot, err := snapshotOf(doc)
	if err != nil {
		return nil, fmt.Errorf("the configuration in force can't be read here: %w", err)
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

// addf adds a sentence.
func (e *explanation) addf(format string, args ...any) {
	e.Sentences = append(e.Sentences, fmt.Sprintf(format, args...))
}

// reject adds that the request is rejected with a status.
func (e *explanation) reject(status int, format string, args ...any) {
	e.RejectionStatus = status
	e.addf(format, args...)
}

// matchRoute finds the route of the request; nil: it is rejected.
func (e *explanation) matchRoute(snapshot *config.Snapshot, host, path string) *config.Route {
	route := snapshot.Match(host, path)
	if route == nil {
		e.reject(http.StatusNotFound, "No route of host %q has a prefix that begins %q: the answer is 404.", host, path)
		return nil
	}
	e.Route, e.Priority = route.Name, route.Priority
	e.addf("Route %s takes it: of host %s, prefix %s, the longest that begins the path.",
		route.Name, route.Host, route.Prefix)
	runs := "at most once, so that it is sent to a second upstream only when the first has proved not to have run it"
	if route.Idempotent {
		runs = "more than once"
	}
	e.addf("It may run %s. One try is sent to %d upstreams at most and held for %v at most.",
		runs, route.MaxAttempts, route.Timeout)
	return route
}

// assignCompartment finds the compartment and the priority of the request: the tenant's where the
// route asks for a key. Without a valid key it is rejected.
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

// assignTenant puts the request into the compartment of the tenant with its key; nil: there is none.
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
	owner := "route"
	if tenant.Priority >= 0 {
		e.Priority, owner = tenant.Priority, "tenant"
	}
	e.addf("Its priority is %d, the %s's, in the compartment of the tenant.", e.Priority, owner)
}

// addQuota adds what the tenant may send.
func (e *explanation) addQuota(t *config.Tenant) {
	if t.RatePerS == 0 {
		e.addf("The key is tenant %s's, which has no quota.", t.Name)
		return
	}
	e.addf("The key is tenant %s's, which may have %g requests a second and %g on top; more are answered 429.",
		t.Name, t.RatePerS, t.Burst)
}

// listUpstreams lists the upstreams among which a sidecar chooses, by the services of the route.
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

// addService adds a service with its share of the route's requests and its upstreams.
func (e *explanation) addService(service string, share float64, list *meshapi.UpstreamList) {
	candidate := candidateService{Service: service, Share: share, Upstreams: []meshapi.Upstream{}}
	ready := 0
	for _, u := range list.Upstreams {
		if u.Service != service {
			continue
		}
		candidate.Upstreams = append(candidate.Upstreams, u)
		if reasonNotSent(u) == "" {
			ready++
		}
	}
	e.Services = append(e.Services, candidate)
	e.addf("Service %s gets %.3g%% of the route's requests; %s knows %d upstreams of it, %d of which are sent requests%s:",
		service, 100*share, list.ReportedBy, len(candidate.Upstreams), ready, syncingNote(list.Syncing))
	for _, u := range candidate.Upstreams {
		e.addf("  %s in zone %s, %d slots: %s", u.Instance, u.Zone, u.Slots, condition(u))
	}
	if ready == 0 {
		e.addf("  Nothing can run it there: it waits for an upstream while it has time, and is then turned away.")
	}
}

// reasonNotSent returns why an upstream is sent nothing; empty: it is sent requests.
func reasonNotSent(u meshapi.Upstream) string {
	switch {
	case u.State != meshapi.StateReady:
		return u.State + ", nothing new is sent to it"
	case u.Node == "":
		return "no sidecar beside it is known, nothing is sent to it"
	}
	return ""
}

// condition reports whether an upstream is sent requests, and why not.
func condition(u meshapi.Upstream) string {
	if reason := reasonNotSent(u); reason != "" {
		return reason
	}
	if u.Stale {
		return "ready, but nobody has vouched for it of late; it is still sent requests"
	}
	return "ready"
}
