package config

import "time"

// NoPriority is the Priority of a tenant without a priority of its own. The priority of the route applies instead.
const NoPriority = -1

// Route is a route of the configuration. It is immutable. A route whose resource is unchanged from one snapshot to the
// next keeps its pointer.
type Route struct {
	// Name is the resource's name.
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix is the prefix of the paths that the route matches.
	Prefix string
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum duration of a request. It is at most MaxTimeoutS.
	Timeout time.Duration
	// LatencyTarget is the response time up to which a response has its full value, or 0 if none is configured.
	LatencyTarget time.Duration
	// Priority is the priority of the route's requests. 0 is the highest priority.
	Priority int
	// Targets are the services to which requests are sent. There is at least one, and each weight is above 0.
	Targets []Target
	// MaxAttempts is the maximum number of upstreams to which one request may be sent. It is at least 1.
	MaxAttempts int
	// Public reports whether requests need no tenant key.
	Public bool

	// unweighted are the services that the route names but sends no requests to. They must exist, too.
	unweighted []string
}

// Target is a service and its weight within a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is a service of the configuration. HealthPath is empty and MaxConnections is 0 if not configured. A service
// whose resource is unchanged from one snapshot to the next keeps its pointer.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Tenant is a tenant of the configuration. RatePerS is in requests per second. A RatePerS or Burst of 0 means no
// limit. A tenant whose resource is unchanged from one snapshot to the next keeps its pointer.
type Tenant struct {
	Name     string
	Priority int
	RatePerS float64
	Burst    float64

	keys []string
}

// Limits bound the size of requests, the time to receive a header, and the time for which a connection may be idle.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// defaultLimits apply where the configuration sets no limit. They protect a sidecar from endless headers and bodies,
// and from connections that stay open after the client has ended.
var defaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}
