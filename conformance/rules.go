package conformance

import (
	"time"

	"caperarch/internal/lab/testbed"
)

// slack is by how much an answer may come after its time, and an attempt after its request's answer, for
// want of CPU where several cases run at once.
const slack = 250 * time.Millisecond

// window is how long a cell drops the repeats of a key, as testbed.Settings has it.
const window = 600 * time.Millisecond

// check holds everything that happened against the rules.
func (w *World) check() {
	w.T.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	settled := time.Now()
	byID := make(map[string][]testbed.Arrival)
	for _, r := range w.ArrivalLog.All() {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for id, m := range w.calls {
		c, a := m.call, m.answer
		arrivals := byID[id]
		runs := testbed.Runs(arrivals)
		if a.Kind == "" {
			w.T.Errorf("rule 1: %s has no answer", id)
		}
		if c.Timeout > 0 && a.Kind != Invalid && a.Took > c.Timeout+slack {
			w.T.Errorf("rule 1: %s was answered after %v, it had %v", id, a.Took, c.Timeout)
		}
		for _, r := range arrivals {
			if r.At.After(a.At.Add(slack)) && a.At.Before(settled) {
				w.T.Errorf("rule 1: %s went out to %s %v after its answer", id, r.Node, r.At.Sub(a.At))
			}
			if c.Timeout > 0 && r.Timeout > c.Timeout+slack {
				w.T.Errorf("%s told %s of %v, it had %v", id, r.Node, r.Timeout, c.Timeout)
			}
		}
		if len(arrivals) > 3 {
			w.T.Errorf("%s had %d attempts, 3 at most", id, len(arrivals))
		}
		if a.Kind == Served && runs == 0 {
			w.T.Errorf("%s was served by nobody", id)
		}
		if a.Kind == Invalid && len(arrivals) > 0 && w.calls[id].call.Body != "twin" {
			w.T.Errorf("%s is invalid and was sent", id)
		}
		switch c.Class {
		case "entry":
			if runs > 1 {
				w.T.Errorf("rule 2: unsafe %s ran %d times", id, runs)
			}
			if a.Kind == Refused && runs > 0 {
				w.T.Errorf("rule 2: unsafe %s was refused and ran", id)
			}
		case "reading":
			if n := testbed.Effects(arrivals, window); n > 1 {
				w.T.Errorf("rule 2: keyed %s had %d effects", id, n)
			}
			if a.Kind == Refused && runs > 0 {
				w.T.Errorf("rule 2: keyed %s was refused and ran", id)
			}
		}
	}
	for n, since := range w.drains {
		for _, r := range w.ArrivalLog.All() {
			if r.Node == n.ID && r.At.After(since) {
				w.T.Errorf("rule 3: %s went to %s %v after its drain was told", r.ID, n.ID, r.At.Sub(since))
			}
		}
	}
}
