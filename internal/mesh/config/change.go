package config

import (
	"encoding/json"
	"errors"
	"unicode/utf8"

	"caperarch/internal/mesh/errs"
)

// The two forms of a change, as Change.Encode names them.
const (
	formReplace = "replace"
	formUpdate  = "update"
)

// MaxVersion is the largest version: the largest integer that every reader of JSON holds exactly.
// It guards against a mistyped version after which no higher one could be written.
const MaxVersion = 1<<53 - 1

// Change is an operator's change request, parsed and checked as far as it can be without the
// snapshot that it builds on. It is immutable.
type Change struct {
	form      string
	body      []byte // canonical
	digest    digest
	version   int64
	base      int64
	resources []*resource // to put in place of all, or to upsert
	removed   []resourceID
}

// Version is the configVersion that the change puts in force.
func (c *Change) Version() int64 { return c.version }

// Base is the version that the change builds on.
func (c *Change) Base() int64 { return c.base }

// envelope is a change on its way between processes. Its body may be re-spaced and HTML-escaped on
// the way, as encoding/json does to raw messages: neither alters the change's digest.
type envelope struct {
	Form string          `json:"form"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the change with its form as one JSON value, for DecodeChange.
func (c *Change) Encode() []byte {
	out := make([]byte, 0, len(c.body)+len(`{"form":"","body":}`)+len(c.form))
	out = append(out, `{"form":"`...)
	out = append(out, c.form...)
	out = append(out, `","body":`...)
	out = append(out, c.body...)
	return append(out, '}')
}

// DecodeChange reads what Encode gave, on any process. The change has the digest it had where it
// was parsed. Errors are those of ParseReplace; a form that is neither of the two is Invalid.
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

// versions are the two numbers that every change names. Without a baseVersion it is 0.
type versions struct {
	ConfigVersion *int64 `json:"configVersion"`
	BaseVersion   int64  `json:"baseVersion"`
}

// ParseVersion reads only the version that a request's body names. A body that is no JSON value is
// Malformed and one without a version is Invalid; no other fault is looked for.
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

// whole is the body of a replace, and the layout of the document. Its name is part of the error
// texts of encoding/json, which operators get.
type whole struct {
	versions
	Resources *[]json.RawMessage `json:"resources"`
}

// partial is the body of an update. Its name is part of error texts, too.
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

// ParseReplace reads the body of a request that replaces the configuration. What is truncated or is
// no JSON is Malformed; what the schemas don't allow is Invalid. The body isn't retained.
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

// ParseUpdate reads the body of a request that changes single resources, with the errors of
// ParseReplace.
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

func (c *Change) remove(k kind, names []string) {
	for _, name := range names {
		c.removed = append(c.removed, resourceID{k, name})
	}
}

// parseBody reads a body into a value and begins its change with the canonical body and its digest.
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

// withContent completes a change with its versions and its resources. Two resources of one kind and
// name are Invalid.
func (c *Change) withContent(v versions, raws []json.RawMessage) (*Change, error) {
	if v.ConfigVersion == nil {
		return nil, errs.New(errs.Invalid, "configVersion: the number is missing")
	}
	if *v.ConfigVersion < 0 || v.BaseVersion < 0 || *v.ConfigVersion > MaxVersion {
		return nil, errs.New(errs.Invalid, "configVersion %d on baseVersion %d: not within 0 and %d",
			*v.ConfigVersion, v.BaseVersion, int64(MaxVersion))
	}
	c.version, c.base = *v.ConfigVersion, v.BaseVersion
	c.resources = make([]*resource, 0, len(raws))
	seen := make(map[resourceID]bool, len(raws))
	for i, raw := range raws {
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

// unmarshal reads JSON: a value of the wrong type is Invalid, what is no JSON is Malformed.
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
