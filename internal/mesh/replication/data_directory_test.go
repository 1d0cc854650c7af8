package replication

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"
)

// dataDirectory is a copy of a data directory that the release before wrote: it holds a table and a
// journal with a snapshot, a vote, entries of which some took the place of others, and a change of
// membership under way.
func dataDirectory(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "data_directory"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// stateOfDataDirectory is what its writer saved.
func stateOfDataDirectory() State {
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

func TestDataDirectoryOfTheReleaseBeforeIsReadWhole(t *testing.T) {
	store, state, err := OpenStore(dataDirectory(t), "10.9.9.9:7640")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if want := stateOfDataDirectory(); !reflect.DeepEqual(state, want) {
		t.Errorf("state %+v, want %+v", state, want)
	}
}

// The release before must be able to read what this one writes.
func TestStoreWritesWhatTheReleaseBeforeWrote(t *testing.T) {
	want, dir := stateOfDataDirectory(), t.TempDir()
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
	golden := readAllPairs(t, filepath.Join(dataDirectory(t), "archive"))
	if !reflect.DeepEqual(got, golden) {
		t.Errorf("written: %q, want %q", got, golden)
	}
}

// pairs returns every key of a database with its value.
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
