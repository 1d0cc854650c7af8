package fleet

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/lab/testbed"
)

// Window is one machine's time with an operator: from when somebody was told that it is free to work
// on, until that one says that the work is done.
type Window struct {
	Number   int
	Node     *testbed.Node
	From, To time.Time // To is zero while it lasts
	Warm     time.Time // when it is warm again, by the settings; zero: it was not restarted
}

// MaintenanceRun is operators who work on whatever machine is free, whoever of the sidecars tells them so.
// They don't know of each other.
type MaintenanceRun struct {
	f     *Fleet
	Cold  time.Duration // a restarted machine is warm so long after
	Takes time.Duration // somebody works on one

	mu      sync.Mutex
	windows map[int]*Window
	ended   bool
	Shown   string // last
	quit    chan struct{}
	done    chan struct{}
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

func (f *Fleet) round(takes, cold time.Duration) *MaintenanceRun {
	return &MaintenanceRun{f: f, Cold: cold, Takes: takes, windows: make(map[int]*Window), quit: make(chan struct{}),
		done: make(chan struct{})}
}

// Operators begin to work on what is free. Every other machine is restarted for it.
func (f *Fleet) Operators(seed uint64, takes, cold time.Duration) *MaintenanceRun {
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
func (r *MaintenanceRun) begin(turn int, name string) *Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.windows[turn] != nil {
		return nil
	}
	for _, n := range r.f.Nodes {
		if n.ID == name {
			r.windows[turn] = &Window{Number: turn, Node: n, From: time.Now()}
			return r.windows[turn]
		}
	}
	return nil
}

// work works on a machine, and says that it is done until somebody has taken that.
func (r *MaintenanceRun) work(x *Window, rng *rand.Rand) {
	r.handle(x)
	for {
		s := r.f.Sidecars[rng.IntN(len(r.f.Sidecars))]
		if err := s.WorkDo("done", x.Number); s.Runs() &&
			(err == nil || strings.Contains(err.Error(), fmt.Sprintf("turn %d is", x.Number))) {
			// Taken on, or in the log already. A leader that dies takes what it was told with it:
			// so somebody looks again.
			time.Sleep(2 * time.Second)
			if text, err := s.WorkShow(); err == nil &&
				!strings.Contains(text, fmt.Sprintf("turn %d of plan 1: %s: out, free", x.Number, x.Node.ID)) {
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
func (r *MaintenanceRun) handle(x *Window) {
	time.Sleep(r.Takes)
	restart := x.Number%2 == 0
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
func (r *MaintenanceRun) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// End sends the operators home.
func (r *MaintenanceRun) End() {
	close(r.quit)
	<-r.done
}

// Windows are all so far.
func (r *MaintenanceRun) Windows() (all []Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.windows {
		all = append(all, *x)
	}
	return all
}

// Script is what operators do without a plan: in the list's order, so many at a time, each machine
// is cordoned at each sidecar that answers, one after the other; what is out there is given its
// time; then somebody works on it, has it used again at each, and waits until it is warm.
func (f *Fleet) Script(atOnce int, takes, cold time.Duration) *MaintenanceRun {
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
