package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// If the folder for reports is missing, the report of the first failed run can't be written and its text is lost. The
// folder is therefore created before the first seed runs, and a folder that can't be created is a usage error.
func TestSoakCreatesReportFolder(t *testing.T) {
	before := soakKeepFlag
	t.Cleanup(func() { soakKeepFlag = before })
	dir := t.TempDir()
	soakKeepFlag = filepath.Join(dir, "a", "b")
	if err := createReportFolder(); err != nil {
		t.Fatal(err)
	}
	report := &soakReport{Faults: []string{"p"}}
	if err := report.writeIfFailed(); err != nil {
		t.Errorf("report of a failed run not written: %v", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	soakKeepFlag = filepath.Join(file, "a")
	var usage usageError
	if err := createReportFolder(); !errors.As(err, &usage) {
		t.Errorf("create a report folder below a regular file: got error %v, want a usage error", err)
	}
}
