package sidecar

import (
	"net"
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/logring"
	fronthttp1 "caperarch/internal/proxy/front/http1"
)

const (
	// maxInFlight bounds the requests in flight at each of the two fronts.
	maxInFlight = 400
	// maxBufferedBodyBytes bounds the total size of the request bodies that each front buffers.
	maxBufferedBodyBytes = 16 << 20
	// maxInboundHeadBytes bounds a request's head at the inbound front. It is much larger than any head that a
	// configuration allows clients, and keeps an endless head from exhausting the memory.
	maxInboundHeadBytes = 1 << 20
	// controlHeaderTimeout, controlIdleTimeout and maxControlHeaderBytes limit the clients of the control and
	// readiness listeners.
	controlHeaderTimeout  = 2 * time.Second
	controlIdleTimeout    = 30 * time.Second
	maxControlHeaderBytes = 16 << 10
)

// fronts are the two HTTP/1.1 servers that receive requests.
type fronts struct {
	outbound *fronthttp1.Front // from clients on this machine
	inbound  *fronthttp1.Front // from sidecars
}

// newFronts creates both servers, each in front of its engine.
func (s *Sidecar) newFronts() fronts {
	descriptors, logger := s.connectionDescriptors(), logring.NewSlog(s.log)
	linger, drainTimeout := drainTimes(s.settings.Guarantees.Bounds.GracePeriod)
	gateTarget := fronthttp1.Target{
		Engine: s.balancerEngine, MaxOpen: maxInFlight, MaxBodyBytes: maxBufferedBodyBytes,
	}
	upstreamTarget := fronthttp1.Target{
		Engine: s.gateEngine, MaxOpen: maxInFlight, MaxBodyBytes: maxBufferedBodyBytes,
	}
	return fronts{
		outbound: fronthttp1.New(fronthttp1.Config{
			Route: fronthttp1.RouteTo(&gateTarget), Dialect: s.outbound.frontDialect(),
			ConnLimits: fronthttp1.KeepAliveConnLimits(descriptors * 3 / 8), RequestLimits: s.outbound.clientLimits,
			MaxDeadline: drainTimeout, Linger: linger, Log: logger,
		}, s.clock),
		inbound: fronthttp1.New(fronthttp1.Config{
			Route: fronthttp1.RouteTo(&upstreamTarget), Dialect: s.inbound.frontDialect(),
			ConnLimits: fronthttp1.NewConnLimits(descriptors/4, descriptors/4), RequestLimits: inboundLimits,
			MaxDeadline: drainTimeout, Linger: linger, Log: logger,
		}, s.clock),
	}
}

// listen opens all listeners and starts serving them. The channel receives the error of each listener that fails.
func (s *Sidecar) listen(fronts fronts) (<-chan error, error) {
	addresses := s.settings.Network.ListenAddresses
	servers := map[string]func(net.Listener) error{
		addresses.Inbound:      fronts.inbound.Serve,
		addresses.Outbound:     fronts.outbound.Serve,
		addresses.ControlPlane: serveHTTP(s.controlHandler()),
		addresses.Readiness:    serveHTTP(s.readinessHandler()),
	}
	serveErrors := make(chan error, len(servers))
	for address, serve := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		go func() { serveErrors <- serve(listener) }()
	}
	return serveErrors, nil
}

// serveHTTP returns a function that serves a handler within the limits of the control and readiness listeners.
func serveHTTP(handler http.Handler) func(net.Listener) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	}
	return server.Serve
}

// inboundLimits returns the limits on what sidecars send. Each sidecar limits its clients by its own
// configuration, which may be newer than this sidecar's. A head that another sidecar has admitted must fit here
// with the fields that it adds.
func inboundLimits() fronthttp1.RequestLimits {
	return fronthttp1.RequestLimits{HeadBytes: maxInboundHeadBytes}
}
