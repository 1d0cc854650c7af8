package replication

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

const (
	// writeBuffer bounds the memory of the table in the making; larger batches go straight to a table.
	writeBuffer = 256 << 10
	// openTables bounds the descriptors held for tables.
	openTables = 16
	// folder holds the database inside the data directory, and damagedFolder
	// a damaged one while it is removed.
	folder        = "archive"
	damagedFolder = "archive.damaged"
)

// The keys of the store.
var (
	keyMembers  = []byte("members")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	// entryPrefix is followed by the index, big-endian, so that entries lie in order.
	entryPrefix = byte('e')
)

// errDamaged marks a store that was read and makes no sense.
var errDamaged = eris.New("damaged")

// Disk is where a node keeps its state. When Save returns nil, all of p is
// synced; when it doesn't, all of it or nothing may be, and the same or a later
// state is to be saved again.
type Disk interface {
	Save(p *Persist) error
	Close() error
}

// Store is a Disk on goleveldb: each Persist is one synced batch, so it is there whole or not at all.
type Store struct {
	path string
	db   *leveldb.DB
	// first and last bound the entries that may be stored; none are when last < first.
	first, last uint64
}

func options(mustExist bool) *opt.Options {
	return &opt.Options{
		WriteBuffer:            writeBuffer,
		DisableBlockCache:      true,
		OpenFilesCacheCapacity: openTables,
		Compression:            opt.NoCompression,
		// The pool has a goroutine that wakes every two seconds for nothing.
		DisableBufferPool: true,
		ErrorIfMissing:    mustExist,
	}
}

// Open opens the store in dir. At the very first start of the system it notes
// the members and that it remembers, synced, before it returns. Otherwise the
// state comes from the disk; if nothing is there, the member has forgotten,
// and the members are those given. Every error is DiskFailed; if the store is
// damaged rather than out of reach, Damaged says so.
func Open(dir string, members []string, firstStart bool) (*Store, State, error) {
	s := &Store{path: filepath.Join(dir, folder), first: 1}
	if err := s.open(false); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "archive: open %s", s.path)
	}
	state, err := s.load()
	if err == nil && len(state.Members) == 0 {
		state = State{Members: slices.Clone(members), Hard: HardState{Remembers: firstStart}}
		err = s.found(state)
	}
	if err != nil {
		_ = s.Close()
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "archive: read %s", s.path)
	}
	return s, state, nil
}

// Kept says whether there is a store in dir, readable or not.
func Kept(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, folder, "CURRENT"))
	return err == nil
}

// Damaged says whether an error of Open means that the store can't be read
// any more, in contrast to a disk that refuses for now.
func Damaged(err error) bool {
	return eris.Is(err, errDamaged) || errors.IsCorrupted(eris.Cause(err))
}

// OpenOrForget is Open, and where the store is damaged it is removed and the
// member starts as one that has forgotten. A disk that merely refuses remains
// an error: the caller tries again later.
func OpenOrForget(dir string, members []string, firstStart bool, log *zap.Logger) (*Store, State, error) {
	// A removal that was cut short is finished first.
	if err := os.RemoveAll(filepath.Join(dir, damagedFolder)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "archive: remove what was damaged")
	}
	s, state, err := Open(dir, members, firstStart)
	if err == nil || !Damaged(err) {
		return s, state, err
	}
	log.Error("the archive on disk is damaged; this member starts as one that has forgotten", zap.Error(err))
	// The folder is renamed before it is removed, because half of it might read as a whole store.
	if err := os.Rename(filepath.Join(dir, folder), filepath.Join(dir, damagedFolder)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "archive: move the damaged store aside")
	}
	if err := syncDir(dir); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "archive: sync %s", dir)
	}
	if err := os.RemoveAll(filepath.Join(dir, damagedFolder)); err != nil {
		log.Warn("a damaged archive couldn't be removed", zap.Error(err))
	}
	return Open(dir, members, false)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (s *Store) open(mustExist bool) error {
	db, err := leveldb.OpenFile(s.path, options(mustExist))
	if err != nil {
		return err
	}
	// The name of the folder lasts once the one that holds it is synced.
	if err := syncDir(filepath.Dir(s.path)); err != nil {
		_ = db.Close()
		return err
	}
	s.db = db
	return nil
}

// found writes the marks of a store that was empty.
func (s *Store) found(state State) error {
	members, err := json.Marshal(state.Members)
	if err != nil {
		return err
	}
	hard, err := json.Marshal(state.Hard)
	if err != nil {
		return err
	}
	batch := new(leveldb.Batch)
	batch.Put(keyMembers, members)
	batch.Put(keyHard, hard)
	return s.db.Write(batch, &opt.WriteOptions{Sync: true})
}

