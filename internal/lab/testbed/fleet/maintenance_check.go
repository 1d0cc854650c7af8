package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"caperarch/internal/lab/testbed"
)

// MaintenanceResult is what was broken in a round.
type MaintenanceResult struct {
	Bounds  []string // more machines out or cold at once than may be
	Arrived []string // at a machine that somebody worked on, or still out there when it was said to be free
	Astray  int      // the same, by sidecars that something had gone wrong with lately: they may have missed it
	Most    int      // machines out or cold at once
}

// Check looks at the operators' and the upstreams' own records, for a plan that does not wait for
// sidecars out of contact. An upstream takes delay for each request.
func (r *MaintenanceRun) Check(bound int, delay, lease time.Duration) MaintenanceResult {
	return r.check(bound, delay, func(s *Sidecar, x *Window, at time.Time) bool {
		return !s.stableThrough(at.Add(-2*lease), at)
	})
}

// CheckAwaited is Check for a plan that waits for them: only a process that began since, or shortly
// before, may have missed the turn.
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
		if found.Most = max(found.Most, out); out > bound {
			found.Bounds = append(found.Bounds,
				fmt.Sprintf("turn %d: %d machines are out or cold when %s is free, %d may be", x.Number, out,
					x.Node.ID, bound))
		}
		for _, a := range arrivals {
			// a look is called off where another answers first
			if a.Node != x.Node.ID || a.At.After(to) || a.At.Add(delay).Before(x.From) ||
				a.At.Before(x.From) && a.Class == "look" {
				continue
			}
			if sender := by[a.ID]; sender.id == "" || excused(r.f.Sidecars[sender.sidecar], x, a.At) {
				found.Astray++
				continue
			}
			found.Arrived = append(found.Arrived,
				fmt.Sprintf("turn %d: %s is free from %s on, %s of sidecar %d came %v behind that", x.Number,
					x.Node.ID, x.From.Format("05.000"), a.ID, by[a.ID].sidecar, a.At.Sub(x.From)))
		}
	}
	return found
}

// WorkTally is what became of a run in which machines were taken out.
type WorkTally struct {
	Tally
	MaintenanceResult
	Turns int
	Lost  bool          // the log was, and the plan with it
	Ended time.Duration // after all was well again
}

// PlayWork has the fleet live through a plan of faults, under load, while operators take all
// machines out by a plan of work that waits for sidecars out of contact, and returns what was
// broken. Upstreams take delay for each request.
func (f *Fleet) PlayWork(p *Plan, perSecond, bound int, lease, delay, takes,
	cold time.Duration) (tally WorkTally, broken []string) {
	for _, n := range f.Nodes {
		n.Delay.Store(int64(delay))
		n.Do(testbed.Always(testbed.Slow))
	}
	if err := f.Sidecars[0].Bootstrap(); err != nil {
		return tally, []string{err.Error()}
	}
	if _, _, why := f.AwaitPolicy(0, testbed.MaxWait); why != "" {
		return tally, []string{"no beginning: " + why}
	}
	round := f.Operators(p.Seed, takes, cold)
	text := fmt.Sprintf("all = true\nin_time = 0.3\ncut_off = \"awaited\"\nlongest = \"2m\"\n"+
		"[out]\nfleet = \"%d\"\ncell = \"1\"\n", bound)
	if err := f.Sidecars[1].Work(text); err != nil {
		return tally, []string{err.Error()}
	}
	var rules []string
	tally.Tally, _, rules = f.play(p, perSecond, func() {
		begun := time.Now()
		for ; !round.Ended() && time.Since(begun) < 2*time.Minute; time.Sleep(50 * time.Millisecond) {
			if time.Since(begun) > 40*time.Second && !tally.Lost &&
				f.Sidecars[int(p.Seed)%len(f.Sidecars)].Bootstrap() == nil {
				tally.Lost = true // a majority of the voters was lost: what follows is another log's
				break
			}
		}
		if tally.Ended = time.Since(begun); !round.Ended() && !tally.Lost {
			broken = append(broken, "the plan does not end: "+round.Shown)
		}
		round.End()
	})
	tally.MaintenanceResult, tally.Turns = round.CheckAwaited(bound, delay, lease), len(round.Windows())
	return tally, slices.Concat(broken, rules, tally.Bounds, tally.Arrived)
}

// Served is which share of the requests since a moment was served, and the time in seconds within
// which 99 in 100 were; of sidecars that nothing had gone wrong with.
func (f *Fleet) Served(since time.Time) (share, p99 float64) {
	served, all := 0, 0
	var took []float64
	for _, x := range f.Answers.all() {
		if x.sent.Before(since) || !f.Sidecars[x.sidecar].stableThrough(x.sent.Add(-time.Second), x.at) {
			continue
		}
		if all++; x.status == http.StatusOK {
			served++
			took = append(took, x.at.Sub(x.sent).Seconds())
		}
	}
	if served == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return float64(served) / float64(all), took[len(took)*99/100]
}
