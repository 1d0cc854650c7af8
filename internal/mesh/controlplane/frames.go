package controlplane

import (
	"encoding/json"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/sidecar"

	"go.uber.org/zap"
)

// keep keeps a change for those who hold an older version. The caller holds the lock.
func (m *stateMachine) keep(change *config.Change) {
	kept := append(m.kept, change)
	m.kept = append([]*config.Change(nil), kept[max(0, len(kept)-mostKept):]...)
}

// Since is the changes that lead on from a version, or false where it is none of those that are kept.
func (m *stateMachine) Since(version int64) ([]json.RawMessage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == m.configuration.Version() {
		return nil, true
	}
	for i, change := range m.kept {
		if change.Base() != version {
			continue
		}
		f := sidecar.Frame{Version: m.configuration.Version()}
		for _, change := range m.kept[i:] {
			f.Changes = append(f.Changes, change.Bytes())
		}
		return m.frames(f)
	}
	return nil, false
}

// Whole is the whole configuration; nil: there is none.
func (m *stateMachine) Whole() json.RawMessage {
	configuration := m.current()
	if configuration.Version() == 0 {
		return nil
	}
	whole, err := configuration.Encode()
	if err != nil {
		m.log.Error("a configuration that can't be written", zap.Error(err))
		return nil
	}
	frames, ok := m.frames(sidecar.Frame{Version: configuration.Version(), Whole: whole})
	if !ok {
		return nil
	}
	return frames[0]
}

func (m *stateMachine) frames(f sidecar.Frame) ([]json.RawMessage, bool) {
	data, err := json.Marshal(f)
	if err != nil {
		m.log.Error("a frame that can't be written", zap.Error(err))
		return nil, false
	}
	return []json.RawMessage{data}, true
}

// follow takes a frame that another core machine pushed, where no log is held here; false: the whole
// configuration is needed.
func (m *stateMachine) follow(frame json.RawMessage) bool {
	held := m.current()
	next, err := sidecar.Take(held, frame)
	if err != nil {
		m.log.Warn("a configuration that does not follow", zap.Error(err))
		return false
	}
	if next == held {
		return true
	}
	m.mu.Lock()
	m.configuration, m.kept, m.followed = next, m.continued(held.Version(), frame), true
	m.mu.Unlock()
	m.changed()
	return true
}

// continued is the changes that are kept with a frame's that led on from a version; none where it was
// whole. The caller holds the lock.
func (m *stateMachine) continued(from int64, frame json.RawMessage) []*config.Change {
	var f sidecar.Frame
	if json.Unmarshal(frame, &f) != nil || f.Whole != nil {
		return nil
	}
	kept := m.kept
	for _, raw := range f.Changes {
		if change, err := config.ReadChange(raw); err == nil && change.Version() > from {
			kept = append(kept, change)
		}
	}
	return append([]*config.Change(nil), kept[max(0, len(kept)-mostKept):]...)
}
