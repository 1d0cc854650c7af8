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
	// inspectTimeout bounds the call to each core machine for its status, so that one that has ended
	// holds up no answer.
	inspectTimeout = 400 * time.Millisecond
	// memberListPath is where the watch server lists all leases.
	memberListPath = "/mesh/roll"
)

// serveInspection serves what operators look at. Every answer is what this machine knows, and names
// it.
func (s *Server) serveInspection(mux *http.ServeMux) {
	rpc.HandleGet(mux, meshapi.NodeStatusPath, func(*http.Request) (*meshapi.NodeStatus, error) {
		return s.view(), nil
	})
	rpc.HandleGet(mux, meshapi.MembersPath, func(r *http.Request) (*meshapi.Members, error) {
		return s.members(r.Context(), s.memberList.Addresses(s.now()))
	})
	rpc.HandleGet(mux, meshapi.UpstreamsPath, func(*http.Request) (*meshapi.UpstreamList, error) {
		return s.upstreams(), nil
	})
}

// view is this machine's own status.
func (s *Server) view() *meshapi.NodeStatus {
	leader, term := s.leader()
	view := &meshapi.NodeStatus{
		ReportedBy:    s.settings.Self.NodeName,
		Term:          uint64(term),
		Leader:        leader,
		ConfigVersion: s.stateMachine.Current(),
		InContact:     s.inContact(),
	}
	if node := s.node.Load(); node != nil {
		status := node.Status()
		view.AppliedIndex, view.StorageFailed = uint64(status.Applied), status.StorageFailed
		view.MemberID = string(node.ID())
		view.Voter = status.Membership.IsVoter(node.ID())
		view.Voters = addresses(status.Membership.Voters)
		view.MembershipChanging = !status.MembershipStable
	}
	return view
}

func addresses(ids []replication.MemberID) []string {
	all := make([]string, 0, len(ids))
	for _, id := range ids {
		all = append(all, id.Address())
	}
	return all
}

// members is the core machines, each with its own status where it answers, and the sidecars whose
// leases this machine holds.
func (s *Server) members(ctx context.Context, core []string) (*meshapi.Members, error) {
	own := s.view()
	members := &meshapi.Members{
		ReportedBy: own.ReportedBy,
		Term:       own.Term,
		Leader:     own.Leader,
		Syncing:    s.watchServer.Syncing(),
		Core:       make([]meshapi.CoreMember, len(core)),
		Sidecars:   []meshapi.Sidecar{},
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, address := range core {
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

// listLeases asks this machine's own watch server for all leases.
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
	view := meshapi.Sidecar{
		Node:            lease.Node,
		Zone:            lease.Zone,
		ConfigVersion:   lease.Applied,
		Leaving:         lease.Leaving,
		LeaseRemainingS: remote.Remaining.Seconds(),
	}
	if lease.Upstream != nil {
		view.Instance = lease.Upstream.Instance
	}
	return view
}

// upstreams is the upstreams that are known here.
func (s *Server) upstreams() *meshapi.UpstreamList {
	list := &meshapi.UpstreamList{
		ReportedBy: s.settings.Self.NodeName,
		Syncing:    s.watchServer.Syncing(),
		Upstreams:  []meshapi.Upstream{},
	}
	for _, u := range s.watchServer.Upstreams() {
		list.Upstreams = append(list.Upstreams, meshapi.Upstream{
			Instance: u.Instance,
			Service:  u.Service,
			Address:  u.Address,
			Node:     u.Node,
			Zone:     u.Zone,
			State:    u.State.String(),
			Slots:    u.Slots,
			Stale:    u.Stale,
		})
	}
	return list
}
