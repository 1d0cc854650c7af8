package controlplane

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap"
)

// maxRetainedChanges is the number of changes retained to update sidecars that have an older version. A
// sidecar whose version is older than the retained changes receives the full configuration.
const maxRetainedChanges = 64

// retainChange adds a change to the retained changes and drops the oldest if there are too many. The
// caller holds mu.
func (m *stateMachine) retainChange(change *config.Change) {
	all := append(m.retained, change)
	m.retained = append([]*config.Change(nil), all[max(0, len(all)-maxRetainedChanges):]...)
}

// Since returns an update with the changes that lead from the given version to the one in force, or
// nothing if the given version is in force. It returns false if the changes are no longer retained.
func (m *stateMachine) Since(version int64) ([]json.RawMessage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == m.configuration.Version() {
		return nil, true
	}
	for i, change := range m.retained {
		if change.Base() != version {
			continue
		}
		update := sidecar.ConfigUpdate{Version: m.configuration.Version()}
		for _, change := range m.retained[i:] {
			update.Changes = append(update.Changes, change.Encode())
		}
		encoded := m.encodeUpdate(update)
		if encoded == nil {
			return nil, false
		}
		return []json.RawMessage{encoded}, true
	}
	return nil, false
}

// FullConfig returns an update with the full configuration, or nil while no configuration has been set
// (version 0).
func (m *stateMachine) FullConfig() json.RawMessage {
	configuration := m.currentConfig()
	if configuration.Version() == 0 {
		return nil
	}
	full, err := configuration.Encode()
	if err != nil {
		m.log.Error("configuration not encoded for a push", zap.Error(err))
		return nil
	}
	return m.encodeUpdate(sidecar.ConfigUpdate{Version: configuration.Version(), Full: full})
}

// encodeUpdate returns the JSON form of an update, or nil if the update can't be encoded.
func (m *stateMachine) encodeUpdate(update sidecar.ConfigUpdate) json.RawMessage {
	encoded, err := json.Marshal(update)
	if err != nil {
		m.log.Error("configuration update not encoded", zap.Error(err))
		return nil
	}
	return encoded
}
