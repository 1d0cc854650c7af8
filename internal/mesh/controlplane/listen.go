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
	// readHeaderTimeout, idleTimeout and maxHeaderBytes guard the listeners against clients that are
	// slow, have ended or send too much.
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// listen serves at the machine's two addresses: one for the mesh itself, one for operators and
// upstreams. Failed receives the error of a listener that ends, also when closeAll ended it.
func (s *Server) listen() (failed <-chan error, closeAll func(), err error) {
	internal, external := s.routes()
	var servers []*http.Server
	closeAll = func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
	ended := make(chan error, 2) // one for each listener, so that none waits for a reader
	for address, mux := range map[string]*http.ServeMux{
		s.ownAddress(): internal,
		s.settings.Network.ListenAddresses.ControlPlane: external,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			closeAll()
			return nil, nil, errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		server := &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		servers = append(servers, server)
		go func() { ended <- server.Serve(listener) }()
	}
	return ended, closeAll, nil
}

// routes are what is served to the mesh and to operators and upstreams. The operators' routes are in
// both, because sidecars forward calls to the internal address.
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

// Heartbeat applies an upstream's heartbeat that reached a core machine because the sidecar beside the
// upstream did not accept it. Another upstream on the same host shows which sidecar that is.
func (s *Server) Heartbeat(u registry.Upstream) error {
	if host, _, err := net.SplitHostPort(u.Address); err == nil {
		for _, known := range s.watchServer.Upstreams() {
			if h, _, err := net.SplitHostPort(known.Inbound); err == nil && h == host {
				u.Node, u.Inbound = known.Node, known.Inbound
			}
		}
	}
	return s.watchServer.Heartbeat(u)
}

// Deregister removes an instance that has ended.
func (s *Server) Deregister(instance string) error {
	return s.watchServer.Heartbeat(registry.Upstream{Instance: instance, State: registry.Deregistered})
}
