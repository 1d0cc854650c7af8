package sidecar

import (
	"net/http"

	"caperarch/internal/mesh/api"
)

// controlHandler serves the control listener: calls of the local upstream are handled here, operators' calls
// are forwarded to a core machine.
func (s *Sidecar) controlHandler() http.Handler {
	mux := http.NewServeMux()
	api.RegisterUpstreamRoutes(mux, s)
	api.RegisterOperatorRoutes(mux, api.Forwarder{Client: s.client, Addresses: s.watchClient.Peers})
	return mux
}
