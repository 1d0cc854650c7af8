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
	// inspectTimeout bounds the question to each core machine for its word on itself, so that one that is gone holds up no answer.
	inspectTimeout = 400 * time.Millisecond
	// memberListPath is the hub's page of all leases.
	memberListPath = "/mesh/roll"
)

// inspect serves what operators look at. Every answer is this machine's knowledge, and says so.
func (s *Server) inspect(mux *http.ServeMux) {
	rpc.HandleGet(mux, meshapi.NodeStatusPath, func(*http.Request) (*meshapi.NodeStatus, error) { return s.view(), nil })
	rpc.HandleGet(mux, meshapi.MembersPath, func(r *http.Request) (*meshapi.Members, error) {
		return s.members(r.Context(), s.memberList.Addresses(s.now()))
	})
	rpc.HandleGet(mux, meshapi.UpstreamsPath, func(*http.Request) (*meshapi.UpstreamList, error) { return s.upstreams(), nil })
}

// view is this machine's word on itself.
func (s *Server) view() *meshapi.NodeStatus {
	leader, term := s.leader()
	v := &meshapi.NodeStatus{ReportedBy: s.settings.Self.NodeName, Term: term, Leader: leader, ConfigVersion: s.stateMachine.Current(), InContact: s.inContact()}
	if node := s.node.Load(); node != nil {
		status := node.Status()
		v.AppliedIndex, v.StorageFailed = uint64(status.Applied), status.StorageFailed
		v.MemberID, v.Voter, v.Voters = string(node.ID()), status.Membership.IsVoter(node.ID()), addresses(status.Membership.Voters)
		v.MembershipChanging = !status.MembershipStable
	}
	return v
}

func addresses(ids []replication.MemberID) []string {
	all := make([]string, 0, len(ids))
	for _, id := range ids {
		all = append(all, id.Address())
	}
	return all
}

// members is the core machines, each with its own word where that is to be had, and the sidecars whose leases this machine holds.
func (s *Server) members(ctx context.Context, members []string) (*meshapi.Members, error) {
	own := s.view()
	a := &meshapi.Members{ReportedBy: own.ReportedBy, Term: own.Term, Leader: own.Leader, Syncing: s.watchServer.Syncing(), Core: make([]meshapi.CoreMember, len(members)), Sidecars: []meshapi.Sidecar{}}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for i, address := range members {
		m := &a.Core[i]
		m.Address, m.Leader = address, address == own.Leader
		if address == s.settings.OwnInternalAddress() {
			m.Status = own
			continue
		}
		asked.Go(func() {
			if said, err := rpc.Get[meshapi.NodeStatus](ctx, s.client, "http://"+address+meshapi.NodeStatusPath); err == nil {
				m.Status = said
			}
		})
	}
	roll, err := rpc.Call[struct{}, struct {
		Leases []registry.RemoteLease `json:"leases"`
	}](ctx, s.client, "http://"+s.settings.OwnInternalAddress()+memberListPath, &struct{}{})
	asked.Wait()
	if err != nil {
		return nil, err
	}
	for _, held := range roll.Leases {
		l := held.Lease
		if l.Left {
			continue
		}
		sidecar := meshapi.Sidecar{Node: l.Node, Zone: l.Zone, ConfigVersion: l.Applied, Leaving: l.Leaving, LeaseRemainingS: held.Remaining.Seconds()}
		if l.Upstream != nil {
			sidecar.Instance = l.Upstream.Instance
		}
		a.Sidecars = append(a.Sidecars, sidecar)
	}
	slices.SortFunc(a.Sidecars, func(x, y meshapi.Sidecar) int { return strings.Compare(x.Node, y.Node) })
	return a, nil
}

// upstreams is the upstreams that are known here.
func (s *Server) upstreams() *meshapi.UpstreamList {
	a := &meshapi.UpstreamList{ReportedBy: s.settings.Self.NodeName, Syncing: s.watchServer.Syncing(), Upstreams: []meshapi.Upstream{}}
	for _, u := range s.watchServer.Upstreams() {
		a.Upstreams = append(a.Upstreams, meshapi.Upstream{
			Instance: u.Instance, Service: u.Service, Address: u.Address, Node: u.Node, Zone: u.Zone, State: u.State.String(), Slots: u.Slots, Stale: u.Stale,
		})
	}
	return a
}
