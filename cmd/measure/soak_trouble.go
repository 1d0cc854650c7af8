package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/lab/soak"
)

// hupsOfBurst is how many SIGHUPs each sidecar gets in a burst.
const hupsOfBurst = 3

// soakTrouble is what each kind of event does. It returns when it is over.
var soakTrouble = map[soak.Kind]func(*soakRig, soak.Event){
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

// play plays a schedule and returns when all of it is over.
func (r *soakRig) play(events []soak.Event, length time.Duration) {
	var playing sync.WaitGroup
	begun := time.Now()
	for _, e := range events {
		time.Sleep(e.At - time.Since(begun))
		if r.stopping.Load() {
			break
		}
		r.countEvent(e.Kind)
		playing.Go(func() { soakTrouble[e.Kind](r, e) })
	}
	time.Sleep(length - time.Since(begun))
	playing.Wait()
}

// each does something to each sidecar of an event at the same time, and waits for all.
func (r *soakRig) each(e soak.Event, do func(*soakMachine)) {
	var all sync.WaitGroup
	for _, number := range e.Sidecars {
		all.Go(func() { do(r.sidecars[number]) })
	}
	all.Wait()
}

// roll sends SIGTERM to sidecars, one a gap, whether the one before has drained or not, and starts each again as
// soon as its process has ended.
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

// restart ends one sidecar by SIGTERM and starts it again.
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
	told := r.since()
	end := r.disturb(soak.Machine(m.number), soak.Termination)
	m.draining.Store(true)
	m.signal(syscall.SIGTERM)
	if e.Kind == soak.TermTwice {
		time.Sleep(e.Gap)
		r.count(secondTerm)
		m.signal(syscall.SIGTERM)
	}
	r.await(m, told)
	m.draining.Store(false)
	r.startAgain(m)
	end()
}

// startAgain starts a sidecar whose process has ended.
func (r *soakRig) startAgain(m *soakMachine) {
	if err := r.startSidecar(m); err != nil {
		r.fault("sidecar %d does not start: %v", m.number, err)
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

// hupBurst sends SIGHUP, also to sidecars that drain.
func (r *soakRig) hupBurst(e soak.Event) {
	for range hupsOfBurst {
		r.each(e, func(m *soakMachine) {
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

// kill kills sidecars at once and starts them again after a while. One that drains is started by whoever told it
// to end.
func (r *soakRig) kill(e soak.Event) {
	r.each(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		m.killed.Store(true)
		m.signal(syscall.SIGKILL)
		if !m.mu.TryLock() {
			return
		}
		defer m.mu.Unlock()
		m.signal(syscall.SIGKILL) // it may have been started between
		_ = m.process.Load().cmd.Wait()
		time.Sleep(e.For)
		r.startAgain(m)
	})
}

// freeze stops sidecars for a while.
func (r *soakRig) freeze(e soak.Event) {
	r.each(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		process := m.process.Load().cmd.Process
		m.frozen.Store(true)
		defer m.frozen.Store(false)
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		_ = process.Signal(syscall.SIGCONT)
	})
}

// pause stops sidecars for short times, again and again, each at moments of its own.
func (r *soakRig) pause(e soak.Event) {
	r.each(e, func(m *soakMachine) {
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

// changeConfig makes changes one after the other; the lock of the core's client is the operator's own.
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

// moveRoute changes the configuration now and then until the rig stops, whatever else happens.
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

// replaceConfig replaces the configuration by one with another latency target, in which the route that moves goes to
// the other service.
func (r *soakRig) replaceConfig(latencyTarget float64) error {
	r.operator.Lock()
	defer r.operator.Unlock()
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

// killCoreMember kills a core member, not the one that operators call, and starts it again after a while.
func (r *soakRig) killCoreMember(e soak.Event) {
	r.coreTrouble.Lock() // one at a time: the core bears the loss of one
	defer r.coreTrouble.Unlock()
	end := r.disturb(soak.Core, soak.Fault)
	defer end()
	number := 1 + int(e.For)%(soakCore-1)
	r.core.members[number].kill()
	time.Sleep(e.For)
	member, err := r.core.startMember(r.cleanups, r.core.hosts[number], number, false)
	if err != nil {
		r.fault("core member %d does not start: %v", number, err)
		r.stopping.Store(true)
		return
	}
	member.drop()
	r.core.members[number] = member
}

func (r *soakRig) slowUpstreams(e soak.Event) {
	r.each(e, func(m *soakMachine) {
		slow := &r.upstreams[m.number].slow
		slow.Store(uint64(100 * e.Factor))
		time.Sleep(e.For)
		slow.Store(100)
	})
}

func (r *soakRig) crashUpstreams(e soak.Event) {
	r.each(e, func(m *soakMachine) {
		end := r.disturb(soak.Machine(m.number), soak.Fault)
		defer end()
		upstream := r.upstreams[m.number]
		if !upstream.down.CompareAndSwap(false, true) {
			return // another event's
		}
		defer upstream.down.Store(false)
		upstream.crash()
		time.Sleep(e.For)
		if err := upstream.start(); err != nil {
			r.fault("upstream %d does not start: %v", m.number, err)
			r.stopping.Store(true)
		}
	})
}