// load reads the state; one without members is that of an empty store.
func (s *Store) load() (State, error) {
	var state State
	members, err := s.db.Get(keyMembers, nil)
	if err == leveldb.ErrNotFound {
		return state, s.checkEmpty()
	}
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(members, &state.Members); err != nil || len(state.Members) == 0 {
		return state, eris.Wrapf(errDamaged, "the members %q", members)
	}
	hard, err := s.get(keyHard)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(hard, &state.Hard); err != nil {
		return state, eris.Wrapf(errDamaged, "the hard state %q", hard)
	}
	snapshot, err := s.db.Get(keySnapshot, nil)
	switch {
	case err == leveldb.ErrNotFound:
	case err != nil:
		return state, err
	case len(snapshot) < 16:
		return state, eris.Wrapf(errDamaged, "a snapshot of %d bytes", len(snapshot))
	default:
		state.Snapshot = Snapshot{
			Index: binary.BigEndian.Uint64(snapshot),
			View:  binary.BigEndian.Uint64(snapshot[8:]),
			Data:  snapshot[16:],
		}
	}
	s.first = state.Snapshot.Index + 1
	s.last = state.Snapshot.Index
	entries := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer entries.Release()
	for entries.Next() {
		key, value := entries.Key(), entries.Value()
		if len(key) != 9 || len(value) < 8 || binary.BigEndian.Uint64(key[1:]) != s.last+1 {
			return state, eris.Wrapf(errDamaged, "the entry %x after %d", key, s.last)
		}
		s.last++
		e := Entry{Index: s.last, View: binary.BigEndian.Uint64(value)}
		if len(value) > 8 {
			e.Cmd = slices.Clone(value[8:])
		}
		state.Entries = append(state.Entries, e)
	}
	return state, entries.Error()
}

// checkEmpty makes sure that a store without the founding mark holds nothing.
func (s *Store) checkEmpty() error {
	all := s.db.NewIterator(nil, nil)
	defer all.Release()
	if all.Next() {
		return eris.Wrap(errDamaged, "the founding mark is missing")
	}
	return all.Error()
}

func (s *Store) get(key []byte) ([]byte, error) {
	value, err := s.db.Get(key, nil)
	if err == leveldb.ErrNotFound {
		return nil, eris.Wrapf(errDamaged, "%s is missing", key)
	}
	return value, err
}

func entryKey(index uint64) []byte {
	key := make([]byte, 9)
	key[0] = entryPrefix
	binary.BigEndian.PutUint64(key[1:], index)
	return key
}

// Save writes and syncs p in one batch. After a failure the database is
// opened anew, since goleveldb writes nothing more to a journal that failed once.
func (s *Store) Save(p *Persist) error {
	if s.db == nil {
		if err := s.open(true); err != nil {
			return errs.Wrap(err, errs.DiskFailed, "archive: open %s again", s.path)
		}
	}
	batch, first, last, err := s.batch(p)
	if err != nil {
		return err
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		_ = s.Close()
		return errs.Wrap(err, errs.DiskFailed, "archive: write to %s", s.path)
	}
	s.first, s.last = first, last
	return nil
}

// batch puts p in one batch and returns the bounds of the entries after it.
func (s *Store) batch(p *Persist) (batch *leveldb.Batch, first, last uint64, err error) {
	batch = new(leveldb.Batch)
	first, last = s.first, s.last
	if p.TruncateFrom > 0 {
		for i := max(p.TruncateFrom, first); i <= last; i++ {
			batch.Delete(entryKey(i))
		}
		last = min(last, p.TruncateFrom-1)
	}
	if p.Snapshot != nil {
		for i := first; i <= min(last, p.Snapshot.Index); i++ {
			batch.Delete(entryKey(i))
		}
		first = p.Snapshot.Index + 1
		last = max(last, p.Snapshot.Index)
		value := make([]byte, 16, 16+len(p.Snapshot.Data))
		binary.BigEndian.PutUint64(value, p.Snapshot.Index)
		binary.BigEndian.PutUint64(value[8:], p.Snapshot.View)
		batch.Put(keySnapshot, append(value, p.Snapshot.Data...))
	}
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Index != last+1 {
			return nil, 0, 0, errs.New(errs.Internal, "archive: entry %d would follow %d on disk", e.Index, last)
		}
		value := make([]byte, 8, 8+len(e.Cmd))
		binary.BigEndian.PutUint64(value, e.View)
		batch.Put(entryKey(e.Index), append(value, e.Cmd...))
		last = e.Index
	}
	if p.Hard != nil {
		hard, err := json.Marshal(p.Hard)
		if err != nil {
			return nil, 0, 0, errs.Wrap(err, errs.Internal, "archive: the hard state")
		}
		batch.Put(keyHard, hard)
	}
	return batch, first, last, nil
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
