package config

import (
	"encoding/json"
	"strings"
	"unicode"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"caperarch/internal/mesh/errs"
)

// kind is a resourceType of the API.
type kind string

const (
	kindRoutes   kind = "routes"
	kindServices kind = "services"
	kindTenants  kind = "tenants"
	kindLimits   kind = "limits"
)

// resourceID identifies a resource. A snapshot holds at most one resource of each id.
type resourceID struct {
	kind kind
	name string
}

// resource is one resource of a configuration, both as it was received and as it was parsed. It is immutable.
type resource struct {
	kind   kind
	name   string
	raw    json.RawMessage
	parsed any // *Route, *Service, *Tenant or *Limits, depending on the kind
}

// id returns the resource's id. A snapshot has at most one resource of limits, whatever its name.
func (r *resource) id() resourceID {
	if r.kind == kindLimits {
		return resourceID{kind: kindLimits}
	}
	return resourceID{r.kind, r.name}
}

// specification is the specification of a resource as it is received, with its schema. The names of the implementing
// types are part of encoding/json error messages, which operators receive.
type specification interface {
	validation.Validatable
	// parsed converts a valid specification to the type of its kind: *Route, *Service, *Tenant or *Limits.
	parsed(name string) any
}

// newSpecification returns an empty specification of a kind, or nil for an unknown kind.
func newSpecification(k kind) specification {
	switch k {
	case kindRoutes:
		return new(routeSpecification)
	case kindServices:
		return new(serviceSpecification)
	case kindTenants:
		return new(tenantSpecification)
	case kindLimits:
		return new(limitsSpecification)
	}
	return nil
}

// parseResource parses one resource and checks it against the schema of its kind. The position is the index in the list
// of resources; it appears in errors.
func parseResource(position int, raw json.RawMessage) (*resource, error) {
	var header struct {
		ResourceType kind `json:"resourceType"`
		Metadata     struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
	}
	if err := unmarshal(raw, &header); err != nil {
		return nil, errs.Wrap(err, errs.KindOf(err), "resource %d (%s %q)",
			position, header.ResourceType, header.Metadata.Name)
	}
	r := &resource{kind: header.ResourceType, name: header.Metadata.Name, raw: raw}
	spec := newSpecification(r.kind)
	switch {
	case spec == nil:
		return nil, errs.New(errs.Invalid, "resource %d (%q): there is no resourceType %q",
			position, r.name, r.kind)
	case r.name == "" && r.kind != kindLimits:
		return nil, errs.New(errs.Invalid, "resource %d (%s): the name is missing", position, r.kind)
	case strings.ContainsFunc(r.name, unicode.IsControl):
		return nil, errs.New(errs.Invalid, "%s %q: the name holds a control character", r.kind, r.name)
	case len(header.Specification) == 0 || string(header.Specification) == "null":
		return nil, errs.New(errs.Invalid, "%s %q: the specification is missing", r.kind, r.name)
	}
	if err := unmarshal(header.Specification, spec); err != nil {
		return nil, errs.Wrap(err, errs.KindOf(err), "%s %q", r.kind, r.name)
	}
	if err := spec.Validate(); err != nil {
		return nil, errs.New(errs.Invalid, "%s %q: %v", r.kind, r.name, err)
	}
	r.parsed = spec.parsed(r.name)
	return r, nil
}
