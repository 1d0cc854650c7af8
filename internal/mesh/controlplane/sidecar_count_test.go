package controlplane

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestSidecarCountOutlivesRestart(t *testing.T) {
	Convey("The number of sidecars is read as it was saved; a file that makes no sense counts as none", t, func() {
		directory := t.TempDir()
		count, err := loadSidecarCount(directory)
		So(err, ShouldBeNil)
		So(count, ShouldEqual, 0)
		for _, sidecars := range []int{12, 9} {
			So(saveSidecarCount(directory, sidecars), ShouldBeNil)
			count, err = loadSidecarCount(directory)
			So(err, ShouldBeNil)
			So(count, ShouldEqual, sidecars)
		}
		for _, content := range []string{"", "{", `{"sidecars":-1}`, `{"sidecars":1e9}`, `{"sidecars":1.5}`,
			strings.Repeat(" ", maxSidecarCountBytes+1)} {
			path := filepath.Join(directory, sidecarCountName)
			So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
			count, err = loadSidecarCount(directory)
			So(errs.KindOf(err), ShouldEqual, errs.Malformed)
			So(count, ShouldEqual, 0)
		}
		abandoned := filepath.Join(directory, sidecarCountName+".1.tmp")
		So(os.WriteFile(abandoned, nil, 0o600), ShouldBeNil)
		_, _ = loadSidecarCount(directory)
		_, err = os.Stat(abandoned)
		So(os.IsNotExist(err), ShouldBeTrue)
		So(errs.KindOf(saveSidecarCount(filepath.Join(directory, "none"), 1)), ShouldEqual, errs.DiskFailed)
	})
}
