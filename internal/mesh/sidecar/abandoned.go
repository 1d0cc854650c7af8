package sidecar

import (
	"context"
	"time"

	"caperarch/internal/proxy/engine"

	"go.uber.org/zap"
)

// abandonedLogInterval is the time between two log entries of requests whose clients left. It guards
// the log's ring against one entry for each request.
const abandonedLogInterval = time.Second

// logAbandoned logs what became of the requests whose clients left, until ctx ends: once an interval,
// and only while there are more.
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

// logNewlyAbandoned logs the counts of one engine if they differ from the last ones, and returns them.
func logNewlyAbandoned(
	log *zap.Logger, side string, of *engine.Engine, last engine.Abandoned,
) engine.Abandoned {
	now := of.Abandoned()
	if now != last {
		log.Info("requests abandoned by their callers", zap.String("side", side),
			zap.Int64("requests", now.Requests-last.Requests),
			zap.Int64("attemptsInFlight", now.InFlight-last.InFlight),
			zap.Int64("attemptsThatRanOn", now.RanOn-last.RanOn))
	}
	return now
}
