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

// fakeUpstreams is an UpstreamHandler that records what it was given, and answers with its error.
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

// fakeOperators is an OperatorHandler that records the requests it was given, and answers with its
// error or with version 7.
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

// startOperators serves a handler's routes on an address of its own.
func startOperators(t *testing.T, handler OperatorHandler) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	RegisterOperatorRoutes(mux, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newForwarder serves the routes of a Forwarder to the addresses.
func newForwarder(t *testing.T, addresses ...string) http.Handler {
	t.Helper()
	client := httpclient.New(0)
	t.Cleanup(client.CloseIdleConnections)
	mux := http.NewServeMux()
	RegisterOperatorRoutes(mux, Forwarder{Client: client, Addresses: func() []string { return addresses }})
	return mux
}

// call returns the status and body of a response.
func call(h http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// replace posts a body to the route that replaces the configuration.
func replace(h http.Handler, body string) (int, string) {
	return call(h, "POST", "/api/configuration/replace", body)
}
