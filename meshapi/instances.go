package meshapi

import (
	"net/url"
	"strings"
)

// The path patterns of the requests that upstreams send by POST. Sidecars and core machines serve them. InstancePath
// replaces the placeholder {id} with the ID of the instance.
const (
	// HeartbeatPattern receives a HeartbeatRequest and returns a HeartbeatResponse.
	HeartbeatPattern = "/api/instances/{id}/heartbeat"
	// DeregisterPattern accepts any body and returns an empty HeartbeatResponse.
	DeregisterPattern = "/api/instances/{id}/deregister"
)

// InstancePath returns the path of a pattern for the instance with the given ID. It escapes the ID.
func InstancePath(pattern, id string) string {
	return strings.Replace(pattern, "{id}", url.PathEscape(id), 1)
}

// The states that an upstream reports.
const (
	// StateReady means that the upstream accepts requests.
	StateReady = "ready"
	// StateDraining means that the upstream completes the requests in flight and receives no new requests.
	StateDraining = "draining"
)

// HeartbeatRequest is a heartbeat, which an upstream sends periodically.
type HeartbeatRequest struct {
	// Address is the address on which the upstream listens, in the form host:port.
	Address string `json:"address"`
	// NodeInfo contains the properties that are constant while the upstream runs.
	NodeInfo InstanceInfo `json:"nodeInfo"`
	// Status contains the properties that change while the upstream runs.
	Status InstanceStatus `json:"status"`
}

// InstanceInfo contains the properties of an upstream that are constant while it runs.
type InstanceInfo struct {
	// ServiceName is the name of the upstream's service.
	ServiceName string `json:"serviceName"`
	// ConfigVersion is the version of the upstream's own software. It is not a version of the mesh's configuration.
	ConfigVersion string `json:"configVersion"`
	// Zone is the zone in which the upstream runs.
	Zone string `json:"zone"`
	// CapacitySlots is the number of requests that the upstream can process concurrently.
	CapacitySlots int `json:"capacitySlots"`
}

// InstanceStatus contains the properties of an upstream that change while it runs.
type InstanceStatus struct {
	// State is StateReady or StateDraining.
	State string `json:"state"`
	// CallSequence increases with each heartbeat, so that a receiver detects heartbeats that arrive out of order.
	CallSequence int64 `json:"callSequence"`
	// WarmupRemainingS is the time in seconds for which the upstream is still slower than normal after its start.
	WarmupRemainingS float64 `json:"warmupRemainingS"`
}

// HeartbeatResponse acknowledges a heartbeat.
type HeartbeatResponse struct {
	// HeartbeatEndpoint is the address in the form host:port to which the upstream must send further heartbeats. If
	// it is empty, the upstream continues to use the address of this heartbeat.
	HeartbeatEndpoint string `json:"heartbeatEndpoint,omitempty"`
}
