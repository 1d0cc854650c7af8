package replication

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

func TestStore(t *testing.T) {
	Convey("Given an initialized store with saved batches", t, func() {
		dir := t.TempDir()
		address := memberA.Address()
		s, state, err := OpenStore(dir, address)
		So(err, ShouldBeNil)
		So(state, ShouldResemble, State{})
		initialMembership := Membership{Voters: allMembers[:3]}
		So(s.Initialize(State{
			ID: memberA + "#7", Cluster: testCluster, Snapshot: Snapshot{Membership: initialMembership},
		}), ShouldBeNil)
		hardState := HardState{Term: 3, Vote: memberB}
		jointMembership := Membership{Voters: allMembers[:4], Outgoing: allMembers[:3]}
		entries := []Entry{
			{Index: 1, Term: 1},
			{Index: 2, Term: 1, Command: []byte("x")},
			{Index: 3, Term: 2, Command: make([]byte, 2*writeBufferBytes)},
			{Index: 4, Term: 2, Command: []byte("y")},
			{Index: 5, Term: 2, Kind: EntryMembership, Command: jointMembership.encode()},
		}
		So(s.Save(&WriteBatch{HardState: &hardState, Entries: entries}), ShouldBeNil)
		replacements := []Entry{
			{Index: 4, Term: 3, Command: []byte("z")},
			{Index: 5, Term: 3, Kind: EntryMembership, Command: jointMembership.encode()},
		}
		So(s.Save(&WriteBatch{TruncateFrom: 4, Entries: replacements}), ShouldBeNil)
		snapshot := Snapshot{Index: 2, Term: 1, Membership: initialMembership, Data: []byte("s")}
		So(s.Save(&WriteBatch{Snapshot: &snapshot}), ShouldBeNil)
		want := State{
			ID: memberA + "#7", Cluster: testCluster, HardState: hardState, Snapshot: snapshot,
			Entries: append(entries[2:3:3], replacements...),
		}
		reopened := func() State {
			So(s.Close(), ShouldBeNil)
			s, state, err = OpenStore(dir, "10.9.9.9:1")
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return state
		}

		Convey("a reopened store returns the saved state, and its identity does not depend on the address", func() {
			So(reopened(), ShouldResemble, want)
		})
		Convey("entries of a failed Save that reached the disk are deleted by the next truncation", func() {
			failed := &WriteBatch{Entries: []Entry{
				{Index: 6, Term: 3, Command: []byte("6")}, {Index: 7, Term: 3, Command: []byte("7")},
			}}
			batch, _, last, err := s.encodeBatch(failed)
			So(err, ShouldBeNil)
			So(s.db.Write(batch, &opt.WriteOptions{Sync: true}), ShouldBeNil)
			s.lastAttempted = last // as Save sets it when the sync fails
			newer := Entry{Index: 6, Term: 4, Command: []byte("newer")}
			So(s.Save(&WriteBatch{TruncateFrom: 6, Entries: []Entry{newer}}), ShouldBeNil)
			want.Entries = append(want.Entries, newer)
			So(reopened(), ShouldResemble, want)
		})
		Convey("a torn write at the end of the journal loses only that write", func() {
			journals, err := filepath.Glob(filepath.Join(dir, databaseDirectory, "*.log"))
			So(err, ShouldBeNil)
			journal := journals[len(journals)-1]
			before, err := os.Stat(journal)
			So(err, ShouldBeNil)
			So(s.Save(&WriteBatch{Entries: []Entry{{Index: 6, Term: 3, Command: []byte("torn")}}}), ShouldBeNil)
			after, err := os.Stat(journal)
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			So(os.Truncate(journal, (before.Size()+after.Size())/2), ShouldBeNil)
			So(reopened(), ShouldResemble, want)
		})
		Convey("OpenOrReset replaces a corrupt store with an empty store", func() {
			So(s.Close(), ShouldBeNil)
			manifests, err := filepath.Glob(filepath.Join(dir, databaseDirectory, "MANIFEST-*"))
			So(err, ShouldBeNil)
			for _, m := range manifests {
				So(os.WriteFile(m, []byte("no manifest"), 0o600), ShouldBeNil)
			}
			_, _, err = OpenStore(dir, address)
			So(errs.KindOf(err), ShouldEqual, errs.DiskFailed)
			So(IsCorrupt(err), ShouldBeTrue)
			s, state, err = OpenOrReset(dir, address, zap.NewNop())
			So(err, ShouldBeNil)
			So(state, ShouldResemble, State{})
			So(s.Close(), ShouldBeNil)
		})
	})
}

