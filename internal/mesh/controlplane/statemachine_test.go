package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/sidecar"
)

// put is a change to a version that builds on another, with services of these names in place of all.
func put(version, base int64, services ...string) *config.Change {
	items := make([]string, len(services))
	for i, name := range services {
		items[i] = fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"specification":{"x":"<&>"}}`, name)
	}
	change, err := config.ParseReplace(fmt.Appendf(nil, `{"configVersion": %d, "baseVersion": %d, "resources": [%s]}`, version, base, strings.Join(items, ",")))
	if err != nil {
		panic(err)
	}
	return change
}

// drop is a change that takes a service out.
func drop(version, base int64, service string) *config.Change {
	change, err := config.ParseUpdate(fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"remove":{"services":["%s"]}}`, version, base, service))
	if err != nil {
		panic(err)
	}
	return change
}

// encoded is all that a snapshot holds, with the orders that it remembers.
func encoded(c *config.Snapshot) string {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return string(data)
}

func settle(m *stateMachine) {
	if err := m.waitProcessed(context.Background()); err != nil {
		panic(err)
	}
}

// told is a proposalResult that must be there by now.
func told(of <-chan proposalResult) (int64, errs.Kind, bool) {
	select {
	case v := <-of:
		if v.err != nil {
			return v.version, errs.KindOf(v.err), true
		}
		return v.version, 0, true
	default:
		return 0, 0, false
	}
}

func TestStateMachine(t *testing.T) {
	ctx := context.Background()
	Convey("Commands hold in the log's order, a refused one changes nothing, and each proposer hears of its own", t, func() {
		changes := 0
		m := newStateMachine(zap.NewNop(), func() { changes++ })
		So(m.FullConfig(), ShouldBeNil)
		first, second, third, fourth := m.expectResult(1), m.expectResult(2), m.expectResult(3), m.expectResult(4)
		forgotten, cut := m.expectResult(6), m.expectResult(7)
		m.forgetResult(6)
		m.apply(1, []byte("a view"))
		m.apply(2, encodeCommand(1, put(3, 0, "a", "b")))
		m.apply(3, encodeCommand(2, drop(5, 0, "a"))) // builds on what is no more
		m.apply(4, encodeCommand(3, drop(5, 3, "a")))
		m.apply(5, encodeCommand(4, put(3, 0, "a", "b"))) // the first once more
		m.apply(6, encodeCommand(5, drop(6, 5, "b")))
		m.apply(7, encodeCommand(6, put(7, 6)))
		m.apply(8, append(encodeCommand(7, put(8, 7))[:20], "cut"...))
		settle(m)
		for i, want := range []struct {
			of      <-chan proposalResult
			version int64
			kind    errs.Kind
		}{{first, 3, 0}, {second, 3, errs.Stale}, {third, 5, 0}, {fourth, 3, 0}} {
			version, kind, ok := told(want.of)
			So([]any{i, version, kind, ok}, ShouldResemble, []any{i, want.version, want.kind, true})
		}
		_, _, ok := told(forgotten)
		So(ok, ShouldBeFalse)
		_, kind, ok := told(cut)
		So([]any{kind, ok}, ShouldResemble, []any{errs.Internal, true}) // no refusal: it was read before
		So(m.Current(), ShouldEqual, 7)
		So(string(m.currentConfig().Document()), ShouldEqual, `{"configVersion":7,"baseVersion":6,"resources":[]}`)
		So(changes, ShouldEqual, 4)
		gone, cancel := context.WithCancel(ctx)
		cancel()
		_, err := awaitResult(gone, m.expectResult(9))
		So(errs.KindOf(err), ShouldEqual, errs.DeadlineExceeded)
	})
	Convey("A snapshot takes the place of all before, and a change from before it is known as repeated", t, func() {
		m, other := newStateMachine(zap.NewNop(), func() {}), newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, put(3, 0, "a")))
		m.apply(2, encodeCommand(2, put(4, 3, "b")))
		settle(m)
		snapshot := m.snapshot()
		other.apply(1, encodeCommand(1, put(9, 0, "z")))
		other.restore(2, snapshot)
		repeated := other.expectResult(77)
		settle(other)
		So(other.appliedIndex(), ShouldEqual, 2)
		_, kind, ok := told(repeated)
		So([]any{kind, ok}, ShouldResemble, []any{errs.DeadlineExceeded, true}) // the snapshot may stand for its command
		repeated = other.expectResult(77)
		other.apply(3, encodeCommand(77, put(3, 0, "a")))
		other.apply(4, nil)
		settle(other)
		So(other.appliedIndex(), ShouldEqual, 4)
		So(encoded(other.currentConfig()), ShouldEqual, encoded(m.currentConfig()))
		version, kind, ok := told(repeated)
		So([]any{version, kind, ok}, ShouldResemble, []any{int64(3), errs.Kind(0), true})
		for _, version := range []int64{0, 3, 9} {
			_, ok = other.Since(version)
			So(ok, ShouldBeFalse)
		}
		none, ok := other.Since(4)
		So(ok, ShouldBeTrue)
		So(none, ShouldBeEmpty)
	})
	Convey("After a snapshot that can't be read nothing is judged, kept or counted as applied, until one comes that can", t, func() {
		m := newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, put(3, 0, "a")))
		settle(m)
		whole, held := m.snapshot(), m.currentConfig()
		m.restore(4, whole[:len(whole)-1])
		So(errs.KindOf(m.waitProcessed(ctx)), ShouldEqual, errs.Internal)
		repeated, refused := m.expectResult(2), m.expectResult(3)
		m.apply(5, encodeCommand(2, put(3, 0, "a")))
		m.apply(6, encodeCommand(3, put(4, 0, "b")))
		So(errs.KindOf(m.waitProcessed(ctx)), ShouldEqual, errs.Internal)
		for _, of := range []<-chan proposalResult{repeated, refused} {
			_, kind, ok := told(of)
			So([]any{kind, ok}, ShouldResemble, []any{errs.Internal, true})
		}
		So(m.currentConfig(), ShouldEqual, held)
		So(m.snapshot(), ShouldBeNil)
		So(m.appliedIndex(), ShouldEqual, 1)
		m.restore(6, whole)
		m.apply(7, encodeCommand(4, put(5, 3, "b")))
		settle(m)
		So([]any{m.Current(), m.appliedIndex()}, ShouldResemble, []any{int64(5), uint64(7)})
	})
	Convey("While a command is being applied it doesn't count as applied, there is no snapshot, and who asks waits", t, func() {
		started, goOn := make(chan struct{}), make(chan struct{})
		m := newStateMachine(zap.NewNop(), func() {
			started <- struct{}{}
			<-goOn
		})
		m.apply(1, encodeCommand(1, put(3, 0, "a")))
		<-started
		gone, cancel := context.WithCancel(ctx)
		cancel()
		So(errs.KindOf(m.waitProcessed(gone)), ShouldEqual, errs.DeadlineExceeded)
		So(m.snapshot(), ShouldBeNil)
		So(m.appliedIndex(), ShouldEqual, 0)
		goOn <- struct{}{}
		settle(m)
		So(m.snapshot(), ShouldNotBeNil)
		So(m.appliedIndex(), ShouldEqual, 1)
	})
}

