package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReloadSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte("a"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(BootVariable, path)
	synctest.Test(t, func(t *testing.T) {
		Convey("A file change is reported once, with or without a signal; other signals are forwarded", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			signals := make(chan os.Signal, 1)
			out := ReloadSignals(ctx, signals)
			synctest.Wait()
			So(os.Chtimes(path, time.Time{}, time.Unix(1, 0)), ShouldBeNil)
			So(<-out, ShouldEqual, syscall.SIGHUP)
			signals <- syscall.SIGUSR1
			So(<-out, ShouldEqual, syscall.SIGUSR1)
			So(os.Chtimes(path, time.Time{}, time.Unix(2, 0)), ShouldBeNil)
			signals <- syscall.SIGHUP
			So(<-out, ShouldEqual, syscall.SIGHUP)
			time.Sleep(3 * pollInterval) // in virtual time
			select {
			case s := <-out:
				So(s, ShouldBeNil) // the change must not be reported twice
			default:
			}
			cancel()
			synctest.Wait()
			_, open := <-out
			So(open, ShouldBeFalse)
		})
	})
}
