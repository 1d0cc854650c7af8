package config

import (
	"cmp"
	"slices"
	"strings"

	"caperarch/internal/mesh/errs"
)

// routingTable is the parsed resources of a snapshot, indexed for look-ups. It is immutable.
type routingTable struct {
	routesByHost   map[string][]hostRoute
	serviceByName  map[string]*Service
	servicesByName []*Service // sorted
	tenantByKey    map[string]*Tenant
	tenantsByName  []*Tenant // sorted
	limits         Limits
}

// hostRoute is a route in the list of its host, which is sorted by prefix. Enclosing is the
// position of the longest other prefix of the host that begins this one, or -1.
type hostRoute struct {
	route     *Route
	enclosing int32
}

// newRoutingTable indexes resources whose ids differ. Together they must be valid: every service
// that a route names exists, no two routes have the same host and prefix, and no two tenants share
// a key. The first fault in the order of the resources, or of hosts and prefixes, is returned as
// Invalid, so that every replica returns the same.
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

// indexRoutes sorts the routes by host and prefix and gives each host its section of them.
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
		ofHost := all[first : i+1 : i+1]
		enclosing := int32(i-first) - 1
		for enclosing >= 0 && !strings.HasPrefix(r.Prefix, ofHost[enclosing].route.Prefix) {
			enclosing = ofHost[enclosing].enclosing
		}
		if enclosing >= 0 && ofHost[enclosing].route.Prefix == r.Prefix {
			return errs.New(errs.Invalid, "routes %q: has the host and prefix of %q",
				r.Name, ofHost[enclosing].route.Name)
		}
		ofHost[i-first] = hostRoute{route: r, enclosing: enclosing}
		t.routesByHost[r.Host] = ofHost
	}
	return nil
}

// maxHostLength is the longest host name that is looked up without allocating: none in the DNS is
// longer.
const maxHostLength = 255

// Match returns the route for a Host header and a path, or nil if there is none: among the routes of
// the host, the one with the longest prefix that begins the path. A port, the case of the host's
// letters and a query make no difference. It doesn't allocate.
func (s *Snapshot) Match(host, path string) *Route {
	var buffer [maxHostLength]byte
	ofHost := s.table.routesByHost[string(appendNormalizedHost(buffer[:0], host))]
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	position, found := slices.BinarySearchFunc(ofHost, path, func(r hostRoute, path string) int {
		return strings.Compare(r.route.Prefix, path)
	})
	// Every prefix that sorts between the longest one that begins the path and the path itself
	// begins with that one, so it is found on the way outwards from the last that sorts before.
	if !found {
		position--
	}
	for position >= 0 {
		if strings.HasPrefix(path, ofHost[position].route.Prefix) {
			return ofHost[position].route
		}
		position = int(ofHost[position].enclosing)
	}
	return nil
}

// appendNormalizedHost appends a host in lower case and without its port.
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

// Routes are all routes, in no particular order.
func (s *Snapshot) Routes() []*Route {
	var all []*Route
	for _, ofHost := range s.table.routesByHost {
		for _, r := range ofHost {
			all = append(all, r.route)
		}
	}
	return all
}

// Tenant returns the tenant that holds a key, or nil.
func (s *Snapshot) Tenant(key string) *Tenant { return s.table.tenantByKey[key] }

// HasTenants reports whether requests need the key of a tenant.
func (s *Snapshot) HasTenants() bool { return len(s.table.tenantsByName) > 0 }

// Tenants returns the tenants ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Tenants() []*Tenant { return s.table.tenantsByName }

// Service returns the service of a name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.table.serviceByName[name] }

// Services returns the services ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Services() []*Service { return s.table.servicesByName }

// Limits returns the limits in force.
func (s *Snapshot) Limits() Limits { return s.table.limits }
