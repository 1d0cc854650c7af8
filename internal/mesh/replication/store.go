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
	// writeBufferBytes bounds the memory of goleveldb's table in memory; larger batches go straight
	// to a table on disk.
	writeBufferBytes = 256 << 10
	// maxOpenTables bounds the file descriptors that are held for tables.
	maxOpenTables = 16
	// databaseDirectory holds the database inside the data directory, and corruptDirectory a
	// corrupt one while it is removed. Data directories in use have these names.
	databaseDirectory = "archive"
	corruptDirectory  = "archive.damaged"
)

// errCorrupt marks a store that was read and makes no sense.
var errCorrupt = eris.New("damaged")

// Store is a Storage on goleveldb: each WriteBatch is one synced batch, so it is stored completely
// or not at all. It isn't safe for concurrent use.
type Store struct {
	path string
	// db is nil after a write has failed, until the next one opens it again.
	db *leveldb.DB
	// first and last bound the entries that may be stored; there are none when last < first.
	first, last Index
	// lastAttempted is the last entry of a batch that failed: it may be stored all the same.
	lastAttempted Index
}

func leveldbOptions(mustExist bool) *opt.Options {
	return &opt.Options{
		WriteBuffer:            writeBufferBytes,
		DisableBlockCache:      true,
		OpenFilesCacheCapacity: maxOpenTables,
		Compression:            opt.NoCompression,
		// The pool has a goroutine that wakes every two seconds for nothing.
		DisableBufferPool: true,
		ErrorIfMissing:    mustExist,
	}
}

// OpenStore opens the store in a data directory and reads its state; the state of an empty store
// has no id, and Initialize gives it one. The address is the machine's own, which becomes the id of
// a disk that an earlier version initialised. Every error is of kind DiskFailed; IsCorrupt says
// whether the store is unreadable rather than unavailable.
func OpenStore(dir, address string) (*Store, State, error) {
	s := &Store{path: filepath.Join(dir, databaseDirectory), first: 1}
	if err := s.open(false); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: open %s", s.path)
	}
	state, err := s.load(address)
	if err != nil {
		_ = s.Close()
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: read %s", s.path)
	}
	return s, state, nil
}

// IsCorrupt reports whether an error of OpenStore means that the store can't be read any more, in
// contrast to a disk that is unavailable for now.
func IsCorrupt(err error) bool {
	return eris.Is(err, errCorrupt) || leveldberrors.IsCorrupted(eris.Cause(err))
}

// OpenOrReset is OpenStore, and replaces a corrupt store by an empty one, as if the disk were new.
// A disk that is merely unavailable remains an error, and the caller retries later.
func OpenOrReset(dir, address string, log *zap.Logger) (*Store, State, error) {
	// A removal that was interrupted is finished first.
	if err := os.RemoveAll(filepath.Join(dir, corruptDirectory)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: remove what was damaged")
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

// removeCorrupt removes a corrupt database. The directory is renamed before it is removed, because
// half of it might read as a complete store.
func removeCorrupt(dir string, log *zap.Logger) error {
	aside := filepath.Join(dir, corruptDirectory)
	if err := os.Rename(filepath.Join(dir, databaseDirectory), aside); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replication: move the damaged store aside")
	}
	if err := durable.SyncName(aside); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replication: sync %s", dir)
	}
	if err := os.RemoveAll(aside); err != nil {
		log.Warn("corrupt log storage not removed", zap.Error(err))
	}
	return nil
}

func (s *Store) open(mustExist bool) error {
	db, err := leveldb.OpenFile(s.path, leveldbOptions(mustExist))
	if err != nil {
		return err
	}
	// The directory's name is durable once the one that holds it is synced.
	if err := durable.SyncName(s.path); err != nil {
		_ = db.Close()
		return err
	}
	s.db = db
	return nil
}

// Initialize gives an empty store its identity, synced before it returns: the id, the cluster and
// the membership that the replica starts from. An error is of kind DiskFailed.
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

// Save writes and syncs a batch. An error is of kind DiskFailed, or Internal for a batch that
// doesn't fit to what is stored.
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

// write writes and syncs a batch. After a failure the database is closed, and opened again by the
// next write, because goleveldb writes nothing more to a journal that failed once.
func (s *Store) write(batch *leveldb.Batch) error {
	if s.db == nil {
		if err := s.open(true); err != nil {
			return errs.Wrap(err, errs.DiskFailed, "replication: open %s again", s.path)
		}
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		_ = s.Close()
		return errs.Wrap(err, errs.DiskFailed, "replication: write to %s", s.path)
	}
	return nil
}

// Close closes the database; what was saved is synced already.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := s.db.Close()
	s.db = nil
	return err
}
