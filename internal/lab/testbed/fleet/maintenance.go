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

// Window is the time in which an operator works on a machine: from the moment when the operator saw that the machine
// was released until the work was done.
type Window struct {
	Number   int
	Node     *testbed.Node
	From, To time.Time // To is zero during the work
	Warm     time.Time // end of the warm-up by the settings; zero if the machine was not restarted
}

// MaintenanceRun simulates operators who work on each machine that some sidecar reports as released. The operators
// don't know of each other.
type MaintenanceRun struct {
	f          *Fleet
	WarmupTime time.Duration // from the restart of a machine until it is warm
	WorkTime   time.Duration // time for the work on a machine

	mu      sync.Mutex
	windows map[int]*Window
	ended   bool
	Status  string // the last status that a sidecar reported
	stop    chan struct{}
	done    chan struct{}
}

// ProposeMaintenance proposes a maintenance plan to the fleet through one process.
func (s *Sidecar) ProposeMaintenance(plan string) error {
	raw := []byte(plan)
	if err := s.upload(raw); err != nil {
		return err
	}
	return s.operate("work-plan " + policyrollout.Hash(raw))
}

// MaintenanceStatus returns a process's report of plans and windows.
func (s *Sidecar) MaintenanceStatus() (string, error) { return s.callControl("work-show") }

// MaintenanceCommand sends an operator's command about a window or a plan: done, pause, resume or cancel.
func (s *Sidecar) MaintenanceCommand(word string, number int) error {
	return s.operate(fmt.Sprintf("work-%s %d", word, number))
}

var (
	freeTurn   = regexp.MustCompile(`(?m)^turn (\d+) of plan \d+: (\S+): out, free to work on$`)
	pausedPlan = regexp.MustCompile(`(?m)^plan (\d+) of sidecar .*: paused: `)
)

func (f *Fleet) newMaintenanceRun(takes, cold time.Duration) *MaintenanceRun {
	return &MaintenanceRun{f: f, WarmupTime: cold, WorkTime: takes, windows: make(map[int]*Window),
		stop: make(chan struct{}), done: make(chan struct{})}
}

// StartOperators starts operators who work on released machines. They restart every other machine.
func (f *Fleet) StartOperators(seed uint64, takes, cold time.Duration) *MaintenanceRun {
	r := f.newMaintenanceRun(takes, cold)
	go func() {
		defer close(r.done)
		rng := rand.New(rand.NewPCG(seed, 7))
		var at sync.WaitGroup
		defer at.Wait()
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			s := f.Sidecars[rng.IntN(len(f.Sidecars))]
			text, err := s.MaintenanceStatus()
			if err != nil || !s.Running() {
				continue
			}
			r.mu.Lock()
			r.Status = text
			// A process that has just started has no plan either, so a finished plan has to be listed as well.
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
				_ = s.MaintenanceCommand("resume", plan)
			}
		}
	}()
	return r
}

// begin records that an operator begins to work in a window. It returns nil if another operator already has.
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

// work works on a machine and then reports the end of the work until a process has accepted the report.
func (r *MaintenanceRun) work(x *Window, rng *rand.Rand) {
	r.performWork(x)
	for {
		s := r.f.Sidecars[rng.IntN(len(r.f.Sidecars))]
		if err := s.MaintenanceCommand("done", x.Number); s.Running() &&
			(err == nil || strings.Contains(err.Error(), fmt.Sprintf("turn %d is", x.Number))) {
			// The report was accepted now or before. A leader that crashes can lose an accepted report, so the operator
			// checks again.
			time.Sleep(2 * time.Second)
			if text, err := s.MaintenanceStatus(); err == nil &&
				!strings.Contains(text, fmt.Sprintf("turn %d of plan 1: %s: out, free", x.Number, x.Node.ID)) {
				return
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// performWork works on a machine, and restarts it if its window number is even.
func (r *MaintenanceRun) performWork(x *Window) {
	time.Sleep(r.WorkTime)
	restart := x.Number%2 == 0
	if restart {
		x.Node.Vanish()
		time.Sleep(100 * time.Millisecond)
	}
	r.mu.Lock()
	x.To = time.Now()
	if restart {
		x.Warm = x.To.Add(r.WarmupTime)
	}
	r.mu.Unlock()
	if restart {
		x.Node.Return(r.f.t)
		r.f.Discovery.Set(x.Node, "ready")
	}
}

// Ended reports whether a process has reported that the plan is finished.
func (r *MaintenanceRun) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// End stops the operators.
func (r *MaintenanceRun) End() {
	close(r.stop)
	<-r.done
}

// Windows returns all windows so far.
func (r *MaintenanceRun) Windows() (all []Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.windows {
		all = append(all, *x)
	}
	return all
}

// StartScript starts operators who work without a plan. They take the machines in order, atOnce at a time: they cordon
// each machine at each running sidecar, one after the other, wait until its requests have ended, work on it, uncordon
// it at each sidecar and wait until it is warm.
func (f *Fleet) StartScript(atOnce int, takes, cold time.Duration) *MaintenanceRun {
	r := f.newMaintenanceRun(takes, cold)
	go func() {
		defer close(r.done)
		for i := 0; i < len(f.Nodes); i += atOnce {
			var at sync.WaitGroup
			for k, n := range f.Nodes[i:min(i+atOnce, len(f.Nodes))] {
				f.callAll("cordon " + n.ID)
				at.Go(func() {
					time.Sleep(Timeout)
					x := r.begin(i+k+1, n.ID)
					r.performWork(x)
				})
			}
			at.Wait()
			for _, n := range f.Nodes[i:min(i+atOnce, len(f.Nodes))] {
				f.callAll("uncordon " + n.ID)
			}
			select {
			case <-r.stop:
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

// callAll sends a control command to each running sidecar.
func (f *Fleet) callAll(call string) {
	for _, s := range f.Sidecars {
		if s.Running() {
			_ = s.operate(call)
		}
	}
}
