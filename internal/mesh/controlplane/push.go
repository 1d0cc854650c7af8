package controlplane

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap"
)

// keep keeps a change for those who hold an older version. The caller holds the lock.
func (m *stateMachine) retainChange(change *config.Change) {
	kept := append(m.retained, change)
	m.retained = append([]*config.Change(nil), kept[max(0, len(kept)-maxRetainedChanges):]...)
}

// Since is the changes that lead on from a version, or false where it is none of those that are kept.
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
		f := sidecar.ConfigUpdate{Version: m.configuration.Version()}
		for _, change := range m.retained[i:] {
			f.Changes = append(f.Changes, change.Encode())
		}
		return m.encodeUpdate(f)
	}
	return nil, false
}

// FullConfig is the whole configuration; nil: there is none.
func (m *stateMachine) FullConfig() json.RawMessage {
	configuration := m.currentConfig()
	if configuration.Version() == 0 {
		return nil
	}
	whole, err := configuration.Encode()
	if err != nil {
		m.log.Error("a configuration that can't be written", zap.Error(err))
		return nil
	}
	frames, ok := m.encodeUpdate(sidecar.ConfigUpdate{Version: configuration.Version(), Full: whole})
	if !ok {
		return nil
	}
	return frames[0]
}

func (m *stateMachine) encodeUpdate(f sidecar.ConfigUpdate) ([]json.RawMessage, bool) {
	data, err := json.Marshal(f)
	if err != nil {
		m.log.Error("a frame that can't be written", zap.Error(err))
		return nil, false
	}
	return []json.RawMessage{data}, true
}
