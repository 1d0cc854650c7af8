// Package state persists a sidecar's part of the fleet's replicated log in a directory: the incarnation under which
// the sidecar votes, the Raft hard state, the log entries, and the texts of policies. Every change is on disk before
// the sidecar acknowledges it.
//
// The state is one small file with a length and a checksum, which is replaced at each change. A crash therefore
// leaves either the state before the change or the state after it, and corruption is detected before any of the
// content is used. A corrupt file is quarantined, and the sidecar starts with a new voter incarnation, as a sidecar
// without a state directory does at each start.
//
// An embedded database is not used: one that writes in place has no checksum over its values, and one that is mapped
// into memory may crash the process when a file is corrupt. A plain file is fast enough, because it is written only
// when operators change something, a leader is elected or the voters change, and usually has a few kilobytes.
//
// Files of the legacy format, a bbolt database, are converted when they are opened for the first time.
//
// A Store may be used by one goroutine at a time. A lock file excludes other processes while the Store is open.
package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/raft/v3/raftpb"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/proxy/durable"
)

const (
	fileName       = "caperarch-fleet.state"
	lockName       = "caperarch-fleet.lock"
	legacyFileName = "caperarch-fleet.db" // bbolt database of format 1
)

// Store is the persistent state of one sidecar. It holds a lock on the directory until Close.
type Store struct {
	path       string
	lock       *os.File // lock file, locked while the Store is open
	contents   contents // same as in the file
	corruption error    // why Open quarantined a file; nil if it did not
}

// CheckWritable returns an error if no file can be created in a directory. It allows checking the settings before
// the state is opened.
func CheckWritable(dir string) error {
	f, err := os.CreateTemp(dir, "caperarch-*.tmp")
	if err != nil {
		return err
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

// Open opens the state of a sidecar in a directory, or creates it with the given voter incarnation. A corrupt state
// is quarantined and replaced by a new one, see Corruption. A state of another sidecar or of an unknown format is an
// error and is left unchanged. The error is ErrInUse if another process has the state open.
func Open(dir, fleet string, number int, incarnation uint64) (*Store, error) {
	lock, err := lockFile(filepath.Join(dir, lockName), os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, lockName), err)
	}
	s := &Store{path: filepath.Join(dir, fileName), lock: lock}
	if err := s.load(fleet, number, incarnation); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return s, nil
}

// load reads the state from the directory, or creates a new one if there is none or it was quarantined.
func (s *Store) load(fleet string, number int, incarnation uint64) error {
	if err := durable.RemoveTemporary(s.path); err != nil {
		return err
	}
	stored, err := s.readCurrent()
	if err == nil && stored == nil {
		stored, err = s.convertLegacy(fleet, number)
	}
	if err != nil {
		return err
	}
	if stored == nil {
		return s.write(contents{Format: formatVersion, Fleet: fleet, Number: number, VoterIncarnation: incarnation})
	}
	if err := stored.checkOwner(fleet, number); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	s.contents = *stored
	return nil
}

// readCurrent reads the file of the current format. It returns nil without an error if there is no such file or it
// was quarantined.
func (s *Store) readCurrent() (*contents, error) {
	raw, err := durable.ReadBounded(s.path, maxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	// The legacy file still exists if a conversion was interrupted before its last step. It is outdated then and must
	// not be read again.
	if err := durable.Remove(s.legacyPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var stored *contents
	if err == nil {
		stored, err = decode(raw)
	}
	return stored, s.quarantineIfCorrupt(s.path, err)
}

// convertLegacy reads a legacy file and replaces it by a file of the current format. It returns nil without an error
// if there is no legacy file, nothing has been stored in it, or it was quarantined.
func (s *Store) convertLegacy(fleet string, number int) (*contents, error) {
	path := s.legacyPath()
	lock, err := lockFile(path, 0) // a process of an earlier release may have the database open
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer lock.Close()
	raw, err := durable.ReadBounded(path, maxLegacyFileSize)
	var stored *contents
	if err == nil {
		stored, err = decodeLegacy(raw)
	}
	if err != nil || stored == nil {
		return nil, s.quarantineIfCorrupt(path, err)
	}
	if err := stored.checkOwner(fleet, number); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.write(*stored); err != nil {
		return nil, err
	}
	return stored, durable.Remove(path)
}

// quarantineIfCorrupt quarantines the file if err says that it is corrupt or too large. Any other error is returned
// with the file's path.
func (s *Store) quarantineIfCorrupt(path string, err error) error {
	if err == nil {
		return nil
	}
	err = fmt.Errorf("%s: %w", path, err)
	if !errors.Is(err, durable.ErrCorrupt) && !errors.Is(err, durable.ErrTooLarge) {
		return err
	}
	s.corruption = err
	return durable.Quarantine(path)
}

func (s *Store) legacyPath() string { return filepath.Join(filepath.Dir(s.path), legacyFileName) }

// write replaces the file. The contents in memory change only if that succeeds.
func (s *Store) write(changed contents) error {
	raw, err := changed.encode()
	if err != nil {
		return err
	}
	if err := durable.Replace(s.path, raw); err != nil {
		return err
	}
	s.contents = changed
	return nil
}

// Close releases the lock. No method may be called afterwards.
func (s *Store) Close() error { return s.lock.Close() }

// Corruption returns why Open quarantined a file, or nil if it did not.
func (s *Store) Corruption() error { return s.corruption }

// VoterIncarnation returns the incarnation under which this sidecar votes. It stays the same across restarts, so that
// the sidecar remains the same voter, and changes when the state was lost.
func (s *Store) VoterIncarnation() uint64 { return s.contents.VoterIncarnation }

// Saved returns the stored log and the stored policy texts, oldest first.
func (s *Store) Saved() (*raftlog.SavedState, [][]byte, error) {
	log, err := s.contents.log()
	return log, s.contents.Texts, err
}

// Begin replaces the stored log by an empty log of this epoch, and removes all stored texts.
func (s *Store) Begin(epoch uint64) error {
	changed := s.contents
	changed.Epoch, changed.HardState, changed.Entries, changed.Texts = epoch, nil, nil, nil
	return s.write(changed)
}

// Save stores a hard state, unless it is nil, and log entries. The entries replace the stored entries from the first
// new index on.
func (s *Store) Save(hardState *raftpb.HardState, entries []*raftpb.Entry) error {
	changed, err := s.contents.withHardState(hardState)
	if err == nil {
		changed, err = changed.withEntries(entries)
	}
	if err != nil {
		return err
	}
	return s.write(changed)
}

// SaveText stores the text of a policy version; of more than maxTexts the oldest is dropped.
func (s *Store) SaveText(_ [32]byte, text []byte) error { return s.write(s.contents.withText(text)) }
