package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// confirmationCheckInterval is the time between two looks at how old the configuration's confirmation is.
const confirmationCheckInterval = 500 * time.Millisecond

// outdatedLog logs when the configuration here is known not to be the newest for longer than requests may go by it,
// when it no longer is, and how many attempts the gate has rejected meanwhile: one entry each.
type outdatedLog struct {
	outdated bool
	rejected int64 // as last logged
}

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
	var outdated outdatedLog
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		age, confirmed := s.watchClient.ContactAge()
		s.logConfirmationAge(&state, age, confirmed, maxAge)
		s.logOutdated(&outdated)
	}
}

// logOutdated logs a change of whether the configuration here is outdated. As long as it is, another core machine is
// looked for.
func (s *Sidecar) logOutdated(state *outdatedLog) {
	version, verifier := s.config.Load().Version(), s.inbound.verifier
	now := s.clock.Now()
	outdated := verifier.outdatedTooLong(now, version)
	if outdated {
		s.watchClient.LookElsewhere()
	}
	if rejected := verifier.rejected.Load(); rejected != state.rejected {
		s.log.Info("attempts rejected, as their configuration is outdated", zap.Int64("attempts", rejected-state.rejected))
		state.rejected = rejected
	}
	if outdated == state.outdated {
		return
	}
	state.outdated = outdated
	if !outdated {
		s.log.Warn("configuration no longer outdated", zap.Int64("version", version))
		return
	}
	status := s.watchClient.Status()
	s.log.Warn("configuration outdated", zap.Int64("version", version),
		zap.Int64("newest", s.knownVersions.newest()), zap.Duration("known", s.knownVersions.outdatedFor(now, version)),
		zap.String("member", status.Member), zap.Duration("frameAge", status.FrameAge))
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
