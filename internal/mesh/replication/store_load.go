package replication

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"
)

// load reads the state; that of an empty store has no id.
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
	if err := s.loadSnapshot(&state.Snapshot); err != nil {
		return state, err
	}
	return state, s.loadEntries(&state)
}

// loadIdentity reads the disk's id, and the membership at its snapshot.
func (s *Store) loadIdentity(state *State) (found bool, err error) {
	data, found, err := s.get(keyIdentity)
	if err != nil || !found {
		return false, err
	}
	var stored identity
	if err := json.Unmarshal(data, &stored); err != nil || stored.ID == "" {
		return false, eris.Wrapf(errCorrupt, "the identity %q", data)
	}
	state.ID, state.Cluster = stored.ID, stored.Cluster
	return true, s.getJSON(keyMembership, &state.Snapshot.Membership)
}

// migrateFixedMembers adopts the disk of an earlier version, which had a fixed set of members: they
// are the voters, and the disk has the id of the first start. A disk that had lost its state under
// that version is corrupt: it voted and acknowledged entries that it no longer knows of, so the
// machine starts again under another id.
func (s *Store) migrateFixedMembers(state *State, address string) (found bool, err error) {
	data, found, err := s.get(keyMembers)
	if err != nil || !found {
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

func (s *Store) loadSnapshot(snapshot *Snapshot) error {
	value, found, err := s.get(keySnapshot)
	if err != nil || !found {
		return err
	}
	return decodeSnapshot(value, snapshot)
}

func (s *Store) loadEntries(state *State) error {
	s.first = state.Snapshot.Index + 1
	s.last = state.Snapshot.Index
	entries := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
	defer entries.Release()
	for entries.Next() {
		key, value := entries.Key(), entries.Value()
		if len(key) != entryKeyBytes || len(value) < entryHeaderBytes ||
			Index(binary.BigEndian.Uint64(key[1:])) != s.last+1 {
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

// checkEmpty returns an error where a store without an identity holds anything else.
func (s *Store) checkEmpty() error {
	all := s.db.NewIterator(nil, nil)
	defer all.Release()
	if all.Next() {
		return eris.Wrap(errCorrupt, "the founding mark is missing")
	}
	return all.Error()
}

func (s *Store) get(key []byte) (value []byte, found bool, err error) {
	value, err = s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, false, nil
	}
	return value, err == nil, err
}

// getJSON reads a value that must exist.
func (s *Store) getJSON(key []byte, into any) error {
	data, found, err := s.get(key)
	if err != nil {
		return err
	}
	if !found {
		return eris.Wrapf(errCorrupt, "%s is missing", key)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(errCorrupt, "%s is %.64q", key, data)
	}
	return nil
}
