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
	gossipEvery = 500 * time.Millisecond
	// gossipGap is the least time between two messages to one member, so that a
	// burst of changes makes few.
	gossipGap = 10 * time.Millisecond
	// maxBatch bounds the leases of one message, against large bodies; the rest
	// follows in the next.
	maxBatch = 1024
	// maxBeats bounds the direct beats that wait for a member, against memory
	// taken while it is away. Beats come again.
	maxBeats = 1024
	// rollTimeout bounds the call for all leases, which may be a large answer.
	rollTimeout = 2 * time.Second
)

// converse tells one member what it has not been told, until ctx ends.
func (s *Server) converse(ctx context.Context, n *neighbour) {
	pause := time.NewTimer(gossipEvery)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-pause.C:
		}
		gap := gossipGap
		if err := s.exchange(ctx, n); err != nil {
			s.cfg.Log.Debug("A member is not reached.", zap.String("member", n.address), zap.Error(err))
			gap = gossipEvery
		}
		pause.Reset(gap)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		pause.Reset(gossipEvery)
	}
}

func (s *Server) exchange(ctx context.Context, n *neighbour) error {
	s.mu.Lock()
	asking := n.asking
	s.mu.Unlock()
	if asking {
		if err := s.askAll(ctx, n); err != nil {
			return err
		}
	}
	q, sent := s.batch(n)
	if len(q.Leases)+len(q.Renewals)+len(q.Beats) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := rpc.Call[gossip, gossipAnswer](ctx, s.cfg.HTTP, "http://"+n.address+gossipPath, q)
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
		for instance, b := range sent.beats {
			if _, later := n.beats[instance]; !later && len(n.beats) < maxBeats && now-b.at < b.lasts() {
				n.beats[instance] = b
			}
		}
		return err
	}
	n.heard(a.Zone, a.Clock, s.now())
	for _, node := range a.Unknown {
		if _, held := s.table.Renewal(s.now(), node); held {
			n.mark(node, true)
		}
	}
	return nil
}

// askAll asks a member for all it holds.
func (s *Server) askAll(ctx context.Context, n *neighbour) error {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	asked := s.now()
	a, err := rpc.Call[struct{}, rollAnswer](ctx, s.cfg.HTTP, "http://"+n.address+rollPath, &struct{}{})
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.holdsRegistry(s.now())
	n.failing, n.pending = err != nil, false
	if held && !s.holdsRegistry(s.now()) {
		defer s.push()
	}
	if err != nil {
		return err
	}
	n.asking = false
	now := s.now()
	n.heard(a.Zone, a.Clock, now)
	age := now - asked // the answer is no older than the question
	s.table.Merge(now, aged(a.Leases, age))
	for _, b := range a.Beats {
		s.table.RelayedHeartbeat(now, b.Upstream, b.Remaining-age)
	}
	s.table.Expire(now)
	s.spread()
	return nil
}

// sent is what one message took from a neighbour's queue.
type sent struct {
	dirty map[string]bool
	beats map[string]waitingBeat
}

func (s *Server) batch(n *neighbour) (*gossip, sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	q := &gossip{From: s.cfg.Self, Echo: n.clock, Since: now - n.heardAt}
	taken := sent{map[string]bool{}, n.beats}
	for node, whole := range n.dirty {
		if len(taken.dirty) == maxBatch {
			n.rouse()
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
	for _, b := range n.beats {
		q.Beats = append(q.Beats, registry.UpstreamReport{Upstream: b.up, Remaining: max(b.at+registry.LeaseTTL-now, 0)})
	}
	n.beats = map[string]waitingBeat{}
	for address, other := range s.neighbours {
		if other.failing && address != n.address {
			q.Unreached = append(q.Unreached, address)
		}
	}
	return q, taken
}

// gossip takes another member's news. It passes on what is new here to the
// members that the sender does not reach, so that a cut between two members
// hides nothing as long as a third reaches both.
func (s *Server) gossip(_ *http.Request, q *gossip) (*gossipAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	age := s.messageAge(now, q)
	whole := s.table.Merge(now, aged(q.Leases, age))
	for i := range q.Renewals {
		q.Renewals[i].Remaining -= age
	}
	renewed, unknown := s.table.Extend(now, q.Renewals)
	for _, b := range q.Beats {
		if s.table.RelayedHeartbeat(now, b.Upstream, b.Remaining-age) {
			for _, n := range s.cutOff(q) {
				n.tell(b.Upstream, now)
			}
		}
	}
	for _, n := range s.cutOff(q) {
		for _, node := range whole {
			n.mark(node, true)
		}
		for _, node := range renewed {
			n.mark(node, false)
		}
	}
	s.spread()
	return &gossipAnswer{Clock: s.clock(now), Zone: s.cfg.Zone, Unknown: unknown}, nil
}

// clock is this member's steady clock for the others to echo.
func (s *Server) clock(now time.Duration) clockReading { return clockReading{s.cfg.Epoch, now} }

// messageAge is how old the message may be. One whose sender has no reading of
// this life's clock may be of any age, and vouches for nothing.
func (s *Server) messageAge(now time.Duration, q *gossip) time.Duration {
	if q.Echo.Epoch != s.cfg.Epoch {
		return registry.LeaseTTL
	}
	return max(now-q.Echo.At-max(q.Since, 0), 0)
}

// aged takes a message's age off the time that its leases have left.
func aged(leases []registry.RemoteLease, age time.Duration) []registry.RemoteLease {
	for i := range leases {
		leases[i].Remaining -= age
	}
	return leases
}

// cutOff gives the neighbours that the sender of q does not reach.
func (s *Server) cutOff(q *gossip) []*neighbour {
	var cut []*neighbour
	for address, n := range s.neighbours {
		if address != q.From && slices.Contains(q.Unreached, address) {
			cut = append(cut, n)
		}
	}
	return cut
}

func (s *Server) roll(*http.Request, *struct{}) (*rollAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &rollAnswer{Clock: s.clock(now), Zone: s.cfg.Zone, Leases: s.table.Leases(now), Beats: s.table.Unleased(now)}, nil
}
