package controlplane

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap"
)

// maxRetainedChanges is how many changes are retained for sidecars that have an older version: one
// that is further behind gets the full configuration.
const maxRetainedChanges = 64

// retainChange retains a change for sidecars that have an older version. The caller holds the lock.
func (m *stateMachine) retainChange(change *config.Change) {
	all := append(m.retained, change)
	m.retained = append([]*config.Change(nil), all[max(0, len(all)-maxRetainedChanges):]...)
}

// Since is the changes that lead on from a version, or false if they are no longer retained.
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

// FullConfig is the full configuration, or nil while there is none.
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

// encodeUpdate returns an update in its JSON form, nil if it has none.
func (m *stateMachine) encodeUpdate(update sidecar.ConfigUpdate) json.RawMessage {
	encoded, err := json.Marshal(update)
	if err != nil {
		m.log.Error("configuration update not encoded", zap.Error(err))
		return nil
	}
	return encoded
}
