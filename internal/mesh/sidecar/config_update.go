package sidecar

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"

	"go.uber.org/zap"
)

// ConfigUpdate is a configuration update that core machines push: either the full configuration, or the
// changes that lead to a version. Both use the encoding of package config.
type ConfigUpdate struct {
	Version int64             `json:"version"` // of the configuration after the update
	Changes []json.RawMessage `json:"changes,omitempty"`
	Full    json.RawMessage   `json:"whole,omitempty"`
}

// ApplyUpdate returns the configuration that results from applying an update in JSON form to current. It
// returns current itself if the update is not newer. The error is errs.Malformed if the update can't be parsed,
// errs.Invalid if applying it does not result in the version that it states, or the error that package config
// returns for the full configuration or a change.
func ApplyUpdate(current *config.Snapshot, raw json.RawMessage) (*config.Snapshot, error) {
	var update ConfigUpdate
	if err := json.Unmarshal(raw, &update); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "frame")
	}
	if update.Version <= current.Version() {
		return current, nil
	}
	next, err := current, error(nil)
	if update.Full != nil {
		if next, err = config.Decode(update.Full); err != nil {
			return nil, err
		}
	}
	for _, rawChange := range update.Changes {
		change, err := config.DecodeChange(rawChange)
		if err != nil {
			return nil, err
		}
		if change.Version() <= next.Version() {
			continue
		}
		if next, _, err = next.Apply(change); err != nil {
			return nil, err
		}
	}
	if next.Version() != update.Version {
		return nil, errs.New(errs.Invalid,
			"configuration update for version %d results in version %d", update.Version, next.Version())
	}
	return next, nil
}

// applyConfig applies a pushed update and returns whether it succeeded. On false the update can't be applied
// to the current version, and the core machine has to send the full configuration. The version never decreases.
func (s *Sidecar) applyConfig(update json.RawMessage) bool {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	next, err := ApplyUpdate(s.config.Load(), update)
	if err != nil {
		s.log.Warn("configuration update rejected", zap.Error(err))
		return false
	}
	s.config.Store(next)
	s.knownVersions.recordApplied(next.Version())
	s.quota.configure(next)
	s.log.Info("configuration applied", zap.Int64("version", next.Version()))
	s.watchClient.RenewNow()
	return true
}
