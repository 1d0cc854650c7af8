package sidecar

import (
	"context"
	"net/http"
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/registry"
)

const (
	// minDiscoveryBackoff and maxDiscoveryBackoff bound the time between two health requests to the local
	// upstream. The backoff starts at the minimum and doubles up to the maximum.
	minDiscoveryBackoff = 20 * time.Millisecond
	maxDiscoveryBackoff = 2 * time.Second
	// defaultHealthPath is used for a service without a health path in the configuration.
	defaultHealthPath = "/health"
)

// discoverUpstream sends health requests to the local upstream until a response or a heartbeat has identified
// its instance, or until ctx ends. After a restart of the sidecar the next heartbeat may be more than a second
// away, and requests for the upstream would be rejected until then.
func (s *Sidecar) discoverUpstream(ctx context.Context) {
	backoff := minDiscoveryBackoff
	for s.endpoints.localUpstream() == nil {
		if s.config.Load().Version() > 0 { // the configuration contains the health path
			if u, ok := s.queryUpstream(ctx); ok {
				s.checkInstance(u.Instance)
				if s.endpoints.adoptDiscovered(u) {
					s.publishUpstream()
					return
				}
			}
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return
		}
		backoff = min(2*backoff, maxDiscoveryBackoff)
	}
}

// queryUpstream sends one health request to the local upstream. It returns false unless the response has status
// 200 and states the instance and a positive number of slots.
func (s *Sidecar) queryUpstream(ctx context.Context) (registry.Upstream, bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	self := s.settings.Self
	url := "http://" + self.AppAddress + s.healthPath()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return registry.Upstream{}, false
	}
	req.Close = true
	res, err := s.client.Do(req)
	if err != nil {
		return registry.Upstream{}, false
	}
	res.Body.Close()
	u := registry.Upstream{
		Instance: res.Header.Get(headers.Instance),
		Service:  self.ServiceName,
		Address:  self.AppAddress,
		Node:     self.NodeName,
		Zone:     self.Zone,
		Region:   self.Region,
		Slots:    headers.ParseSlots(res.Header.Get(headers.Load)),
	}
	return u, res.StatusCode == http.StatusOK && u.Instance != "" && u.Slots > 0
}

// healthPath returns the health path of the local upstream's service.
func (s *Sidecar) healthPath() string {
	service := s.config.Load().Service(s.settings.Self.ServiceName)
	if service == nil || service.HealthPath == "" {
		return defaultHealthPath
	}
	return service.HealthPath
}
