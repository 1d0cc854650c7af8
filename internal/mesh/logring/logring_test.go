package logring

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestDumpOnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Entries stay in memory until an error is logged, and are dumped at most once a second", t, func() {
			var out bytes.Buffer
			// written returns the output since its last call.
			written := func() string {
				defer out.Reset()
				return out.String()
			}
			log, ring := New(&out, 0)
			log.Named("desk").With(zap.Int("a", 1)).Debug("quiet", zap.Duration("b", time.Second))
			So(written(), ShouldEqual, "")
			log.Warn("odd")
			So(written(), ShouldEqual, "00:00:00.000 WARN odd\n")
			log.Error("bad")
			So(written(), ShouldEqual, "== daybook: 3 entries up to: bad\n"+
				"00:00:00.000 DEBUG desk quiet {\"a\": 1, \"b\": \"1s\"}\n00:00:00.000 WARN odd\n00:00:00.000 ERROR bad\n")

			time.Sleep(dumpInterval - time.Millisecond)
			log.Info("then")
			log.Error("bad again")
			So(written(), ShouldEqual, "00:00:00.999 ERROR bad again\n")
			ring.Dump("asked")
			So(written(), ShouldEqual, "")
			time.Sleep(time.Millisecond)
			ring.Dump("asked")
			So(written(), ShouldEqual,
				"== daybook: 2 entries up to: asked\n00:00:00.999 INFO then\n00:00:00.999 ERROR bad again\n")
		})
	})
}

func TestRingKeepsLastEntries(t *testing.T) {
	Convey("The ring keeps exactly the last entries that fit, whatever their lengths", t, func() {
		random := rand.New(rand.NewSource(1))
		for _, size := range []int{1, 50, 3000, 8 * maxEntryBytes} {
			_, ring := New(&bytes.Buffer{}, size)
			var want []string
			for i := range 5000 {
				// The entries of the first half are so short that maxEntries bounds the ring. In the second
				// half, some entries are truncated.
				maxLength := []int{4, maxEntryBytes + 100}[random.Intn(2)*(i/2500)]
				line := strings.Repeat(string(rune('a'+i%26)), random.Intn(maxLength)) + "\n"
				ring.append([]byte(line))
				if limit := min(maxEntryBytes, size); len(line) > limit {
					line = line[:limit-1] + "\n"
				}
				want = append(want, line)
				for len(want) > maxEntries || len(strings.Join(want, "")) > size {
					want = want[1:]
				}
				if i%1250 == 1249 {
					ring.lastDump = time.Time{}
					_, body, _ := strings.Cut(string(ring.drain("", time.Now())), "\n")
					So(body, ShouldEqual, strings.Join(want, ""))
					want = nil
				}
			}
		}
	})
}
