package watch

import (
	"encoding/json"
	"time"

	"caperarch/internal/mesh/errs"
)

// sendUpdates writes what has not been sent on the watch yet. A member without
// contact sends only that it has none, so that its sidecars go to other members.
func (s *Server) sendUpdates(out *frameWriter, to *session, heartbeatDue bool) error {
	contact := s.checkContact()
	if !contact.OK {
		return s.sendContactLost(out, to, contact, heartbeatDue)
	}
	to.contactLossSent = false
	version, err := s.sendConfig(out, to)
	if err != nil {
		return err
	}
	f := s.nextFrame(to, contact, version, heartbeatDue)
	if f.Registry == nil && f.Heartbeat == nil {
		return out.flush()
	}
	return out.writeFrame(f)
}

// sendContactLost writes once, and then with each heartbeat, that there is no
// contact.
func (s *Server) sendContactLost(out *frameWriter, to *session, contact Contact, heartbeatDue bool) error {
	if to.contactLossSent && !heartbeatDue {
		return nil
	}
	to.contactLossSent = true
	return out.writeFrame(&frame{Heartbeat: &heartbeatFrame{Contact: contact}})
}

// sendConfig writes the configuration that has not been sent on the watch yet,
// and returns the newest version. The contact was checked right before.
func (s *Server) sendConfig(out *frameWriter, to *session) (version int64, err error) {
	version = s.cfg.ConfigSource.Current()
	if !to.needsFullConfig && version <= to.configVersion.Load() {
		return version, nil
	}
	for _, config := range s.configFrames(to) {
		if len(config) == 0 {
			continue
		}
		if err := s.sendConfigFrame(out, config); err != nil {
			return version, err
		}
	}
	to.configVersion.Store(max(version, to.configVersion.Load()))
	to.needsFullConfig = false
	return version, nil
}

// configFrames returns the changes since the version sent, or the full
// configuration if it is asked for or that version is too old.
func (s *Server) configFrames(to *session) []json.RawMessage {
	if !to.needsFullConfig {
		if changes, ok := s.cfg.ConfigSource.Since(to.configVersion.Load()); ok {
			return changes
		}
	}
	return []json.RawMessage{s.cfg.ConfigSource.FullConfig()}
}

// sendConfigFrame writes one frame of configuration. Reading and writing it may
// have taken long, so the frame's end, without which no sidecar can decode it,
// is only written if there is still contact.
func (s *Server) sendConfigFrame(out *frameWriter, config json.RawMessage) error {
	if err := out.write([]byte(`{"charter":`), config); err != nil {
		return err
	}
	if !s.checkContact().OK {
		return errs.New(errs.NoQuorum, "contact was lost within a frame")
	}
	return out.write([]byte("}\n"))
}

// nextFrame returns what changed in the registry for the watch, and the
// heartbeat if one is due.
func (s *Server) nextFrame(to *session, contact Contact, version int64, heartbeatDue bool) *frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f := &frame{}
	if heartbeatDue {
		f.Heartbeat = &heartbeatFrame{
			Contact: contact,
			Version: version,
			Counts:  s.table.Counts(now),
			Syncing: now < s.syncingUntil,
		}
	}
	if !s.delaysRegistry(now) {
		f.Registry = s.nextRegistryFrame(to, now)
	}
	return f
}

// nextRegistryFrame returns what changed in the registry since it was sent on
// the watch, nil if nothing did, and records it as sent. s.mu is held.
func (s *Server) nextRegistryFrame(to *session, now time.Duration) *registryFrame {
	syncing := now < s.syncingUntil
	if to.fullWhileSyncing && !syncing {
		to.registryEpoch = 0 // the full registry is due again
	}
	changes := s.table.Since(now, to.registryEpoch, to.registryNumber, to.wantsService)
	to.registryEpoch, to.registryNumber = changes.Epoch, changes.Number
	if changes.Full {
		to.fullWhileSyncing = syncing
	}
	if !changes.Full && len(changes.Upserts)+len(changes.Removals) == 0 {
		return nil
	}
	update := &registryFrame{
		Epoch:   changes.Epoch,
		Number:  changes.Number,
		Full:    changes.Full,
		Syncing: syncing && changes.Full,
		Upserts: changes.Upserts,
	}
	for _, removal := range changes.Removals {
		update.Removals = append(update.Removals, removal.Instance)
	}
	return update
}
