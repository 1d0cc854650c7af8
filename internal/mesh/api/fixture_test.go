package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/registry"
	"caperarch/meshapi"
)

// fakeUpstreams is an UpstreamHandler that records its calls and returns err.
type fakeUpstreams struct {
	heartbeats   []registry.Upstream
	deregistered []string
	err          error
}

func (f *fakeUpstreams) Heartbeat(u registry.Upstream) error {
	f.heartbeats = append(f.heartbeats, u)
	return f.err
}

func (f *fakeUpstreams) Deregister(instance string) error {
	f.deregistered = append(f.deregistered, instance)
	return f.err
}

// fakeOperators is an OperatorHandler that records its requests. It returns err, or version 7 if err is
// nil.
type fakeOperators struct {
	err      error
	requests []string
}

func (f *fakeOperators) Replace(_ *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	f.requests = append(f.requests, "replace "+string(body))
	return &meshapi.ChangeResponse{ConfigVersion: 7}, f.err
}

func (f *fakeOperators) Update(_ *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	f.requests = append(f.requests, "update "+string(body))
	return &meshapi.ChangeResponse{ConfigVersion: 7}, f.err
}

func (f *fakeOperators) Describe(*http.Request) (*json.RawMessage, error) {
	f.requests = append(f.requests, "describe")
	document := json.RawMessage(`{"configVersion":7}`)
	return &document, f.err
}

// startOperators starts an HTTP server with the operators' routes and returns its address.
func startOperators(t *testing.T, handler OperatorHandler) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	RegisterOperatorRoutes(mux, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newForwarder returns the operators' routes, processed by a Forwarder to the addresses.
func newForwarder(t *testing.T, addresses ...string) http.Handler {
	t.Helper()
	client := httpclient.New(0)
	t.Cleanup(client.CloseIdleConnections)
	mux := http.NewServeMux()
	RegisterOperatorRoutes(mux, Forwarder{Client: client, Addresses: func() []string { return addresses }})
	return mux
}

// call sends a request to the handler and returns the status and body of the response.
func call(h http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// replace sends a request to replace the configuration to the handler.
func replace(h http.Handler, body string) (int, string) {
	return call(h, "POST", "/api/configuration/replace", body)
}
