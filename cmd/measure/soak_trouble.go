package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/lab/soak"
)

// hupsPerBurst is the number of SIGHUPs that each sidecar is sent in a burst.
const hupsPerBurst = 3

// soakEventHandlers maps each kind of event to the function that executes it. The function returns when the event is
// over.
var soakEventHandlers = map[soak.Kind]func(*soakRig, soak.Event){
	soak.RollTerm:       (*soakRig).roll,
	soak.TermTwice:      (*soakRig).roll,
	soak.HupBurst:       (*soakRig).hupBurst,
	soak.Kill:           (*soakRig).kill,
	soak.Freeze:         (*soakRig).freeze,
	soak.ConfigChanges:  (*soakRig).changeConfig,
	soak.KillCoreMember: (*soakRig).killCoreMember,
	soak.SlowUpstreams:  (*soakRig).slowUpstreams,
	soak.CrashUpstreams: (*soakRig).crashUpstreams,
	soak.DrainUpstreams: (*soakRig).drainUpstreams,
	soak.LeaveUpstreams: (*soakRig).drainUpstreams,
	soak.Pauses:         (*soakRig).pause,
}

// play executes a schedule and returns when all events are over and length has passed.
func (r *soakRig) play(events []soak.Event, length time.Duration) {
	var playing sync.WaitGroup
	begun := time.Now()
	for _, e := range events {
		time.Sleep(e.At - time.Since(begun))
		if r.stopping.Load() {
			break
		}
		r.countEvent(e.Kind)
		playing.Go(func() { soakEventHandlers[e.Kind](r, e) })
	}
	time.Sleep(length - time.Since(begun))
	playing.Wait()
}

// forEachSidecar calls do for all sidecars of an event in parallel, and waits for all calls.
func (r *soakRig) forEachSidecar(e soak.Event, do func(*soakMachine)) {
	var all sync.WaitGroup
	for _, number := range e.Sidecars {
		all.Go(func() { do(r.sidecars[number]) })
	}
	all.Wait()
}

// roll restarts the sidecars of an event. For RollTerm it starts with one sidecar every e.Gap, whether or not the
// previous sidecar has drained; for TermTwice it starts with all sidecars at once.
func (r *soakRig) roll(e soak.Event) {
	var all sync.WaitGroup
	for _, number := range e.Sidecars {
		all.Go(func() { r.restart(r.sidecars[number], e) })
		if e.Kind == soak.RollTerm {
			time.Sleep(e.Gap)
		}
	}
	all.Wait()
}

// restart sends SIGTERM to one sidecar and starts the sidecar again once its process has exited.
func (r *soakRig) restart(m *soakMachine, e soak.Event) {
	if m.series.Add(1) > 1 {
		r.count(seriesOnOneSidecar)
	}
	defer m.series.Add(-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.anyDraining() {
		r.count(termBeforeLastDrained)
	}
	terminatedAt := r.since()
	end := r.disturb(soak.Machine(m.number), soak.Termination)
	m.draining.Store(true)
	m.signal(syscall.SIGTERM)
	if e.Kind == soak.TermTwice {
		time.Sleep(e.Gap)
		r.count(secondTerm)
		m.signal(syscall.SIGTERM)
	}
	r.awaitExit(m, terminatedAt)
	m.draining.Store(false)
	r.startAgain(m)
	end()
}

// startAgain starts a sidecar whose process has exited.
func (r *soakRig) startAgain(m *soakMachine) {
	if err := r.startSidecar(m); err != nil {
		r.fault("sidecar %d not started again: %v", m.number, err)
		r.stopping.Store(true)
	}
}

func (r *soakRig) anyDraining() bool {
	for _, m := range r.sidecars {
		if m.draining.Load() {
			return true
		}
	}
	return false
}

// hupBurst sends several SIGHUPs to each sidecar of an event, including sidecars that are draining.
func (r *soakRig) hupBurst(e soak.Event) {
	for range hupsPerBurst {
		r.forEachSidecar(e, func(m *soakMachine) {
			if m.draining.Load() {
				r.count(hupInDrain)
			}
			r.disturb(soak.Machine(m.number), soak.Reload)()
			if r.since()-time.Duration(m.started.Load()) < soakStartTime {
				m.earlyHUP.Store(true)
			}
			m.signal(syscall.SIGHUP)
		})
		time.Sleep(e.Gap)
	}
}

// kill sends SIGKILL to all sidecars of an event and starts them again after e.For. If another event is restarting a
// sidecar, that event also starts the sidecar again.
func (r *soakRig) kill(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		m.killed.Store(true)
		m.signal(syscall.SIGKILL)
		if !m.mu.TryLock() {
			return
		}
		defer m.mu.Unlock()
		m.signal(syscall.SIGKILL) // another event may have started the process since the first SIGKILL
		_ = m.process.Load().cmd.Wait()
		time.Sleep(e.For)
		r.startAgain(m)
	})
}

