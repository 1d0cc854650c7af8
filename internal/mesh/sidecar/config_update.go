package sidecar

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"

	"go.uber.org/zap"
)

// ConfigUpdate is a step of the configuration as core machines push it: either the full
// configuration or the changes that lead to a version, each in the form of package config.
type ConfigUpdate struct {
	Version int64             `json:"version"` // that the configuration has afterwards
	Changes []json.RawMessage `json:"changes,omitempty"`
	Full    json.RawMessage   `json:"whole,omitempty"`
}

// ApplyUpdate returns the configuration after an update in its JSON form. An update that is not newer
// gives current itself. The error is errs.Malformed for what can't be parsed, errs.Invalid for an
// update that does not lead to its version, or what package config says of a change.
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
			"a frame of version %d leads to %d", update.Version, next.Version())
	}
	return next, nil
}

// applyConfig puts a pushed update in force. It returns false where the update can't be applied to
// the version in force: the core has to send the full configuration. Versions never go back.
func (s *Sidecar) applyConfig(update json.RawMessage) bool {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	next, err := ApplyUpdate(s.config.Load(), update)
	if err != nil {
		s.log.Warn("configuration update rejected", zap.Error(err))
		return false
	}
	s.config.Store(next)
	s.knownVersions.applied(next.Version())
	s.quota.configure(next)
	s.log.Info("configuration applied", zap.Int64("version", next.Version()))
	s.watchClient.RenewNow()
	return true
}
