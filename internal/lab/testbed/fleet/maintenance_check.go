package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"caperarch/internal/lab/testbed"
)

// MaintenanceResult is the result of checking a maintenance run.
type MaintenanceResult struct {
	Bounds    []string // violations: more machines were out or cold at once than allowed
	Arrived   []string // violations: a request arrived during the work, or was still running at the release
	Misrouted int      // the same for requests of sidecars with a recent fault, which may have missed the window
	MaxOut    int      // largest number of machines that were out or cold at once
}

// Check checks the records of the operators and the upstreams, for a plan that doesn't wait for sidecars out of
// contact. The service time of every request is delay.
func (r *MaintenanceRun) Check(bound int, delay, lease time.Duration) MaintenanceResult {
	return r.check(bound, delay, func(s *Sidecar, x *Window, at time.Time) bool {
		return !s.stableThrough(at.Add(-2*lease), at)
	})
}

// CheckAwaited is like Check, but for a plan that waits for sidecars out of contact: only processes that started after
// the beginning of the window, or shortly before, may have missed it.
func (r *MaintenanceRun) CheckAwaited(bound int, delay, lease time.Duration) MaintenanceResult {
	return r.check(bound, delay, func(s *Sidecar, x *Window, at time.Time) bool {
		return s.startedWithin(x.From.Add(-2*lease), at)
	})
}

func (r *MaintenanceRun) check(bound int, delay time.Duration,
	excused func(*Sidecar, *Window, time.Time) bool) (found MaintenanceResult) {
	by := make(map[string]answer)
	for _, x := range r.f.Answers.all() {
		by[x.id] = x
	}
	all, arrivals := r.Windows(), r.f.ArrivalLog.All()
	for i := range all {
		x := &all[i]
		to := x.To
		if to.IsZero() {
			to = time.Now()
		}
		out := 1
		for _, y := range all {
			if y.Number != x.Number && y.From.Before(x.From) &&
				(y.To.IsZero() || y.To.After(x.From) || y.Warm.After(x.From)) {
				out++
			}
		}
		if found.MaxOut = max(found.MaxOut, out); out > bound {
			found.Bounds = append(found.Bounds,
				fmt.Sprintf("window %d: %d machines are out or cold when %s is released, at most %d may be",
					x.Number, out, x.Node.ID, bound))
		}
		for _, a := range arrivals {
			// A hedged look is cancelled when another upstream answers first.
			if a.Node != x.Node.ID || a.At.After(to) || a.At.Add(delay).Before(x.From) ||
				a.At.Before(x.From) && a.Class == "look" {
				continue
			}
			if sender := by[a.ID]; sender.id == "" || excused(r.f.Sidecars[sender.sidecar], x, a.At) {
				found.Misrouted++
				continue
			}
			found.Arrived = append(found.Arrived,
				fmt.Sprintf("window %d: %s is released at %s, but request %s of sidecar %d arrived %v later", x.Number,
					x.Node.ID, x.From.Format("05.000"), a.ID, by[a.ID].sidecar, a.At.Sub(x.From)))
		}
	}
	return found
}

// WorkTally is the result of a run with maintenance.
type WorkTally struct {
	Tally
	MaintenanceResult
	Turns int
	Lost  bool          // the log was lost, and the plan with it
	Ended time.Duration // time from the end of the faults to the end of the plan
}

// PlayWork runs a fault plan under load while operators work on all machines by a maintenance plan that waits for
// sidecars out of contact. It returns the violations. The service time of every request is delay.
func (f *Fleet) PlayWork(p *Plan, perSecond, bound int, lease, delay, takes,
	cold time.Duration) (tally WorkTally, violations []string) {
	for _, n := range f.Nodes {
		n.Delay.Store(int64(delay))
		n.Do(testbed.Always(testbed.Slow))
	}
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		return tally, []string{"policy version 0 not applied: " + why}
	}
	run := f.StartOperators(p.Seed, takes, cold)
	text := fmt.Sprintf("all = true\nin_time = 0.3\ncut_off = \"awaited\"\nlongest = \"2m\"\n"+
		"[out]\nfleet = \"%d\"\ncell = \"1\"\n", bound)
	if err := f.Sidecars[1].ProposeMaintenance(text); err != nil {
		return tally, []string{err.Error()}
	}
	var rules []string
	tally.Tally, _, rules = f.play(p, perSecond, func() {
		started := time.Now()
		for ; !run.Ended() && time.Since(started) < 2*time.Minute; time.Sleep(50 * time.Millisecond) {
			if time.Since(started) > 40*time.Second && !tally.Lost &&
				f.Sidecars[int(p.Seed)%len(f.Sidecars)].Bootstrap() == nil {
				tally.Lost = true // a majority of the voters was lost; the following log is a new one
				break
			}
		}
		if tally.Ended = time.Since(started); !run.Ended() && !tally.Lost {
			violations = append(violations, "the maintenance plan is not finished: "+run.Status)
		}
		run.End()
	})
	tally.MaintenanceResult, tally.Turns = run.CheckAwaited(bound, delay, lease), len(run.Windows())
	return tally, slices.Concat(violations, rules, tally.Bounds, tally.Arrived)
}

// Served returns the share of requests served and the 99th percentile of their latencies in seconds, for the requests
// that were sent after a moment to stable sidecars.
func (f *Fleet) Served(since time.Time) (share, p99 float64) {
	served, all := 0, 0
	var took []float64
	for _, x := range f.Answers.all() {
		if x.sent.Before(since) || !f.Sidecars[x.sidecar].stableThrough(x.sent.Add(-time.Second), x.ended) {
			continue
		}
		if all++; x.status == http.StatusOK {
			served++
			took = append(took, x.ended.Sub(x.sent).Seconds())
		}
	}
	if served == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return float64(served) / float64(all), took[len(took)*99/100]
}
