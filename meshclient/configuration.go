package meshclient

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"caperarch/meshapi"
)

// The types of resources.
const (
	// Routes take requests by host and path to services.
	Routes = "routes"
	// Services are groups of upstreams.
	Services = "services"
	// Tenants are clients with API keys and quotas.
	Tenants = "tenants"
	// Limits bound what clients may send. A configuration has one set of them at most.
	Limits = "limits"
)

// maxChangeAttempts bounds how often Client.Change starts again while others change the
// configuration all the time.
const maxChangeAttempts = 32

// Document is a full configuration.
type Document struct {
	// ConfigVersion is the configuration's own version, above that of the one before; 0: there is none yet.
	ConfigVersion int64 `json:"configVersion"`
	// BaseVersion is the version that it builds on, 0 for the first.
	BaseVersion int64 `json:"baseVersion"`
	// Resources are in the order in which they were sent.
	Resources []Resource `json:"resources"`
}

// Resource is one item of a configuration.
type Resource struct {
	// ResourceType is Routes, Services, Tenants or Limits.
	ResourceType string `json:"resourceType"`
	// Metadata names the resource among those of its type.
	Metadata Metadata `json:"metadata"`
	// Specification is everything else, as it was sent: fields that this library does not know are kept.
	Specification json.RawMessage `json:"specification"`
}

// Metadata names a resource.
type Metadata struct {
	// Name is unique among the resources of a type. The limits need none.
	Name string `json:"name,omitempty"`
}

// NewResource returns a resource with the JSON of specification. When specification can't be
// encoded it returns an *Error of kind InvalidUsage.
func NewResource(resourceType, name string, specification any) (Resource, error) {
	text, err := json.Marshal(specification)
	if err != nil {
		message := "specification of " + resourceType + " " + name + ": " + err.Error()
		return Resource{}, &Error{Kind: InvalidUsage, Message: message, cause: err}
	}
	return Resource{resourceType, Metadata{name}, text}, nil
}

// Find returns the resource with a type and a name. For Limits the name is ignored, as there is one
// set of them.
func (d *Document) Find(resourceType, name string) (Resource, bool) {
	for _, r := range d.Resources {
		if r.ResourceType == resourceType && (r.Metadata.Name == name || resourceType == Limits) {
			return r, true
		}
	}
	return Resource{}, false
}

// Change changes named resources of a configuration.
type Change struct {
	// ConfigVersion is the version that the change makes, above BaseVersion.
	ConfigVersion int64 `json:"configVersion"`
	// BaseVersion is the version that it builds on.
	BaseVersion int64 `json:"baseVersion"`
	// Upsert has the resources to add or replace.
	Upsert Upsert `json:"upsert"`
	// Remove has the names of those to remove.
	Remove Removal `json:"remove"`
}

// Upsert is the resources to add, or to put in place of those with their type and name.
type Upsert struct {
	Resources []Resource `json:"resources"`
}

// Removal is the names of the resources to remove, by type.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
	Limits   []string `json:"limits,omitempty"`
}

// Replace puts a full configuration in force and returns its version. Unless its BaseVersion is in
// force the error is Stale.
func (c *Client) Replace(ctx context.Context, d Document) (version int64, err error) {
	if d.Resources == nil {
		d.Resources = []Resource{} // the server requires the list
	}
	return c.put(ctx, meshapi.ReplacePath, d)
}

// Update puts a change in force and returns its version. Unless its BaseVersion is in force the
// error is Stale.
func (c *Client) Update(ctx context.Context, change Change) (version int64, err error) {
	if change.Upsert.Resources == nil {
		change.Upsert.Resources = []Resource{}
	}
	return c.put(ctx, meshapi.UpdatePath, change)
}

// put sends a change and returns the version that is in force with it.
func (c *Client) put(ctx context.Context, path string, body any) (int64, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Kind: InvalidUsage, Message: "the change can't be written: " + err.Error(), cause: err}
	}
	response, err := call[meshapi.ChangeResponse](ctx, c, http.MethodPost, path, text)
	if err != nil {
		return 0, err
	}
	return response.ConfigVersion, nil
}

// Change reads the configuration, has revise return what is to change in it, and puts that in
// force; when another change came in between, it starts again from what is in force then, 32 times
// in all. It fills in the base version, and also the version where revise leaves that 0: the next
// one. An error of revise is returned as it is.
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

// Describe returns the configuration in force, no older than any change that was acknowledged
// before the call. Before the first one its version is 0.
func (c *Client) Describe(ctx context.Context) (*Document, error) {
	return call[Document](ctx, c, http.MethodGet, meshapi.DescribePath, nil)
}
