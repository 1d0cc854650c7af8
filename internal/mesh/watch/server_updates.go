package watch

import (
	"encoding/json"
	"time"

	"caperarch/internal/mesh/errs"
)

// sendUpdates writes all outstanding updates of a watch. Without contact, it sends only a heartbeat that
// reports the loss, so that the sidecar moves to another core machine.
func (s *Server) sendUpdates(writer *frameWriter, target *session, heartbeatDue bool) error {
	contact := s.checkContact()
	if !contact.OK {
		return s.sendContactLost(writer, target, contact, heartbeatDue)
	}
	target.contactLossSent = false
	version, err := s.sendConfig(writer, target)
	if err != nil {
		return err
	}
	f := s.nextFrame(target, contact, version, heartbeatDue)
	if f.Registry == nil && f.Heartbeat == nil {
		return writer.flush()
	}
	return writer.writeFrame(f)
}

// sendContactLost writes a heartbeat that reports the loss of contact: once at the loss, and then whenever a
// heartbeat is due.
func (s *Server) sendContactLost(writer *frameWriter, target *session, contact Contact, heartbeatDue bool) error {
	if target.contactLossSent && !heartbeatDue {
		return nil
	}
	target.contactLossSent = true
	return writer.writeFrame(&frame{Heartbeat: &heartbeatFrame{Contact: contact}})
}

// sendConfig writes the configuration changes that have not been sent on the watch and returns the newest
// version. The caller has checked the contact right before the call.
func (s *Server) sendConfig(writer *frameWriter, target *session) (version int64, err error) {
	version = s.cfg.ConfigSource.Current()
	if !target.needsFullConfig && version <= target.configVersion.Load() {
		return version, nil
	}
	for _, config := range s.configFrames(target) {
		if len(config) == 0 {
			continue
		}
		if err := s.sendConfigFrame(writer, config); err != nil {
			return version, err
		}
	}
	target.configVersion.Store(max(version, target.configVersion.Load()))
	target.needsFullConfig = false
	return version, nil
}

// configFrames returns the changes since the version that was sent last, or the full configuration if it was
// requested or if that version is too old.
func (s *Server) configFrames(target *session) []json.RawMessage {
	if !target.needsFullConfig {
		if changes, ok := s.cfg.ConfigSource.Since(target.configVersion.Load()); ok {
			return changes
		}
	}
	return []json.RawMessage{s.cfg.ConfigSource.FullConfig()}
}

// sendConfigFrame writes one configuration frame. Reading and writing the configuration may have taken long,
// so the end of the frame is written only if there is still contact. A sidecar cannot decode the frame
// without its end.
func (s *Server) sendConfigFrame(writer *frameWriter, config json.RawMessage) error {
	if err := writer.write([]byte(`{"charter":`), config); err != nil {
		return err
	}
	if !s.checkContact().OK {
		return errs.New(errs.NoQuorum, "contact with a majority was lost while a configuration frame was written")
	}
	return writer.write([]byte("}\n"))
}

// nextFrame returns a frame with the outstanding registry changes of the watch, and with a heartbeat if one
// is due.
func (s *Server) nextFrame(target *session, contact Contact, version int64, heartbeatDue bool) *frame {
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
		f.Registry = s.nextRegistryFrame(target, now)
	}
	return f
}

// nextRegistryFrame returns the registry changes that have not been sent on the watch, nil if there are none,
// and records them as sent. s.mu is held.
func (s *Server) nextRegistryFrame(target *session, now time.Duration) *registryFrame {
	syncing := now < s.syncingUntil
	if target.fullWhileSyncing && !syncing {
		target.registryEpoch = 0 // makes the table return the full registry
	}
	changes := s.table.Since(now, target.registryEpoch, target.registryNumber, target.wantsService)
	target.registryEpoch, target.registryNumber = changes.Epoch, changes.Number
	if changes.Full {
		target.fullWhileSyncing = syncing
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
