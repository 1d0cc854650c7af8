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
	Routes   = "routes"
	Services = "services"
	Tenants  = "tenants"
	Limits   = "limits"
)

// mostRounds bounds how often Client.Change starts again when others change the configuration at the same time. It
// guards against a configuration that never comes to rest.
const mostRounds = 32

// Document is a whole configuration.
type Document struct {
	ConfigVersion int64 `json:"configVersion"`
	// BaseVersion is the version that it builds on, 0 for the first.
	BaseVersion int64      `json:"baseVersion"`
	Resources   []Resource `json:"resources"`
}

// Resource is one item of a configuration.
type Resource struct {
	ResourceType string   `json:"resourceType"`
	Metadata     Metadata `json:"metadata"`
	// Specification is everything else, as it was sent: fields that this library doesn't know stay.
	Specification json.RawMessage `json:"specification"`
}

// Metadata names a resource. The limits need no name.
type Metadata struct {
	Name string `json:"name,omitempty"`
}

// NewResource makes a resource of anything that encoding/json writes as its specification.
func NewResource(resourceType, name string, specification any) (Resource, error) {
	text, err := json.Marshal(specification)
	if err != nil {
		return Resource{}, &Error{Kind: InvalidUsage, Message: "specification of " + resourceType + " " + name + ": " + err.Error(), cause: err}
	}
	return Resource{resourceType, Metadata{name}, text}, nil
}

// Find gives the resource of a type and a name. Of the limits there is one set, whatever name it bears.
func (d *Document) Find(resourceType, name string) (Resource, bool) {
	for _, r := range d.Resources {
		if r.ResourceType == resourceType && (r.Metadata.Name == name || resourceType == Limits) {
			return r, true
		}
	}
	return Resource{}, false
}

// Change changes a configuration by the names of its items.
type Change struct {
	ConfigVersion int64   `json:"configVersion"`
	BaseVersion   int64   `json:"baseVersion"`
	Upsert        Upsert  `json:"upsert"`
	Remove        Removal `json:"remove"`
}

// Upsert is the resources to be added, or put in place of those of their names.
type Upsert struct {
	Resources []Resource `json:"resources"`
}

// Removal is the names of the items to be removed.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
	Limits   []string `json:"limits,omitempty"`
}

// Replace puts a whole configuration in force and gives its version. It is Stale unless its BaseVersion is in place.
func (c *Client) Replace(ctx context.Context, d Document) (version int64, err error) {
	if d.Resources == nil {
		d.Resources = []Resource{} // the list must be there
	}
	return c.put(ctx, meshapi.ReplacePath, d)
}

// Update puts a change in force and gives its version. It is Stale unless its BaseVersion is in place.
func (c *Client) Update(ctx context.Context, change Change) (version int64, err error) {
	if change.Upsert.Resources == nil {
		change.Upsert.Resources = []Resource{}
	}
	return c.put(ctx, meshapi.UpdatePath, change)
}

func (c *Client) put(ctx context.Context, path string, body any) (int64, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Kind: InvalidUsage, Message: "the change can't be written: " + err.Error(), cause: err}
	}
	a, err := call[meshapi.ChangeResponse](ctx, c, http.MethodPost, path, text)
	if err != nil {
		return 0, err
	}
	return a.ConfigVersion, nil
}

// Change reads the configuration, has revise say what is to change in it, and puts that in force; when another change
// came in between, it starts again from what is in place then. The base is filled in, and so is the version where
// revise leaves it 0: the next one. An error of revise ends it and comes back as it is.
func (c *Client) Change(ctx context.Context, revise func(doc Document) (Change, error)) (version int64, err error) {
	for round := 1; ; round++ {
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
		if err == nil || !errors.Is(err, Stale) || round == mostRounds {
			return version, err
		}
	}
}

// Describe gives the configuration in force, no older than any change that was acknowledged before the call. Before the
// first one its version is 0.
func (c *Client) Describe(ctx context.Context) (*Document, error) {
	return call[Document](ctx, c, http.MethodGet, meshapi.DescribePath, nil)
}
