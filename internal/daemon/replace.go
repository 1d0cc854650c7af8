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
	lookEvery = 50 * time.Millisecond  // for a process that came or went
	recordIn  = 400 * time.Millisecond // the process before tells what it knows within this; its look and its writing take a tenth of it
)

// sit takes this process' place among those of its sidecar, and reads what the one before told.
func (s *service) sit(dir string) {
	s.divided.Store(1)
	if dir != "" {
		seat, err := handover.Open(dir)
		if err != nil {
			s.log.Error("this process can't be replaced while it serves", "error", err)
		} else {
			s.seat = seat
			s.takePlace()
		}
	}
	s.share()
}

// takePlace waits for the record of the process before, if there is one.
func (s *service) takePlace() {
	s.machine.ID = s.seat.ID()
	if s.machine.ID == "" {
		return
	}
	s.divided.Store(2)
	var err error
	if s.record, err = s.seat.AwaitRecord(recordIn); err != nil {
		s.log.Warn("another process serves, this one starts without what that one knows", "error", err)
		return
	}
	s.log.Info("another process serves, this one takes over from it")
}

// listen listens for clients, on an address that the next process may listen on too.
func (s *service) listen(cfg *config.Config) (net.Listener, error) {
	var l net.Listener
	var err error
	steered := true
	if s.seat == nil {
		l, err = net.Listen("tcp", cfg.Listen)
	} else {
		l, steered, err = handover.Listen(cfg.Listen)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if !steered {
		s.log.Warn("new connections can't be steered: in a replacement the old process goes on getting some of them")
	}
	return l, nil
}

// known is the list that a pool begins with, and what was listed before. What the process before had heard is newer than the configuration, but for a list of
// a later version.
func (s *service) known(pool string, known call.ServerList) (call.ServerList, []policy.ServerID) {
	if s.record == nil {
		return known, nil
	}
	told, ok := s.record.Pools[pool]
	if !ok || len(told.Servers) == 0 || told.Version < known.Version {
		return known, told.Delisted
	}
	return told.ServerList(), told.Delisted
}

// watch looks for processes that come and go, until ctx ends.
func (s *service) watch(ctx context.Context) {
	if s.seat == nil {
		return
	}
	clock.Every(ctx, lookEvery, s.look)
}

// look does what is to be done by who lives now: this process shrinks before a newcomer is told that it may take its part.
func (s *service) look() {
	seen := s.seat.Observe()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen.HoldsFewConns = s.few()
	do := s.machine.Decide(seen)
	if before := s.parted(); do.ProcessCount != before {
		s.log.Info("processes of this sidecar", "now", do.ProcessCount, "before", before)
		s.divided.Store(int32(do.ProcessCount))
		s.share()
	}
	if do.ReleaseSeat { // behind the shrinking
		s.seat.Release()
	}
	if do.WriteRecordFor == "" {
		return
	}
	r := &handover.Record{Pools: make(map[string]handover.Pool)}
	for p := range s.parts {
		r.Pools[p.name] = handover.NewPool(p.list.Listed())
	}
	if err := s.seat.WriteRecord(do.WriteRecordFor, r); err != nil {
		s.log.Error("the next process can't be told what this one knows", "error", err)
	}
}

// few says whether this process holds no more than what one that leaves may hold. The caller holds the lock.
func (s *service) few() bool {
	if s.front == nil || s.front.Counters().Open > s.most/handover.LeavingDivisor {
		return false
	}
	for p := range s.parts {
		if p.transport.Busy() > max(1, p.conns/handover.LeavingDivisor) {
			return false
		}
	}
	return true
}

// share bounds this process to its part of what the sidecar may hold. The caller holds the lock, or is alone.
func (s *service) share() {
	if s.memory > 0 {
		debug.SetMemoryLimit(s.memory / int64(s.parted()))
	}
	for p := range s.parts {
		s.fit(p)
	}
	if s.front != nil {
		s.front.SetProcessCount(s.parted())
	}
}

// fit bounds a pool to this process' part of what it may hold.
func (s *service) fit(p *parts) {
	p.transport.Resize(p.conns / s.parted())
	p.target.SetProcessCount(s.parted())
}

// parted is how many processes live. It never waits.
func (s *service) parted() int { return int(s.divided.Load()) }

// resize gives a pool another part of the connections to servers.
func (s *service) resize(p *parts, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.conns = conns
	s.fit(p)
}

// leaving takes that this process was told to stop.
func (s *service) leaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Leaving()
}
