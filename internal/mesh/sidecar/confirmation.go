package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// confirmationCheckInterval is the time between two looks at how old the configuration's confirmation is.
const confirmationCheckInterval = 500 * time.Millisecond

// confirmationLog logs when the configuration here has not been confirmed by a core machine in contact for
// longer than it may be old, and when it is confirmed again: one entry each.
type confirmationLog struct {
	unconfirmed bool
	since       time.Duration // of the sidecar's clock: the last confirmation, or the start
}

// logConfirmation logs how old the configuration's confirmation is, until ctx ends.
func (s *Sidecar) logConfirmation(ctx context.Context) {
	maxAge := s.settings.Guarantees.Bounds.ConfigApply
	if maxAge <= 0 {
		return
	}
	ticker := time.NewTicker(confirmationCheckInterval)
	defer ticker.Stop()
	state := confirmationLog{since: s.clock.Now()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		age, confirmed := s.watchClient.ContactAge()
		s.logConfirmationAge(&state, age, confirmed, maxAge)
	}
}

// logConfirmationAge logs a change of whether the configuration counts as confirmed.
func (s *Sidecar) logConfirmationAge(state *confirmationLog, age time.Duration, confirmed bool, maxAge time.Duration) {
	now := s.clock.Now()
	before := now - state.since
	if confirmed {
		state.since = now - age
	}
	unconfirmed := now-state.since > maxAge
	if unconfirmed == state.unconfirmed {
		return
	}
	state.unconfirmed = unconfirmed
	version := zap.Int64("version", s.config.Load().Version())
	if !unconfirmed {
		s.log.Warn("configuration confirmed again", version, zap.Duration("unconfirmedFor", before))
		return
	}
	status := s.watchClient.Status()
	s.log.Warn("configuration unconfirmed", version, zap.Duration("age", now-state.since),
		zap.String("member", status.Member), zap.Bool("connected", status.Connected),
		zap.Duration("frameAge", status.FrameAge), zap.Duration("applyingFor", status.ApplyingFor),
		zap.Int("failedSessions", status.FailedSessions), zap.Error(status.LastFailure))
}
