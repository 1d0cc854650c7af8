// Package state stores what a sidecar must not forget of the log that its fleet agrees on, in a directory
// that outlives the process: its seat, its hard state, entries, policies' texts. Each is on the disk
// before the sidecar acknowledges it.
//
// All of it is one small file with a length and a checksum, replaced at each change. So a crash leaves
// the state before the change or the one after it, and corruption of any kind is noticed before anything
// is believed: the file is then quarantined, and the sidecar begins with a new seat, as one without a
// directory does at each start. A database that writes in place has no checksum over its values, and one
// that is mapped into memory ends the process at some corruption; what is stored here is written only
// when operators decide something or a voter is elected, and is usually a few kilobytes.
//
// Files of the first format, a bbolt database, are read once and replaced.
//
// A Store belongs to one goroutine at a time; a lock keeps other processes out while it is open.
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
	legacyFileName = "caperarch-fleet.db" // of the first format
)

// Store is one sidecar's state, open until Close.
type Store struct {
	path       string
	lock       *os.File // locked while the state is open
	contents   contents // as on the disk
	corruption error    // why a file was quarantined
}

// CheckWritable is an error if a directory can't be used, before anything is opened in it.
func CheckWritable(dir string) error {
	f, err := os.CreateTemp(dir, "caperarch-*.tmp")
	if err != nil {
		return err
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

// Open opens the state of a fleet's sidecar in a directory, or begins one, whose seat is the incarnation
// given. One that is corrupt is quarantined, see Corruption; one of another sidecar or of an unknown
// format is an error, and stays as it is. ErrInUse: another process has it open.
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

// load reads what the directory holds, or begins anew.
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
		return s.write(contents{Format: formatVersion, Fleet: fleet, Number: number, Seat: incarnation})
	}
	if err := stored.checkOwner(fleet, number); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	s.contents = *stored
	return nil
}

// readCurrent reads the file. It returns nil without an error if there is none, or it was quarantined.
func (s *Store) readCurrent() (*contents, error) {
	raw, err := durable.ReadBounded(s.path, maxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	// A conversion that was interrupted before its last step left the legacy file, which must not be read
	// again.
	if err := durable.Remove(s.legacyPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var stored *contents
	if err == nil {
		stored, err = decode(raw)
	}
	return stored, s.quarantineIfCorrupt(s.path, err)
}

// convertLegacy reads a file of the first format and replaces it. It returns nil without an error if
// there is none, or it holds nothing or was quarantined.
func (s *Store) convertLegacy(fleet string, number int) (*contents, error) {
	path := s.legacyPath()
	lock, err := lockFile(path, 0) // a process of an earlier release may have it open
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

// quarantineIfCorrupt quarantines a corrupt file; any other error is returned with the file's name.
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

// write replaces the file. The contents change only if that succeeds.
func (s *Store) write(c contents) error {
	raw, err := c.encode()
	if err != nil {
		return err
	}
	if err := durable.Replace(s.path, raw); err != nil {
		return err
	}
	s.contents = c
	return nil
}

// Close releases the state for other processes. Nothing may be called afterwards.
func (s *Store) Close() error { return s.lock.Close() }

// Corruption is why Open quarantined a file; nil: it didn't.
func (s *Store) Corruption() error { return s.corruption }

// Seat is the incarnation under which this sidecar votes.
func (s *Store) Seat() uint64 { return s.contents.Seat }

// Saved returns what is stored: a part of the log, and texts, the oldest first.
func (s *Store) Saved() (*raftlog.SavedState, [][]byte, error) {
	log, err := s.contents.log()
	return log, s.contents.Texts, err
}

// Begin replaces an earlier log, with all that belongs to it, by an empty one of this epoch.
func (s *Store) Begin(epoch uint64) error {
	c := s.contents
	c.Epoch, c.HardState, c.Entries, c.Texts = epoch, nil, nil, nil
	return s.write(c)
}

// Save stores a hard state, unless it is nil, and entries, which replace those from their first index on.
func (s *Store) Save(hardState *raftpb.HardState, entries []*raftpb.Entry) error {
	c, err := s.contents.withHardState(hardState)
	if err == nil {
		c, err = c.withEntries(entries)
	}
	if err != nil {
		return err
	}
	return s.write(c)
}

// SaveText stores the text of a policy's version; of too many the oldest is dropped.
func (s *Store) SaveText(_ [32]byte, text []byte) error { return s.write(s.contents.withText(text)) }
