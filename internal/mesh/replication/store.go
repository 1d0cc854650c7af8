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
	// writeBufferBytes bounds the memory of the table in the making; larger batches go straight to a table.
	writeBufferBytes = 256 << 10
	// maxOpenTables bounds the descriptors held for tables.
	maxOpenTables = 16
	// databaseDirectory holds the database inside the data directory, and corruptDirectory
	// a damaged one while it is removed. Disks that exist have these names.
	databaseDirectory = "archive"
	corruptDirectory  = "archive.damaged"
	// entryHeaderBytes and snapshotHeaderBytes are the bytes before an entry's command and a snapshot's data.
	entryHeaderBytes    = 8
	snapshotHeaderBytes = 16
	// membershipBit marks, in the stored term, an entry that holds a membership.
	membershipBit = 1 << 63
)

// The keys of the store.
var (
	// keyMembers is what an earlier program wrote: the addresses of a fixed set of members.
	keyMembers    = []byte("members")
	keyIdentity   = []byte("identity")
	keyMembership = []byte("membership")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	// entryPrefix is followed by the index, big-endian, so that entries lie in order.
	entryPrefix = byte('e')
)

// errCorrupt marks a store that was read and makes no sense.
var errCorrupt = eris.New("damaged")

// Storage is where a node keeps its state. When Save returns nil, all of p is
// synced; when it doesn't, all of it or nothing may be, and the same or a later
// state is to be saved again.
type Storage interface {
	Save(p *WriteBatch) error
	Close() error
}

// Store is a Storage on goleveldb: each Persist is one synced batch, so it is there whole or not at all.
type Store struct {
	path string
	db   *leveldb.DB
	// first and last bound the entries that may be stored; none are when last < first.
	first, last Index
	// lastAttempted is the last entry that a write held which was refused: it may be stored all the same.
	lastAttempted Index
}

// identity is who a disk is, for ever.
type identity struct {
	ID      MemberID  `json:"id"`
	Cluster ClusterID `json:"cluster"`
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

// OpenStore opens the store in dir and reads its state; the state of an empty store has no id, and Initialize
// gives it one. Every error is DiskFailed; if the store is damaged rather than out of reach, IsCorrupt
// says so. The address is the machine's own, which is the id of a disk that an earlier program founded.
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

// IsCorrupt says whether an error of OpenStore means that the store can't be read
// any more, in contrast to a disk that refuses for now.
func IsCorrupt(err error) bool {
	return eris.Is(err, errCorrupt) || errors.IsCorrupted(eris.Cause(err))
}

// OpenOrReset is OpenStore, and where the store is damaged it is removed and an empty one opened in its
// place, as if the disk were new. A disk that merely refuses remains an error: the caller tries again later.
func OpenOrReset(dir, address string, log *zap.Logger) (*Store, State, error) {
	// A removal that was cut short is finished first.
	if err := os.RemoveAll(filepath.Join(dir, corruptDirectory)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: remove what was damaged")
	}
	s, state, err := OpenStore(dir, address)
	if err == nil || !IsCorrupt(err) {
		return s, state, err
	}
	log.Error("the log on disk is damaged; this machine joins as a new member", zap.Error(err))
	// The folder is renamed before it is removed, because half of it might read as a whole store.
	if err := os.Rename(filepath.Join(dir, databaseDirectory), filepath.Join(dir, corruptDirectory)); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: move the damaged store aside")
	}
	if err := syncDir(dir); err != nil {
		return nil, State{}, errs.Wrap(err, errs.DiskFailed, "replication: sync %s", dir)
	}
	if err := os.RemoveAll(filepath.Join(dir, corruptDirectory)); err != nil {
		log.Warn("a damaged log couldn't be removed", zap.Error(err))
	}
	return OpenStore(dir, address)
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
	db, err := leveldb.OpenFile(s.path, leveldbOptions(mustExist))
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

// Initialize gives an empty store its identity, synced before it returns: the id, the cluster and the
// membership that the replica starts from.
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

func putIdentity(batch *leveldb.Batch, state State) error {
	if err := putJSON(batch, keyIdentity, identity{ID: state.ID, Cluster: state.Cluster}); err != nil {
		return err
	}
	return putJSON(batch, keyMembership, state.Snapshot.Membership)
}

func putJSON(batch *leveldb.Batch, key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "replication: write %s", key)
	}
	batch.Put(key, data)
	return nil
}

// load reads the state; one without an id is that of an empty store.
func (s *Store) load(address string) (State, error) {
	var state State
	found, err := s.loadIdentity(&state)
	if err == nil && !found {
		found, err = s.migrateFixedMembers(&state, address)
	}
	if err != nil {
		return state, err
	}
	if !found {
		return state, s.checkEmpty()
	}
	if err := s.getJSON(keyHardState, &state.HardState); err != nil {
		return state, err
	}
	if err := s.loadSnapshot(&state); err != nil {
		return state, err
	}
	return state, s.loadEntries(&state)
}

// loadIdentity reads who the disk is, and the membership at its snapshot.
func (s *Store) loadIdentity(state *State) (bool, error) {
	data, err := s.db.Get(keyIdentity, nil)
	if err == leveldb.ErrNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var who identity
	if err := json.Unmarshal(data, &who); err != nil || who.ID == "" {
		return false, eris.Wrapf(errCorrupt, "the identity %q", data)
	}
	state.ID, state.Cluster = who.ID, who.Cluster
	return true, s.getJSON(keyMembership, &state.Snapshot.Membership)
}

