package replication

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"

	"caperarch/internal/mesh/errs"
)

// Keys of the store.
var (
	// keyFixedMembers holds the addresses of a fixed set of members. An earlier version wrote it.
	keyFixedMembers = []byte("members")
	keyIdentity     = []byte("identity")
	keyMembership   = []byte("membership")
	keyHardState    = []byte("hard")
	keySnapshot     = []byte("snapshot")
	// entryPrefix starts the key of an entry. The rest of the key is the index in big-endian byte
	// order, so that entries are sorted by index.
	entryPrefix = byte('e')
)

const (
	// entryKeyBytes is the length of an entry's key.
	entryKeyBytes = 1 + 8
	// entryHeaderBytes is the length of the header that precedes an entry's command: the term.
	// snapshotHeaderBytes is the length of the header that precedes the snapshot data: the index and
	// the term.
	entryHeaderBytes    = 8
	snapshotHeaderBytes = 16
	// membershipBit is set in the stored term of an entry of kind EntryMembership.
	membershipBit = 1 << 63
)

// identity is the stored identity of a disk. It never changes.
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
	header := uint64(e.Term)
	if e.Kind == EntryMembership {
		header |= membershipBit
	}
	value := make([]byte, entryHeaderBytes, entryHeaderBytes+len(e.Command))
	binary.BigEndian.PutUint64(value, header)
	return append(value, e.Command...)
}

func decodeEntry(index Index, value []byte) (Entry, error) {
	header := binary.BigEndian.Uint64(value)
	e := Entry{Index: index, Term: Term(header &^ membershipBit)}
	if len(value) > entryHeaderBytes {
		e.Command = slices.Clone(value[entryHeaderBytes:])
	}
	if header&membershipBit == 0 {
		return e, nil
	}
	e.Kind = EntryMembership
	if _, err := decodeMembership(e.Command); err != nil {
		return e, eris.Wrapf(errCorrupt, "stored entry %d holds an invalid membership", index)
	}
	return e, nil
}

// encodeSnapshot encodes a snapshot without its membership, which is stored under a separate key.
func encodeSnapshot(s *Snapshot) []byte {
	value := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(s.Data))
	binary.BigEndian.PutUint64(value, uint64(s.Index))
	binary.BigEndian.PutUint64(value[8:], uint64(s.Term))
	return append(value, s.Data...)
}

// decodeSnapshot sets all fields of s except Membership. s.Data aliases value.
func decodeSnapshot(value []byte, s *Snapshot) error {
	if len(value) < snapshotHeaderBytes {
		return eris.Wrapf(errCorrupt, "stored snapshot of %d bytes is shorter than its header", len(value))
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
		return errs.Wrap(err, errs.Internal, "replication: encode the value of key %s", key)
	}
	batch.Put(key, data)
	return nil
}

// encodeBatch encodes update as a database batch. It also returns the indexes of the first and the last
// stored entry after the batch is written.
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
			return nil, 0, 0, errs.New(errs.Internal, "replication: batch has entry %d after entry %d", e.Index, last)
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
