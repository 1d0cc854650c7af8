package state

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// goldenFile is a file of testdata that an earlier release wrote with the calls of saveGolden.
const goldenFile = "caperarch-fleet.state"

func saveGolden(s *Store) error {
	return errors.Join(
		s.Begin(5),
		s.Save(hardState(1, 0), []*raftpb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}),
		s.Save(hardState(2, 2), []*raftpb.Entry{entry(2, 2)}),
		s.SaveText([32]byte{1}, []byte("open = 3")),
		s.SaveText([32]byte{2}, []byte("open = 4")),
	)
}

func TestFileOfEarlierReleaseIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata")); err != nil {
		t.Fatal(err)
	}
	s, err := Open(dir, "hives", 3, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	saved, texts, err := s.Saved()
	if err != nil {
		t.Fatal(err)
	}
	if s.VoterIncarnation() != 99 || saved.Epoch != 5 {
		t.Errorf("voter incarnation %d, epoch %d, want 99 and 5", s.VoterIncarnation(), saved.Epoch)
	}
	if !proto.Equal(saved.HardState, hardState(2, 2)) {
		t.Errorf("hard state %v, want %v", saved.HardState, hardState(2, 2))
	}
	want := []*raftpb.Entry{entry(1, 1), entry(2, 2)}
	if len(saved.Entries) != len(want) || !proto.Equal(saved.Entries[0], want[0]) ||
		!proto.Equal(saved.Entries[1], want[1]) {
		t.Errorf("entries %v, want %v", saved.Entries, want)
	}
	if want := [][]byte{[]byte("open = 3"), []byte("open = 4")}; !reflect.DeepEqual(texts, want) {
		t.Errorf("texts %q, want %q", texts, want)
	}
}

func TestFileIsWrittenAsByEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	checkFile(t, dir, "new.state") // only Open has written so far
	if err := saveGolden(s); err != nil {
		t.Fatal(err)
	}
	checkFile(t, dir, goldenFile)
}

// checkFile compares the state file in a directory with a golden file of testdata.
func checkFile(t *testing.T, dir, golden string) {
	t.Helper()
	got, err := os.ReadFile(filepath.Join(dir, goldenFile))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", golden))
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("the state file is\n%s, want the content of %s\n%s", got, golden, want)
	}
}
