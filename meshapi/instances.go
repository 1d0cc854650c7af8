package meshapi

import (
	"net/url"
	"strings"
)

// The patterns of the calls that an upstream makes of its own accord, with POST. Sidecars and core
// machines serve them. InstancePath puts the id of the instance in.
const (
	// HeartbeatPattern receives a HeartbeatRequest and answers with a HeartbeatResponse.
	HeartbeatPattern = "/api/instances/{id}/heartbeat"
	// DeregisterPattern accepts any body and answers with an empty HeartbeatResponse.
	DeregisterPattern = "/api/instances/{id}/deregister"
)

// InstancePath is a pattern's path for the instance with the id, which is escaped.
func InstancePath(pattern, id string) string {
	return strings.Replace(pattern, "{id}", url.PathEscape(id), 1)
}

// The states of an upstream.
const (
	// StateReady means that it accepts requests.
	StateReady = "ready"
	// StateDraining means that it finishes what is in flight and is sent nothing new.
	StateDraining = "draining"
)

// HeartbeatRequest is the periodic sign of life of an upstream.
type HeartbeatRequest struct {
	// Address is where the upstream listens, host:port.
	Address string `json:"address"`
	// NodeInfo is what stays the same while the upstream runs.
	NodeInfo InstanceInfo `json:"nodeInfo"`
	// Status is what changes.
	Status InstanceStatus `json:"status"`
}

// InstanceInfo is what stays the same while an upstream runs.
type InstanceInfo struct {
	// ServiceName is the name of its service.
	ServiceName string `json:"serviceName"`
	// ConfigVersion is the version of the upstream's own software.
	ConfigVersion string `json:"configVersion"`
	// Zone is where it runs.
	Zone string `json:"zone"`
	// CapacitySlots is how many requests it can run at once.
	CapacitySlots int `json:"capacitySlots"`
}

// InstanceStatus is what changes while an upstream runs.
type InstanceStatus struct {
	// State is StateReady or StateDraining.
	State string `json:"state"`
	// CallSequence rises with each heartbeat, so that a late one is recognised.
	CallSequence int64 `json:"callSequence"`
	// WarmupRemainingS is for how many seconds the upstream is still slow after its start.
	WarmupRemainingS float64 `json:"warmupRemainingS"`
}

// HeartbeatResponse acknowledges a heartbeat.
type HeartbeatResponse struct {
	// HeartbeatEndpoint is the address, host:port, that further heartbeats go to; empty: where this one went.
	HeartbeatEndpoint string `json:"heartbeatEndpoint,omitempty"`
}
