package config

import (
	"encoding/json"
	"errors"
	"unicode/utf8"

	"caperarch/internal/mesh/errs"
)

// The two forms of a change, as Change.Encode writes them.
const (
	formReplace = "replace"
	formUpdate  = "update"
)

// MaxVersion is the largest configuration version. It is the largest integer that every JSON reader represents exactly.
// After a mistyped version above it no higher version could be written.
const MaxVersion = 1<<53 - 1

// Change is a parsed change request of an operator. It is checked as far as possible without the snapshot that the
// change is based on. A Change is immutable.
type Change struct {
	form      string
	body      []byte // the request body as canonical returns it
	digest    digest
	version   int64
	base      int64
	resources []*resource // of a replace: all resources; of an update: the resources to upsert
	removed   []resourceID
}

// Version returns the configVersion of the configuration that results from the change.
func (c *Change) Version() int64 { return c.version }

// Base returns the configuration version that the change is based on.
func (c *Change) Base() int64 { return c.base }

// envelope is the encoding of a change in messages between processes. encoding/json may change the spacing and the HTML
// escapes of the body; neither changes the digest of the change.
type envelope struct {
	Form string          `json:"form"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the change and its form as one JSON value. DecodeChange decodes it.
func (c *Change) Encode() []byte {
	out := make([]byte, 0, len(c.body)+len(`{"form":"","body":}`)+len(c.form))
	out = append(out, `{"form":"`...)
	out = append(out, c.form...)
	out = append(out, `","body":`...)
	out = append(out, c.body...)
	return append(out, '}')
}

// DecodeChange decodes what Encode returned, in any process. The decoded change has the same digest as the encoded one.
// DecodeChange returns the same errors as ParseReplace, and an error of kind Invalid for an unknown form.
func DecodeChange(text []byte) (*Change, error) {
	var e envelope
	if err := unmarshal(text, &e); err != nil {
		return nil, err
	}
	switch e.Form {
	case formReplace:
		return ParseReplace(e.Body)
	case formUpdate:
		return ParseUpdate(e.Body)
	}
	return nil, errs.New(errs.Invalid, "a change of the form %q: neither %q nor %q",
		e.Form, formReplace, formUpdate)
}

// versions are the two version numbers of a change. A missing baseVersion is 0. The type name is part of encoding/json
// error messages, which operators receive.
type versions struct {
	ConfigVersion *int64 `json:"configVersion"`
	BaseVersion   int64  `json:"baseVersion"`
}

// ParseVersion reads only the configVersion of a request body. It returns an error of kind Malformed for a body that is
// not one JSON value in UTF-8, and of kind Invalid for a missing version. It checks nothing else.
func ParseVersion(body []byte) (int64, error) {
	if !utf8.Valid(body) {
		return 0, errs.New(errs.Malformed, "the body is no UTF-8")
	}
	var v versions
	if err := unmarshal(body, &v); err != nil {
		return 0, err
	}
	if v.ConfigVersion == nil {
		return 0, errs.New(errs.Invalid, "configVersion: the number is missing")
	}
	return *v.ConfigVersion, nil
}

// whole is the body of a replace request and the layout of Snapshot.Document. The type name is part of encoding/json
// error messages, which operators receive.
type whole struct {
	versions
	Resources *[]json.RawMessage `json:"resources"`
}

// partial is the body of an update request. The type name is part of encoding/json error messages, too.
type partial struct {
	versions
	Upsert struct {
		Resources []json.RawMessage `json:"resources"`
	} `json:"upsert"`
	Remove struct {
		Routes   []string `json:"routes"`
		Services []string `json:"services"`
		Tenants  []string `json:"tenants"`
		Limits   []string `json:"limits"`
	} `json:"remove"`
}

// ParseReplace parses the body of a request that replaces the configuration. It returns an error of kind Malformed for
// a body that is truncated or not JSON, and of kind Invalid for a body that violates a schema. It does not retain the
// body.
func ParseReplace(body []byte) (*Change, error) {
	var parsed whole
	c, err := parseBody(formReplace, body, &parsed)
	if err != nil {
		return nil, err
	}
	if parsed.Resources == nil {
		return nil, errs.New(errs.Invalid, "resources: the list is missing")
	}
	return c.withContent(parsed.versions, *parsed.Resources)
}

// ParseUpdate parses the body of a request that upserts and removes single resources. It returns the same
// errors as ParseReplace.
func ParseUpdate(body []byte) (*Change, error) {
	var parsed partial
	c, err := parseBody(formUpdate, body, &parsed)
	if err != nil {
		return nil, err
	}
	c.remove(kindRoutes, parsed.Remove.Routes)
	c.remove(kindServices, parsed.Remove.Services)
	c.remove(kindTenants, parsed.Remove.Tenants)
	c.remove(kindLimits, parsed.Remove.Limits)
	return c.withContent(parsed.versions, parsed.Upsert.Resources)
}

// remove adds the resources of a kind with the given names to the resources that the change removes.
func (c *Change) remove(k kind, names []string) {
	for _, name := range names {
		c.removed = append(c.removed, resourceID{k, name})
	}
}

// parseBody parses a body into a value, and returns a change with the form, the canonical body and the digest.
func parseBody(form string, body []byte, into any) (*Change, error) {
	canonical, err := canonical(body)
	if err != nil {
		return nil, err
	}
	if err := unmarshal(canonical, into); err != nil {
		return nil, err
	}
	digest, err := digestOf(form, canonical)
	if err != nil {
		return nil, err
	}
	return &Change{form: form, body: canonical, digest: digest}, nil
}

// withContent sets the versions and the resources of a change. Two resources with the same id are an error of kind
// Invalid.
func (c *Change) withContent(v versions, rawResources []json.RawMessage) (*Change, error) {
	if v.ConfigVersion == nil {
		return nil, errs.New(errs.Invalid, "configVersion: the number is missing")
	}
	if *v.ConfigVersion < 0 || v.BaseVersion < 0 || *v.ConfigVersion > MaxVersion {
		return nil, errs.New(errs.Invalid, "configVersion %d on baseVersion %d: not within 0 and %d",
			*v.ConfigVersion, v.BaseVersion, int64(MaxVersion))
	}
	c.version, c.base = *v.ConfigVersion, v.BaseVersion
	c.resources = make([]*resource, 0, len(rawResources))
	seen := make(map[resourceID]bool, len(rawResources))
	for i, raw := range rawResources {
		r, err := parseResource(i, raw)
		if err != nil {
			return nil, err
		}
		if seen[r.id()] {
			return nil, errs.New(errs.Invalid, "%s %q stands twice in the list", r.kind, r.name)
		}
		seen[r.id()] = true
		c.resources = append(c.resources, r)
	}
	return c, nil
}

// unmarshal decodes JSON. It returns an error of kind Invalid for a value of the wrong type, and of kind Malformed for
// text that is not one JSON value.
func unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType):
		return errs.Wrap(err, errs.Invalid, "%s: a value of the wrong type", wrongType.Field)
	}
	return errs.Wrap(err, errs.Malformed, "no whole JSON value")
}
