package controlplane

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

func TestStateMachine(t *testing.T) {
	ctx := context.Background()
	Convey("Commands are applied in order, rejected ones change nothing, and each proposer gets its result", t, func() {
		changes := 0
		m := newStateMachine(zap.NewNop(), func() { changes++ })
		So(m.FullConfig(), ShouldBeNil)
		first, second := m.expectResult(1), m.expectResult(2)
		third, fourth := m.expectResult(3), m.expectResult(4)
		forgotten, truncated := m.expectResult(6), m.expectResult(7)
		m.forgetResult(6)
		m.apply(1, []byte("no op"))
		m.apply(2, encodeCommand(1, replaceChange(3, 0, "a", "b")))
		m.apply(3, encodeCommand(2, removeChange(5, 0, "a"))) // rejected: its base is not the version in force
		m.apply(4, encodeCommand(3, removeChange(5, 3, "a")))
		m.apply(5, encodeCommand(4, replaceChange(3, 0, "a", "b"))) // a duplicate of the first change
		m.apply(6, encodeCommand(5, removeChange(6, 5, "b")))
		m.apply(7, encodeCommand(6, replaceChange(7, 6)))
		m.apply(8, append(encodeCommand(7, replaceChange(8, 7))[:20], "cut"...))
		finishQueue(m)
		for i, want := range []struct {
			results <-chan proposalResult
			version int64
			kind    errs.Kind
		}{{first, 3, 0}, {second, 3, errs.Stale}, {third, 5, 0}, {fourth, 3, 0}} {
			version, kind, ok := resultOf(want.results)
			So([]any{i, version, kind, ok}, ShouldResemble, []any{i, want.version, want.kind, true})
		}
		_, _, ok := resultOf(forgotten)
		So(ok, ShouldBeFalse)
		_, kind, ok := resultOf(truncated)
		So([]any{kind, ok}, ShouldResemble, []any{errs.Internal, true}) // not a rejection of the change
		So(m.Current(), ShouldEqual, 7)
		document := string(m.currentConfig().Document())
		So(document, ShouldEqual, `{"configVersion":7,"baseVersion":6,"resources":[]}`)
		So(changes, ShouldEqual, 4)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := awaitResult(cancelled, m.expectResult(9))
		So(errs.KindOf(err), ShouldEqual, errs.DeadlineExceeded)
	})
	Convey("A snapshot replaces all earlier state, and a change in it is a duplicate", t, func() {
		m, other := newStateMachine(zap.NewNop(), func() {}), newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, replaceChange(3, 0, "a")))
		m.apply(2, encodeCommand(2, replaceChange(4, 3, "b")))
		finishQueue(m)
		snapshot := m.snapshot()
		other.apply(1, encodeCommand(1, replaceChange(9, 0, "z")))
		other.restore(2, snapshot)
		duplicate := other.expectResult(77)
		finishQueue(other)
		So(other.appliedIndex(), ShouldEqual, 2)
		_, kind, ok := resultOf(duplicate)
		// The snapshot may include the command of this proposal.
		So([]any{kind, ok}, ShouldResemble, []any{errs.DeadlineExceeded, true})
		duplicate = other.expectResult(77)
		other.apply(3, encodeCommand(77, replaceChange(3, 0, "a")))
		other.apply(4, nil)
		finishQueue(other)
		So(other.appliedIndex(), ShouldEqual, 4)
		So(encoded(other.currentConfig()), ShouldEqual, encoded(m.currentConfig()))
		version, kind, ok := resultOf(duplicate)
		So([]any{version, kind, ok}, ShouldResemble, []any{int64(3), errs.Kind(0), true})
		for _, version := range []int64{0, 3, 9} {
			_, ok = other.Since(version)
			So(ok, ShouldBeFalse)
		}
		none, ok := other.Since(4)
		So(ok, ShouldBeTrue)
		So(none, ShouldBeEmpty)
	})
	Convey("After a corrupted snapshot no command is applied until an intact snapshot is restored", t, func() {
		m := newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, replaceChange(3, 0, "a")))
		finishQueue(m)
		intact, held := m.snapshot(), m.currentConfig()
		m.restore(4, intact[:len(intact)-1])
		So(errs.KindOf(m.waitProcessed(ctx)), ShouldEqual, errs.Internal)
		duplicate, stale := m.expectResult(2), m.expectResult(3)
		m.apply(5, encodeCommand(2, replaceChange(3, 0, "a")))
		m.apply(6, encodeCommand(3, replaceChange(4, 0, "b")))
		So(errs.KindOf(m.waitProcessed(ctx)), ShouldEqual, errs.Internal)
		for _, results := range []<-chan proposalResult{duplicate, stale} {
			_, kind, ok := resultOf(results)
			So([]any{kind, ok}, ShouldResemble, []any{errs.Internal, true})
		}
		So(m.currentConfig(), ShouldEqual, held)
		So(m.snapshot(), ShouldBeNil)
		So(m.appliedIndex(), ShouldEqual, 1)
		m.restore(6, intact)
		m.apply(7, encodeCommand(4, replaceChange(5, 3, "b")))
		finishQueue(m)
		So([]any{m.Current(), m.appliedIndex()}, ShouldResemble, []any{int64(5), replication.Index(7)})
	})
	Convey("While a command is applied, the applied index excludes it and no snapshot is made", t, func() {
		started, proceed := make(chan struct{}), make(chan struct{})
		m := newStateMachine(zap.NewNop(), func() {
			started <- struct{}{}
			<-proceed
		})
		m.apply(1, encodeCommand(1, replaceChange(3, 0, "a")))
		<-started
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		So(errs.KindOf(m.waitProcessed(cancelled)), ShouldEqual, errs.DeadlineExceeded)
		So(m.snapshot(), ShouldBeNil)
		So(m.appliedIndex(), ShouldEqual, 0)
		proceed <- struct{}{}
		finishQueue(m)
		So(m.snapshot(), ShouldNotBeNil)
		So(m.appliedIndex(), ShouldEqual, 1)
	})
}
