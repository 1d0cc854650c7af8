// Package librarian is the former name of package meshclient.
//
// Deprecated: import caperarch/meshclient. This package holds the same names for one release.
package librarian

import "caperarch/meshclient"

// The types of resources.
const (
	Routes   = meshclient.Routes
	Services = meshclient.Services
	Tenants  = meshclient.Tenants
	Limits   = meshclient.Limits
)

// The paths of the inspection calls, which core machines answer.
const (
	ViewPath      = meshclient.ViewPath
	MembersPath   = meshclient.MembersPath
	UpstreamsPath = meshclient.UpstreamsPath
)

// The closed list of kinds.
const (
	Misused   = meshclient.Misused
	Invalid   = meshclient.Invalid
	TooLarge  = meshclient.TooLarge
	Stale     = meshclient.Stale
	Unknown   = meshclient.Unknown
	Refused   = meshclient.Refused
	Unreached = meshclient.Unreached
	Unclear   = meshclient.Unclear
)

// The types of package meshclient.
type (
	Beats        = meshclient.Beats
	Change       = meshclient.Change
	Client       = meshclient.Client
	CoreMember   = meshclient.CoreMember
	Document     = meshclient.Document
	Error        = meshclient.Error
	Instance     = meshclient.Instance
	Kind         = meshclient.Kind
	Members      = meshclient.Members
	Metadata     = meshclient.Metadata
	Removal      = meshclient.Removal
	Resource     = meshclient.Resource
	Sidecar      = meshclient.Sidecar
	Upsert       = meshclient.Upsert
	Upstream     = meshclient.Upstream
	UpstreamList = meshclient.UpstreamList
	View         = meshclient.View
)

// The functions of package meshclient.
var (
	KindOf      = meshclient.KindOf
	NewResource = meshclient.NewResource
)
