package conformance

import (
	"time"

	"caperarch/internal/lab/testbed"
)

// schedulingSlack is how late an answer may be received after its deadline, and an attempt after the answer of its
// call. It allows for scheduling delays while several cases run in parallel on one machine.
const schedulingSlack = 250 * time.Millisecond

// dedupWindow is how long the nodes of a cell drop repeats of a key, as testbed.Settings configures it.
const dedupWindow = 600 * time.Millisecond

// checkRules checks all calls and arrivals of the case against the rules.
func (f *Fixture) checkRules() {
	f.T.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	checkedAt := time.Now()
	byID := make(map[string][]testbed.Arrival)
	for _, r := range f.ArrivalLog.All() {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for id, m := range f.calls {
		c, a := m.call, m.answer
		arrivals := byID[id]
		runs := testbed.Runs(arrivals)
		if a.Kind == "" {
			f.T.Errorf("rule 1: call %s has no answer, want exactly one", id)
		}
		if c.Timeout > 0 && a.Kind != Invalid && a.Took > c.Timeout+schedulingSlack {
			f.T.Errorf("rule 1: call %s was answered after %v, want within its time-out %v", id, a.Took, c.Timeout)
		}
		for _, r := range arrivals {
			if r.At.After(a.At.Add(schedulingSlack)) && a.At.Before(checkedAt) {
				f.T.Errorf("rule 1: call %s was sent to %s %v after its answer, want no attempt after the answer",
					id, r.Node, r.At.Sub(a.At))
			}
			if c.Timeout > 0 && r.Timeout > c.Timeout+schedulingSlack {
				f.T.Errorf("call %s was sent to %s with time-out %v, want at most its own time-out %v",
					id, r.Node, r.Timeout, c.Timeout)
			}
		}
		if len(arrivals) > 3 {
			f.T.Errorf("call %s had %d attempts, want at most 3", id, len(arrivals))
		}
		if a.Kind == Served && runs == 0 {
			f.T.Errorf("call %s was served, but no node ran it", id)
		}
		if a.Kind == Invalid && len(arrivals) > 0 && f.calls[id].call.Body != "twin" {
			f.T.Errorf("call %s was answered as invalid, but it was sent", id)
		}
		switch c.Class {
		case "entry":
			if runs > 1 {
				f.T.Errorf("rule 2: non-idempotent call %s ran %d times, want at most 1", id, runs)
			}
			if a.Kind == Refused && runs > 0 {
				f.T.Errorf("rule 2: non-idempotent call %s was refused, but it may have run", id)
			}
		case "reading":
			if n := testbed.Effects(arrivals, dedupWindow); n > 1 {
				f.T.Errorf("rule 2: deduplicated call %s had %d effects, want at most 1", id, n)
			}
			if a.Kind == Refused && runs > 0 {
				f.T.Errorf("rule 2: deduplicated call %s was refused, but it may have run", id)
			}
		}
	}
	for n, since := range f.drains {
		for _, r := range f.ArrivalLog.All() {
			if r.Node == n.ID && r.At.After(since) {
				f.T.Errorf("rule 3: call %s was sent to %s %v after the grace period of the node's drain",
					r.ID, n.ID, r.At.Sub(since))
			}
		}
	}
}
