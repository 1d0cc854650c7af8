package cordonstore

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The format of the bans file must not change: this process may share the file with a process of an earlier release.
func TestFileFormatIsUnchanged(t *testing.T) {
	dir, banned := t.TempDir(), []string{"s-1", "s-<&>é"}
	if got, err := (file{"testdata"}).read(); err != nil || !reflect.DeepEqual(got, banned) {
		t.Errorf("golden file was read as bans %q, error %v, want bans %q", got, err, banned)
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
		t.Errorf("written file is\n%s, want the golden file\n%s", got, want)
	}
}
