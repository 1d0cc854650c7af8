package config

import "time"

// NoPriority is the Priority of a tenant that was given none: the route's holds for it.
const NoPriority = -1

// Route is a route of the configuration. It is immutable, and its pointer stays the same from one
// snapshot to the next for as long as the resource is sent unchanged.
type Route struct {
	// Name is the resource's name.
	Name string
	// Host is the host name in lower case and without a port.
	Host string
	// Prefix begins every path of the route.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest that a request may take, MaxTimeoutS at most.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer earns its full value; 0 when none was given.
	LatencyTarget time.Duration
	// Priority is 0 for the highest.
	Priority int
	// Targets are the services that requests go to: one at least, each with a weight above 0.
	Targets []Target
	// MaxAttempts is the largest number of upstreams that one request may be sent to, 1 at least.
	MaxAttempts int
	// Public says that requests need no key.
	Public bool

	// unweighted are the services that the route names but sends nothing to; they must exist too.
	unweighted []string
}

// Target is a service with its weight within a route.
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

// Tenant is a tenant of the configuration. RatePerS is in requests per second; a RatePerS or Burst
// of 0 is no limit. Its pointer stays the same as a Route's does.
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
// headers and bodies, and against connections held open by clients that have ended.
var defaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}
