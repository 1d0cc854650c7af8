package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/lab/testbed"
)

// Stay is one machine's time with an operator: from when somebody was told that it is free to work
// on, until that one says that the work is done.
type Stay struct {
	Turn     int
	Node     *testbed.Node
	From, To time.Time // To is zero while it lasts
	Warm     time.Time // when it is warm again, by the settings; zero: it was not restarted
}

// Round is operators who work on whatever machine is free, whoever of the sidecars tells them so.
// They don't know of each other.
type Round struct {
	f     *Fleet
	Cold  time.Duration // a restarted machine is warm so long after
	Takes time.Duration // somebody works on one

	mu    sync.Mutex
	stays map[int]*Stay
	ended bool
	Shown string // last
	quit  chan struct{}
	done  chan struct{}
}

// Work has the fleet go by a plan, by way of one process.
func (s *Sidecar) Work(plan string) error {
	raw := []byte(plan)
	if err := s.upload(raw); err != nil {
		return err
	}
	return s.operate("work-plan " + policyrollout.Hash(raw))
}

// WorkShow is what a process says of plans and turns.
func (s *Sidecar) WorkShow() (string, error) { return s.ask("work-show") }

// WorkDo says a word on a turn or a plan: done, pause, resume, cancel.
func (s *Sidecar) WorkDo(word string, number int) error {
	return s.operate(fmt.Sprintf("work-%s %d", word, number))
}

var (
	freeTurn   = regexp.MustCompile(`(?m)^turn (\d+) of plan \d+: (\S+): out, free to work on$`)
	pausedPlan = regexp.MustCompile(`(?m)^plan (\d+) of sidecar .*: paused: `)
)

func (f *Fleet) round(takes, cold time.Duration) *Round {
	return &Round{f: f, Cold: cold, Takes: takes, stays: make(map[int]*Stay), quit: make(chan struct{}),
		done: make(chan struct{})}
}

// Operators begin to work on what is free. Every other machine is restarted for it.
func (f *Fleet) Operators(seed uint64, takes, cold time.Duration) *Round {
	r := f.round(takes, cold)
	go func() {
		defer close(r.done)
		rng := rand.New(rand.NewPCG(seed, 7))
		var at sync.WaitGroup
		defer at.Wait()
		for {
			select {
			case <-r.quit:
				return
			case <-time.After(100 * time.Millisecond):
			}
			s := f.Sidecars[rng.IntN(len(f.Sidecars))]
			text, err := s.WorkShow()
			if err != nil || !s.Runs() {
				continue
			}
			r.mu.Lock()
			r.Shown = text
			// A process that has just come knows nothing yet, and says the same.
			r.ended = strings.Contains(text, ": finished,") && strings.Contains(text, "no plan is under way")
			r.mu.Unlock()
			for _, m := range freeTurn.FindAllStringSubmatch(text, -1) {
				turn, _ := strconv.Atoi(m[1])
				if x := r.begin(turn, m[2]); x != nil {
					at.Go(func() { r.work(x, rand.New(rand.NewPCG(seed, uint64(turn)))) })
				}
			}
			for _, m := range pausedPlan.FindAllStringSubmatch(text, -1) {
				plan, _ := strconv.Atoi(m[1])
				_ = s.WorkDo("resume", plan)
			}
		}
	}()
	return r
}

// begin takes that somebody begins; nil: another has.
func (r *Round) begin(turn int, name string) *Stay {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stays[turn] != nil {
		return nil
	}
	for _, n := range r.f.Nodes {
		if n.ID == name {
			r.stays[turn] = &Stay{Turn: turn, Node: n, From: time.Now()}
			return r.stays[turn]
		}
	}
	return nil
}

