package controlplane

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

const (
	// inspectTimeout bounds the status requests to the other core machines, so that an unavailable
	// machine does not delay the answer to the operator.
	inspectTimeout = 400 * time.Millisecond
	// memberListPath is the path at which the watch server lists all leases.
	memberListPath = "/mesh/roll"
)

// serveInspection registers the routes for operators' read-only requests. Each answer contains this
// machine's own knowledge and its node name (ReportedBy).
func (s *Server) serveInspection(mux *http.ServeMux) {
	rpc.HandleGet(mux, meshapi.NodeStatusPath, func(*http.Request) (*meshapi.NodeStatus, error) {
		return s.nodeStatus(), nil
	})
	rpc.HandleGet(mux, meshapi.MembersPath, func(r *http.Request) (*meshapi.Members, error) {
		return s.members(r.Context(), s.memberList.Addresses(s.now()))
	})
	rpc.HandleGet(mux, meshapi.UpstreamsPath, func(*http.Request) (*meshapi.UpstreamList, error) {
		return s.upstreams(), nil
	})
}

// nodeStatus returns this machine's own status.
func (s *Server) nodeStatus() *meshapi.NodeStatus {
	leader, term := s.leader()
	nodeStatus := &meshapi.NodeStatus{
		ReportedBy:    s.settings.Self.NodeName,
		Term:          uint64(term),
		Leader:        leader,
		ConfigVersion: s.stateMachine.Current(),
		InContact:     s.inContact(),
	}
	if node := s.node.Load(); node != nil {
		status := node.Status()
		nodeStatus.AppliedIndex, nodeStatus.StorageFailed = uint64(status.Applied), status.StorageFailed
		nodeStatus.MemberID = string(node.ID())
		nodeStatus.Voter = status.Membership.IsVoter(node.ID())
		nodeStatus.Voters = addresses(status.Membership.Voters)
		nodeStatus.MembershipChanging = !status.MembershipStable
	}
	return nodeStatus
}

func addresses(ids []replication.MemberID) []string {
	all := make([]string, 0, len(ids))
	for _, id := range ids {
		all = append(all, id.Address())
	}
	return all
}

// members returns the core machines, each with its own status if it answers in time, and the sidecars
// whose leases this machine holds.
func (s *Server) members(ctx context.Context, coreAddresses []string) (*meshapi.Members, error) {
	own := s.nodeStatus()
	members := &meshapi.Members{
		ReportedBy: own.ReportedBy,
		Term:       own.Term,
		Leader:     own.Leader,
		Syncing:    s.watchServer.Syncing(),
		Core:       make([]meshapi.CoreMember, len(coreAddresses)),
		Sidecars:   []meshapi.Sidecar{},
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, address := range coreAddresses {
		member := &members.Core[i]
		member.Address, member.Leader = address, address == own.Leader
		if address == s.ownAddress() {
			member.Status = own
			continue
		}
		calls.Go(func() {
			url := "http://" + address + meshapi.NodeStatusPath
			if status, err := rpc.Get[meshapi.NodeStatus](ctx, s.client, url); err == nil {
				member.Status = status
			}
		})
	}
	leases, err := s.listLeases(ctx)
	calls.Wait()
	if err != nil {
		return nil, err
	}
	for _, remote := range leases {
		if !remote.Lease.Left {
			members.Sidecars = append(members.Sidecars, sidecarView(remote))
		}
	}
	slices.SortFunc(members.Sidecars, func(a, b meshapi.Sidecar) int {
		return strings.Compare(a.Node, b.Node)
	})
	return members, nil
}

// listLeases requests all leases from this machine's own watch server over HTTP.
func (s *Server) listLeases(ctx context.Context) ([]registry.RemoteLease, error) {
	type memberList struct {
		Leases []registry.RemoteLease `json:"leases"`
	}
	url := "http://" + s.ownAddress() + memberListPath
	list, err := rpc.Call[struct{}, memberList](ctx, s.client, url, &struct{}{})
	if err != nil {
		return nil, err
	}
	return list.Leases, nil
}

func sidecarView(remote registry.RemoteLease) meshapi.Sidecar {
	lease := remote.Lease
	sidecar := meshapi.Sidecar{
		Node:            lease.Node,
		Zone:            lease.Zone,
		ConfigVersion:   lease.Applied,
		Leaving:         lease.Leaving,
		LeaseRemainingS: remote.Remaining.Seconds(),
	}
	if lease.Upstream != nil {
		sidecar.Instance = lease.Upstream.Instance
	}
	return sidecar
}

// upstreams returns the upstreams that this machine knows.
func (s *Server) upstreams() *meshapi.UpstreamList {
	list := &meshapi.UpstreamList{
		ReportedBy: s.settings.Self.NodeName,
		Syncing:    s.watchServer.Syncing(),
		Upstreams:  []meshapi.Upstream{},
	}
	for _, upstream := range s.watchServer.Upstreams() {
		list.Upstreams = append(list.Upstreams, meshapi.Upstream{
			Instance: upstream.Instance,
			Service:  upstream.Service,
			Address:  upstream.Address,
			Node:     upstream.Node,
			Zone:     upstream.Zone,
			State:    upstream.State.String(),
			Slots:    upstream.Slots,
			Stale:    upstream.Stale,
		})
	}
	return list
}
