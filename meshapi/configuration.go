package meshapi

// The paths of the operators' calls on the configuration. Sidecars and core machines serve them.
const (
	// ReplacePath accepts a full configuration with POST and answers with a ChangeResponse.
	ReplacePath = "/api/configuration/replace"
	// UpdatePath accepts a change of named resources with POST and answers with a ChangeResponse.
	UpdatePath = "/api/configuration/update"
	// DescribePath answers GET with the configuration in force.
	DescribePath = "/api/configuration/describe"
)

// ChangeResponse acknowledges a change of the configuration.
type ChangeResponse struct {
	// ConfigVersion is the version that is in force with the change.
	ConfigVersion int64 `json:"configVersion"`
}
