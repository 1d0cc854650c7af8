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
	processPollInterval = 50 * time.Millisecond // interval of checks whether processes of this sidecar started or ended

	// recordTimeout limits the wait for the handover record. The older process usually detects this process and writes
	// the record within a tenth of recordTimeout.
	recordTimeout = 400 * time.Millisecond
)

// openCoordinator makes this process the primary of its sidecar, or a successor that reads the handover record of the
// process that it replaces.
func (s *service) openCoordinator(dir string) {
	s.processCount.Store(1)
	if dir != "" {
		coordinator, err := handover.Open(dir)
		if err != nil {
			s.log.Error("this process can't be replaced while it serves", "error", err)
		} else {
			s.coordinator = coordinator
			s.awaitRecord()
		}
	}
	s.applyLimits()
}

// awaitRecord waits for the handover record if this process replaces an older process.
func (s *service) awaitRecord() {
	s.stateMachine.ID = s.coordinator.ID()
	if s.stateMachine.ID == "" {
		return
	}
	s.processCount.Store(2)
	var err error
	if s.record, err = s.coordinator.AwaitRecord(recordTimeout); err != nil {
		s.log.Warn("another process serves, this one starts without what that one knows", "error", err)
		return
	}
	s.log.Info("another process serves, this one takes over from it")
}

// listen listens for clients. If this process can be replaced while it serves, other processes of this sidecar may
// listen on the same address.
func (s *service) listen(cfg *config.Config) (net.Listener, error) {
	var listener net.Listener
	var err error
	steered := true
	if s.coordinator == nil {
		listener, err = net.Listen("tcp", cfg.Listen)
	} else {
		listener, steered, err = handover.Listen(cfg.Listen)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if !steered {
		s.log.Warn("kernel does not steer new connections: during a replacement the old process still gets some of them")
	}
	return listener, nil
}

// initialList returns the server list with which a pool starts, and the upstreams that were listed earlier and are no
// longer. The list of the handover record takes precedence over the configured list, unless the configured list has a
// later version.
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

// watchProcesses calls checkProcesses at intervals of processPollInterval until ctx is done.
func (s *service) watchProcesses(ctx context.Context) {
	if s.coordinator == nil {
		return
	}
	clock.Every(ctx, processPollInterval, s.checkProcesses)
}

// checkProcesses observes the live processes of this sidecar and executes the resulting action. The process reduces its
// own limits before it writes the handover record, because a successor that has the record uses its share of the
// limits.
func (s *service) checkProcesses() {
	seen := s.coordinator.Observe()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen.HoldsFewConns = s.holdsFewConns()
	action := s.stateMachine.Decide(seen)
	if before := s.processes(); action.ProcessCount != before {
		s.log.Info("processes of this sidecar", "now", action.ProcessCount, "before", before)
		s.processCount.Store(int32(action.ProcessCount))
		s.applyLimits()
	}
	if action.ReleaseLocks { // after the limits are reduced: the other process may then use the full limits
		s.coordinator.Release()
	}
	if action.WriteRecordFor != "" {
		s.writeRecord(action.WriteRecordFor)
	}
}

// writeRecord writes the handover record for the successor with the given id. The caller holds mu.
func (s *service) writeRecord(id string) {
	record := &handover.Record{Pools: make(map[string]handover.Pool)}
	for p := range s.pools {
		record.Pools[p.name] = handover.NewPool(p.list.Listed())
	}
	if err := s.coordinator.WriteRecord(id, record); err != nil {
		s.log.Error("handover record not written", "error", err)
	}
}

// holdsFewConns reports whether this process holds at most as many connections as a leaving process may hold after it
// has released its locks. The caller holds mu.
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

// applyLimits limits this process to its share of the sidecar's limits. The caller holds mu, or no other goroutine uses
// the service yet.
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

// applyPoolLimits limits a pool to this process's share of the pool's limits. The caller holds mu.
func (s *service) applyPoolLimits(p *pool) {
	p.transport.Resize(p.maxConns / s.processes())
	p.target.SetProcessCount(s.processes())
}

// processes returns the number of live processes of this sidecar, including this process. It does not block.
func (s *service) processes() int { return int(s.processCount.Load()) }

// resizePool sets the maximum number of upstream connections of a pool in all processes of this sidecar together.
func (s *service) resizePool(p *pool, maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.maxConns = maxConns
	s.applyPoolLimits(p)
}

// beginLeaving records that this process was told to stop.
func (s *service) beginLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateMachine.SetLeaving()
}
