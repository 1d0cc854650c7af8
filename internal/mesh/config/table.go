package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"caperarch/internal/mesh/errs"
)

// NoPriority is the Priority of a tenant that was given none: the route's holds for it.
const NoPriority = -1

// Route is a route of the configuration. It is immutable, and its pointer stays the same from one
// snapshot to the next for as long as the item is sent unchanged.
type Route struct {
	// Name is the item's name.
	Name string
	// Host is the host name in small letters and without a port.
	Host string
	// Prefix begins every path of the route.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest that the operator wants a request held, MaxTimeoutS at most.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer earns its full worth; 0 when none was given.
	LatencyTarget time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Targets are the services that requests go to: one at least, each with a weight above 0.
	Targets []Target
	// MaxAttempts is the largest number of upstreams that one try may be sent to, 1 at least.
	MaxAttempts int
	// Public says that requests need no key.
	Public bool

	// unweighted are the services that the route names but sends nothing to; they must exist too.
	unweighted []string
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is a service of the configuration. HealthPath is empty and MaxConnections 0 when none was
// given. Its pointer stays the same as a Route's does.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Tenant is a tenant of the configuration; a RatePerS or Burst of 0 is no limit. Its pointer stays
// the same as a Route's does.
type Tenant struct {
	Name     string
	Priority int
	RatePerS float64
	Burst    float64

	keys []string
}

// Limits bound what a client may send and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// defaultLimits hold where the configuration says nothing: they guard a sidecar against endless
// headers and bodies, and against connections held open by clients that are gone.
var defaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// entry is a route in the order of a host's prefixes. Enclosing is the position of the longest other
// prefix of the host that begins this one, or -1.
type hostRoute struct {
	route     *Route
	enclosing int32
}

// table is what the items of a snapshot mean, laid out for look-ups. It is immutable.
type routingTable struct {
	hosts          map[string][]hostRoute
	services       map[string]*Service
	servicesByName []*Service
	tenantByKey    map[string]*Tenant
	tenants        []*Tenant
	limits         Limits
}

// newRoutingTable lays out items whose ids differ. What the items mean together must be valid: every
// service that a route names is there, no two routes have one host and prefix, and no two tenants
// share a key. The first fault in the order of the items, or of hosts and prefixes, is answered, so
// that every replica answers the same.
func newRoutingTable(items []*resource) (*routingTable, error) {
	t := &routingTable{
		hosts:       make(map[string][]hostRoute),
		services:    make(map[string]*Service),
		tenantByKey: make(map[string]*Tenant),
		limits:      defaultLimits,
	}
	var all []*Route
	for _, it := range items {
		switch m := it.parsed.(type) {
		case *Route:
			all = append(all, m)
		case *Service:
			t.services[m.Name] = m
			t.servicesByName = append(t.servicesByName, m)
		case *Tenant:
			t.tenants = append(t.tenants, m)
			for _, key := range m.keys {
				if holder := t.tenantByKey[key]; holder != nil && holder != m {
					return nil, errs.New(errs.Invalid, "tenants %q: shares a key with %q", m.Name, holder.Name)
				}
				t.tenantByKey[key] = m
			}
		case *Limits:
			t.limits = *m
		}
	}
	for _, r := range all {
		if err := t.checkServices(r); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(t.servicesByName, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.tenants, func(a, b *Tenant) int { return strings.Compare(a.Name, b.Name) })
	return t, t.indexRoutes(all)
}

func (t *routingTable) checkServices(r *Route) error {
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return errs.New(errs.Invalid, "routes %q: there is no service %q", r.Name, target.Service)
		}
	}
	for _, name := range r.unweighted {
		if t.services[name] == nil {
			return errs.New(errs.Invalid, "routes %q: there is no service %q", r.Name, name)
		}
	}
	return nil
}

// indexRoutes sorts the routes by host and prefix and gives each host its part.
func (t *routingTable) indexRoutes(all []*Route) error {
	slices.SortFunc(all, func(a, b *Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Prefix, b.Prefix), strings.Compare(a.Name, b.Name))
	})
	entries := make([]hostRoute, len(all))
	first := 0
	for i, r := range all {
		if i > 0 && all[i-1].Host != r.Host {
			first = i
		}
		part := entries[first : i+1 : i+1]
		enclosing := int32(i-first) - 1
		for enclosing >= 0 && !strings.HasPrefix(r.Prefix, part[enclosing].route.Prefix) {
			enclosing = part[enclosing].enclosing
		}
		if enclosing >= 0 && part[enclosing].route.Prefix == r.Prefix {
			return errs.New(errs.Invalid, "routes %q: has the host and prefix of %q", r.Name, part[enclosing].route.Name)
		}
		part[i-first] = hostRoute{route: r, enclosing: enclosing}
		t.hosts[r.Host] = part
	}
	return nil
}

// maxHostLength is the longest host name that is looked up without allocating: none in the DNS is
// longer.
const maxHostLength = 255

// Match gives the route for a Host header and a path, or nil if there is none: among the routes of
// the host, the one with the longest prefix that begins the path. A port, the case of the host's
// letters and a query make no difference. It doesn't allocate.
func (s *Snapshot) Match(host, path string) *Route {
	var room [maxHostLength]byte
	part := s.table.hosts[string(appendNormalizedHost(room[:0], host))]
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	at, found := slices.BinarySearchFunc(part, path, func(e hostRoute, path string) int {
		return strings.Compare(e.route.Prefix, path)
	})
	// Every prefix that sorts between the longest one that begins the path and the path itself
	// begins with that one, so it is found on the way outwards from the last that sorts before.
	if !found {
		at--
	}
	for at >= 0 {
		if strings.HasPrefix(path, part[at].route.Prefix) {
			return part[at].route
		}
		at = int(part[at].enclosing)
	}
	return nil
}

// appendNormalizedHost appends a host in small letters and without its port.
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

// Tenant gives the tenant that holds a key, or nil.
func (s *Snapshot) Tenant(key string) *Tenant { return s.table.tenantByKey[key] }

// Routes are all routes, in no particular order.
func (s *Snapshot) Routes() []*Route {
	var all []*Route
	for _, entries := range s.table.hosts {
		for _, e := range entries {
			all = append(all, e.route)
		}
	}
	return all
}

// HasTenants says whether requests need the key of a tenant.
func (s *Snapshot) HasTenants() bool { return len(s.table.tenants) > 0 }

// Tenants gives the tenants ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Tenants() []*Tenant { return s.table.tenants }

// Service gives the service of a name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.table.services[name] }

// Services gives the services ordered by name. The slice is shared and must not be changed.
func (s *Snapshot) Services() []*Service { return s.table.servicesByName }

// Limits gives the limits in force.
func (s *Snapshot) Limits() Limits { return s.table.limits }
