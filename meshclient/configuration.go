package meshclient

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"caperarch/meshapi"
)

// The types of resources in a configuration.
const (
	// Routes map requests to services by host and path.
	Routes = "routes"
	// Services are groups of upstreams.
	Services = "services"
	// Tenants are clients with API keys and quotas.
	Tenants = "tenants"
	// Limits restrict the requests of clients, such as the size of their bodies. A configuration has at most one
	// resource of this type.
	Limits = "limits"
)

// maxChangeAttempts is the number of attempts of Client.Change. It ends the retries if others change the
// configuration all the time.
const maxChangeAttempts = 32

// Document is a full configuration.
type Document struct {
	// ConfigVersion is the version of the configuration. Each configuration has a higher version than the previous
	// one. It is 0 if no configuration is in force yet.
	ConfigVersion int64 `json:"configVersion"`
	// BaseVersion is the version that this configuration replaces, 0 for the first configuration.
	BaseVersion int64 `json:"baseVersion"`
	// Resources are the resources in the order in which they were sent.
	Resources []Resource `json:"resources"`
}

// Resource is one resource of a configuration, such as a route or a service.
type Resource struct {
	// ResourceType is Routes, Services, Tenants or Limits.
	ResourceType string `json:"resourceType"`
	// Metadata identifies the resource among the resources of its type.
	Metadata Metadata `json:"metadata"`
	// Specification is the JSON content of the resource, as it was sent. Fields that this library does not know are
	// kept.
	Specification json.RawMessage `json:"specification"`
}

// Metadata identifies a resource.
type Metadata struct {
	// Name is unique among the resources of a type. It may be empty for Limits.
	Name string `json:"name,omitempty"`
}

// NewResource returns a resource whose Specification is the JSON encoding of specification. If specification cannot
// be encoded, NewResource returns an *Error of kind InvalidUsage.
func NewResource(resourceType, name string, specification any) (Resource, error) {
	text, err := json.Marshal(specification)
	if err != nil {
		message := "cannot encode the specification of " + resourceType + " " + name + ": " + err.Error()
		return Resource{}, &Error{Kind: InvalidUsage, Message: message, cause: err}
	}
	return Resource{resourceType, Metadata{name}, text}, nil
}

// Find returns the resource with the given type and name, and whether it exists. For Limits, the name is ignored,
// because a configuration has at most one resource of this type.
func (d *Document) Find(resourceType, name string) (Resource, bool) {
	for _, r := range d.Resources {
		if r.ResourceType == resourceType && (r.Metadata.Name == name || resourceType == Limits) {
			return r, true
		}
	}
	return Resource{}, false
}

// Change is a change of individual resources of a configuration.
type Change struct {
	// ConfigVersion is the version of the configuration after the change. It must be above BaseVersion.
	ConfigVersion int64 `json:"configVersion"`
	// BaseVersion is the version of the configuration that the change is applied to.
	BaseVersion int64 `json:"baseVersion"`
	// Upsert contains the resources to add or replace.
	Upsert Upsert `json:"upsert"`
	// Remove contains the names of the resources to remove.
	Remove Removal `json:"remove"`
}

// Upsert is the list of resources to add. A resource replaces the existing resource with the same type and name.
type Upsert struct {
	Resources []Resource `json:"resources"`
}

// Removal is the names of the resources to remove, grouped by type.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
	Limits   []string `json:"limits,omitempty"`
}

// Replace replaces the configuration in force with a full configuration and returns the version of the new one. If
// the BaseVersion of d is not in force, the error is of kind Stale.
func (c *Client) Replace(ctx context.Context, d Document) (version int64, err error) {
	if d.Resources == nil {
		d.Resources = []Resource{} // the server requires a list instead of null
	}
	return c.sendChange(ctx, meshapi.ReplacePath, d)
}

// Update applies a change to the configuration in force and returns the new version. If the BaseVersion of the change
// is not in force, the error is of kind Stale.
func (c *Client) Update(ctx context.Context, change Change) (version int64, err error) {
	if change.Upsert.Resources == nil {
		change.Upsert.Resources = []Resource{}
	}
	return c.sendChange(ctx, meshapi.UpdatePath, change)
}

// sendChange sends a change and returns the version of the configuration after the change.
func (c *Client) sendChange(ctx context.Context, path string, body any) (int64, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Kind: InvalidUsage, Message: "cannot encode the change: " + err.Error(), cause: err}
	}
	response, err := call[meshapi.ChangeResponse](ctx, c, http.MethodPost, path, text)
	if err != nil {
		return 0, err
	}
	return response.ConfigVersion, nil
}

// Change reads the configuration in force, calls revise to obtain the change, and applies the change. If another
// change was applied in the meantime, Change starts again with the new configuration. It makes at most 32 attempts.
// Change sets the BaseVersion of the change. If revise returns a ConfigVersion of 0, Change sets it to the version in
// force plus 1. An error of revise is returned unchanged.
func (c *Client) Change(
	ctx context.Context, revise func(doc Document) (Change, error),
) (version int64, err error) {
	for attempt := 1; ; attempt++ {
		doc, err := c.Describe(ctx)
		if err != nil {
			return 0, err
		}
		change, err := revise(*doc)
		if err != nil {
			return 0, err
		}
		change.BaseVersion = doc.ConfigVersion
		if change.ConfigVersion == 0 {
			change.ConfigVersion = doc.ConfigVersion + 1
		}
		version, err := c.Update(ctx, change)
		if err == nil || !errors.Is(err, Stale) || attempt == maxChangeAttempts {
			return version, err
		}
	}
}

// Describe returns the configuration in force. It is no older than any change that was acknowledged before the call.
// Its version is 0 if no configuration is in force yet.
func (c *Client) Describe(ctx context.Context) (*Document, error) {
	return call[Document](ctx, c, http.MethodGet, meshapi.DescribePath, nil)
}
