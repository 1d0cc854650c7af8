package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// gossipInterval is the time between two messages with renewals to one peer. Its sum with renewInterval
	// is well under the duration of a lease.
	gossipInterval = 500 * time.Millisecond
	// minGossipInterval is the minimum time between two messages to one peer, so that a burst of changes is
	// sent in few messages.
	minGossipInterval = 10 * time.Millisecond
	// maxLeasesPerMessage is the maximum number of leases in one message, which bounds the size of its body.
	// The remaining leases are sent with the next message.
	maxLeasesPerMessage = 1024
	// memberListTimeout bounds the call that fetches a peer's member list, whose response may be large.
	memberListTimeout = 2 * time.Second
)

// gossipWith sends queued updates to one peer until ctx ends.
func (s *Server) gossipWith(ctx context.Context, p *gossipPeer) {
	timer := time.NewTimer(gossipInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		gap := minGossipInterval
		if err := s.syncAndSend(ctx, p); err != nil {
			s.cfg.Log.Debug("gossip with core member failed", zap.String("member", p.address), zap.Error(err))
			gap = gossipInterval
		}
		timer.Reset(gap)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(gossipInterval)
	}
}

// syncAndSend fetches the peer's member list if a sync is due, and then sends the peer the queued updates.
func (s *Server) syncAndSend(ctx context.Context, p *gossipPeer) error {
	s.mu.Lock()
	syncDue := p.sync != syncDone
	s.mu.Unlock()
	if syncDue {
		if err := s.fetchMemberList(ctx, p); err != nil {
			return err
		}
	}
	return s.sendQueued(ctx, p)
}

// fetchMemberList fetches the complete member list of a peer and merges it into the table.
func (s *Server) fetchMemberList(ctx context.Context, p *gossipPeer) error {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	requestedAt := s.now()
	url := "http://" + p.address + memberListPath
	response, err := rpc.Call[struct{}, memberListResponse](ctx, s.cfg.HTTP, url, &struct{}{})
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delaysRegistry(s.now())
	p.failing = err != nil
	p.sync = syncFailed // until the response is merged below
	if delayed && !s.delaysRegistry(s.now()) {
		defer s.push()
	}
	if err != nil {
		return err
	}
	p.sync = syncDone
	now := s.now()
	p.recordResponse(response.Zone, response.Clock, now)
	age := now - requestedAt // the response was created after the request was sent, so it is no older
	s.table.Merge(now, subtractAge(response.Leases, age))
	s.table.MergeSilent(now, response.Silent)
	for _, r := range response.Reports {
		s.table.RelayedHeartbeat(now, r.Upstream, r.Remaining-age)
	}
	s.table.Expire(now)
	s.notifyChanged()
	return nil
}

// sendQueued sends a peer its queued updates. If the call fails, the updates are queued again.
func (s *Server) sendQueued(ctx context.Context, p *gossipPeer) error {
	request, sent := s.nextMessage(p)
	if len(request.Leases)+len(request.Renewals)+len(request.Reports) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + p.address + gossipPath
	response, err := rpc.Call[gossipRequest, gossipResponse](ctx, s.cfg.HTTP, url, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.failing = err != nil
	if err != nil {
		s.requeue(p, sent)
		return err
	}
	p.recordResponse(response.Zone, response.Clock, s.now())
	for _, node := range response.UnknownNodes {
		if _, known := s.table.Renewal(s.now(), node); known {
			p.queueLease(node, fullLease)
		}
	}
	return nil
}

// gossipBatch holds the updates that one message removed from a peer's queue.
type gossipBatch struct {
	leases  map[string]leaseUpdate
	reports map[string]queuedReport
}

// nextMessage removes queued updates from a peer's queue and returns a request with them.
func (s *Server) nextMessage(p *gossipPeer) (*gossipRequest, gossipBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	request := &gossipRequest{From: s.cfg.Self, Echo: p.clock, SinceEcho: now - p.answeredAt}
	batch := gossipBatch{leases: s.dequeueLeases(p, request, now), reports: p.reports}
	for _, r := range p.reports {
		request.Reports = append(request.Reports, registry.UpstreamReport{
			Upstream: r.upstream, Remaining: max(r.queuedAt+registry.LeaseTTL-now, 0),
		})
	}
	p.reports = map[string]queuedReport{}
	for address, other := range s.peers {
		if other.failing && address != p.address {
			request.UnreachedPeers = append(request.UnreachedPeers, address)
		}
	}
	return request, batch
}

// dequeueLeases moves at most maxLeasesPerMessage queued leases into the request and returns which ones it
// moved. s.mu is held.
func (s *Server) dequeueLeases(p *gossipPeer, request *gossipRequest, now time.Duration) map[string]leaseUpdate {
	dequeued := map[string]leaseUpdate{}
	for node, update := range p.leases {
		if len(dequeued) == maxLeasesPerMessage {
			signal(p.wake)
			break
		}
		delete(p.leases, node)
		dequeued[node] = update
		if update == fullLease {
			if lease, ok := s.table.RemoteLease(now, node); ok {
				request.Leases = append(request.Leases, lease)
			}
		} else if renewal, ok := s.table.Renewal(now, node); ok {
			request.Renewals = append(request.Renewals, renewal)
		}
	}
	return dequeued
}

// requeue returns the updates of a failed message to the peer's queue if they are still valid and the queue
// holds nothing newer. s.mu is held.
func (s *Server) requeue(p *gossipPeer, sent gossipBatch) {
	now := s.now()
	for node, update := range sent.leases {
		if _, known := s.table.RemoteLease(now, node); known {
			p.leases[node] = max(p.leases[node], update)
		}
	}
	for instance, r := range sent.reports {
		_, newer := p.reports[instance]
		if !newer && len(p.reports) < maxQueuedReports && now-r.queuedAt < r.ttl() {
			p.reports[instance] = r
		}
	}
}
