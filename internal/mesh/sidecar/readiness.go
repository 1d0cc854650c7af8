package sidecar

import "net/http"

// readinessHandler serves the readiness check: 200 while clients may be sent here, which needs a
// configuration, a ready upstream somewhere in the mesh, and that no drain has begun; else 503.
func (s *Sidecar) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() || s.config.Load().Version() == 0 || !s.endpoints.hasReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
