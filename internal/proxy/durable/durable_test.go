package durable

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestReplaceAndQuarantine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for name, replace := range map[string]func(string, []byte) error{"synced": Replace, "unsynced": ReplaceUnsynced} {
		for _, text := range []string{"one", "another"} {
			if err := replace(path, []byte(text)); err != nil {
				t.Fatal(err)
			}
			if raw, err := ReadBounded(path, 7); err != nil || string(raw) != text {
				t.Errorf("%s: read %q, %v, want %q", name, raw, err, text)
			}
		}
	}
	if err := Quarantine(path); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path + ".damaged"); err != nil || string(raw) != "another" {
		t.Errorf("quarantined: %q, %v", raw, err)
	}
	for _, err := range []error{Quarantine(path), Remove(path), Replace(filepath.Join(path, "none"), nil)} {
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("a missing file: %v", err)
		}
	}
}

// What a killed process left beside the file is removed, and nothing else.
func TestRemoveTemporaryRemovesOnlyAbandonedFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"file.123.tmp", "other.123.tmp", "file.damaged"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
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

// An endless file is read no further than its bound.
func TestReadBoundedStopsAtItsBound(t *testing.T) {
	if raw, err := ReadBounded("/dev/zero", 1<<16); raw != nil || !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if _, err := ReadBounded(t.TempDir(), 1); err == nil {
		t.Error("a directory is read")
	}
}

func TestUnsealTakesOnlyWhatWasSealed(t *testing.T) {
	for _, content := range []string{"", "text", "two\nlines\n"} {
		got, err := Unseal("kind", Seal("kind", []byte(content)))
		if err != nil || !bytes.Equal(got, []byte(content)) {
			t.Errorf("%q: %q, %v", content, got, err)
		}
	}
	for _, raw := range []string{
		"", "kind", string(Seal("other", nil)), string(Seal("kind", nil)) + "x",
		string(make([]byte, maxHeaderSize+1)) + "\n",
	} {
		if _, err := Unseal("kind", []byte(raw)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%q: %v", raw, err)
		}
	}
}
