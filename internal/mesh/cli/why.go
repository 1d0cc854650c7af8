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

// fate is what becomes of a request, by the configuration in force and the upstreams that a core machine knows.
type fate struct {
	ConfigVersion int64 `json:"configVersion"`
	// Refusal is the status that the request is answered with on its way out; 0: it goes on.
	Refusal     int         `json:"refusal,omitempty"`
	Route       string      `json:"route,omitempty"`
	Tenant      string      `json:"tenant,omitempty"`
	Compartment string      `json:"compartment,omitempty"`
	Priority    int         `json:"priority"`
	UpstreamsAs string      `json:"upstreamsAsOf,omitempty"`
	Services    []candidate `json:"services,omitempty"`
	Words       []string    `json:"words"`
}

// candidate is a service that the request may go to, with its upstreams.
type candidate struct {
	Service   string             `json:"service"`
	Share     float64            `json:"share"` // of the route's requests
	Upstreams []meshapi.Upstream `json:"upstreams"`
}

// why tells what becomes of a request.
func why(ctx context.Context, d *errand) error {
	host, path := d.args[0], d.args[1]
	if !strings.HasPrefix(path, "/") {
		return wrongly("the path %.80q does not begin with a slash", path)
	}
	doc, err := d.client.Describe(ctx)
	if err != nil {
		return err
	}
	f := &fate{ConfigVersion: doc.ConfigVersion}
	if doc.ConfigVersion == 0 {
		f.Refusal = http.StatusServiceUnavailable
		f.say("No configuration is in force yet: the answer is 503.")
		return f.write(d)
	}
	c, err := charterOf(doc)
	if err != nil {
		return fmt.Errorf("the configuration in force can't be read here: %w", err)
	}
	route := f.follow(c, host, path, d)
	if f.Refusal != 0 {
		return f.write(d)
	}
	list, err := d.client.Upstreams(ctx)
	if err != nil {
		return err
	}
	f.choose(route, list)
	return f.write(d)
}

func (f *fate) say(format string, args ...any) {
	f.Words = append(f.Words, fmt.Sprintf(format, args...))
}

func (f *fate) write(d *errand) error {
	return d.write(f, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.Join(f.Words, "\n"))
		return err
	})
}

// follow goes the way of the request up to its compartment, as a sidecar does.
func (f *fate) follow(c *config.Snapshot, host, path string, d *errand) *config.Route {
	f.say("Version %d of the configuration is in force.", f.ConfigVersion)
	route := c.Match(host, path)
	if route == nil {
		f.Refusal = http.StatusNotFound
		f.say("No route of host %q has a prefix that begins %q: the answer is 404.", host, path)
		return nil
	}
	f.Route, f.Priority = route.Name, route.Priority
	f.say("Route %s takes it: of host %s, prefix %s, the longest that begins the path.", route.Name, route.Host, route.Prefix)
	runs := "at most once, so that it is sent to a second upstream only when the first has proved not to have run it"
	if route.Idempotent {
		runs = "more than once"
	}
	f.say("It may run %s. One try is sent to %d upstreams at most and held for %v at most.", runs, route.MaxAttempts, route.Timeout)
	switch {
	case !c.HasTenants():
		f.say("The configuration has no tenants: no key is asked for.")
	case route.Public:
		f.say("The route is public: no key is asked for.")
	default:
		tenant := c.Tenant(d.key)
		if tenant == nil {
			f.Refusal = http.StatusUnauthorized
			if !d.keyed {
				f.say("The route needs the key of a tenant, and none is given (--key): the answer is 401.")
			} else {
				f.say("No tenant has this key: the answer is 401.")
			}
			return route
		}
		f.Tenant, f.Compartment = tenant.Name, "tenant "+tenant.Name
		f.quota(tenant)
		if tenant.Priority >= 0 {
			f.Priority = tenant.Priority
			f.say("Its priority is %d, the tenant's, in the compartment of the tenant.", f.Priority)
		} else {
			f.say("Its priority is %d, the route's, in the compartment of the tenant.", f.Priority)
		}
		return route
	}
	f.Compartment = "service"
	f.say("Its priority is %d, the route's, in the compartment of the service that it goes to.", f.Priority)
	return route
}

func (f *fate) quota(t *config.Tenant) {
	if t.RatePerS == 0 {
		f.say("The key is tenant %s's, which has no quota.", t.Name)
		return
	}
	f.say("The key is tenant %s's, which may have %g requests a second and %g on top; more are answered 429.", t.Name, t.RatePerS, t.Burst)
}

// choose gives the upstreams among which a sidecar chooses.
func (f *fate) choose(route *config.Route, list *meshapi.UpstreamList) {
	f.UpstreamsAs = list.ReportedBy
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	for _, t := range route.Targets {
		s := candidate{Service: t.Service, Share: t.Weight / sum, Upstreams: []meshapi.Upstream{}}
		ready := 0
		for _, u := range list.Upstreams {
			if u.Service != t.Service {
				continue
			}
			s.Upstreams = append(s.Upstreams, u)
			if takes(u) == "" {
				ready++
			}
		}
		f.Services = append(f.Services, s)
		f.say("Service %s gets %.3g%% of the route's requests; %s knows %d upstreams of it, %d of which are sent requests%s:", s.Service, 100*s.Share, list.ReportedBy, len(s.Upstreams), ready, young(list.Syncing))
		for _, u := range s.Upstreams {
			f.say("  %s in zone %s, %d slots: %s", u.Instance, u.Zone, u.Slots, standing(u))
		}
		if ready == 0 {
			f.say("  Nothing can run it there: it waits for an upstream while it has time, and is then turned away.")
		}
	}
	f.say("Among those, the sidecar where the request begins prefers its own zone while there is room; it leaves out for a moment those that failed or turned it away.")
}

// takes says why an upstream is sent nothing; empty: it is.
func takes(u meshapi.Upstream) string {
	switch {
	case u.State != "ready":
		return u.State + ", nothing new is sent to it"
	case u.Node == "":
		return "no sidecar beside it is known, nothing is sent to it"
	}
	return ""
}

func standing(u meshapi.Upstream) string {
	if no := takes(u); no != "" {
		return no
	}
	if u.Stale {
		return "ready, but nobody has vouched for it of late; it is still sent requests"
	}
	return "ready"
}
