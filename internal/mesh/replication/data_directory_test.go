package replication

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"
)

// copyDataDirectory copies a data directory that the previous release wrote, and returns the path of the
// copy. The directory contains a goleveldb table and a journal, with a snapshot, a vote, entries that
// replaced earlier entries, and a membership change in progress.
func copyDataDirectory(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "data_directory"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// expectedState returns the state that the previous release saved in the data directory.
func expectedState() State {
	const a, b, c, d MemberID = "10.1.0.45:7640#71", "10.2.0.35:7640", "10.3.0.41:7640", "10.3.0.42:7640#5"
	return State{
		ID:        a,
		Cluster:   0xc1a57e12,
		HardState: HardState{Term: 5, Vote: c},
		Snapshot: Snapshot{
			Index: 3, Term: 2, Membership: Membership{Voters: []MemberID{a, b, c}}, Data: []byte("state after three entries"),
		},
		Entries: []Entry{
			{Index: 4, Term: 5},
			{Index: 5, Term: 5, Command: []byte("second")},
			{
				Index: 6, Term: 5, Kind: EntryMembership,
				Command: Membership{Voters: []MemberID{a, b, d}, Outgoing: []MemberID{a, b, c}}.encode(),
			},
		},
	}
}

// TestStoreReadsPreviousDataDirectory checks that a data directory of the previous release is read
// completely.
func TestStoreReadsPreviousDataDirectory(t *testing.T) {
	store, state, err := OpenStore(copyDataDirectory(t), "10.9.9.9:7640")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if want := expectedState(); !reflect.DeepEqual(state, want) {
		t.Errorf("loaded state is %+v, want %+v", state, want)
	}
}

// TestStoreWritesPreviousFormat checks that the store writes the same keys and values as the
// previous release, so that the previous release can read them.
func TestStoreWritesPreviousFormat(t *testing.T) {
	want, dir := expectedState(), t.TempDir()
	store, _, err := OpenStore(dir, "10.9.9.9:7640")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if err := store.Initialize(State{ID: want.ID, Cluster: want.Cluster}); err != nil {
		t.Fatal(err)
	}
	batch := &WriteBatch{HardState: &want.HardState, Snapshot: &want.Snapshot, Entries: want.Entries}
	if err := store.Save(batch); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	got := readAllPairs(t, filepath.Join(dir, "archive"))
	golden := readAllPairs(t, filepath.Join(copyDataDirectory(t), "archive"))
	if !reflect.DeepEqual(got, golden) {
		t.Errorf("store wrote the keys and values %q, want %q", got, golden)
	}
}

// readAllPairs returns all keys of a database with their values.
func readAllPairs(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := leveldb.OpenFile(path, leveldbOptions(true))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := db.NewIterator(nil, nil)
	defer all.Release()
	found := map[string]string{}
	for all.Next() {
		found[string(all.Key())] = string(all.Value())
	}
	if err := all.Error(); err != nil {
		t.Fatal(err)
	}
	return found
}
