package durable

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Replace and ReplaceUnsynced create and replace a file, and Quarantine renames it. All functions report a missing
// file.
func TestReplaceAndQuarantine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for name, replace := range map[string]func(string, []byte) error{"synced": Replace, "unsynced": ReplaceUnsynced} {
		for _, text := range []string{"one", "another"} {
			if err := replace(path, []byte(text)); err != nil {
				t.Fatal(err)
			}
			if raw, err := ReadBounded(path, 7); err != nil || string(raw) != text {
				t.Errorf("%s: read %q with error %v, want %q", name, raw, err, text)
			}
		}
	}
	if err := Quarantine(path); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path + ".damaged"); err != nil || string(raw) != "another" {
		t.Errorf("quarantined file has %q with error %v, want another", raw, err)
	}
	for _, err := range []error{Quarantine(path), Remove(path), Replace(filepath.Join(path, "none"), nil)} {
		if !errors.Is(err, os.ErrNotExist) {
			t.Errorf("missing file: got error %v, want os.ErrNotExist", err)
		}
	}
}

// RemoveTemporary removes the temporary files of a killed process and no other files.
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
		t.Errorf("directory has %v with error %v, want 2 files", names, err)
	}
}

// ReadBounded stops reading at the limit, even if the file is endless.
func TestReadBoundedStopsAtLimit(t *testing.T) {
	if raw, err := ReadBounded("/dev/zero", 1<<16); raw != nil || !errors.Is(err, ErrTooLarge) {
		t.Errorf("read %d bytes with error %v, want ErrTooLarge", len(raw), err)
	}
	if _, err := ReadBounded(t.TempDir(), 1); err == nil {
		t.Error("reading a directory returned no error")
	}
}

// Unseal accepts only files of the same kind that Seal returned.
func TestUnsealRejectsCorruptFiles(t *testing.T) {
	for _, content := range []string{"", "text", "two\nlines\n"} {
		got, err := Unseal("kind", Seal("kind", []byte(content)))
		if err != nil || !bytes.Equal(got, []byte(content)) {
			t.Errorf("content %q is read as %q with error %v", content, got, err)
		}
	}
	for _, raw := range []string{
		"", "kind", string(Seal("other", nil)), string(Seal("kind", nil)) + "x",
		string(make([]byte, maxHeaderSize+1)) + "\n",
	} {
		if _, err := Unseal("kind", []byte(raw)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%q: got error %v, want ErrCorrupt", raw, err)
		}
	}
}
