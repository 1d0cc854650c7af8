package replication

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"

	"caperarch/internal/mesh/errs"
)

// The keys of the store.
var (
	// keyMembers was written by an earlier version: the addresses of a fixed set of members.
	keyMembers    = []byte("members")
	keyIdentity   = []byte("identity")
	keyMembership = []byte("membership")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	// entryPrefix is followed by the index, big-endian, so that entries are sorted by it.
	entryPrefix = byte('e')
)

const (
	// entryKeyBytes is the length of an entry's key.
	entryKeyBytes = 1 + 8
	// entryHeaderBytes and snapshotHeaderBytes are the lengths of what precedes an entry's command
	// and a snapshot's data: the term; the index and the term.
	entryHeaderBytes    = 8
	snapshotHeaderBytes = 16
	// membershipBit marks, in the stored term, an entry that holds a membership.
	membershipBit = 1 << 63
)

// identity is the stored id of a disk, which never changes.
type identity struct {
	ID      MemberID  `json:"id"`
	Cluster ClusterID `json:"cluster"`
}

func entryKey(index Index) []byte {
	key := make([]byte, entryKeyBytes)
	key[0] = entryPrefix
	binary.BigEndian.PutUint64(key[1:], uint64(index))
	return key
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

// encodeSnapshot encodes a snapshot without its membership, which has a key of its own.
func encodeSnapshot(s *Snapshot) []byte {
	value := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(s.Data))
	binary.BigEndian.PutUint64(value, uint64(s.Index))
	binary.BigEndian.PutUint64(value[8:], uint64(s.Term))
	return append(value, s.Data...)
}

// decodeSnapshot sets a snapshot's fields but for its membership. Data shares value's memory.
func decodeSnapshot(value []byte, s *Snapshot) error {
	if len(value) < snapshotHeaderBytes {
		return eris.Wrapf(errCorrupt, "a snapshot of %d bytes", len(value))
	}
	s.Index = Index(binary.BigEndian.Uint64(value))
	s.Term = Term(binary.BigEndian.Uint64(value[8:]))
	s.Data = value[snapshotHeaderBytes:]
	return nil
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

// encodeBatch encodes an update, and returns the bounds of the stored entries after it.
func (s *Store) encodeBatch(update *WriteBatch) (batch *leveldb.Batch, first, last Index, err error) {
	batch = new(leveldb.Batch)
	first, last = s.first, s.last
	if update.TruncateFrom > 0 {
		for i := max(update.TruncateFrom, first); i <= max(last, s.lastAttempted); i++ {
			batch.Delete(entryKey(i))
		}
		last = min(last, update.TruncateFrom-1)
	}
	if update.Snapshot != nil {
		for i := first; i <= min(last, update.Snapshot.Index); i++ {
			batch.Delete(entryKey(i))
		}
		first = update.Snapshot.Index + 1
		last = max(last, update.Snapshot.Index)
		batch.Put(keySnapshot, encodeSnapshot(update.Snapshot))
		if err := putJSON(batch, keyMembership, update.Snapshot.Membership); err != nil {
			return nil, 0, 0, err
		}
	}
	for i := range update.Entries {
		e := &update.Entries[i]
		if e.Index != last+1 {
			return nil, 0, 0, errs.New(errs.Internal, "replication: entry %d would follow %d on disk", e.Index, last)
		}
		batch.Put(entryKey(e.Index), encodeEntry(e))
		last = e.Index
	}
	if update.HardState != nil {
		if err := putJSON(batch, keyHardState, update.HardState); err != nil {
			return nil, 0, 0, err
		}
	}
	return batch, first, last, nil
}
