package controlplane

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

func TestShareHoldersSurviveRestart(t *testing.T) {
	Convey("Share holders are loaded as they were saved; a malformed file yields an error and no names", t, func() {
		directory := t.TempDir()
		names, err := loadShareHolders(directory)
		So(err, ShouldBeNil)
		So(names, ShouldBeEmpty)
		for _, sidecars := range [][]string{{"a", "b", "c"}, {"b"}, {}} {
			So(saveShareHolders(directory, sidecars), ShouldBeNil)
			names, err = loadShareHolders(directory)
			So(err, ShouldBeNil)
			So(names, ShouldResemble, sidecars)
		}
		tooMany, err := json.Marshal(shareHoldersFile{Sidecars: slices.Repeat([]string{"a"}, registry.MaxLeases+1)})
		So(err, ShouldBeNil)
		for _, content := range []string{"", "{", `{"sidecars":-1}`, `{"sidecars":12}`, `{"sidecars":[""]}`,
			string(tooMany), strings.Repeat(" ", maxShareHoldersBytes+1)} {
			path := filepath.Join(directory, shareHoldersFileName)
			So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
			names, err = loadShareHolders(directory)
			So(errs.KindOf(err), ShouldEqual, errs.Malformed)
			So(names, ShouldBeEmpty)
		}
		temporaryFile := filepath.Join(directory, shareHoldersFileName+".1.tmp")
		So(os.WriteFile(temporaryFile, nil, 0o600), ShouldBeNil)
		_, _ = loadShareHolders(directory)
		_, err = os.Stat(temporaryFile)
		So(os.IsNotExist(err), ShouldBeTrue)
		So(errs.KindOf(saveShareHolders(filepath.Join(directory, "none"), nil)), ShouldEqual, errs.DiskFailed)
	})
}
