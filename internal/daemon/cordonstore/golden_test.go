package cordonstore

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// A process of an earlier release shares the file with this one.
func TestFileIsReadAndWrittenAsBefore(t *testing.T) {
	dir, banned := t.TempDir(), []string{"s-1", "s-<&>é"}
	if got, err := (file{"testdata"}).read(); err != nil || !reflect.DeepEqual(got, banned) {
		t.Errorf("read are %q, %v, want %q", got, err, banned)
	}
	if err := (file{dir}).write(banned); err != nil {
		t.Fatal(err)
	}
	const name = "caperarch-bans.json"
	got, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("written is\n%s, want\n%s", got, want)
	}
}
