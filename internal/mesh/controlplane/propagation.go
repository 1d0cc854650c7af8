package controlplane

import (
	"context"
	"fmt"
	"strings"
	"time"

	"caperarch/internal/mesh/watch"

	"go.uber.org/zap"
)

const (
	// propagationCheckInterval is the time between checks for sidecars that lag behind an acknowledged
	// change.
	propagationCheckInterval = time.Second
	// maxLoggedLagging bounds the number of sidecars that one log entry lists.
	maxLoggedLagging = 8
	// maxPendingAcknowledgements bounds the acknowledgements whose apply time has not passed. If there
	// are more, the oldest are dropped.
	maxPendingAcknowledgements = 256
)

// acknowledgement is a configuration version that was acknowledged to an operator.
type acknowledgement struct {
	version int64
	at      time.Duration // since the start of the server
}

// propagation tracks the newest acknowledged version that every sidecar should have applied by now. It
// is not safe for concurrent use.
type propagation struct {
	applyTime time.Duration // time limit for all sidecars to apply an acknowledged version
	pending   []acknowledgement
	due       int64 // the newest version whose time limit has passed, 0 if there is none
}

// acknowledge records that a version was acknowledged at the time now.
func (p *propagation) acknowledge(now time.Duration, version int64) {
	if len(p.pending) == maxPendingAcknowledgements {
		p.pending = p.pending[1:]
	}
	p.pending = append(p.pending, acknowledgement{version, now})
}

// dueVersion returns the newest acknowledged version whose time limit has passed, or 0 if there is none.
func (p *propagation) dueVersion(now time.Duration) int64 {
	for len(p.pending) > 0 && p.pending[0].at+p.applyTime <= now {
		p.due = max(p.due, p.pending[0].version)
		p.pending = p.pending[1:]
	}
	return p.due
}

// recordAcknowledgement records that a version is about to be acknowledged to an operator.
func (s *Server) recordAcknowledgement(version int64) {
	s.propagationMu.Lock()
	defer s.propagationMu.Unlock()
	s.propagation.acknowledge(s.now(), version)
}

// logLagging logs, until ctx ends, the sidecars that have not applied a change within the time limit
// after this machine acknowledged it. A log entry is written only when the list of these sidecars and
// their versions has changed since the last check.
func (s *Server) logLagging(ctx context.Context) {
	if s.propagation.applyTime <= 0 {
		return // the settings contain no time limit
	}
	previous := "" // the lagging sidecars at the last check
	for sleep(ctx, propagationCheckInterval) {
		s.propagationMu.Lock()
		version := s.propagation.dueVersion(s.now())
		s.propagationMu.Unlock()
		lagging := s.watchServer.Lagging(version)
		description := describeLagging(lagging)
		if len(lagging) > 0 && description != previous {
			s.log.Warn("sidecars lag behind an acknowledged change", zap.Int64("version", version),
				zap.Int("count", len(lagging)), zap.String("sidecars", description))
		}
		previous = description
	}
}

// describeLagging returns the sidecars as "NODE:VERSION" with the version that each has applied,
// followed by the newest version sent to the sidecar if this machine serves its watch.
func describeLagging(lagging []watch.LaggingSidecar) string {
	var description strings.Builder
	for i, l := range lagging {
		if i == maxLoggedLagging {
			description.WriteString(" ...")
			break
		}
		fmt.Fprintf(&description, " %s:%d", l.Node, l.Applied)
		if l.Watching {
			fmt.Fprintf(&description, "(sent %d)", l.SentVersion)
		}
	}
	return strings.TrimPrefix(description.String(), " ")
}
