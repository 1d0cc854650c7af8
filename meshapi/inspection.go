package meshapi

// The paths with which operators inspect the mesh. Core machines serve them, and clients call them with GET.
const (
	// NodeStatusPath returns a NodeStatus.
	NodeStatusPath = "/api/view"
	// MembersPath returns Members.
	MembersPath = "/api/members"
	// UpstreamsPath returns an UpstreamList.
	UpstreamsPath = "/api/upstreams"
)

// NodeStatus is the status of one core machine, as the machine itself reports it.
type NodeStatus struct {
	// ReportedBy is the node name of the responding core machine.
	ReportedBy string `json:"asOf"`
	// Term is the current term of the replicated log, as far as the responding machine knows it.
	Term uint64 `json:"term"`
	// Leader is the internal address of the leader in the form host:port, empty if the responding machine knows no
	// leader.
	Leader string `json:"leader"`
	// ConfigVersion is the version of the configuration that the machine has applied, 0 if it has applied none.
	ConfigVersion int64 `json:"configVersion"`
	// AppliedIndex is the index of the last entry of the replicated log that the machine has applied.
	AppliedIndex uint64 `json:"applied"`
	// InContact is true if a majority of the voters has recently confirmed the state that the machine serves.
	InContact bool `json:"inContact"`
	// StorageFailed is true if the machine's disk rejects writes.
	StorageFailed bool `json:"sick"`
	// MemberID identifies the machine's disk in the cluster. It is empty if the disk does not belong to a cluster
	// yet.
	MemberID string `json:"member"`
	// Voter is true if the machine is a voter of the replicated log, and false if it is a learner.
	Voter bool `json:"voter"`
	// Voters are the internal addresses of all voters in the form host:port.
	Voters []string `json:"voters,omitempty"`
	// MembershipChanging is true if a change of the voters is in progress.
	MembershipChanging bool `json:"changing,omitempty"`
}

// Members is the list of the core machines and sidecars that the responding core machine knows.
type Members struct {
	// ReportedBy is the node name of the responding core machine.
	ReportedBy string `json:"asOf"`
	// Term is the current term of the replicated log, as far as the responding machine knows it.
	Term uint64 `json:"term"`
	// Leader is the internal address of the leader in the form host:port, empty if the responding machine knows no
	// leader.
	Leader string `json:"leader"`
	// Syncing is true if the responding machine may not have received the leases of all sidecars yet.
	Syncing bool `json:"young"`
	// Core is the list of core machines, sorted by address.
	Core []CoreMember `json:"core"`
	// Sidecars are the sidecars with an unexpired lease, sorted by node name.
	Sidecars []Sidecar `json:"sidecars"`
}

// CoreMember is a core machine in the list of members.
type CoreMember struct {
	// Address is the internal address of the core machine in the form host:port.
	Address string `json:"address"`
	// Leader is true if the core machine is the leader, as far as the responding machine knows.
	Leader bool `json:"leader"`
	// Status is the core machine's own status, nil if the core machine did not answer the responding machine in time.
	Status *NodeStatus `json:"said,omitempty"`
}

// Sidecar is a sidecar that holds a lease.
type Sidecar struct {
	// Node is the node name of the sidecar.
	Node string `json:"node"`
	// Zone is the zone in which the sidecar runs.
	Zone string `json:"zone"`
	// ConfigVersion is the version of the configuration that the sidecar has applied.
	ConfigVersion int64 `json:"applied"`
	// Leaving is true if the sidecar is shutting down.
	Leaving bool `json:"leaving"`
	// Instance is the ID of the upstream beside the sidecar, empty until the upstream has sent a heartbeat.
	Instance string `json:"instance,omitempty"`
	// LeaseRemainingS is the time in seconds until the lease of the sidecar expires.
	LeaseRemainingS float64 `json:"remainingS"`
}

// UpstreamList is the list of the upstreams that the responding core machine knows.
type UpstreamList struct {
	// ReportedBy is the node name of the responding core machine.
	ReportedBy string `json:"asOf"`
	// Syncing is true if the responding machine may not have received the leases of all sidecars yet.
	Syncing bool `json:"young"`
	// Upstreams are the upstreams, sorted by instance ID.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one instance of a service.
type Upstream struct {
	// Instance is the ID of the instance. Each start of the upstream has a new ID.
	Instance string `json:"instance"`
	// Service is the name of the upstream's service.
	Service string `json:"service"`
	// Address is the address on which the upstream listens, in the form host:port.
	Address string `json:"address"`
	// Node is the node name of the sidecar beside the upstream. While it is empty, the sidecar is unknown and the
	// upstream receives no requests.
	Node string `json:"node,omitempty"`
	// Zone is the zone in which the upstream runs.
	Zone string `json:"zone"`
	// State is StateReady or StateDraining.
	State string `json:"state"`
	// Slots is the number of requests that the upstream can process concurrently, as reported by the upstream.
	Slots int `json:"slots"`
	// Stale is true if no lease or heartbeat has refreshed the upstream in time. The upstream may still be alive, and
	// it still receives requests.
	Stale bool `json:"stale"`
}
