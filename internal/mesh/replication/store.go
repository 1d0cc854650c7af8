package replication

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/proxy/durable"
)

const (
	// writeBufferBytes is the size of goleveldb's in-memory table. goleveldb writes a larger batch
	// directly to a table on disk.
	writeBufferBytes = 256 << 10
	// maxOpenTables bounds the file descriptors that goleveldb keeps open for tables.
	maxOpenTables = 16
	// databaseDirectory is the name of the database directory in the data directory. corruptDirectory
	// is the name of a corrupt database while it is being removed. The names cannot change, because
	// existing data directories use them.
	databaseDirectory = "archive"
	corruptDirectory  = "archive.damaged"
)

// errCorrupt is the cause of errors that report invalid or missing values in a readable store.
var errCorrupt = eris.New("damaged")

// Store is a Storage that uses goleveldb. It writes each WriteBatch as one synced database batch, so
// that a WriteBatch is stored completely or not at all. It is not safe for concurrent use.
type Store struct {
	path string
	// db is nil after a failed write, until the next write reopens the database.
	db *leveldb.DB
	// first and last are the indexes of the first and the last stored entry. If last < first, no
	// entries are stored.
	first, last Index
	// lastAttempted is the index of the last entry in the failed batches since the last successful
	// Save, or 0. These entries may be stored in spite of the failure.
	lastAttempted Index
}

func leveldbOptions(mustExist bool) *opt.Options {
	return &opt.Options{
		WriteBuffer:            writeBufferBytes,
		DisableBlockCache:      true,
		OpenFilesCacheCapacity: maxOpenTables,
		Compression:            opt.NoCompression,
		// The buffer pool has a goroutine that wakes every two seconds without any benefit here.
		DisableBufferPool: true,
		ErrorIfMissing:    mustExist,
	}
}

// OpenStore opens the store in a data directory and loads its state. The state of an empty store has
// no ID, and Initialize must be called before Save. The address is that of the local machine. It
// becomes the member id of a disk that was initialized by an earlier version without member ids.
// Every error is of kind DiskFailed. IsCorrupt distinguishes a corrupt store from an unavailable disk.
func OpenStore(dir, address string) (*Store, State, error) {
	s := &Store{path: filepath.Join(dir, databaseDirectory), first: 1}
	if err := s.open(false); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: open store %s", s.path)
	}
	state, err := s.load(address)
	if err != nil {
		_ = s.Close()
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: load store %s", s.path)
	}
	return s, state, nil
}

// IsCorrupt reports whether an error of OpenStore means that the store is permanently unreadable. It
// returns false if the disk may only be temporarily unavailable.
func IsCorrupt(err error) bool {
	return eris.Is(err, errCorrupt) || leveldberrors.IsCorrupted(eris.Cause(err))
}

// OpenOrReset calls OpenStore and replaces a corrupt store with an empty store, as if the disk were
// new. It returns an error if the disk is unavailable. The caller is expected to retry later.
func OpenOrReset(dir, address string, log *zap.Logger) (*Store, State, error) {
	// Complete a removal that was interrupted by a previous exit.
	if err := os.RemoveAll(filepath.Join(dir, corruptDirectory)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: remove remains of a corrupt store")
	}
	s, state, err := OpenStore(dir, address)
	if err == nil || !IsCorrupt(err) {
		return s, state, err
	}
	log.Error("log storage corrupt, machine joins as a new member", zap.Error(err))
	if err := removeCorrupt(dir, log); err != nil {
		return nil, State{}, err
	}
	return OpenStore(dir, address)
}

// removeCorrupt removes a corrupt database. It renames the directory first, because a partially
// removed database might be read as a valid store.
func removeCorrupt(dir string, log *zap.Logger) error {
	corruptPath := filepath.Join(dir, corruptDirectory)
	if err := os.Rename(filepath.Join(dir, databaseDirectory), corruptPath); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replication: rename the corrupt store")
	}
	if err := durable.SyncName(corruptPath); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replication: sync data directory %s", dir)
	}
	if err := os.RemoveAll(corruptPath); err != nil {
		log.Warn("corrupt log storage not removed", zap.Error(err))
	}
	return nil
}

func (s *Store) open(mustExist bool) error {
	db, err := leveldb.OpenFile(s.path, leveldbOptions(mustExist))
	if err != nil {
		return err
	}
	// The directory entry is durable only after the parent directory is synced.
	if err := durable.SyncName(s.path); err != nil {
		_ = db.Close()
		return err
	}
	s.db = db
	return nil
}

// Initialize writes the identity of an empty store and syncs it to disk. The identity consists of the
// member id, the cluster id and the initial membership. An error is of kind DiskFailed.
func (s *Store) Initialize(state State) error {
	batch := new(leveldb.Batch)
	if err := putIdentity(batch, state); err != nil {
		return err
	}
	if err := putJSON(batch, keyHardState, state.HardState); err != nil {
		return err
	}
	return s.write(batch)
}

// Save writes a batch and syncs it to disk. An error is of kind DiskFailed, or of kind Internal if the
// batch's entries do not follow the stored entries.
func (s *Store) Save(update *WriteBatch) error {
	batch, first, last, err := s.encodeBatch(update)
	if err != nil {
		return err
	}
	if err := s.write(batch); err != nil {
		s.lastAttempted = max(s.lastAttempted, last)
		return err
	}
	s.first, s.last, s.lastAttempted = first, last, 0
	return nil
}

// write writes a batch and syncs it to disk. After a failure it closes the database, and the next
// write reopens it, because goleveldb rejects all writes after a journal write has failed.
func (s *Store) write(batch *leveldb.Batch) error {
	if s.db == nil {
		if err := s.open(true); err != nil {
			return errs.Wrap(err, errs.DiskFailed, "replication: reopen store %s", s.path)
		}
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		_ = s.Close()
		return errs.Wrap(err, errs.DiskFailed, "replication: write to store %s", s.path)
	}
	return nil
}

// Close closes the database. Saved batches are already synced to disk.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := s.db.Close()
	s.db = nil
	return err
}
