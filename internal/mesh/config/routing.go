package config

import (
	"cmp"
	"slices"
	"strings"

	"caperarch/internal/mesh/errs"
)

// routingTable holds the parsed resources of a snapshot, indexed for lookups. It is immutable.
type routingTable struct {
	routesByHost   map[string][]hostRoute
	serviceByName  map[string]*Service
	servicesByName []*Service // sorted by name
	tenantByKey    map[string]*Tenant
	tenantsByName  []*Tenant // sorted by name
	limits         Limits
}

// hostRoute is a route in the list of its host's routes, which is sorted by prefix. The field enclosing is the index of
// the route with the longest other prefix that is a prefix of this route's prefix, or -1 if there is none.
type hostRoute struct {
	route     *Route
	enclosing int32
}

// newRoutingTable indexes resources with distinct ids. It returns an error of kind Invalid unless every service that a
// route names exists, no two routes have the same host and prefix, and no two tenants have the same key. The error
// describes the first fault in the order of the resources, or in the order of hosts and prefixes, so that every replica
// returns the same error.
func newRoutingTable(resources []*resource) (*routingTable, error) {
	t := &routingTable{
		routesByHost:  make(map[string][]hostRoute),
		serviceByName: make(map[string]*Service),
		tenantByKey:   make(map[string]*Tenant),
		limits:        defaultLimits,
	}
	var routes []*Route
	for _, r := range resources {
		switch parsed := r.parsed.(type) {
		case *Route:
			routes = append(routes, parsed)
		case *Service:
			t.serviceByName[parsed.Name] = parsed
			t.servicesByName = append(t.servicesByName, parsed)
		case *Tenant:
			if err := t.addTenant(parsed); err != nil {
				return nil, err
			}
		case *Limits:
			t.limits = *parsed
		}
	}
	for _, route := range routes {
		if err := t.checkServices(route); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(t.servicesByName, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.tenantsByName, func(a, b *Tenant) int { return strings.Compare(a.Name, b.Name) })
	return t, t.indexRoutes(routes)
}

// addTenant indexes a tenant by its keys. A key of another tenant is an error of kind Invalid.
func (t *routingTable) addTenant(tenant *Tenant) error {
	t.tenantsByName = append(t.tenantsByName, tenant)
	for _, key := range tenant.keys {
		if holder := t.tenantByKey[key]; holder != nil && holder != tenant {
			return errs.New(errs.Invalid, "tenants %q: shares a key with %q", tenant.Name, holder.Name)
		}
		t.tenantByKey[key] = tenant
	}
	return nil
}

// checkServices returns an error of kind Invalid if the route names a service that does not exist.
func (t *routingTable) checkServices(r *Route) error {
	for _, target := range r.Targets {
		if t.serviceByName[target.Service] == nil {
			return errs.New(errs.Invalid, "routes %q: there is no service %q", r.Name, target.Service)
		}
	}
	for _, name := range r.unweighted {
		if t.serviceByName[name] == nil {
			return errs.New(errs.Invalid, "routes %q: there is no service %q", r.Name, name)
		}
	}
	return nil
}

// indexRoutes sorts the routes by host and prefix, and stores for each host the section with its routes.
func (t *routingTable) indexRoutes(routes []*Route) error {
	slices.SortFunc(routes, func(a, b *Route) int {
		return cmp.Or(
			strings.Compare(a.Host, b.Host),
			strings.Compare(a.Prefix, b.Prefix),
			strings.Compare(a.Name, b.Name),
		)
	})
	all := make([]hostRoute, len(routes))
	first := 0
	for i, r := range routes {
		if i > 0 && routes[i-1].Host != r.Host {
			first = i
		}
		hostRoutes := all[first : i+1 : i+1]
		enclosing := int32(i-first) - 1
		for enclosing >= 0 && !strings.HasPrefix(r.Prefix, hostRoutes[enclosing].route.Prefix) {
			enclosing = hostRoutes[enclosing].enclosing
		}
		if enclosing >= 0 && hostRoutes[enclosing].route.Prefix == r.Prefix {
			return errs.New(errs.Invalid, "routes %q: has the host and prefix of %q",
				r.Name, hostRoutes[enclosing].route.Name)
		}
		hostRoutes[i-first] = hostRoute{route: r, enclosing: enclosing}
		t.routesByHost[r.Host] = hostRoutes
	}
	return nil
}

// maxHostLength is the maximum length in bytes of a host name that Match looks up without an allocation. DNS names are
// not longer.
const maxHostLength = 255

// Match returns the route for a Host header and a path, or nil if there is none. It selects the route of the host with
// the longest prefix of the path. It ignores the port and the case of the host, and the query of the path. It does not
// allocate.
func (s *Snapshot) Match(host, path string) *Route {
	var buffer [maxHostLength]byte
	hostRoutes := s.table.routesByHost[string(appendNormalizedHost(buffer[:0], host))]
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	position, found := slices.BinarySearchFunc(hostRoutes, path, func(r hostRoute, path string) int {
		return strings.Compare(r.route.Prefix, path)
	})
	// Every prefix that sorts between the path and the longest prefix of the path begins with that longest prefix.
	// The search for the longest prefix therefore starts at the last route that sorts before the path, and follows
	// the enclosing routes.
	if !found {
		position--
	}
	for position >= 0 {
		if strings.HasPrefix(path, hostRoutes[position].route.Prefix) {
			return hostRoutes[position].route
		}
		position = int(hostRoutes[position].enclosing)
	}
	return nil
}

// appendNormalizedHost appends a host to a buffer, in lower case and without its port.
func appendNormalizedHost(to []byte, host string) []byte {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	to = append(to, host...)
	for i, b := range to {
		if 'A' <= b && b <= 'Z' {
			to[i] = b + 'a' - 'A'
		}
	}
	return to
}

// Routes returns all routes in no particular order.
func (s *Snapshot) Routes() []*Route {
	var all []*Route
	for _, hostRoutes := range s.table.routesByHost {
		for _, r := range hostRoutes {
			all = append(all, r.route)
		}
	}
	return all
}

// Tenant returns the tenant with the given key, or nil if there is none.
func (s *Snapshot) Tenant(key string) *Tenant { return s.table.tenantByKey[key] }

// HasTenants reports whether any tenant is configured. If so, requests need the key of a tenant.
func (s *Snapshot) HasTenants() bool { return len(s.table.tenantsByName) > 0 }

// Tenants returns the tenants ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Tenants() []*Tenant { return s.table.tenantsByName }

// Service returns the service with the given name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.table.serviceByName[name] }

// Services returns the services ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Services() []*Service { return s.table.servicesByName }

// Limits returns the limits of the configuration.
func (s *Snapshot) Limits() Limits { return s.table.limits }
