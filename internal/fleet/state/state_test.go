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

// entry returns a log entry with fixed data.
func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte("data")}
}

// hardState returns a hard state with a vote for voter 7.
func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(7), Commit: proto.Uint64(commit)}
}

// open opens the state of sidecar 3 of fleet "hives" with voter incarnation 99, and closes it after the test.
func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, "hives", 3, 99)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// sealed returns a file of the current format with the given content.
func sealed(content string) []byte { return durable.Seal(fileKind, []byte(content)) }

// reopen closes a state and opens it again from a process with incarnation 100.
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

// The stored state and the voter incarnation of the first start survive a restart. An overwritten entry is gone
// together with all entries after it. Begin starts an empty log.
func TestStateSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := errors.Join(
		s.Begin(5),
		s.Save(hardState(1, 0), []*raftpb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}),
		s.Save(hardState(2, 2), []*raftpb.Entry{entry(2, 2)}),
		s.SaveText([32]byte{1}, []byte("open = 3")),
	); err != nil {
		t.Fatal(err)
	}
	s = reopen(t, s, dir)
	if s.VoterIncarnation() != 99 {
		t.Errorf("voter incarnation %d, want 99", s.VoterIncarnation())
	}
	saved, texts, err := s.Saved()
	if err != nil || saved.Epoch != 5 || saved.HardState.GetCommit() != 2 {
		t.Errorf("log %+v, error %v, want epoch 5 and 2 committed entries", saved, err)
	}
	if len(saved.Entries) != 2 || saved.Entries[1].GetTerm() != 2 {
		t.Errorf("entries %v, want 2, the last one of term 2", saved.Entries)
	}
	if len(texts) != 1 || string(texts[0]) != "open = 3" {
		t.Errorf("texts %q, want the stored one", texts)
	}
	if err := s.Begin(6); err != nil {
		t.Fatal(err)
	}
	saved, texts, err = s.Saved()
	if err != nil || saved.Epoch != 6 || saved.HardState != nil || len(saved.Entries) != 0 || len(texts) != 0 {
		t.Errorf("after Begin(6): log %+v, texts %q, error %v; want an empty log of epoch 6", saved, texts, err)
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
		t.Errorf("%d texts, error %v, want the newest %d", len(texts), err, maxTexts)
	}
}

func TestStateInUseIsNotOpened(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	if _, err := Open(dir, "hives", 3, 100); !errors.Is(err, ErrInUse) {
		t.Errorf("opening the state a second time: error %v, want ErrInUse", err)
	}
}

// Open removes the temporary file that a process left when it was killed during a write.
func TestAbandonedTemporaryFileIsRemoved(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	abandoned := filepath.Join(dir, fileName+".17.tmp")
	if err := os.WriteFile(abandoned, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	open(t, dir).Close()
	if _, err := os.Stat(abandoned); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the abandoned temporary file still exists: %v", err)
	}
}

func TestStateOfAnotherSidecarIsAnError(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	_, otherFleet := Open(dir, "bees", 3, 1)
	_, otherNumber := Open(dir, "hives", 4, 1)
	for want, err := range map[string]error{
		"sidecar 3 of fleet \"hives\"": otherFleet, "this process is sidecar 4 of": otherNumber,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %s", err, want)
		}
	}
}

// A failed Save, Begin or Text leaves the state in memory unchanged, and Save rejects entries that leave a gap.
func TestFailedSaveChangesNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	if err := s.Save(hardState(1, 1), []*raftpb.Entry{entry(1, 1)}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(nil, []*raftpb.Entry{entry(3, 1)}); !errors.Is(err, errEntryGap) {
		t.Errorf("saving entry 3 after entry 1: error %v, want errEntryGap", err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if s.Save(hardState(2, 1), []*raftpb.Entry{entry(1, 2)}) == nil || s.Begin(9) == nil ||
		s.SaveText([32]byte{}, nil) == nil {
		t.Error("a write to a removed directory succeeded, want an error")
	}
	saved, _, err := s.Saved()
	if err != nil || saved.Epoch != 0 || saved.HardState.GetTerm() != 1 {
		t.Errorf("log %+v, error %v, want the first hard state", saved, err)
	}
	if len(saved.Entries) != 1 || saved.Entries[0].GetTerm() != 1 {
		t.Errorf("entries %v, want the first one", saved.Entries)
	}
}

func TestCheckWritable(t *testing.T) {
	if CheckWritable(filepath.Join(t.TempDir(), "none")) == nil {
		t.Error("CheckWritable accepted a missing directory")
	}
	if err := CheckWritable(t.TempDir()); err != nil {
		t.Errorf("CheckWritable of an empty directory: %v", err)
	}
}

// A file of another format or another fleet is rejected with an error that names the file, and is left unchanged.
func TestFileOfOthersIsKept(t *testing.T) {
	for name, content := range map[string][]byte{
		"a later format": sealed(`{"format":3,"fleet":"hives","number":3,"seat":7}`),
		"another fleet":  sealed(`{"format":2,"fleet":"bees","number":3,"seat":7}`),
	} {
		path := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(filepath.Dir(path), "hives", 3, 1); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("opening a file of %s: error %v, want one that names the file", name, err)
		}
		if raw, err := os.ReadFile(path); err != nil || !bytes.Equal(raw, content) {
			t.Errorf("file of %s after Open: %q, error %v, want it unchanged", name, raw, err)
		}
	}
}
