package sidecar

import (
	"net/http"

	"caperarch/internal/mesh/api"
)

// controlHandler serves the upstream beside the sidecar, and operators: their calls are forwarded to
// a core machine.
func (s *Sidecar) controlHandler() http.Handler {
	mux := http.NewServeMux()
	api.RegisterUpstreamRoutes(mux, s)
	api.RegisterOperatorRoutes(mux, api.Forwarder{Client: s.client, Addresses: s.watchClient.Peers})
	return mux
}

// readinessHandler answers 200 where clients may come, else 503: there is a configuration and a
// ready upstream in the mesh, and no stop was asked for.
func (s *Sidecar) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() || s.config.Load().Version() == 0 || !s.endpoints.hasReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
