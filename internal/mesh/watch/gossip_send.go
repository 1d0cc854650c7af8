package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// gossipInterval is the time between renewals sent to another member. With
	// renewInterval it stays well under a lease.
	gossipInterval = 500 * time.Millisecond
	// minGossipInterval is the least time between two messages to one member, so
	// that a burst of changes makes few.
	minGossipInterval = 10 * time.Millisecond
	// maxLeasesPerMessage bounds the leases of one message, against large bodies;
	// the rest follows in the next.
	maxLeasesPerMessage = 1024
	// memberListTimeout bounds the call for all leases, which may have a large
	// response.
	memberListTimeout = 2 * time.Second
)

// gossipWith sends one member what has not been sent to it yet, until ctx ends.
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

// syncAndSend fetches all that the peer knows if that is due, and sends it what
// is queued.
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

// fetchMemberList asks a peer for all that it knows, and merges it.
func (s *Server) fetchMemberList(ctx context.Context, p *gossipPeer) error {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	askedAt := s.now()
	url := "http://" + p.address + memberListPath
	response, err := rpc.Call[struct{}, memberListResponse](ctx, s.cfg.HTTP, url, &struct{}{})
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delaysRegistry(s.now())
	p.failing = err != nil
	p.sync = syncFailed // unless there is an answer to merge
	if delayed && !s.delaysRegistry(s.now()) {
		defer s.push()
	}
	if err != nil {
		return err
	}
	p.sync = syncDone
	now := s.now()
	p.recordResponse(response.Zone, response.Clock, now)
	age := now - askedAt // the response is no older than the request
	s.table.Merge(now, aged(response.Leases, age))
	s.table.MergeSilent(now, response.Silent)
	for _, r := range response.Reports {
		s.table.RelayedHeartbeat(now, r.Upstream, r.Remaining-age)
	}
	s.table.Expire(now)
	s.notifyChanged()
	return nil
}

// sendQueued sends a peer what is queued for it. What could not be sent is
// queued again.
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

// gossipBatch is what one message removed from a peer's queue.
type gossipBatch struct {
	leases  map[string]leaseUpdate
	reports map[string]queuedReport
}

// nextMessage removes the next message from a peer's queue.
func (s *Server) nextMessage(p *gossipPeer) (*gossipRequest, gossipBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	request := &gossipRequest{From: s.cfg.Self, Echo: p.clock, SinceEcho: now - p.answeredAt}
	batch := gossipBatch{leases: s.dequeueLeases(p, request, now), reports: p.reports}
	for _, r := range p.reports {
		request.Reports = append(request.Reports, registry.UpstreamReport{
			Upstream: r.up, Remaining: max(r.at+registry.LeaseTTL-now, 0),
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

// dequeueLeases moves queued leases into the request, at most maxLeasesPerMessage
// of them, and returns what it moved. s.mu is held.
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

// requeue puts back what a message that failed had removed, as far as it is still
// valid. s.mu is held.
func (s *Server) requeue(p *gossipPeer, sent gossipBatch) {
	now := s.now()
	for node, update := range sent.leases {
		if _, known := s.table.RemoteLease(now, node); known {
			p.leases[node] = max(p.leases[node], update)
		}
	}
	for instance, r := range sent.reports {
		_, newer := p.reports[instance]
		if !newer && len(p.reports) < maxQueuedReports && now-r.at < r.ttl() {
			p.reports[instance] = r
		}
	}
}
