package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/daemon/handover"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

const (
	processPollInterval = 50 * time.Millisecond // for processes that started or ended

	// recordTimeout bounds the wait for the handover record. The older process finds this one and writes the
	// record in a tenth of it.
	recordTimeout = 400 * time.Millisecond
)

// openSeat claims this process's seat among those of its sidecar, and reads the record of the one that it replaces.
func (s *service) openSeat(dir string) {
	s.processCount.Store(1)
	if dir != "" {
		seat, err := handover.Open(dir)
		if err != nil {
			s.log.Error("this process can't be replaced while it serves", "error", err)
		} else {
			s.seat = seat
			s.awaitRecord()
		}
	}
	s.applyLimits()
}

// awaitRecord waits for the record of the process that this one replaces, if there is one.
func (s *service) awaitRecord() {
	s.machine.ID = s.seat.ID()
	if s.machine.ID == "" {
		return
	}
	s.processCount.Store(2)
	var err error
	if s.record, err = s.seat.AwaitRecord(recordTimeout); err != nil {
		s.log.Warn("another process serves, this one starts without what that one knows", "error", err)
		return
	}
	s.log.Info("another process serves, this one takes over from it")
}

// listen listens for clients, on an address that the process that replaces this one may listen on too.
func (s *service) listen(cfg *config.Config) (net.Listener, error) {
	var listener net.Listener
	var err error
	steered := true
	if s.seat == nil {
		listener, err = net.Listen("tcp", cfg.Listen)
	} else {
		listener, steered, err = handover.Listen(cfg.Listen)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if !steered {
		s.log.Warn("new connections can't be steered: in a replacement the old process goes on getting some of them")
	}
	return listener, nil
}

// initialList is the list that a pool starts with, and the upstreams that were listed before. The record of the
// process that this one replaces is newer than the configuration, unless the configuration's list has a later
// version.
func (s *service) initialList(pool string, configured call.ServerList) (call.ServerList, []policy.ServerID) {
	if s.record == nil {
		return configured, nil
	}
	recorded, ok := s.record.Pools[pool]
	if !ok || len(recorded.Servers) == 0 || recorded.Version < configured.Version {
		return configured, recorded.Delisted
	}
	return recorded.ServerList(), recorded.Delisted
}

// watchProcesses looks for processes of this sidecar that start or end, until ctx ends.
func (s *service) watchProcesses(ctx context.Context) {
	if s.seat == nil {
		return
	}
	clock.Every(ctx, processPollInterval, s.checkProcesses)
}

// checkProcesses does what the live processes call for. This process shrinks its limits before it writes the
// record that lets a newcomer use its share.
func (s *service) checkProcesses() {
	seen := s.seat.Observe()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen.HoldsFewConns = s.holdsFewConns()
	action := s.machine.Decide(seen)
	if before := s.processes(); action.ProcessCount != before {
		s.log.Info("processes of this sidecar", "now", action.ProcessCount, "before", before)
		s.processCount.Store(int32(action.ProcessCount))
		s.applyLimits()
	}
	if action.ReleaseSeat { // after the limits
		s.seat.Release()
	}
	if action.WriteRecordFor != "" {
		s.writeRecord(action.WriteRecordFor)
	}
}

// writeRecord writes the handover record for the process of this id. The caller holds mu.
func (s *service) writeRecord(id string) {
	record := &handover.Record{Pools: make(map[string]handover.Pool)}
	for p := range s.pools {
		record.Pools[p.name] = handover.NewPool(p.list.Listed())
	}
	if err := s.seat.WriteRecord(id, record); err != nil {
		s.log.Error("handover record not written", "error", err)
	}
}

// holdsFewConns says whether this process holds no more than one that leaves may hold. The caller holds mu.
func (s *service) holdsFewConns() bool {
	if s.front == nil || s.front.Counters().Open > s.maxClientConns/handover.LeavingDivisor {
		return false
	}
	for p := range s.pools {
		if p.transport.Busy() > max(1, p.maxConns/handover.LeavingDivisor) {
			return false
		}
	}
	return true
}

// applyLimits bounds this process to its share of the sidecar's limits. The caller holds mu, or runs alone.
func (s *service) applyLimits() {
	if s.memoryLimit > 0 {
		debug.SetMemoryLimit(s.memoryLimit / int64(s.processes()))
	}
	for p := range s.pools {
		s.applyPoolLimits(p)
	}
	if s.front != nil {
		s.front.SetProcessCount(s.processes())
	}
}

// applyPoolLimits bounds a pool to this process's share of its limits. The caller holds mu.
func (s *service) applyPoolLimits(p *pool) {
	p.transport.Resize(p.maxConns / s.processes())
	p.target.SetProcessCount(s.processes())
}

// processes returns how many processes of this sidecar live, this one included. It never waits.
func (s *service) processes() int { return int(s.processCount.Load()) }

// resizePool sets how many connections to upstreams a pool may hold, in all processes together.
func (s *service) resizePool(p *pool, maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.maxConns = maxConns
	s.applyPoolLimits(p)
}

// beginLeaving notes that this process was told to stop.
func (s *service) beginLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Leaving()
}