// work works on a machine, and says that it is done until somebody has taken that.
func (r *Round) work(x *Stay, rng *rand.Rand) {
	r.handle(x)
	for {
		s := r.f.Sidecars[rng.IntN(len(r.f.Sidecars))]
		if err := s.WorkDo("done", x.Turn); s.Runs() &&
			(err == nil || strings.Contains(err.Error(), fmt.Sprintf("turn %d is", x.Turn))) {
			// Taken on, or in the log already. A leader that dies takes what it was told with it:
			// so somebody looks again.
			time.Sleep(2 * time.Second)
			if text, err := s.WorkShow(); err == nil &&
				!strings.Contains(text, fmt.Sprintf("turn %d of plan 1: %s: out, free", x.Turn, x.Node.ID)) {
				return
			}
		}
		select {
		case <-r.quit:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// handle is the work itself.
func (r *Round) handle(x *Stay) {
	time.Sleep(r.Takes)
	restart := x.Turn%2 == 0
	if restart {
		x.Node.Vanish()
		time.Sleep(100 * time.Millisecond)
	}
	r.mu.Lock()
	x.To = time.Now()
	if restart {
		x.Warm = x.To.Add(r.Cold)
	}
	r.mu.Unlock()
	if restart {
		x.Node.Return(r.f.t)
		r.f.Discovery.Set(x.Node, "ready")
	}
}

// Ended says whether the plan is finished, as a process has said.
func (r *Round) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// End sends the operators home.
func (r *Round) End() {
	close(r.quit)
	<-r.done
}

// Stays are all so far.
func (r *Round) Stays() (all []Stay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.stays {
		all = append(all, *x)
	}
	return all
}

// Found is what was broken in a round.
type Found struct {
	Bounds  []string // more machines out or cold at once than may be
	Arrived []string // at a machine that somebody worked on, or still out there when it was said to be free
	Astray  int      // the same, by sidecars that something had gone wrong with lately: they may have missed it
	Most    int      // machines out or cold at once
}

// Check looks at the operators' and the upstreams' own records, for a plan that does not wait for
// sidecars out of contact. An upstream takes delay for each request.
func (r *Round) Check(bound int, delay, lease time.Duration) Found {
	return r.check(bound, delay, func(s *Sidecar, x *Stay, at time.Time) bool {
		return !s.steady(at.Add(-2*lease), at)
	})
}

// CheckAwaited is Check for a plan that waits for them: only a process that began since, or shortly
// before, may have missed the turn.
func (r *Round) CheckAwaited(bound int, delay, lease time.Duration) Found {
	return r.check(bound, delay, func(s *Sidecar, x *Stay, at time.Time) bool {
		return s.begins(x.From.Add(-2*lease), at)
	})
}

func (r *Round) check(bound int, delay time.Duration, excused func(*Sidecar, *Stay, time.Time) bool) (found Found) {
	by := make(map[string]answer)
	for _, x := range r.f.Answers.all() {
		by[x.id] = x
	}
	all, arrivals := r.Stays(), r.f.ArrivalLog.All()
	for i := range all {
		x := &all[i]
		to := x.To
		if to.IsZero() {
			to = time.Now()
		}
		out := 1
		for _, y := range all {
			if y.Turn != x.Turn && y.From.Before(x.From) &&
				(y.To.IsZero() || y.To.After(x.From) || y.Warm.After(x.From)) {
				out++
			}
		}
		if found.Most = max(found.Most, out); out > bound {
			found.Bounds = append(found.Bounds,
				fmt.Sprintf("turn %d: %d machines are out or cold when %s is free, %d may be", x.Turn, out,
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
				fmt.Sprintf("turn %d: %s is free from %s on, %s of sidecar %d came %v behind that", x.Turn,
					x.Node.ID, x.From.Format("05.000"), a.ID, by[a.ID].sidecar, a.At.Sub(x.From)))
		}
	}
	return found
}

// WorkTally is what became of a run in which machines were taken out.
type WorkTally struct {
	Tally
	Found
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
	if _, _, why := f.AwaitPolicy(0, testbed.Generous); why != "" {
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
	tally.Found, tally.Turns = round.CheckAwaited(bound, delay, lease), len(round.Stays())
	return tally, slices.Concat(broken, rules, tally.Bounds, tally.Arrived)
}

// Script is what operators do without a plan: in the list's order, so many at a time, each machine
// is cordoned at each sidecar that answers, one after the other; what is out there is given its
// time; then somebody works on it, has it used again at each, and waits until it is warm.
func (f *Fleet) Script(atOnce int, takes, cold time.Duration) *Round {
	r := f.round(takes, cold)
	go func() {
		defer close(r.done)
		for i := 0; i < len(f.Nodes); i += atOnce {
			var at sync.WaitGroup
			for k, n := range f.Nodes[i:min(i+atOnce, len(f.Nodes))] {
				f.everywhere("cordon " + n.ID)
				at.Go(func() {
					time.Sleep(Timeout)
					x := r.begin(i+k+1, n.ID)
					r.handle(x)
				})
			}
			at.Wait()
			for _, n := range f.Nodes[i:min(i+atOnce, len(f.Nodes))] {
				f.everywhere("uncordon " + n.ID)
			}
			select {
			case <-r.quit:
				return
			case <-time.After(cold):
			}
		}
		r.mu.Lock()
		r.ended = true
		r.mu.Unlock()
	}()
	return r
}

// everywhere makes a call at each sidecar that runs.
func (f *Fleet) everywhere(call string) {
	for _, s := range f.Sidecars {
		if s.Runs() {
			_ = s.operate(call)
		}
	}
}

// Served is which share of the requests since a moment was served, and the time in seconds within
// which 99 in 100 were; of sidecars that nothing had gone wrong with.
func (f *Fleet) Served(since time.Time) (share, p99 float64) {
	served, all := 0, 0
	var took []float64
	for _, x := range f.Answers.all() {
		if x.sent.Before(since) || !f.Sidecars[x.sidecar].steady(x.sent.Add(-time.Second), x.at) {
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
