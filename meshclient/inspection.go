package meshclient

import (
	"context"
	"net/http"
)

// The paths of the inspection calls, which core machines answer.
const (
	ViewPath      = "/api/view"
	MembersPath   = "/api/members"
	UpstreamsPath = "/api/upstreams"
)

// NodeStatus is one core machine's word on itself and on whom it follows.
type NodeStatus struct {
	// ReportedBy names the machine that says so.
	ReportedBy string `json:"asOf"`
	// Term numbers the reign of the leader, the machine that orders changes; Leader is its internal address, empty while
	// none is known.
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	// ConfigVersion is the version in force on this machine, AppliedIndex the last index of the log that it has applied.
	ConfigVersion int64  `json:"configVersion"`
	AppliedIndex  uint64 `json:"applied"`
	// InContact says that what the machine serves was lately confirmed by a majority of the voters; StorageFailed says that its disk
	// takes no writes.
	InContact     bool `json:"inContact"`
	StorageFailed bool `json:"sick"`
	// MemberID is the id of the machine's disk, empty while it belongs to no cluster. Voter says that it votes in the log;
	// else it follows as a learner.
	MemberID string `json:"member"`
	Voter    bool   `json:"voter"`
	// Voters are the internal addresses of all that vote; MembershipChanging says that a change of them is under way.
	Voters             []string `json:"voters,omitempty"`
	MembershipChanging bool     `json:"changing,omitempty"`
}

// Members is who takes part, as one core machine knows it.
type Members struct {
	// ReportedBy names the machine that says so.
	ReportedBy string `json:"asOf"`
	// Term and Leader are as in NodeStatus, as this machine knows them.
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	// Syncing says that the machine may not have heard from every sidecar yet.
	Syncing bool `json:"young"`
	// Core is the core machines, Sidecars those whose lease has not run out.
	Core     []CoreMember `json:"core"`
	Sidecars []Sidecar    `json:"sidecars"`
}

// CoreMember is a core machine.
type CoreMember struct {
	// Address is its internal address.
	Address string `json:"address"`
	// Leader says that the answering machine takes it for the leader.
	Leader bool `json:"leader"`
	// Status is its own word on itself; nil: the answering machine got none just now.
	Status *NodeStatus `json:"said,omitempty"`
}

// Sidecar is a sidecar that holds a lease.
type Sidecar struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// ConfigVersion is the version of the configuration in force there.
	ConfigVersion int64 `json:"applied"`
	// Leaving says that it is on its way out.
	Leaving bool `json:"leaving"`
	// Instance is the upstream beside it, empty while it has heard from none.
	Instance string `json:"instance,omitempty"`
	// LeaseRemainingS is how many seconds its lease still has.
	LeaseRemainingS float64 `json:"remainingS"`
}

// UpstreamList is the upstreams that one core machine knows.
type UpstreamList struct {
	// ReportedBy names the machine that says so.
	ReportedBy string `json:"asOf"`
	// Syncing says that the machine may not have heard from everybody yet.
	Syncing   bool       `json:"young"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream.
type Upstream struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	// Node is the sidecar beside it, empty while that is not known; then nothing is sent to it.
	Node string `json:"node,omitempty"`
	Zone string `json:"zone"`
	// State is ready or draining.
	State string `json:"state"`
	Slots int    `json:"slots"`
	// Stale says that nobody has vouched for it of late. It may be alive.
	Stale bool `json:"stale"`
}

// NodeStatus asks one core machine for its word on itself.
func (c *Client) NodeStatus(ctx context.Context) (*NodeStatus, error) {
	return call[NodeStatus](ctx, c, http.MethodGet, ViewPath, nil)
}

// Members asks one core machine who takes part.
func (c *Client) Members(ctx context.Context) (*Members, error) {
	return call[Members](ctx, c, http.MethodGet, MembersPath, nil)
}

// Upstreams asks one core machine which upstreams there are.
func (c *Client) Upstreams(ctx context.Context) (*UpstreamList, error) {
	return call[UpstreamList](ctx, c, http.MethodGet, UpstreamsPath, nil)
}
