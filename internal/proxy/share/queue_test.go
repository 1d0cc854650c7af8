package share

import (
	"testing"

	"pgregory.net/rapid"
)

// Among flows that always have queued work items, the service by weight of any two flows differs by at most a bound
// that follows from the largest cost and the number of permits. No permit is free while work items are queued, and the
// work items of a flow start in the order of Acquire.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 10.0
		permits := rapid.IntRange(1, 4).Draw(t, "permits")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		type work struct{ flow, number int }
		q := NewQueue[work](permits, 0, weights)
		requested, started := make([]int, len(weights)), make([]int, len(weights))
		service := make([]float64, len(weights)) // cost of the ended work items, divided by the flow's weight
		var running []work
		acquire := func(f int) {
			w := work{f, requested[f]}
			requested[f]++
			if granted, _ := q.Acquire(f, w); granted {
				running = append(running, w)
				started[f]++
			}
		}
		for f := range weights {
			for range permits + 1 {
				acquire(f)
			}
		}
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			w := running[i]
			running = append(running[:i], running[i+1:]...)
			cost := rapid.Float64Range(0.1, largest).Draw(t, "cost")
			service[w.flow] += cost / weights[w.flow]
			next, ok := q.Release(w.flow, w.flow, false, cost)
			if !ok {
				t.Fatal("Release returns no work item although some are queued")
			}
			if next.number != started[next.flow] {
				t.Fatalf("work item %d of flow %d starts, want item %d", next.number, next.flow, started[next.flow])
			}
			started[next.flow]++
			running = append(running, next)
			acquire(w.flow)
			if len(running) != permits {
				t.Fatalf("%d work items run with %d permits", len(running), permits)
			}
			bound := 0.0
			for _, weight := range weights {
				bound = max(bound, largest/weight)
			}
			bound *= float64(2*permits + 2)
			for f := range weights {
				for g := range weights {
					if service[g]-service[f] > bound {
						t.Fatalf("service by weight: flow %d has %.1f and flow %d has %.1f, want at most %.1f apart",
							g, service[g], f, service[f], bound)
					}
				}
			}
		}
	})
}

// A flow that rarely has work gets the next permit, however many work items of another flow are queued.
func TestFlowThatRarelyHasWorkStartsFirst(t *testing.T) {
	q := NewQueue[string](1, 0, []float64{1, 1})
	q.Acquire(0, "first")
	for range 400 {
		q.Acquire(0, "flood")
	}
	for range 100 {
		q.Release(0, 0, false, 5)
	}
	q.Acquire(1, "quiet")
	if next, ok := q.Release(0, 0, false, 5); !ok || next != "quiet" {
		t.Errorf("Release returns %q, want the work item of the flow that rarely has work", next)
	}
	if next, ok := q.Release(1, 1, false, 5); !ok || next != "flood" {
		t.Errorf("Release returns %q, %v after that, want a work item of the other flow", next, ok)
	}
}

// The cost of a work item that turns out to belong to another flow is charged to that flow.
func TestCostIsChargedToTheOwnerOfTheWorkItem(t *testing.T) {
	q := NewQueue[string](1, 0, []float64{1, 1, 1})
	q.Acquire(0, "new")
	q.Acquire(1, "known")
	q.Acquire(2, "other")
	if next, _ := q.Release(0, 1, false, 50); next != "other" {
		t.Errorf("Release returns %q, want the work item of the flow that was not charged", next)
	}
}

// A reserved permit is granted to an underserved flow, passes on to that flow's next work item, and is not granted to a
// flow that has had its share.
func TestReservedPermitsAreForUnderservedFlows(t *testing.T) {
	q := NewQueue[string](1, 1, []float64{1, 1})
	q.Acquire(0, "holds on")
	q.Release(0, 0, false, 1e6)
	q.Acquire(0, "holds on")
	if granted, _ := q.Acquire(0, "more"); granted {
		t.Error("a flow that has had its share took the reserved permit")
	}
	if granted, reserved := q.Acquire(1, "quiet"); !granted || !reserved {
		t.Fatalf("Acquire of the underserved flow is %v, %v, want the reserved permit", granted, reserved)
	}
	if granted, _ := q.Acquire(1, "quiet too"); granted {
		t.Error("a second reserved permit was granted, want one")
	}
	if next, ok := q.Release(1, 1, true, 1e3); !ok || next != "quiet too" {
		t.Errorf("Release returns %q, %v, want the queued work item of the underserved flow", next, ok)
	}
	q.Acquire(1, "no longer")
	if next, ok := q.Release(1, 1, true, 5e6); !ok || next != "more" {
		t.Errorf("Release returns %q, %v, want the work item of the other flow, which is underserved now", next, ok)
	}
	if _, ok := q.Release(0, 0, true, 1e7); ok {
		t.Error("the reserved permit was passed on to a flow that has had its share")
	}
	q.Release(0, 0, false, 1e3) // "no longer" starts
	q.Acquire(1, "last")
	q.Release(1, 1, false, 1e9)
	if q.IsUnderserved(1) || !q.IsUnderserved(0) {
		t.Errorf("underserved: %v and %v, want only the flow with little recent cost", q.IsUnderserved(0), q.IsUnderserved(1))
	}
}
