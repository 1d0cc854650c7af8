package meshapi

// The paths of the inspection calls. They are served by core machines, and called with GET.
const (
	// NodeStatusPath answers with a NodeStatus.
	NodeStatusPath = "/api/view"
	// MembersPath answers with Members.
	MembersPath = "/api/members"
	// UpstreamsPath answers with an UpstreamList.
	UpstreamsPath = "/api/upstreams"
)

// NodeStatus is what one core machine reports of itself and of the leader that it follows.
type NodeStatus struct {
	// ReportedBy is the node name of the machine that answers.
	ReportedBy string `json:"asOf"`
	// Term is the leader's, as this machine knows it.
	Term uint64 `json:"term"`
	// Leader is the leader's internal address, host:port; empty while none is known.
	Leader string `json:"leader"`
	// ConfigVersion is the version of the configuration in force on this machine, 0 while there is none.
	ConfigVersion int64 `json:"configVersion"`
	// AppliedIndex is the last index of the replicated log that the machine has applied.
	AppliedIndex uint64 `json:"applied"`
	// InContact says that a majority of the voters has lately confirmed what the machine serves.
	InContact bool `json:"inContact"`
	// StorageFailed says that the machine's disk rejects writes.
	StorageFailed bool `json:"sick"`
	// MemberID identifies the machine's disk in the cluster, empty while it belongs to none.
	MemberID string `json:"member"`
	// Voter says that the machine votes in the replicated log; else it follows as a learner.
	Voter bool `json:"voter"`
	// Voters are the internal addresses of all voters.
	Voters []string `json:"voters,omitempty"`
	// MembershipChanging says that a change of the voters is under way.
	MembershipChanging bool `json:"changing,omitempty"`
}

// Members is the core machines and sidecars that one core machine knows.
type Members struct {
	// ReportedBy is the node name of the machine that answers.
	ReportedBy string `json:"asOf"`
	// Term is the leader's, as that machine knows it.
	Term uint64 `json:"term"`
	// Leader is the leader's internal address, host:port; empty while none is known.
	Leader string `json:"leader"`
	// Syncing says that the machine may not have heard from every sidecar yet.
	Syncing bool `json:"young"`
	// Core is the core machines, in the order of their addresses.
	Core []CoreMember `json:"core"`
	// Sidecars are those whose lease has not expired, in the order of their names.
	Sidecars []Sidecar `json:"sidecars"`
}

// CoreMember is a core machine.
type CoreMember struct {
	// Address is its internal address, host:port.
	Address string `json:"address"`
	// Leader says that the answering machine takes it for the leader.
	Leader bool `json:"leader"`
	// Status is what it reports of itself; nil when it gave the answering machine no answer just now.
	Status *NodeStatus `json:"said,omitempty"`
}

// Sidecar is a sidecar that holds a lease.
type Sidecar struct {
	// Node is its node name.
	Node string `json:"node"`
	// Zone is where it runs.
	Zone string `json:"zone"`
	// ConfigVersion is the version of the configuration in force there.
	ConfigVersion int64 `json:"applied"`
	// Leaving says that it is shutting down.
	Leaving bool `json:"leaving"`
	// Instance is the id of the upstream beside it, empty until that has sent a heartbeat.
	Instance string `json:"instance,omitempty"`
	// LeaseRemainingS is how many seconds its lease still has.
	LeaseRemainingS float64 `json:"remainingS"`
}

// UpstreamList is the upstreams that one core machine knows.
type UpstreamList struct {
	// ReportedBy is the node name of the machine that answers.
	ReportedBy string `json:"asOf"`
	// Syncing says that the machine may not have heard from every sidecar yet.
	Syncing bool `json:"young"`
	// Upstreams are in the order of their ids.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one instance of a service.
type Upstream struct {
	// Instance is its id, new with every start.
	Instance string `json:"instance"`
	// Service is the name of its service.
	Service string `json:"service"`
	// Address is where it listens, host:port.
	Address string `json:"address"`
	// Node is the sidecar beside it, empty while that is not known; then it is sent no requests.
	Node string `json:"node,omitempty"`
	// Zone is where it runs.
	Zone string `json:"zone"`
	// State is StateReady or StateDraining.
	State string `json:"state"`
	// Slots is how many requests it can run at once, as it says itself.
	Slots int `json:"slots"`
	// Stale says that no lease or heartbeat has refreshed it recently. It may be alive, and is
	// still sent requests.
	Stale bool `json:"stale"`
}
