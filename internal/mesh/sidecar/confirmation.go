package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// confirmationCheckInterval is the time between two checks of whether the configuration is confirmed and up to
// date.
const confirmationCheckInterval = 500 * time.Millisecond

// outdatedState is the last logged state of whether this sidecar's configuration is outdated: a newer version has been
// known for longer than requests may be admitted by the older one. Each transition is logged once, as is each growth
// of the number of rejected attempts.
type outdatedState struct {
	outdated bool
	rejected int64 // attempts that the verifier had rejected at the last log entry
}

// confirmationState is the last logged state of whether this sidecar's configuration is confirmed: a core machine in
// contact with a majority has confirmed it within the configApplyS bound. Each transition is logged once.
type confirmationState struct {
	unconfirmed bool
	confirmedAt time.Duration // on the sidecar's clock: time of the last confirmation, or the start if there is none
}

// logConfirmation checks at intervals whether the configuration is confirmed and up to date, and logs transitions,
// until ctx ends. It returns at once if the settings have no configApplyS bound.
func (s *Sidecar) logConfirmation(ctx context.Context) {
	maxAge := s.settings.Guarantees.Bounds.ConfigApply
	if maxAge <= 0 {
		return
	}
	ticker := time.NewTicker(confirmationCheckInterval)
	defer ticker.Stop()
	state := confirmationState{confirmedAt: s.clock.Now()}
	var outdated outdatedState
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

// logOutdated logs a transition between an outdated and an up-to-date configuration. While the configuration is
// outdated, it makes the watch client search for another core machine.
func (s *Sidecar) logOutdated(state *outdatedState) {
	version, verifier := s.config.Load().Version(), s.inbound.verifier
	now := s.clock.Now()
	outdated := verifier.outdatedTooLong(now, version)
	if outdated {
		s.watchClient.SearchNow()
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

// logConfirmationAge logs a transition between a confirmed and an unconfirmed configuration. age is the time since
// the last confirmation; it has no meaning unless confirmed is true.
func (s *Sidecar) logConfirmationAge(
	state *confirmationState, age time.Duration, confirmed bool, maxAge time.Duration,
) {
	now := s.clock.Now()
	unconfirmedFor := now - state.confirmedAt
	if confirmed {
		state.confirmedAt = now - age
	}
	unconfirmed := now-state.confirmedAt > maxAge
	if unconfirmed == state.unconfirmed {
		return
	}
	state.unconfirmed = unconfirmed
	version := zap.Int64("version", s.config.Load().Version())
	if !unconfirmed {
		s.log.Warn("configuration confirmed again", version, zap.Duration("unconfirmedFor", unconfirmedFor))
		return
	}
	status := s.watchClient.Status()
	s.log.Warn("configuration unconfirmed", version, zap.Duration("age", now-state.confirmedAt),
		zap.String("member", status.Member), zap.Bool("connected", status.Connected),
		zap.Duration("frameAge", status.FrameAge), zap.Duration("applyingFor", status.ApplyingFor),
		zap.Int("failedSessions", status.FailedSessions), zap.Error(status.LastFailure))
}
