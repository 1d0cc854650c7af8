package meshclient

import (
	"context"
	"net/http"

	"caperarch/meshapi"
)

// NodeStatus returns the status of one core machine, which is the first that responds. Client.Addresses are tried in
// turn.
func (c *Client) NodeStatus(ctx context.Context) (*meshapi.NodeStatus, error) {
	return call[meshapi.NodeStatus](ctx, c, http.MethodGet, meshapi.NodeStatusPath, nil)
}

// Members returns the core machines and the sidecars that one core machine knows. Client.Addresses are tried in turn.
func (c *Client) Members(ctx context.Context) (*meshapi.Members, error) {
	return call[meshapi.Members](ctx, c, http.MethodGet, meshapi.MembersPath, nil)
}

// Upstreams returns the upstreams that one core machine knows. Client.Addresses are tried in turn.
func (c *Client) Upstreams(ctx context.Context) (*meshapi.UpstreamList, error) {
	return call[meshapi.UpstreamList](ctx, c, http.MethodGet, meshapi.UpstreamsPath, nil)
}
