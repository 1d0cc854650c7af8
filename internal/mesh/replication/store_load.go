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

// load reads the stored state. The state of an empty store has no ID.
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

// loadIdentity reads the member id, the cluster id and the membership of the snapshot.
func (s *Store) loadIdentity(state *State) (found bool, err error) {
	data, found, err := s.get(keyIdentity)
	if err != nil || !found {
		return false, err
	}
	var stored identity
	if err := json.Unmarshal(data, &stored); err != nil || stored.ID == "" {
		return false, eris.Wrapf(errCorrupt, "stored identity %q is malformed or has no id", data)
	}
	state.ID, state.Cluster = stored.ID, stored.Cluster
	return true, s.getJSON(keyMembership, &state.Snapshot.Membership)
}

// migrateFixedMembers migrates the store of an earlier version, which had a fixed set of members. The
// fixed members become the voters, and the disk becomes that of an initial voter at address. A disk
// that lost its state under the earlier version is treated as corrupt, because it may have voted and
// acknowledged entries that it no longer stores. The machine then rejoins under a new member id.
func (s *Store) migrateFixedMembers(state *State, address string) (found bool, err error) {
	data, found, err := s.get(keyFixedMembers)
	if err != nil || !found {
		return false, err
	}
	var members []string
	if err := json.Unmarshal(data, &members); err != nil || len(members) == 0 {
		return false, eris.Wrapf(errCorrupt, "stored list of fixed members %q is malformed or empty", data)
	}
	var legacyHardState struct {
		Remembers bool                       `json:"remembers"`
		Known     map[string]json.RawMessage `json:"known"`
	}
	if err := s.getJSON(keyHardState, &legacyHardState); err != nil {
		return false, err
	}
	if !legacyHardState.Remembers {
		return false, eris.Wrap(errCorrupt, "disk lost its state under an earlier version")
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
			return eris.Wrapf(errCorrupt, "entry with key %x, after entry %d, is out of sequence or truncated", key, s.last)
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

// checkEmpty returns an error if a store without an identity contains any other key.
func (s *Store) checkEmpty() error {
	iterator := s.db.NewIterator(nil, nil)
	defer iterator.Release()
	if iterator.Next() {
		return eris.Wrap(errCorrupt, "store has data but no identity")
	}
	return iterator.Error()
}

func (s *Store) get(key []byte) (value []byte, found bool, err error) {
	value, err = s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, false, nil
	}
	return value, err == nil, err
}

// getJSON decodes the value of a key that must exist.
func (s *Store) getJSON(key []byte, target any) error {
	data, found, err := s.get(key)
	if err != nil {
		return err
	}
	if !found {
		return eris.Wrapf(errCorrupt, "key %s is missing", key)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return eris.Wrapf(errCorrupt, "key %s has the malformed value %.64q", key, data)
	}
	return nil
}
