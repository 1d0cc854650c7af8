package share

import (
	"testing"

	"pgregory.net/rapid"
)

// Of flows that always have work waiting, none is further below its fair share than the largest work of each
// flow and permit; no permit is free while work waits; and a flow's work begins in the order of Acquire.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 10.0
		permits := rapid.IntRange(1, 4).Draw(t, "permits")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		type work struct{ flow, number int }
		q := NewQueue[work](permits, 0, weights)
		asked, begun := make([]int, len(weights)), make([]int, len(weights))
		done := make([]float64, len(weights)) // over weight
		var running []work
		ask := func(f int) {
			w := work{f, asked[f]}
			asked[f]++
			if granted, _ := q.Acquire(f, w); granted {
				running = append(running, w)
				begun[f]++
			}
		}
		for f := range weights {
			for range permits + 1 {
				ask(f)
			}
		}
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			w := running[i]
			running = append(running[:i], running[i+1:]...)
			cost := rapid.Float64Range(0.1, largest).Draw(t, "cost")
			done[w.flow] += cost / weights[w.flow]
			next, ok := q.Release(w.flow, w.flow, false, cost)
			if !ok {
				t.Fatal("a permit is free while something waits")
			}
			if next.number != begun[next.flow] {
				t.Fatalf("work %d of flow %d begins, %d is next", next.number, next.flow, begun[next.flow])
			}
			begun[next.flow]++
			running = append(running, next)
			ask(w.flow)
			if len(running) != permits {
				t.Fatalf("%d run with %d permits", len(running), permits)
			}
			bound := 0.0
			for _, weight := range weights {
				bound = max(bound, largest/weight)
			}
			bound *= float64(2*permits + 2)
			for f := range weights {
				for g := range weights {
					if done[g]-done[f] > bound {
						t.Fatalf("flow %d had %.1f by weight and flow %d had %.1f, more than %.1f apart",
							g, done[g], f, done[f], bound)
					}
				}
			}
		}
	})
}

// A flow that rarely has work has the next permit, however much work of others waits.
func TestFlowThatRarelyHasWorkGoesFirst(t *testing.T) {
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
		t.Errorf("%q begins before the quiet one", next)
	}
	if next, ok := q.Release(1, 1, false, 5); !ok || next != "flood" {
		t.Errorf("%q, %v after the quiet one", next, ok)
	}
}

// Work that turns out to be another flow's is charged to that one.
func TestCostIsChargedToTheFlowOfTheWork(t *testing.T) {
	q := NewQueue[string](1, 0, []float64{1, 1, 1})
	q.Acquire(0, "new")
	q.Acquire(1, "known")
	q.Acquire(2, "other")
	if next, _ := q.Release(0, 1, false, 50); next != "other" {
		t.Errorf("%q begins, the flow that was charged waits", next)
	}
}

// A reserved permit is for an underserved flow, goes on to its next work, and is kept from a flow that has had
// its share.
func TestReservedPermitsAreForUnderservedFlows(t *testing.T) {
	q := NewQueue[string](1, 1, []float64{1, 1})
	q.Acquire(0, "holds on")
	q.Release(0, 0, false, 1e6)
	q.Acquire(0, "holds on")
	if granted, _ := q.Acquire(0, "more"); granted {
		t.Error("a flow that has had its share took the reserved permit")
	}
	if granted, reserved := q.Acquire(1, "quiet"); !granted || !reserved {
		t.Fatalf("the underserved flow waits: %v, %v", granted, reserved)
	}
	if granted, _ := q.Acquire(1, "quiet too"); granted {
		t.Error("there is one reserved permit")
	}
	if next, ok := q.Release(1, 1, true, 1e3); !ok || next != "quiet too" {
		t.Errorf("%q, %v: the reserved permit goes on to waiting work of an underserved flow", next, ok)
	}
	q.Acquire(1, "no longer")
	if next, ok := q.Release(1, 1, true, 5e6); !ok || next != "more" {
		t.Errorf("%q, %v: the other flow is the underserved one now", next, ok)
	}
	if _, ok := q.Release(0, 0, true, 1e7); ok {
		t.Error("the reserved permit went on to a flow that has had its share")
	}
	q.Release(0, 0, false, 1e3) // "no longer" begins
	q.Acquire(1, "last")
	q.Release(1, 1, false, 1e9)
	if q.IsUnderserved(1) || !q.IsUnderserved(0) {
		t.Errorf("underserved: %v and %v, want the one with little recent cost", q.IsUnderserved(0), q.IsUnderserved(1))
	}
}
