package sidecar

import (
	"context"
	"time"

	"caperarch/internal/proxy/engine"

	"go.uber.org/zap"
)

// abandonedLogInterval is the minimum time between two log entries on abandoned requests. Logging each
// request would displace all other entries from the log's ring buffer.
const abandonedLogInterval = time.Second

// logAbandoned logs the requests whose clients disconnected before they had a response, until ctx ends. It
// writes at most one entry per engine and abandonedLogInterval, and none if the counters have not changed.
func (s *Sidecar) logAbandoned(ctx context.Context) {
	ticker := time.NewTicker(abandonedLogInterval)
	defer ticker.Stop()
	var outbound, inbound engine.Abandoned
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		outbound = logNewlyAbandoned(s.log, "outbound", s.balancerEngine, outbound)
		inbound = logNewlyAbandoned(s.log, "inbound", s.gateEngine, inbound)
	}
}

// logNewlyAbandoned logs by how much the counters of an engine have grown since last, and returns their
// current values. It logs nothing if they are equal.
func logNewlyAbandoned(
	log *zap.Logger, side string, source *engine.Engine, last engine.Abandoned,
) engine.Abandoned {
	current := source.Abandoned()
	if current != last {
		log.Info("requests abandoned by their callers", zap.String("side", side),
			zap.Int64("requests", current.Requests-last.Requests),
			zap.Int64("attemptsInFlight", current.InFlight-last.InFlight),
			zap.Int64("attemptsThatRanOn", current.RanOn-last.RanOn))
	}
	return current
}
