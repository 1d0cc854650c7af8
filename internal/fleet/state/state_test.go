package state

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/durable"
)

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte("data")}
}

func vote(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(7), Commit: proto.Uint64(commit)}
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, "hives", 3, 99)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// What was kept is there after a start, with the seat of the first one; entries that were overwritten are gone with all behind them; another log begins empty.
func TestKept(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := errors.Join(s.Begin(5), s.Save(vote(1, 0), []*raftpb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}), s.Save(vote(2, 2), []*raftpb.Entry{entry(2, 2)}),
		s.Text([32]byte{1}, []byte("open = 3"))); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "hives", 3, 100); !errors.Is(err, ErrInUse) {
		t.Errorf("open twice: %v", err)
	}
	s.Close()
	s, err := Open(dir, "hives", 3, 100)
	if err != nil || s.Seat() != 99 {
		t.Fatalf("%v, seat %d", err, s.Seat())
	}
	saved, texts, err := s.Saved()
	if err != nil || saved.Epoch != 5 || len(saved.Entries) != 2 || saved.Entries[1].GetTerm() != 2 || saved.Vote.GetCommit() != 2 || len(texts) != 1 || string(texts[0]) != "open = 3" {
		t.Errorf("%+v, %q, %v", saved, texts, err)
	}
	for i := range maxTexts + 5 {
		if err := s.Text([32]byte{byte(i)}, []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, texts, _ := s.Saved(); len(texts) != maxTexts {
		t.Errorf("%d texts", len(texts))
	}
	if err := s.Begin(6); err != nil {
		t.Fatal(err)
	}
	saved, texts, err = s.Saved()
	if err != nil || saved.Epoch != 6 || saved.Vote != nil || len(saved.Entries) != 0 || len(texts) != 0 {
		t.Errorf("another log: %+v, %q, %v", saved, texts, err)
	}
	s.Close()
	left := filepath.Join(dir, fileName+".17.tmp") // of a process that was killed as it wrote
	if err := os.WriteFile(left, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	open(t, dir).Close()
	if _, err := os.Stat(left); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("what was left behind: %v", err)
	}
	for says, open := range map[string]func() (*Store, error){
		"sidecar 3's of fleet \"hives\"": func() (*Store, error) { return Open(dir, "bees", 3, 1) },
		"this is 4 of":                   func() (*Store, error) { return Open(dir, "hives", 4, 1) },
	} {
		if _, err := open(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want an error that says %s", err, says)
		}
	}
}

// A Save that fails changes nothing of what is kept; entries that leave a gap are refused.
func TestFailedSave(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	if err := s.Save(vote(1, 1), []*raftpb.Entry{entry(1, 1)}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(nil, []*raftpb.Entry{entry(3, 1)}); !errors.Is(err, errEntryGap) {
		t.Errorf("a gap: %v", err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if s.Save(vote(2, 1), []*raftpb.Entry{entry(1, 2)}) == nil || s.Begin(9) == nil || s.Text([32]byte{}, nil) == nil {
		t.Error("kept in a folder that is gone")
	}
	if saved, _, err := s.Saved(); err != nil || saved.Epoch != 0 || saved.Vote.GetTerm() != 1 || len(saved.Entries) != 1 || saved.Entries[0].GetTerm() != 1 {
		t.Errorf("%+v, %v", saved, err)
	}
	if CheckWritable(dir) == nil {
		t.Error("a folder that is not there can be used")
	}
	if err := CheckWritable(t.TempDir()); err != nil {
		t.Error(err)
	}
}

// A file of another format or of nobody's is refused with its name, and stays as it is.
func TestOthersFileStays(t *testing.T) {
	sealed := func(text string) []byte { return durable.Seal(fileKind, []byte(text)) }
	for name, file := range map[string]struct {
		path string
		raw  []byte
	}{
		"a later format": {fileName, sealed(`{"format":3,"fleet":"hives","number":3,"seat":7}`)},
		"another fleet":  {fileName, sealed(`{"format":2,"fleet":"bees","number":3,"seat":7}`)},
	} {
		path := filepath.Join(t.TempDir(), file.path)
		if err := os.WriteFile(path, file.raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(filepath.Dir(path), "hives", 3, 1); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
		if raw, err := os.ReadFile(path); err != nil || !bytes.Equal(raw, file.raw) {
			t.Errorf("%s: %q, %v", name, raw, err)
		}
	}
}
