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
	// propagationCheckInterval is the time between two looks at who lags behind an acknowledged change.
	propagationCheckInterval = time.Second
	// maxLoggedLagging bounds the sidecars that one entry names.
	maxLoggedLagging = 8
	// maxPendingAcknowledgements bounds the acknowledgements that are not due yet; the oldest make way.
	maxPendingAcknowledgements = 256
)

// acknowledgement is a version that an operator was told to be in place.
type acknowledgement struct {
	version int64
	at      time.Duration
}

// propagation knows which acknowledged version has to be in force everywhere. It is not safe for concurrent
// use.
type propagation struct {
	applyTime time.Duration // within which an acknowledged version has to be in force
	pending   []acknowledgement
	due       int64 // the newest version whose time is over, 0: there is none
}

// acknowledge records an acknowledgement.
func (p *propagation) acknowledge(now time.Duration, version int64) {
	if len(p.pending) == maxPendingAcknowledgements {
		p.pending = p.pending[1:]
	}
	p.pending = append(p.pending, acknowledgement{version, now})
}

// dueVersion is the newest version that has to be in force everywhere by now.
func (p *propagation) dueVersion(now time.Duration) int64 {
	for len(p.pending) > 0 && p.pending[0].at+p.applyTime <= now {
		p.due = max(p.due, p.pending[0].version)
		p.pending = p.pending[1:]
	}
	return p.due
}

// recordAcknowledgement records that an operator is about to be told that a version is in place.
func (s *Server) recordAcknowledgement(version int64) {
	s.propagationMu.Lock()
	defer s.propagationMu.Unlock()
	s.propagation.acknowledge(s.now(), version)
}

// logLagging names the sidecars that go by an older configuration than they may, until ctx ends: by a change
// that was acknowledged here. Those that it has named are not named again for the same version.
func (s *Server) logLagging(ctx context.Context) {
	if s.propagation.applyTime <= 0 {
		return // the settings name no bound
	}
	named := "" // the last entry's sidecars
	for sleep(ctx, propagationCheckInterval) {
		s.propagationMu.Lock()
		version := s.propagation.dueVersion(s.now())
		s.propagationMu.Unlock()
		lagging := s.watchServer.Lagging(version)
		text := describeLagging(lagging)
		if len(lagging) > 0 && text != named {
			s.log.Warn("sidecars lag behind an acknowledged change", zap.Int64("version", version),
				zap.Int("count", len(lagging)), zap.String("sidecars", text))
		}
		named = text
	}
}

// describeLagging names sidecars, each with the version that it goes by, and with what was sent to it where its
// watch is open here.
func describeLagging(lagging []watch.LaggingSidecar) string {
	var text strings.Builder
	for i, l := range lagging {
		if i == maxLoggedLagging {
			text.WriteString(" ...")
			break
		}
		fmt.Fprintf(&text, " %s:%d", l.Node, l.Applied)
		if l.Watching {
			fmt.Fprintf(&text, "(sent %d)", l.SentVersion)
		}
	}
	return strings.TrimPrefix(text.String(), " ")
}
