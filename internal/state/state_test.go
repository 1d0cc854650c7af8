package state

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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
	for i := range textsMost + 5 {
		if err := s.Text([32]byte{byte(i)}, []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, texts, _ := s.Saved(); len(texts) != textsMost {
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
	for says, open := range map[string]func() (*Store, error){
		"sidecar 3's of fleet \"hives\"": func() (*Store, error) { return Open(dir, "bees", 3, 1) },
		"this is 4 of":                   func() (*Store, error) { return Open(dir, "hives", 4, 1) },
	} {
		if _, err := open(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want an error that says %s", err, says)
		}
	}
}

// A file that is cut short, overwritten in places or none of ours is refused with its name, and so is a folder that can't be written; none brings a panic.
func TestDamaged(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	var all []*raftpb.Entry
	for i := range uint64(200) {
		all = append(all, entry(i+1, 1))
	}
	if err := errors.Join(s.Begin(5), s.Save(vote(1, 200), all)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	path := filepath.Join(dir, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for name, raw := range map[string][]byte{
		"noise": []byte(strings.Repeat("noise", 4000)), "half": whole[:len(whole)/2], "one page": whole[:4096],
		"zeroes in it": append(append(append([]byte(nil), whole[:8192]...), make([]byte, 8192)...), whole[16384:]...),
	} {
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := Open(dir, "hives", 3, 1); err == nil {
			t.Errorf("%s: taken", name)
			s.Close()
		} else if refused++; !strings.Contains(err.Error(), fileName) {
			t.Errorf("%s: %v does not name the file", name, err)
		}
	}
	if Usable(filepath.Join(dir, "none")) == nil {
		t.Error("a folder that is not there can be used")
	}
	if err := Usable(dir); err != nil {
		t.Error(err)
	}
}
