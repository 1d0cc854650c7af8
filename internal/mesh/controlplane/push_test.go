package controlplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/sidecar"
)

func TestUpdateLeadsToItsVersionOrAnError(t *testing.T) {
	Convey("An update leads to its version or to an error, and never back", t, func() {
		m := newStateMachine(zap.NewNop(), func() {})
		m.apply(1, encodeCommand(1, replaceChange(3, 0, "a")))
		finishQueue(m)
		old, version3 := m.FullConfig(), m.currentConfig()
		m.apply(2, encodeCommand(2, replaceChange(5, 3, "b")))
		finishQueue(m)
		held := m.currentConfig()
		for _, update := range []json.RawMessage{old, m.FullConfig()} {
			next, err := sidecar.ApplyUpdate(held, update)
			So(err, ShouldBeNil)
			So(next, ShouldPointTo, held)
		}
		var wrong []string
		for _, update := range []string{
			``, `[]`, `{"version":9`, `{"version":"9"}`,
			`{"version":9,"whole":null}`, `{"version":9,"whole":{}}`,
			`{"version":9,"changes":[{}]}`, `{"version":9,"changes":[7]}`,
			`{"version":9,"changes":[` + string(replaceChange(9, 3, "c").Encode()) + `]}`,
			`{"version":9,"whole":` + encoded(version3) + `}`,
			`{"version":9}`,
			`{"version":9,"changes":[` + string(replaceChange(7, 5, "c").Encode()) + `]}`,
		} {
			next, err := sidecar.ApplyUpdate(held, json.RawMessage(update))
			if err == nil && next.Version() != 9 {
				wrong = append(wrong, fmt.Sprintf("%s led from 5 to %d", update, next.Version()))
			}
		}
		So(wrong, ShouldBeEmpty)
	})
}

// drawChange draws a change, a valid one or another, on top of the newest snapshot or the one before.
func drawChange(t *rapid.T, newest *config.Snapshot) *config.Change {
	names := []string{"a", "b", "c", "d"}
	current := newest.Version()
	version := current + int64(rapid.IntRange(0, 3).Draw(t, "version"))
	bases := []int64{current, current, current, max(0, current-1)}
	base := rapid.SampledFrom(bases).Draw(t, "base")
	services := rapid.SliceOfN(rapid.SampledFrom(names), 0, 3).Draw(t, "services")
	slices.Sort(services)
	if rapid.Bool().Draw(t, "update") {
		return removeChange(version, base, rapid.SampledFrom(names).Draw(t, "service"))
	}
	return replaceChange(version, base, slices.Compact(services)...)
}

// updatesFrom are the updates that a sidecar with a version is sent, and whether they are changes.
func updatesFrom(m *stateMachine, version int64) (updates []json.RawMessage, areChanges bool) {
	if updates, ok := m.Since(version); ok {
		return updates, true
	}
	return []json.RawMessage{m.FullConfig()}, false
}

// TestUpdatesFromAnyVersion plays random changes, valid ones and others: a sidecar with any earlier
// version gets to the very same configuration by what Since or FullConfig gives, and so does a machine
// that was given a snapshot at any time and the commands after it.
func TestUpdatesFromAnyVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(zap.NewNop(), func() {})
		late := newStateMachine(zap.NewNop(), func() {}) // is given a snapshot
		history := []*config.Snapshot{config.Empty()}    // as the changes have it, by themselves
		restored := false
		for step := range rapid.IntRange(1, 130).Draw(t, "changes") {
			newest := history[len(history)-1]
			change := drawChange(t, newest)
			next, outcome, err := newest.Apply(change)
			if outcome == config.Applied {
				history = append(history, next)
			}
			id, index := proposalID(step), replication.Index(step)
			result := m.expectResult(id)
			m.apply(index, encodeCommand(id, change))
			if restored {
				late.apply(index, encodeCommand(id, change))
			}
			finishQueue(m)
			if _, kind, ok := resultOf(result); !ok || (err != nil) != (kind != 0) {
				t.Fatalf("change %d on %d: result %v, %v, not %v", change.Version(), change.Base(), ok, kind, err)
			}
			if !restored && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored = true
				late.restore(index, m.snapshot())
			}
		}
		want := encoded(history[len(history)-1])
		finishQueue(late)
		got, gotLate := encoded(m.currentConfig()), encoded(late.currentConfig())
		if got != want || restored && gotLate != want {
			t.Fatalf("the configurations differ: %s, %s and %s", want, got, gotLate)
		}
		last := len(history) - 1
		for _, i := range []int{
			0, last, max(0, last-maxRetainedChanges), max(0, last-maxRetainedChanges-1),
			rapid.IntRange(0, last).Draw(t, "held"),
		} {
			held := history[i]
			updates, areChanges := updatesFrom(m, held.Version())
			if areChanges != (last-i <= maxRetainedChanges) {
				t.Fatalf("%d changes behind: %v", last-i, areChanges)
			}
			for _, update := range append(updates, updates...) { // twice does no harm
				var err error
				if held, err = sidecar.ApplyUpdate(held, update); err != nil {
					t.Fatalf("from %d on: %v", history[i].Version(), err)
				}
			}
			if encoded(held) != want {
				t.Fatalf("from %d on it is %s, not %s", history[i].Version(), encoded(held), want)
			}
		}
	})
}
