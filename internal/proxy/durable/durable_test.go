package durable

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for _, text := range []string{"one", "another"} {
		if err := Replace(path, []byte(text), true); err != nil {
			t.Fatal(err)
		}
		if raw, err := ReadBounded(path, 7); err != nil || string(raw) != text {
			t.Errorf("%q, %v", raw, err)
		}
	}
	if err := Quarantine(path); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path + ".damaged"); err != nil || string(raw) != "another" {
		t.Errorf("put aside: %q, %v", raw, err)
	}
	for _, err := range []error{Quarantine(path), Remove(path), Replace(filepath.Join(path, "none"), nil, true)} {
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("a file that is not there: %v", err)
		}
	}
}

// What a killed process left beside the file goes, and nothing else does.
func TestRemoveTemporary(t *testing.T) {
	dir := t.TempDir()
	left, other, aside := filepath.Join(dir, "file.123.tmp"), filepath.Join(dir, "other.123.tmp"), filepath.Join(dir, "file.damaged")
	for _, path := range []string{left, other, aside} {
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := RemoveTemporary(filepath.Join(dir, "file")); err != nil {
		t.Fatal(err)
	}
	if names, err := os.ReadDir(dir); err != nil || len(names) != 2 {
		t.Errorf("%v, %v", names, err)
	}
}

// A file without end is read no further than its bound.
func TestReadBounded(t *testing.T) {
	if raw, err := ReadBounded("/dev/zero", 1<<16); raw != nil || !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if _, err := ReadBounded(t.TempDir(), 1); err == nil {
		t.Error("a folder is read")
	}
}

func TestSeal(t *testing.T) {
	for _, content := range []string{"", "text", "two\nlines\n"} {
		got, err := Unseal("kind", Seal("kind", []byte(content)))
		if err != nil || !bytes.Equal(got, []byte(content)) {
			t.Errorf("%q: %q, %v", content, got, err)
		}
	}
	for _, raw := range []string{"", "kind", string(Seal("other", nil)), string(Seal("kind", nil)) + "x", string(make([]byte, maxHeaderSize+1)) + "\n"} {
		if _, err := Unseal("kind", []byte(raw)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%q: %v", raw, err)
		}
	}
}
