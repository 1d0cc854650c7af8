package fleetlog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// The report and the drawing of the two logs in testdata equal the recorded output in testdata.
func TestReportAndDrawing(t *testing.T) {
	f := New()
	for _, name := range []string{"n0.log", "n1.log"} {
		log, err := os.Open(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Read(name, log); err != nil {
			t.Fatal(err)
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	}
	for name, write := range map[string]func(*bytes.Buffer) error{
		"report.txt": func(b *bytes.Buffer) error { return f.Report(b) },
		"work.svg":   func(b *bytes.Buffer) error { return f.DrawMaintenance(b) },
	} {
		want, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := write(&got); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s:\n got %s\nwant %s", name, &got, want)
		}
	}
}
