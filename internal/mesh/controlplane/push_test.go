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

func TestUpdateResultsInItsVersionOrAnError(t *testing.T) {
	Convey("An update results in the version that it states or in an error, and never in an older version", t, func() {
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
				wrong = append(wrong, fmt.Sprintf("update %s to version 5 resulted in version %d, want 9 or an error",
					update, next.Version()))
			}
		}
		So(wrong, ShouldBeEmpty)
	})
}

// drawChange returns a random change, valid or invalid, on top of the newest configuration or of the
// version before it.
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

// updatesFrom returns the updates that a sidecar with the given version is sent, and whether they are
// changes rather than the full configuration.
func updatesFrom(m *stateMachine, version int64) (updates []json.RawMessage, areChanges bool) {
	if updates, ok := m.Since(version); ok {
		return updates, true
	}
	return []json.RawMessage{m.FullConfig()}, false
}

// TestUpdatesFromAnyVersion applies random changes, valid and invalid ones. A sidecar with any earlier
// version has to reach exactly the same configuration through the updates that Since or FullConfig
// returns. A state machine that restores a snapshot at any point and applies the commands after it has
// to reach the same configuration, too.
func TestUpdatesFromAnyVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(zap.NewNop(), func() {})
		follower := newStateMachine(zap.NewNop(), func() {}) // restores a snapshot
		history := []*config.Snapshot{config.Empty()}        // computed from the changes alone
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
				follower.apply(index, encodeCommand(id, change))
			}
			finishQueue(m)
			if _, kind, ok := resultOf(result); !ok || (err != nil) != (kind != 0) {
				t.Fatalf("change to version %d on base %d: has result %v, error kind %v, want error %v",
					change.Version(), change.Base(), ok, kind, err)
			}
			if !restored && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored = true
				follower.restore(index, m.snapshot())
			}
		}
		want := encoded(history[len(history)-1])
		finishQueue(follower)
		got, gotFollower := encoded(m.currentConfig()), encoded(follower.currentConfig())
		if got != want || restored && gotFollower != want {
			t.Fatalf("configurations differ: want %s, state machine has %s, restored state machine has %s",
				want, got, gotFollower)
		}
		last := len(history) - 1
		for _, i := range []int{
			0, last, max(0, last-maxRetainedChanges), max(0, last-maxRetainedChanges-1),
			rapid.IntRange(0, last).Draw(t, "held"),
		} {
			held := history[i]
			updates, areChanges := updatesFrom(m, held.Version())
			if areChanges != (last-i <= maxRetainedChanges) {
				t.Fatalf("sidecar is %d changes behind: updated by changes is %v", last-i, areChanges)
			}
			for _, update := range append(updates, updates...) { // a repeated update has no effect
				var err error
				if held, err = sidecar.ApplyUpdate(held, update); err != nil {
					t.Fatalf("update from version %d: %v", history[i].Version(), err)
				}
			}
			if encoded(held) != want {
				t.Fatalf("updates from version %d result in %s, want %s", history[i].Version(), encoded(held), want)
			}
		}
	})
}
