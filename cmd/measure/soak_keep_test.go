package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A soak of ten seeds ended at its first finding, as the folder for its reports did not exist, and the finding's text was
// lost. The folder is made before anything is played; one that can't be made is a usage error.
func TestSoakMakesTheFolderForItsReports(t *testing.T) {
	before := soakKeepFlag
	t.Cleanup(func() { soakKeepFlag = before })
	dir := t.TempDir()
	soakKeepFlag = filepath.Join(dir, "a", "b")
	if err := prepareKeep(); err != nil {
		t.Fatal(err)
	}
	report := &soakReport{Faults: []string{"p"}}
	if err := report.keep(); err != nil {
		t.Errorf("a report is not kept: %v", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	soakKeepFlag = filepath.Join(file, "a")
	var usage usageError
	if err := prepareKeep(); !errors.As(err, &usage) {
		t.Errorf("%v, want a usage error: a file is in the way", err)
	}
}
