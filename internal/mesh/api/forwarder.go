package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

// Forwarder is an OperatorHandler that forwards requests to core machines until one of them returns a
// final result. A core machine that fails or does not answer may have applied the change. Sending the
// change to another core machine is safe: a change that has been applied is acknowledged again, and a
// change that the log has rejected is rejected by every core machine.
type Forwarder struct {
	Client *http.Client
	// Addresses returns the internal addresses of the core machines, in the order in which the requests
	// are sent to them.
	Addresses func() []string
}

// Replace forwards a request to replace the configuration. A body that can't be parsed is rejected
// without forwarding, with an error of kind Malformed or Invalid.
func (f Forwarder) Replace(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	return f.change(r, meshapi.ReplacePath, body)
}

// Update forwards a request to update the configuration. It rejects the same bodies as Replace.
func (f Forwarder) Update(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	return f.change(r, meshapi.UpdatePath, body)
}

// change forwards a change request to the path on the core machines.
func (f Forwarder) change(r *http.Request, path string, body []byte) (*meshapi.ChangeResponse, error) {
	version, err := config.ParseVersion(body)
	if err != nil {
		return nil, err
	}
	send := func(ctx context.Context, address string) (*meshapi.ChangeResponse, error) {
		response, err := rpc.Post[meshapi.ChangeResponse](ctx, f.Client, "http://"+address+path, body)
		return CheckForwarded(version, response, err)
	}
	return forward(r.Context(), f.Addresses(), time.Duration(len(body))*timeoutPerByte, send)
}

// Describe forwards a request for the configuration.
func (f Forwarder) Describe(r *http.Request) (*json.RawMessage, error) {
	send := func(ctx context.Context, address string) (*json.RawMessage, error) {
		return FetchDocument(ctx, f.Client, "http://"+address+meshapi.DescribePath)
	}
	return forward(r.Context(), f.Addresses(), 0, send)
}