// writeFixedMembersStore writes a store in the format of an earlier version, which had a fixed set of
// members. The store holds the given keys and values, and one entry.
func writeFixedMembersStore(dir string, values map[string]any) {
	db, err := leveldb.OpenFile(filepath.Join(dir, databaseDirectory), leveldbOptions(false))
	So(err, ShouldBeNil)
	for key, value := range values {
		data, err := json.Marshal(value)
		So(err, ShouldBeNil)
		So(db.Put([]byte(key), data, &opt.WriteOptions{Sync: true}), ShouldBeNil)
	}
	e := Entry{Index: 1, Term: 4, Command: []byte("kept")}
	So(db.Put(entryKey(1), encodeEntry(&e), &opt.WriteOptions{Sync: true}), ShouldBeNil)
	So(db.Close(), ShouldBeNil)
}

func TestStoreMigratesFixedMembers(t *testing.T) {
	seeds := []string{memberA.Address(), memberB.Address(), memberC.Address()}
	hardState := func(remembers bool) map[string]any {
		return map[string]any{"view": 4, "vote": memberB, "remembers": remembers, "known": map[string]any{}}
	}
	Convey("A complete store becomes the store of an initial voter", t, func() {
		dir := t.TempDir()
		writeFixedMembersStore(dir, map[string]any{"members": seeds, "hard": hardState(true)})
		for range 2 {
			s, state, err := OpenStore(dir, seeds[0])
			So(err, ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			cluster, membership := Bootstrap(seeds)
			So(state, ShouldResemble, State{
				ID: memberA, Cluster: cluster, HardState: HardState{Term: 4, Vote: memberB},
				Snapshot: Snapshot{Membership: membership}, Entries: []Entry{{Index: 1, Term: 4, Command: []byte("kept")}},
			})
		}
	})
	Convey("A store that lost its state, or has a missing or malformed key, is corrupt and is reset", t, func() {
		for _, values := range []map[string]any{
			{"members": seeds, "hard": hardState(false)}, {"members": seeds}, {"hard": hardState(true)},
			{"members": []string{}, "hard": hardState(true)}, {"members": 7, "hard": hardState(true)},
			{"identity": map[string]any{"id": ""}, "hard": hardState(true)},
			{"identity": identity{ID: memberA}, "hard": hardState(true)},
		} {
			dir := t.TempDir()
			writeFixedMembersStore(dir, values)
			_, _, err := OpenStore(dir, seeds[0])
			So(errs.KindOf(err), ShouldEqual, errs.DiskFailed)
			So(IsCorrupt(err), ShouldBeTrue)
			s, state, err := OpenOrReset(dir, seeds[0], zap.NewNop())
			So(err, ShouldBeNil)
			So(state, ShouldResemble, State{})
			So(s.Close(), ShouldBeNil)
		}
	})
	Convey("A store of another cluster keeps its cluster id", t, func() {
		dir := t.TempDir()
		s, _, err := OpenStore(dir, seeds[0])
		So(err, ShouldBeNil)
		So(s.Initialize(State{ID: memberA, Cluster: testCluster + 1}), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		s, state, err := OpenStore(dir, seeds[0])
		So(err, ShouldBeNil)
		So(state.Cluster, ShouldEqual, testCluster+1)
		So(s.Close(), ShouldBeNil)
	})
}

func TestStoreRetriesAfterFailedWrite(t *testing.T) {
	Convey("After a failed Initialize or Save, the next attempt succeeds", t, func() {
		dir := t.TempDir()
		s, _, err := OpenStore(dir, memberA.Address())
		So(err, ShouldBeNil)
		// A closed database rejects writes, as goleveldb does after a journal write has failed.
		failNextWrite := func() { So(s.db.Close(), ShouldBeNil) }
		state := State{ID: memberA, Cluster: testCluster, Snapshot: Snapshot{Membership: Membership{Voters: allMembers[:3]}}}
		failNextWrite()
		So(errs.KindOf(s.Initialize(state)), ShouldEqual, errs.DiskFailed)
		So(s.Initialize(state), ShouldBeNil)
		entry := &WriteBatch{Entries: []Entry{{Index: 1, Term: 1, Command: []byte("x")}}}
		failNextWrite()
		So(errs.KindOf(s.Save(entry)), ShouldEqual, errs.DiskFailed)
		So(s.Save(entry), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		s, read, err := OpenStore(dir, memberA.Address())
		So(err, ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		state.Entries = entry.Entries
		So(read, ShouldResemble, state)
	})
}