func TestTake(t *testing.T) {
	Convey("A frame leads to its version or to an error, and never back", t, func() {
		m := newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, put(3, 0, "a")))
		settle(m)
		old, held3 := m.FullConfig(), m.currentConfig()
		m.apply(2, encodeCommand(2, put(5, 3, "b")))
		settle(m)
		held := m.currentConfig()
		for _, frame := range []json.RawMessage{old, m.FullConfig()} {
			next, err := sidecar.ApplyUpdate(held, frame)
			So(err, ShouldBeNil)
			So(next, ShouldPointTo, held)
		}
		var wrong []string
		for _, frame := range []string{
			``, `[]`, `{"version":9`, `{"version":"9"}`, `{"version":9,"whole":null}`, `{"version":9,"whole":{}}`, `{"version":9,"changes":[{}]}`, `{"version":9,"changes":[7]}`,
			`{"version":9,"changes":[` + string(put(9, 3, "c").Encode()) + `]}`,
			`{"version":9,"whole":` + encoded(held3) + `}`,
			`{"version":9}`,
			`{"version":9,"changes":[` + string(put(7, 5, "c").Encode()) + `]}`,
		} {
			next, err := sidecar.ApplyUpdate(held, json.RawMessage(frame))
			if err == nil && next.Version() != 9 {
				wrong = append(wrong, fmt.Sprintf("%s led from 5 to %d", frame, next.Version()))
			}
		}
		So(wrong, ShouldBeEmpty)
	})
}

// TestFrames plays random changes, good ones and others: whoever holds any version before gets to the very same configuration by what Since or Whole gives, and so does a machine that was
// given a snapshot at any time and the commands behind it.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, late := newStateMachine(zap.NewNop(), func() {}), newStateMachine(zap.NewNop(), func() {})
		history := []*config.Snapshot{config.Empty()} // as the changes have it, by themselves
		restored := -1
		for step := range rapid.IntRange(1, 130).Draw(t, "changes") {
			now := history[len(history)-1]
			version := now.Version() + int64(rapid.IntRange(0, 3).Draw(t, "version"))
			base := rapid.SampledFrom([]int64{now.Version(), now.Version(), now.Version(), max(0, now.Version()-1)}).Draw(t, "base")
			change := put(version, base, slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 3).Draw(t, "services"))))...)
			if rapid.Bool().Draw(t, "update") {
				change = drop(version, base, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "service"))
			}
			next, outcome, err := now.Apply(change)
			if outcome == config.Applied {
				history = append(history, next)
			}
			heard := m.expectResult(proposalID(step))
			m.apply(uint64(step), encodeCommand(proposalID(step), change))
			if restored >= 0 {
				late.apply(uint64(step), encodeCommand(proposalID(step), change))
			}
			settle(m)
			if _, kind, ok := told(heard); !ok || (err != nil) != (kind != 0) {
				t.Fatalf("change %d on %d: told %v, %v, not %v", version, base, ok, kind, err)
			}
			if restored < 0 && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored = len(history) - 1
				late.restore(uint64(step), m.snapshot())
			}
		}
		want := encoded(history[len(history)-1])
		settle(late)
		if encoded(m.currentConfig()) != want || restored >= 0 && encoded(late.currentConfig()) != want {
			t.Fatalf("the configurations differ: %s, %s and %s", want, encoded(m.currentConfig()), encoded(late.currentConfig()))
		}
		last := len(history) - 1
		for _, i := range []int{0, last, max(0, last-maxRetainedChanges), max(0, last-maxRetainedChanges-1), rapid.IntRange(0, last).Draw(t, "held")} {
			held := history[i]
			frames, ok := m.Since(held.Version())
			if ok != (last-i <= maxRetainedChanges) {
				t.Fatalf("%d changes behind: %v", last-i, ok)
			}
			if !ok {
				frames = []json.RawMessage{m.FullConfig()}
			}
			for _, frame := range append(frames, frames...) { // twice does no harm
				var err error
				if held, err = sidecar.ApplyUpdate(held, frame); err != nil {
					t.Fatalf("from %d on: %v", history[i].Version(), err)
				}
			}
			if encoded(held) != want {
				t.Fatalf("from %d on it is %s, not %s", history[i].Version(), encoded(held), want)
			}
		}
	})
}
