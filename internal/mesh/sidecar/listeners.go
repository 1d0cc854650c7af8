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
	// maxInFlight bounds the requests in flight on each of the two fronts.
	maxInFlight = 400
	// maxBufferedBodyBytes bounds the request bodies that each front buffers, all together.
	maxBufferedBodyBytes = 16 << 20
	// maxInboundHeadBytes bounds a request's head at the gate: well over what configurations allow
	// clients, and no endless head fills the memory.
	maxInboundHeadBytes = 1 << 20
	// controlHeaderTimeout, controlIdleTimeout and maxControlHeaderBytes bound clients of the
	// control and readiness listeners.
	controlHeaderTimeout  = 2 * time.Second
	controlIdleTimeout    = 30 * time.Second
	maxControlHeaderBytes = 16 << 10
)

// fronts are the two HTTP/1.1 servers of requests.
type fronts struct {
	outbound *fronthttp1.Front // for clients on this machine
	inbound  *fronthttp1.Front // for sidecars
}

// newFronts makes both servers in front of the engines.
func (s *Sidecar) newFronts() fronts {
	files, logs := s.connectionFiles(), logring.NewSlog(s.log)
	linger, longest := drainTimes(s.settings.Guarantees.Bounds.GracePeriod)
	toGates := fronthttp1.Target{
		Engine: s.balancerEngine, MaxOpen: maxInFlight, MaxBodyBytes: maxBufferedBodyBytes,
	}
	toUpstream := fronthttp1.Target{
		Engine: s.gateEngine, MaxOpen: maxInFlight, MaxBodyBytes: maxBufferedBodyBytes,
	}
	return fronts{
		outbound: fronthttp1.New(fronthttp1.Config{
			Route: fronthttp1.RouteTo(&toGates), Dialect: s.outbound.frontDialect(),
			ConnLimits: fronthttp1.KeepAliveConnLimits(files * 3 / 8), RequestLimits: s.outbound.clientLimits,
			MaxDeadline: longest, Linger: linger, Log: logs,
		}, s.clock),
		inbound: fronthttp1.New(fronthttp1.Config{
			Route: fronthttp1.RouteTo(&toUpstream), Dialect: s.inbound.frontDialect(),
			ConnLimits: fronthttp1.NewConnLimits(files/4, files/4), RequestLimits: inboundLimits,
			MaxDeadline: longest, Linger: linger, Log: logs,
		}, s.clock),
	}
}

// listen opens all listeners and serves them. The channel gets the error of each that ends.
func (s *Sidecar) listen(fronts fronts) (<-chan error, error) {
	addresses := s.settings.Network.ListenAddresses
	servers := map[string]func(net.Listener) error{
		addresses.Inbound:      fronts.inbound.Serve,
		addresses.Outbound:     fronts.outbound.Serve,
		addresses.ControlPlane: serveHTTP(s.controlHandler()),
		addresses.Readiness:    serveHTTP(s.readinessHandler()),
	}
	failed := make(chan error, len(servers))
	for address, serve := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		go func() { failed <- serve(listener) }()
	}
	return failed, nil
}

// serveHTTP serves a handler with the bounds of the control and readiness listeners.
func serveHTTP(handler http.Handler) func(net.Listener) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	}
	return server.Serve
}

// inboundLimits bound what sidecars send. They bound their clients by the configuration, and may
// have a newer one than this sidecar: a head that one of them admitted must fit here, with the
// fields that it adds.
func inboundLimits() fronthttp1.RequestLimits {
	return fronthttp1.RequestLimits{HeadBytes: maxInboundHeadBytes}
}
