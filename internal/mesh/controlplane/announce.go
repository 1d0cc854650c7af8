package controlplane

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"

	"go.uber.org/zap"
)

const (
	// announcePath is the path at which a core machine receives announcements of other core machines and
	// answers with the machines that it knows.
	announcePath = "/mesh/members"
	// maxAnnounceBytes bounds the body of an announcement request.
	maxAnnounceBytes = 64 << 10
	// announceTimeout bounds the wait for the responses to an announcement.
	announceTimeout = 300 * time.Millisecond
)

// announcePeriodically announces this machine to the other core machines every cluster.AnnounceInterval,
// until ctx ends.
func (s *Server) announcePeriodically(ctx context.Context, node *replication.Node) {
	for {
		s.memberList.SetMembership(node.Status().Membership)
		s.announce(ctx, s.memberList.AnnounceTargets(s.now()))
		if !sleep(ctx, cluster.AnnounceInterval) {
			return
		}
	}
}

// announce announces this machine to the addresses concurrently and merges the responses into the member
// list. It returns the responses, without those of machines that belong to another cluster.
func (s *Server) announce(ctx context.Context, addresses []string) []*cluster.AnnounceResponse {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := &cluster.AnnounceRequest{
		Announcement:  s.memberList.Local(),
		KnownMachines: cluster.DigestMachines(s.memberList.LiveMembers(s.now())),
	}
	responses := make([]*cluster.AnnounceResponse, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { responses[i] = s.announceTo(ctx, address, request) })
	}
	calls.Wait()
	responses = slices.DeleteFunc(responses, func(r *cluster.AnnounceResponse) bool { return r == nil })
	for _, response := range responses {
		s.memberList.Merge(response)
	}
	return responses
}

// announceTo announces this machine to one address. It returns nil if there is no response, or if the
// responding machine belongs to another cluster.
func (s *Server) announceTo(
	ctx context.Context, address string, request *cluster.AnnounceRequest,
) *cluster.AnnounceResponse {
	url := "http://" + address + announcePath
	response, err := rpc.Call[cluster.AnnounceRequest, cluster.AnnounceResponse](ctx, s.client, url, request)
	if err != nil {
		s.log.Debug("peer did not answer an announcement", zap.String("address", address), zap.Error(err))
		return nil
	}
	if isOtherCluster(request.Cluster, response.Cluster) {
		s.log.Warn("peer belongs to another cluster", zap.String("address", address))
		return nil
	}
	return response
}

// isOtherCluster reports whether both cluster IDs are known (not 0) and differ.
func isOtherCluster(own, other replication.ClusterID) bool {
	return own != 0 && other != 0 && own != other
}

// serveAnnouncements registers the route that receives other machines' announcements.
func (s *Server) serveAnnouncements(mux *http.ServeMux) {
	rpc.Handle(mux, announcePath, maxAnnounceBytes, s.receiveAnnouncement)
}

func (s *Server) receiveAnnouncement(
	_ *http.Request, request *cluster.AnnounceRequest,
) (*cluster.AnnounceResponse, error) {
	local := s.memberList.Local()
	if isOtherCluster(local.Cluster, request.Cluster) {
		return nil, errs.New(errs.Invalid, "cluster: this is %x, not %x", local.Cluster, request.Cluster)
	}
	if err := s.memberList.Receive(s.now(), request.Announcement); err != nil {
		return nil, err
	}
	return s.announceResponse(request), nil
}

// announceResponse returns the core machines that this machine knows, the membership and the leader. It
// omits the machines if the request's digest shows that the sender knows the same ones.
func (s *Server) announceResponse(request *cluster.AnnounceRequest) *cluster.AnnounceResponse {
	response := &cluster.AnnounceResponse{Cluster: s.memberList.Local().Cluster}
	machines := s.memberList.LiveMembers(s.now())
	if request.KnownMachines != cluster.DigestMachines(machines) {
		response.Machines = machines
	}
	node := s.node.Load()
	if node == nil {
		return response
	}
	status := node.Status()
	response.Membership, response.Leader, response.Term = status.Membership, status.Leader, status.Term
	if request.Leaving && status.IsLeader && status.MembershipStable {
		response.SafeToLeave = !cluster.HasReplacement(s.clusterView(node), request.ID)
	}
	return response
}
