package sidecar

import "net/http"

// readinessHandler serves the readiness check. The status is 200 if the sidecar has a configuration, any upstream
// of the mesh is ready and no drain has started, so that clients may send requests; otherwise it is 503.
func (s *Sidecar) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() || s.config.Load().Version() == 0 || !s.endpoints.hasReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
