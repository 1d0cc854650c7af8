package meshapi

// The paths with which operators read and change the configuration. Sidecars and core machines serve them.
const (
	// ReplacePath receives a full configuration by POST and returns a ChangeResponse.
	ReplacePath = "/api/configuration/replace"
	// UpdatePath receives a change of individual resources by POST and returns a ChangeResponse.
	UpdatePath = "/api/configuration/update"
	// DescribePath returns the configuration in force in response to GET.
	DescribePath = "/api/configuration/describe"
)

// ChangeResponse acknowledges a change of the configuration.
type ChangeResponse struct {
	// ConfigVersion is the version of the configuration after the change.
	ConfigVersion int64 `json:"configVersion"`
}
