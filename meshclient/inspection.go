package meshclient

import (
	"context"
	"net/http"

	"caperarch/meshapi"
)

// NodeStatus asks one core machine for its own status: the one of Client.Addresses that answers first.
func (c *Client) NodeStatus(ctx context.Context) (*meshapi.NodeStatus, error) {
	return call[meshapi.NodeStatus](ctx, c, http.MethodGet, meshapi.NodeStatusPath, nil)
}

// Members asks one core machine for the core machines and sidecars that it knows.
func (c *Client) Members(ctx context.Context) (*meshapi.Members, error) {
	return call[meshapi.Members](ctx, c, http.MethodGet, meshapi.MembersPath, nil)
}

// Upstreams asks one core machine for the upstreams that it knows.
func (c *Client) Upstreams(ctx context.Context) (*meshapi.UpstreamList, error) {
	return call[meshapi.UpstreamList](ctx, c, http.MethodGet, meshapi.UpstreamsPath, nil)
}