// migrateFixedMembers takes over a disk of the program that had a fixed set of members: they are the voters,
// and the disk has the id of the first start. One that had forgotten stays damaged: it voted and
// acknowledged things that it no longer knows of, so it begins anew under another id.
func (s *Store) migrateFixedMembers(state *State, address string) (bool, error) {
	data, err := s.db.Get(keyMembers, nil)
	if err == leveldb.ErrNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var members []string
	if err := json.Unmarshal(data, &members); err != nil || len(members) == 0 {
		return false, eris.Wrapf(errCorrupt, "the members %q", data)
	}
	var earlier struct {
		Remembers bool                       `json:"remembers"`
		Known     map[string]json.RawMessage `json:"known"`
	}
	if err := s.getJSON(keyHardState, &earlier); err != nil {
		return false, err
	}
	if !earlier.Remembers {
		return false, eris.Wrap(errCorrupt, "a member that had forgotten")
	}
	state.ID = NewMemberID(address, "")
	state.Cluster, state.Snapshot.Membership = Bootstrap(members)
	batch := new(leveldb.Batch)
	if err := putIdentity(batch, *state); err != nil {
		return false, err
	}
	return true, s.db.Write(batch, &opt.WriteOptions{Sync: true})
}

func (s *Store) loadSnapshot(state *State) error {
	snapshot, err := s.db.Get(keySnapshot, nil)
	switch {
	case err == leveldb.ErrNotFound:
		return nil
	case err != nil:
		return err
	case len(snapshot) < snapshotHeaderBytes:
		return eris.Wrapf(errCorrupt, "a snapshot of %d bytes", len(snapshot))
	}
	state.Snapshot.Index = Index(binary.BigEndian.Uint64(snapshot))
	state.Snapshot.Term = Term(binary.BigEndian.Uint64(snapshot[8:]))
	state.Snapshot.Data = snapshot[snapshotHeaderBytes:]
	return nil
}

func (s *Store) loadEntries(state *State) error {
	s.first = state.Snapshot.Index + 1
	s.last = state.Snapshot.Index
	entries := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer entries.Release()
	for entries.Next() {
		key, value := entries.Key(), entries.Value()
		if len(key) != 9 || len(value) < entryHeaderBytes || Index(binary.BigEndian.Uint64(key[1:])) != s.last+1 {
			return eris.Wrapf(errCorrupt, "the entry %x after %d", key, s.last)
		}
		s.last++
		e, err := decodeEntry(s.last, value)
		if err != nil {
			return err
		}
		state.Entries = append(state.Entries, e)
	}
	return entries.Error()
}

func decodeEntry(index Index, value []byte) (Entry, error) {
	head := binary.BigEndian.Uint64(value)
	e := Entry{Index: index, Term: Term(head &^ membershipBit)}
	if len(value) > entryHeaderBytes {
		e.Command = slices.Clone(value[entryHeaderBytes:])
	}
	if head&membershipBit == 0 {
		return e, nil
	}
	e.Kind = EntryMembership
	if _, err := decodeMembership(e.Command); err != nil {
		return e, eris.Wrapf(errCorrupt, "the membership at %d", index)
	}
	return e, nil
}

func encodeEntry(e *Entry) []byte {
	head := uint64(e.Term)
	if e.Kind == EntryMembership {
		head |= membershipBit
	}
	value := make([]byte, entryHeaderBytes, entryHeaderBytes+len(e.Command))
	binary.BigEndian.PutUint64(value, head)
	return append(value, e.Command...)
}

// checkEmpty makes sure that a store without the founding mark holds nothing.
func (s *Store) checkEmpty() error {
	all := s.db.NewIterator(nil, nil)
	defer all.Release()
	if all.Next() {
		return eris.Wrap(errCorrupt, "the founding mark is missing")
	}
	return all.Error()
}

// getJSON reads a value that has to be there.
func (s *Store) getJSON(key []byte, into any) error {
	data, err := s.db.Get(key, nil)
	if err == leveldb.ErrNotFound {
		return eris.Wrapf(errCorrupt, "%s is missing", key)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(errCorrupt, "%s is %.64q", key, data)
	}
	return nil
}

func entryKey(index Index) []byte {
	key := make([]byte, 9)
	key[0] = entryPrefix
	binary.BigEndian.PutUint64(key[1:], uint64(index))
	return key
}

// Save writes and syncs p in one batch.
func (s *Store) Save(p *WriteBatch) error {
	batch, first, last, err := s.encodeBatch(p)
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

// write writes and syncs a batch. After a failure the database is opened anew with the next one,
// since goleveldb writes nothing more to a journal that failed once.
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

// encodeBatch puts p in one batch and returns the bounds of the entries after it.
func (s *Store) encodeBatch(p *WriteBatch) (batch *leveldb.Batch, first, last Index, err error) {
	batch = new(leveldb.Batch)
	first, last = s.first, s.last
	if p.TruncateFrom > 0 {
		for i := max(p.TruncateFrom, first); i <= max(last, s.lastAttempted); i++ {
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
		value := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(p.Snapshot.Data))
		binary.BigEndian.PutUint64(value, uint64(p.Snapshot.Index))
		binary.BigEndian.PutUint64(value[8:], uint64(p.Snapshot.Term))
		batch.Put(keySnapshot, append(value, p.Snapshot.Data...))
		if err := putJSON(batch, keyMembership, p.Snapshot.Membership); err != nil {
			return nil, 0, 0, err
		}
	}
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Index != last+1 {
			return nil, 0, 0, errs.New(errs.Internal, "replication: entry %d would follow %d on disk", e.Index, last)
		}
		batch.Put(entryKey(e.Index), encodeEntry(e))
		last = e.Index
	}
	if p.HardState != nil {
		if err := putJSON(batch, keyHardState, p.HardState); err != nil {
			return nil, 0, 0, err
		}
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