// freeze stops the processes of the sidecars of an event with SIGSTOP for e.For.
func (r *soakRig) freeze(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		frozen := m.process.Load()
		m.frozen.Store(frozen)
		defer m.frozen.CompareAndSwap(frozen, nil) // a later event may have frozen the next process
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// pause stops the process of each sidecar of an event e.Count times, each time for at most e.For. The times are drawn
// for each sidecar separately.
func (r *soakRig) pause(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		random := rand.New(rand.NewPCG(r.seed, uint64(e.At)+uint64(m.number)))
		for range e.Count {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(e.Gap)))
			end := r.disturb(soak.Machine(m.number), soak.Fault)
			process := m.process.Load().cmd.Process
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.Int64N(int64(e.For))))
			_ = process.Signal(syscall.SIGCONT)
			end()
			r.count(paused)
		}
	})
}

// changeConfig makes e.Count configuration changes with a pause of e.Gap after each change. replaceConfig holds
// configMu, so that the changes do not interleave with the changes of moveRoute.
func (r *soakRig) changeConfig(e soak.Event) {
	for i := range e.Count {
		if r.anyDraining() {
			r.count(changeInDrain)
		}
		err := r.replaceConfig(0.2 + 0.05*float64(i%4))
		r.count(configChange)
		if err != nil {
			r.count(configFailure)
		}
		time.Sleep(e.Gap)
	}
}

// moveRoute changes the configuration at random intervals until the rig stops, independently of the schedule.
func (r *soakRig) moveRoute() {
	random := rand.New(rand.NewPCG(r.seed, 1))
	for !r.stopping.Load() {
		time.Sleep(time.Duration((0.5 + random.Float64()) * float64(soakMovePause)))
		err := r.replaceConfig(0.2 + 0.1*random.Float64())
		r.count(configChange)
		if err != nil {
			r.count(configFailure)
		}
	}
}

// replaceConfig replaces the configuration: the routes get a new latency target, and the moving route switches to the
// other service.
func (r *soakRig) replaceConfig(latencyTarget float64) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	change := soak.Change{Version: r.core.version + 1, Sent: r.since()}
	change.Target = soakServices[int(change.Version)%len(soakServices)]
	_, _, _, err := r.core.replace(soakResources(latencyTarget, change.Target))
	if err == nil {
		change.Acknowledged = r.since()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Changes = append(r.history.Changes, change)
	return err
}

// killCoreMember kills a core member other than member 0, which receives the configuration changes, and starts the
// member again after e.For.
func (r *soakRig) killCoreMember(e soak.Event) {
	r.coreFaultMu.Lock() // one member at a time: the core keeps its majority with one member down
	defer r.coreFaultMu.Unlock()
	end := r.disturb(soak.Core, soak.Fault)
	defer end()
	number := 1 + int(e.For)%(soakCore-1)
	r.core.members[number].kill()
	time.Sleep(e.For)
	member, err := r.core.startMember(r.cleanups, r.core.hosts[number], number, false)
	if err != nil {
		r.fault("core member %d not started after SIGKILL: %v", number, err)
		r.stopping.Store(true)
		return
	}
	member.discardOutput()
	r.core.members[number] = member
}

func (r *soakRig) slowUpstreams(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		slow := &r.upstreams[m.number].slow
		slow.Store(uint64(100 * e.Factor))
		time.Sleep(e.For)
		slow.Store(100)
	})
}

func (r *soakRig) crashUpstreams(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		upstream := r.upstreams[m.number]
		if !upstream.down.CompareAndSwap(false, true) {
			return // another event has stopped this upstream
		}
		defer upstream.down.Store(false)
		upstream.crash()
		time.Sleep(e.For)
		if err := upstream.start(); err != nil {
			r.fault("upstream %d not started after its crash: %v", m.number, err)
			r.stopping.Store(true)
		}
	})
}
