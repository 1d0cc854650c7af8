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

// goldenFile is what an earlier release wrote in the steps that saveGolden takes.
const goldenFile = "caperarch-fleet.state"

func saveGolden(s *Store) error {
	return errors.Join(
		s.Begin(5),
		s.Save(vote(1, 0), []*raftpb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}),
		s.Save(vote(2, 2), []*raftpb.Entry{entry(2, 2)}),
		s.SaveText([32]byte{1}, []byte("open = 3")),
		s.SaveText([32]byte{2}, []byte("open = 4")),
	)
}

func TestFileOfAnEarlierReleaseIsReadWhole(t *testing.T) {
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
	if s.Seat() != 99 || saved.Epoch != 5 {
		t.Errorf("seat %d, epoch %d, want 99 and 5", s.Seat(), saved.Epoch)
	}
	if !proto.Equal(saved.HardState, vote(2, 2)) {
		t.Errorf("vote %v, want %v", saved.HardState, vote(2, 2))
	}
	want := []*raftpb.Entry{entry(1, 1), entry(2, 2)}
	if len(saved.Entries) != len(want) || !proto.Equal(saved.Entries[0], want[0]) || !proto.Equal(saved.Entries[1], want[1]) {
		t.Errorf("entries %v, want %v", saved.Entries, want)
	}
	if want := [][]byte{[]byte("open = 3"), []byte("open = 4")}; !reflect.DeepEqual(texts, want) {
		t.Errorf("texts %q, want %q", texts, want)
	}
}

func TestFileIsWrittenAsBefore(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	checkFile(t, dir, "new.state") // nothing was saved yet
	if err := saveGolden(s); err != nil {
		t.Fatal(err)
	}
	checkFile(t, dir, goldenFile)
}

// checkFile compares the file in a folder with one in testdata.
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
		t.Errorf("written is\n%s, want %s\n%s", got, golden, want)
	}
}
