package watch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// gossipEvery is the time between renewals told to another member. With
	// renewEvery it stays well under a lease.
	gossipInterval = 500 * time.Millisecond
	// gossipGap is the least time between two messages to one member, so that a
	// burst of changes makes few.
	minGossipInterval = 10 * time.Millisecond
	// maxBatch bounds the leases of one message, against large bodies; the rest
	// follows in the next.
	maxLeasesPerMessage = 1024
	// maxBeats bounds the direct beats that wait for a member, against memory
	// taken while it is away. Beats come again.
	maxQueuedReports = 1024
	// rollTimeout bounds the call for all leases, which may be a large answer.
	memberListTimeout = 2 * time.Second
)

// converse tells one member what it has not been told, until ctx ends.
func (s *Server) gossipWith(ctx context.Context, n *gossipPeer) {
	pause := time.NewTimer(gossipInterval)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-pause.C:
		}
		gap := minGossipInterval
		if err := s.sendGossip(ctx, n); err != nil {
			s.cfg.Log.Debug("A member is not reached.", zap.String("member", n.address), zap.Error(err))
			gap = gossipInterval
		}
		pause.Reset(gap)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		pause.Reset(gossipInterval)
	}
}

func (s *Server) sendGossip(ctx context.Context, n *gossipPeer) error {
	s.mu.Lock()
	asking := n.needsSync
	s.mu.Unlock()
	if asking {
		if err := s.fetchMemberList(ctx, n); err != nil {
			return err
		}
	}
	q, sent := s.nextMessage(n)
	if len(q.Leases)+len(q.Renewals)+len(q.Reports) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := rpc.Call[gossipRequest, gossipResponse](ctx, s.cfg.HTTP, "http://"+n.address+gossipPath, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	n.failing = err != nil
	if err != nil {
		now := s.now()
		for node, whole := range sent.dirty {
			if _, held := s.table.RemoteLease(now, node); held {
				n.dirty[node] = n.dirty[node] || whole
			}
		}
		for instance, b := range sent.reports {
			if _, later := n.reports[instance]; !later && len(n.reports) < maxQueuedReports && now-b.at < b.lasts() {
				n.reports[instance] = b
			}
		}
		return err
	}
	n.recordResponse(a.Zone, a.Clock, s.now())
	for _, node := range a.UnknownNodes {
		if _, held := s.table.Renewal(s.now(), node); held {
			n.queueLease(node, true)
		}
	}
	return nil
}

// askAll asks a member for all it holds.
func (s *Server) fetchMemberList(ctx context.Context, n *gossipPeer) error {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	asked := s.now()
	a, err := rpc.Call[struct{}, memberListResponse](ctx, s.cfg.HTTP, "http://"+n.address+memberListPath, &struct{}{})
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.delaysRegistry(s.now())
	n.failing, n.awaitingSync = err != nil, false
	if held && !s.delaysRegistry(s.now()) {
		defer s.push()
	}
	if err != nil {
		return err
	}
	n.needsSync = false
	now := s.now()
	n.recordResponse(a.Zone, a.Clock, now)
	age := now - asked // the answer is no older than the question
	s.table.Merge(now, aged(a.Leases, age))
	for _, b := range a.Reports {
		s.table.RelayedHeartbeat(now, b.Upstream, b.Remaining-age)
	}
	s.table.Expire(now)
	s.notifyChanged()
	return nil
}

// sent is what one message took from a neighbour's queue.
type sent struct {
	dirty   map[string]bool
	reports map[string]queuedReport
}

func (s *Server) nextMessage(n *gossipPeer) (*gossipRequest, sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	q := &gossipRequest{From: s.cfg.Self, Echo: n.clock, SinceEcho: now - n.answeredAt}
	taken := sent{map[string]bool{}, n.reports}
	for node, whole := range n.dirty {
		if len(taken.dirty) == maxLeasesPerMessage {
			n.wakeSender()
			break
		}
		delete(n.dirty, node)
		taken.dirty[node] = whole
		if whole {
			if r, ok := s.table.RemoteLease(now, node); ok {
				q.Leases = append(q.Leases, r)
			}
		} else if r, ok := s.table.Renewal(now, node); ok {
			q.Renewals = append(q.Renewals, r)
		}
	}
	for _, b := range n.reports {
		q.Reports = append(q.Reports, registry.UpstreamReport{Upstream: b.up, Remaining: max(b.at+registry.LeaseTTL-now, 0)})
	}
	n.reports = map[string]queuedReport{}
	for address, other := range s.peers {
		if other.failing && address != n.address {
			q.UnreachedPeers = append(q.UnreachedPeers, address)
		}
	}
	return q, taken
}

// gossip takes another member's news. It passes on what is new here to the
// members that the sender does not reach, so that a cut between two members
// hides nothing as long as a third reaches both.
func (s *Server) receiveGossip(_ *http.Request, q *gossipRequest) (*gossipResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	age := s.messageAge(now, q)
	whole := s.table.Merge(now, aged(q.Leases, age))
	for i := range q.Renewals {
		q.Renewals[i].Remaining -= age
	}
	renewed, unknown := s.table.Extend(now, q.Renewals)
	for _, b := range q.Reports {
		if s.table.RelayedHeartbeat(now, b.Upstream, b.Remaining-age) {
			for _, n := range s.unreachedBy(q) {
				n.queueReport(b.Upstream, now)
			}
		}
	}
	for _, n := range s.unreachedBy(q) {
		for _, node := range whole {
			n.queueLease(node, true)
		}
		for _, node := range renewed {
			n.queueLease(node, false)
		}
	}
	s.notifyChanged()
	return &gossipResponse{Clock: s.clock(now), Zone: s.cfg.Zone, UnknownNodes: unknown}, nil
}

// clock is this member's steady clock for the others to echo.
func (s *Server) clock(now time.Duration) clockReading { return clockReading{s.cfg.Epoch, now} }

// messageAge is how old the message may be. One whose sender has no reading of
// this life's clock may be of any age, and vouches for nothing.
func (s *Server) messageAge(now time.Duration, q *gossipRequest) time.Duration {
	if q.Echo.Epoch != s.cfg.Epoch {
		return registry.LeaseTTL
	}
	return max(now-q.Echo.At-max(q.SinceEcho, 0), 0)
}

// aged takes a message's age off the time that its leases have left.
func aged(leases []registry.RemoteLease, age time.Duration) []registry.RemoteLease {
	for i := range leases {
		leases[i].Remaining -= age
	}
	return leases
}

// cutOff gives the neighbours that the sender of q does not reach.
func (s *Server) unreachedBy(q *gossipRequest) []*gossipPeer {
	var cut []*gossipPeer
	for address, n := range s.peers {
		if address != q.From && slices.Contains(q.UnreachedPeers, address) {
			cut = append(cut, n)
		}
	}
	return cut
}

func (s *Server) memberList(*http.Request, *struct{}) (*memberListResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &memberListResponse{Clock: s.clock(now), Zone: s.cfg.Zone, Leases: s.table.Leases(now), Reports: s.table.Unleased(now)}, nil
}
