package config

import (
	"errors"
	"math"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

const (
	// MaxTimeoutS is the maximum timeoutS of a route in seconds. A request that took longer would outlive every
	// client.
	MaxTimeoutS = 600.0
	// maxDuration is the maximum of all other durations. It keeps the conversion from seconds from overflowing.
	maxDuration = 24 * time.Hour
)

// The values of a route's routeType.
const (
	routeIdempotent    = "idempotent"
	routeNonIdempotent = "non_idempotent"
)

// targetSpecification is a weighted target of a route as it is received.
type targetSpecification struct {
	ServiceName string   `json:"serviceName"`
	Weight      *float64 `json:"weight"`
}

// Validate returns an error that describes what is wrong with a weighted target.
func (s targetSpecification) Validate() error {
	return validation.ValidateStruct(&s,
		validation.Field(&s.ServiceName, validation.Required),
		validation.Field(&s.Weight, validation.NotNil, validation.Min(0.0)),
	)
}

// routeSpecification is the specification of a route as it is received.
type routeSpecification struct {
	Hostname        string                `json:"hostname"`
	PathPrefix      string                `json:"pathPrefix"`
	RouteType       string                `json:"routeType"`
	TimeoutS        *float64              `json:"timeoutS"`
	TargetLatencyS  float64               `json:"targetLatencyS"`
	Priority        int                   `json:"priority"`
	ServiceName     string                `json:"serviceName"`
	WeightedTargets []targetSpecification `json:"weightedTargets"`
	MaxAttempts     int                   `json:"maxAttempts"`
	Public          bool                  `json:"public"`
}

// Validate returns an error that describes what is wrong with the route itself. newRoutingTable checks the route
// against services and other routes.
func (s *routeSpecification) Validate() error {
	if err := validation.ValidateStruct(s,
		validation.Field(&s.Hostname, validation.Required, validation.By(hasHostName)),
		validation.Field(&s.PathPrefix, validation.Required, validation.By(startsWithSlash)),
		validation.Field(&s.RouteType, validation.Required, validation.In(routeIdempotent, routeNonIdempotent)),
		validation.Field(&s.TimeoutS, validation.NotNil, validation.Min(0.0), validation.Max(MaxTimeoutS)),
		validation.Field(&s.TargetLatencyS, validation.Min(0.0)),
		validation.Field(&s.Priority, validation.Min(0)),
		validation.Field(&s.WeightedTargets),
		validation.Field(&s.MaxAttempts, validation.Min(0)),
	); err != nil {
		return err
	}
	if len(s.WeightedTargets) == 0 {
		if s.ServiceName == "" {
			return errors.New("the route names no service")
		}
		return nil
	}
	sum := 0.0
	for _, t := range s.WeightedTargets {
		sum += *t.Weight
	}
	if sum == 0 || math.IsInf(sum, 0) {
		return errors.New("the weights add up to 0 or to no number")
	}
	return nil
}

// hasHostName returns an error if a value has no host name before its port.
func hasHostName(value any) error {
	if len(appendNormalizedHost(nil, value.(string))) == 0 {
		return errors.New("names no host")
	}
	return nil
}

// startsWithSlash returns an error if a value does not start with a slash.
func startsWithSlash(value any) error {
	if !strings.HasPrefix(value.(string), "/") {
		return errors.New("must begin with a slash")
	}
	return nil
}

// parsed returns the specification as a *Route. Targets of weight 0 become unweighted services.
func (s *routeSpecification) parsed(name string) any {
	r := &Route{
		Name:          name,
		Host:          string(appendNormalizedHost(nil, s.Hostname)),
		Prefix:        s.PathPrefix,
		Idempotent:    s.RouteType == routeIdempotent,
		Timeout:       seconds(*s.TimeoutS),
		LatencyTarget: seconds(s.TargetLatencyS),
		Priority:      s.Priority,
		MaxAttempts:   max(s.MaxAttempts, 1),
		Public:        s.Public,
	}
	if len(s.WeightedTargets) == 0 {
		r.Targets = []Target{{Service: s.ServiceName, Weight: 1}}
		return r
	}
	for _, t := range s.WeightedTargets {
		if *t.Weight > 0 {
			r.Targets = append(r.Targets, Target{Service: t.ServiceName, Weight: *t.Weight})
		} else {
			r.unweighted = append(r.unweighted, t.ServiceName)
		}
	}
	if s.ServiceName != "" {
		r.unweighted = append(r.unweighted, s.ServiceName)
	}
	return r
}

// serviceSpecification is the specification of a service as it is received.
type serviceSpecification struct {
	HealthCheckPath string `json:"healthCheckPath"`
	MaxConnections  int    `json:"maxConnections"`
}

// Validate returns an error that describes what is wrong with a service.
func (s *serviceSpecification) Validate() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.HealthCheckPath,
			validation.When(s.HealthCheckPath != "", validation.By(startsWithSlash))),
		validation.Field(&s.MaxConnections, validation.Min(0)),
	)
}

