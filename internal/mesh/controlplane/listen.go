package controlplane

import (
	"net"
	"net/http"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/sidecar"
)

const (
	// readHeaderTimeout, idleTimeout and maxHeaderBytes protect the listeners from clients that are
	// slow, have stopped or send oversized headers.
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// listen starts serving at the machine's two addresses: the internal address for the mesh, and the
// control-plane address for operators and upstreams. The channel failed receives the error of each
// listener that ends, also after closeAll has closed the listeners.
func (s *Server) listen() (failed <-chan error, closeAll func(), err error) {
	internal, external := s.routes()
	var servers []*http.Server
	closeAll = func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
	serveErrors := make(chan error, 2) // one slot for each listener, so that a send never blocks
	for address, mux := range map[string]*http.ServeMux{
		s.ownAddress(): internal,
		s.settings.Network.ListenAddresses.ControlPlane: external,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			closeAll()
			return nil, nil, errs.Wrap(err, errs.Internal, "listen on %s", address)
		}
		server := &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		servers = append(servers, server)
		go func() { serveErrors <- server.Serve(listener) }()
	}
	return serveErrors, closeAll, nil
}

// routes returns the handlers of the internal and the external address. The operators' and upstreams'
// routes are on both, because sidecars forward such requests to the internal address.
func (s *Server) routes() (internal, external *http.ServeMux) {
	internal, external = http.NewServeMux(), http.NewServeMux()
	s.serveAnnouncements(internal)
	replication.RegisterRoutes(internal, s.node.Load)
	s.watchServer.Register(internal)
	rpc.Handle(internal, sidecar.AllocatePath, maxAllocateBytes, s.allocate)
	s.serveForwardedRequests(internal)
	for _, mux := range []*http.ServeMux{internal, external} {
		api.RegisterUpstreamRoutes(mux, s)
		api.RegisterOperatorRoutes(mux, s)
		s.serveInspection(mux)
	}
	return internal, external
}

// Heartbeat applies a heartbeat that an upstream sent to a core machine because the sidecar on the
// upstream's host did not accept it. To find that sidecar, Heartbeat looks for a known upstream whose
// inbound address is on the same host.
func (s *Server) Heartbeat(upstream registry.Upstream) error {
	if host, _, err := net.SplitHostPort(upstream.Address); err == nil {
		for _, known := range s.watchServer.Upstreams() {
			if inboundHost, _, err := net.SplitHostPort(known.Inbound); err == nil && inboundHost == host {
				upstream.Node, upstream.Inbound = known.Node, known.Inbound
			}
		}
	}
	return s.watchServer.Heartbeat(upstream)
}

// Deregister removes an upstream instance that has ended.
func (s *Server) Deregister(instance string) error {
	return s.watchServer.Heartbeat(registry.Upstream{Instance: instance, State: registry.Deregistered})
}
