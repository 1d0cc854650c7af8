// Package state keeps what a sidecar must not forget of the log that its fleet agrees on, in a folder that
// outlives the process: its seat, its vote, entries, policies' texts. Each is on the disk before it is answered
// for.
//
// All of it is one small file with a length and a sum, replaced whole at each change. So a crash leaves the
// state before the change or the one after it, and damage of any kind is seen before anything is believed: the
// file is then put aside, and the sidecar begins with a new seat, as one without a folder does at each start.
// A database that writes in place has no sum over what it keeps, and one that is mapped into memory ends the
// process at some damage; what is kept here is written only when operators decide something or a voter is
// elected, and is some kilobytes as a rule.
//
// Files of the first format, a bbolt database, are read once and replaced.
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

// Store is one sidecar's state. It is used from one goroutine at a time.
type Store struct {
	path       string
	lock       *os.File
	contents   contents
	corruption error
}

// CheckWritable says whether a folder can be used, before anything is opened in it.
func CheckWritable(dir string) error {
	f, err := os.CreateTemp(dir, "caperarch-*.tmp")
	if err != nil {
		return err
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

// Open opens the state of a fleet's sidecar in a folder, or begins one, whose seat is then life. One that is
// damaged is put aside, see Damage; one of another sidecar or of an unknown format is an error, and stays.
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

// load takes up what the folder holds, or begins anew.
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
	if err := stored.belongsTo(fleet, number); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	s.contents = *stored
	return nil
}

// read reads the file; nil is that there is none, or none any more.
func (s *Store) readCurrent() (*contents, error) {
	raw, err := durable.ReadBounded(s.path, maxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	// A conversion that was ended before its last step left the old file, which is never to be read again.
	old := filepath.Join(filepath.Dir(s.path), legacyFileName)
	if err := durable.Remove(old); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var stored *contents
	if err == nil {
		stored, err = decode(raw)
	}
	return stored, s.quarantineIfCorrupt(s.path, err)
}

// convert takes up a file of the first format and replaces it; nil is that there is none, or none any more.
func (s *Store) convertLegacy(fleet string, number int) (*contents, error) {
	path := filepath.Join(filepath.Dir(s.path), legacyFileName)
	lock, err := lockFile(path, 0) // a process of the earlier program may have it open
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
	if err := stored.belongsTo(fleet, number); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.write(*stored); err != nil {
		return nil, err
	}
	return stored, durable.Remove(path)
}

// judge puts a damaged file aside; any other error is handed on with the file's name.
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

// write replaces the file. What is kept is changed only if that succeeds.
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

// Close lets another process open the state.
func (s *Store) Close() error { return s.lock.Close() }

// Corruption is why an earlier file was put aside as Open was called; nil: none was.
func (s *Store) Corruption() error { return s.corruption }

// Seat is the life by which this sidecar votes.
func (s *Store) Seat() uint64 { return s.contents.Seat }

// Saved is what is kept: the part of the log, and texts.
func (s *Store) Saved() (*raftlog.Saved, [][]byte, error) {
	saved, err := s.contents.log()
	return saved, s.contents.Texts, err
}

// Begin forgets all of an earlier log.
func (s *Store) Begin(epoch uint64) error {
	c := s.contents
	c.Epoch, c.HardState, c.Entries, c.Texts = epoch, nil, nil, nil
	return s.write(c)
}

// Save keeps a vote and entries; what stood at their indices and behind them goes.
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

// Text keeps the text of a version; of too many the oldest goes.
func (s *Store) Text(_ [32]byte, text []byte) error { return s.write(s.contents.withText(text)) }
