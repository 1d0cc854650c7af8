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

// sealed is a file of the current kind with this content.
func sealed(content string) []byte { return durable.Seal(fileKind, []byte(content)) }

// reopen closes a state and opens it in another incarnation.
func reopen(t *testing.T, s *Store, dir string) *Store {
	t.Helper()
	s.Close()
	s, err := Open(dir, "hives", 3, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// What was stored is there after a restart, with the seat of the first start; entries that were overwritten
// are gone with all behind them; another log begins empty.
func TestStateOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := errors.Join(
		s.Begin(5),
		s.Save(vote(1, 0), []*raftpb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}),
		s.Save(vote(2, 2), []*raftpb.Entry{entry(2, 2)}),
		s.SaveText([32]byte{1}, []byte("open = 3")),
	); err != nil {
		t.Fatal(err)
	}
	s = reopen(t, s, dir)
	if s.Seat() != 99 {
		t.Errorf("seat %d, want 99", s.Seat())
	}
	saved, texts, err := s.Saved()
	if err != nil || saved.Epoch != 5 || saved.HardState.GetCommit() != 2 {
		t.Errorf("%+v, %v, want epoch 5 and 2 committed", saved, err)
	}
	if len(saved.Entries) != 2 || saved.Entries[1].GetTerm() != 2 {
		t.Errorf("entries %v, want 2, the last of term 2", saved.Entries)
	}
	if len(texts) != 1 || string(texts[0]) != "open = 3" {
		t.Errorf("texts %q", texts)
	}
	if err := s.Begin(6); err != nil {
		t.Fatal(err)
	}
	saved, texts, err = s.Saved()
	if err != nil || saved.Epoch != 6 || saved.HardState != nil || len(saved.Entries) != 0 || len(texts) != 0 {
		t.Errorf("another log: %+v, %q, %v", saved, texts, err)
	}
}

func TestTextsAreBounded(t *testing.T) {
	s := open(t, t.TempDir())
	for i := range maxTexts + 5 {
		if err := s.SaveText([32]byte{byte(i)}, []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, texts, err := s.Saved(); err != nil || len(texts) != maxTexts || texts[0][0] != 5 {
		t.Errorf("%d texts, %v, want the newest %d", len(texts), err, maxTexts)
	}
}

func TestStateIsOpenedOnce(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	if _, err := Open(dir, "hives", 3, 100); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
}

// The temporary file of a process that was killed as it wrote is removed.
func TestAbandonedFileIsRemoved(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	abandoned := filepath.Join(dir, fileName+".17.tmp")
	if err := os.WriteFile(abandoned, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	open(t, dir).Close()
	if _, err := os.Stat(abandoned); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the abandoned file: %v", err)
	}
}

func TestStateOfAnotherSidecarIsAnError(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	_, otherFleet := Open(dir, "bees", 3, 1)
	_, otherNumber := Open(dir, "hives", 4, 1)
	for want, err := range map[string]error{"sidecar 3's of fleet \"hives\"": otherFleet, "this is 4 of": otherNumber} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want an error that says %s", err, want)
		}
	}
}

// A Save that fails changes nothing of what is stored; entries that leave a gap are rejected.
func TestFailedSaveChangesNothing(t *testing.T) {
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
	if s.Save(vote(2, 1), []*raftpb.Entry{entry(1, 2)}) == nil || s.Begin(9) == nil ||
		s.SaveText([32]byte{}, nil) == nil {
		t.Error("stored in a directory that is gone")
	}
	saved, _, err := s.Saved()
	if err != nil || saved.Epoch != 0 || saved.HardState.GetTerm() != 1 {
		t.Errorf("%+v, %v, want the first hard state", saved, err)
	}
	if len(saved.Entries) != 1 || saved.Entries[0].GetTerm() != 1 {
		t.Errorf("entries %v, want the first one", saved.Entries)
	}
}

func TestCheckWritable(t *testing.T) {
	if CheckWritable(filepath.Join(t.TempDir(), "none")) == nil {
		t.Error("a missing directory is writable")
	}
	if err := CheckWritable(t.TempDir()); err != nil {
		t.Error(err)
	}
}

// A file of another format or another fleet is rejected with its name, and stays as it is.
func TestFileOfOthersStays(t *testing.T) {
	for name, content := range map[string][]byte{
		"a later format": sealed(`{"format":3,"fleet":"hives","number":3,"seat":7}`),
		"another fleet":  sealed(`{"format":2,"fleet":"bees","number":3,"seat":7}`),
	} {
		path := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(filepath.Dir(path), "hives", 3, 1); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
		if raw, err := os.ReadFile(path); err != nil || !bytes.Equal(raw, content) {
			t.Errorf("%s: %q, %v", name, raw, err)
		}
	}
}