// parsed returns the specification as a *Service.
func (s *serviceSpecification) parsed(name string) any {
	return &Service{Name: name, HealthPath: s.HealthCheckPath, MaxConnections: s.MaxConnections}
}

// tenantSpecification is the specification of a tenant as it is received.
type tenantSpecification struct {
	APIKeys    []string `json:"apiKeys"`
	Priority   *int     `json:"priority"`
	RatePerS   float64  `json:"ratePerS"`
	BurstLimit float64  `json:"burstLimit"`
}

// Validate returns an error that describes what is wrong with the tenant itself. newRoutingTable checks the tenant
// against other tenants. The list of keys is required but may be empty.
func (s *tenantSpecification) Validate() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.APIKeys, validation.NotNil, validation.Each(validation.Required)),
		validation.Field(&s.Priority, validation.Min(0)),
		validation.Field(&s.RatePerS, validation.Min(0.0)),
		validation.Field(&s.BurstLimit, validation.Min(0.0)),
	)
}

// parsed returns the specification as a *Tenant.
func (s *tenantSpecification) parsed(name string) any {
	t := &Tenant{
		Name:     name,
		Priority: NoPriority,
		RatePerS: s.RatePerS,
		Burst:    s.BurstLimit,
		keys:     s.APIKeys,
	}
	if s.Priority != nil {
		t.Priority = *s.Priority
	}
	return t
}

// limitsSpecification is the specification of the limits as it is received.
type limitsSpecification struct {
	MaxHeaderBytes int64   `json:"maxHeaderBytes"`
	MaxBodyBytes   int64   `json:"maxBodyBytes"`
	HeaderTimeoutS float64 `json:"headerTimeoutS"`
	IdleTimeoutS   float64 `json:"idleTimeoutS"`
}

// Validate returns an error that describes what is wrong with the limits.
func (s *limitsSpecification) Validate() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.MaxHeaderBytes, validation.Min(0)),
		validation.Field(&s.MaxBodyBytes, validation.Min(0)),
		validation.Field(&s.HeaderTimeoutS, validation.Min(0.0)),
		validation.Field(&s.IdleTimeoutS, validation.Min(0.0)),
	)
}

// parsed returns the specification as *Limits. A limit that is 0 or missing gets its default.
func (s *limitsSpecification) parsed(string) any {
	l := defaultLimits
	if s.MaxHeaderBytes > 0 {
		l.HeaderBytes = s.MaxHeaderBytes
	}
	if s.MaxBodyBytes > 0 {
		l.BodyBytes = s.MaxBodyBytes
	}
	if s.HeaderTimeoutS > 0 {
		l.HeaderTimeout = seconds(s.HeaderTimeoutS)
	}
	if s.IdleTimeoutS > 0 {
		l.IdleTimeout = seconds(s.IdleTimeoutS)
	}
	return &l
}

// seconds converts a non-negative number of seconds to a duration of at most maxDuration.
func seconds(s float64) time.Duration {
	if s >= maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(math.Round(s * float64(time.Second)))
}
