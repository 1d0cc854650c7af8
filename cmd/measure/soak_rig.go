package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/settings"
)

const (
	// soakCore is the number of core machines.
	soakCore = 3
	// soakListeners is the number of ports that a sidecar and its upstream listen on. The search for free ports
	// starts at soakLowestPort.
	soakListeners, soakLowestPort = 4, 15_000
	// soakGracePeriod is gracePeriodS, which meshCore sets, and soakTimeout is the routes' timeoutS, which
	// soakResources sets.
	soakGracePeriod, soakTimeout = 2 * time.Second, time.Second
	// soakReadPause is the pause between two reads of the configuration version.
	soakReadPause = 20 * time.Millisecond
	// soakMovePause is the mean pause between two configuration changes by moveRoute. It is long enough for each change
	// to be in force on all sidecars for a while before the next change.
	soakMovePause = 3 * time.Second
	// soakConfigApply is configApplyS of the sidecars, in seconds.
	soakConfigApply = 2
	// soakStartTime is the longest time until a started process handles signals on a busy machine.
	soakStartTime = 300 * time.Millisecond
	// soakLagPoll is the interval at which the rig checks that it is scheduled. If a check is more than soakLag late,
	// the times that the rig records meanwhile are unreliable.
	soakLagPoll, soakLag = 10 * time.Millisecond, 50 * time.Millisecond
	// soakEndSlack is the time beyond its grace period that a process may take to exit on a busy machine.
	soakEndSlack = time.Second
)

// soakRules are the time limits that the recorded history is checked against.
var soakRules = soak.Rules{
	ContactWindow: 3 * time.Second, GracePeriod: soakGracePeriod, RouteTimeout: soakTimeout,
	LossSlack: 200 * time.Millisecond, ConfigApply: soakConfigApply * time.Second, DrainTimeout: soakDrainTimeout,
}

// soakRig is a deployment of core and sidecar processes. The upstreams and clients run in the measuring process and
// record the requests that they send, execute and see answered.
type soakRig struct {
	cleanups  cleanups
	core      *meshCore
	ports     [][]string // addresses of each sidecar: inbound, outbound, readiness, upstream
	sidecars  []*soakMachine
	upstreams []*soakUpstream
	begun     time.Time
	stopping  atomic.Bool
	clients   sync.WaitGroup
	lastID    atomic.Int64
	seed      uint64

	configMu    sync.Mutex // held while the configuration is changed
	coreFaultMu sync.Mutex // held while a core member is down

	mu      sync.Mutex // guards the fields below
	history soak.History
	faults  []string // unexpected exits, late exits and leaks of processes
	counts  soakCounts
}

// soakMachine is the machine of a sidecar: a loopback address, and the sidecar process that currently runs there.
type soakMachine struct {
	number   int
	mu       sync.Mutex // held while the process is stopped and started again
	process  atomic.Pointer[process]
	draining atomic.Bool
	killed   atomic.Bool             // the process was sent SIGKILL
	frozen   atomic.Pointer[process] // stopped with SIGSTOP by a freeze event, which continues it; nil: none
	started  atomic.Int64            // start of the process, as a time.Duration since the start of the run
	earlyHUP atomic.Bool             // the process was sent SIGHUP within soakStartTime, before it handles signals
	series   atomic.Int32            // number of series of events that are restarting the process or wait to do so
}

func (r *soakRig) since() time.Duration { return time.Since(r.begun) }

func (r *soakRig) nextID() string { return fmt.Sprintf("s%d-%d", r.seed, r.lastID.Add(1)) }

func (r *soakRig) recordRun(run soak.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, run)
}

func (r *soakRig) recordRequest(request soak.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, request)
}

// disturb records the start of a disturbance of a machine. The returned function records its end.
func (r *soakRig) disturb(machine soak.Machine, cause soak.Cause) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.history.Disturbances)
	r.history.Disturbances = append(r.history.Disturbances, soak.Disturbance{
		Machine: machine, From: r.since(), To: time.Hour, Cause: cause,
	})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Disturbances[index].To = r.since()
	}
}

func (r *soakRig) count(c hardCase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Cases[c]++
}

func (r *soakRig) countEvent(kind soak.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Events[kind]++
}

func (r *soakRig) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("at %v ", r.since().Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// startSoakRig starts the core, the upstreams and the sidecars, and returns once each sidecar has served a request.
func startSoakRig(c cleanups, binary string, seed uint64, sidecars int) (*soakRig, error) {
	core, err := startMeshCoreIn(c, binary, soakNetwork(seed), soakCore)
	if err != nil {
		return nil, err
	}
	core.configApply = soakConfigApply // for sidecars only: core machines don't use configApplyS
	r := &soakRig{cleanups: c, core: core, seed: seed, begun: time.Now(), counts: newSoakCounts()}
	if err := r.replaceConfig(0.25); err != nil {
		return nil, err
	}
	ports, err := soakPorts(core.prefix)
	if err != nil {
		return nil, err
	}
	for number := range sidecars {
		var addresses []string
		for _, port := range ports {
			addresses = append(addresses, net.JoinHostPort(r.host(number), strconv.Itoa(port)))
		}
		r.ports = append(r.ports, addresses)
		r.sidecars = append(r.sidecars, &soakMachine{number: number})
		upstream := &soakUpstream{rig: r, number: number}
		upstream.slow.Store(100)
		r.upstreams = append(r.upstreams, upstream)
		if err := upstream.start(); err != nil {
			return nil, err
		}
		c.Cleanup(upstream.crash)
		if err := r.startSidecar(r.sidecars[number]); err != nil {
			return nil, err
		}
	}
	return r, r.waitUntilServing()
}

// soakPorts returns the ports that each sidecar listens on at its own address. The ports lie below the ephemeral range,
// so that no outgoing connection takes a port while the process that listens on it restarts.
func soakPorts(prefix string) (ports []int, err error) {
	for len(ports) < soakListeners {
		port, err := meshPort(prefix, soakLowestPort)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// waitUntilServing waits until each sidecar answers a request with success.
func (r *soakRig) waitUntilServing() error {
	end := time.Now().Add(meshStartTimeout)
	for number := range r.sidecars {
		c := &soakClient{rig: r, sidecar: number, random: rand.New(rand.NewPCG(r.seed, uint64(number)))}
		status := 0 // of the last response
		for served := false; !served; time.Sleep(soakRedialPause) {
			if time.Now().After(end) {
				r.sidecars[number].signal(syscall.SIGUSR1) // the sidecar writes its log to standard error
				time.Sleep(time.Second)
				return fmt.Errorf("sidecar %d served no request within %v; last status %d, want 200",
					number, meshStartTimeout, status)
			}
			if c.conn == nil && !c.dial() {
				continue
			}
			request := c.newRequest(true, "/", 0)
			if c.write(request.wire) {
				c.read(&request)
				status = request.Status
				served = status == http.StatusOK
			}
		}
		c.closeConnection()
	}
	return nil
}

// soakNetwork returns the loopback network of a seed. Two seeds that run at the same time must not use the same ports.
func soakNetwork(seed uint64) string { return fmt.Sprintf("127.79.%d.", seed%256) }

func (r *soakRig) host(number int) string { return r.core.prefix + strconv.Itoa(101+number) }

// startSidecar starts the sidecar process of a machine, always at the same addresses. The caller holds m.mu, or no
// other goroutine uses m yet.
func (r *soakRig) startSidecar(m *soakMachine) error {
	ports := r.ports[m.number]
	p, err := r.core.start(r.cleanups, "sidecar", r.host(m.number), meshZones[m.number%len(meshZones)],
		map[string]any{"machineClass": settings.Sidecar, "appAddress": ports[3], "serviceName": soakServiceOf(m.number)},
		map[string]any{"inbound": ports[0], "outbound": ports[1], "readiness": ports[2]})
	if err != nil {
		return err
	}
	p.discardOutput()
	m.process.Store(p)
	m.killed.Store(false)
	m.earlyHUP.Store(false)
	m.started.Store(int64(r.since()))
	if soakQuotaFlag > 0 {
		go m.limitCPU(p, soakQuotaFlag)
	}
	return nil
}

// signal sends a signal to the process of a machine. It does nothing if the process has exited.
func (m *soakMachine) signal(s os.Signal) { _ = m.process.Load().cmd.Process.Signal(s) }

// startClients starts the clients of all sidecars.
func (r *soakRig) startClients() {
	behaviors := soakBehaviors()
	clients := len(behaviors) * max(1, soakClientsFlag) // per sidecar
	for number := range r.sidecars {
		for i := range clients {
			random := rand.New(rand.NewPCG(r.seed, uint64(1+number*clients+i)))
			c := &soakClient{rig: r, sidecar: number, random: random}
			r.clients.Go(func() { c.run(behaviors[i%len(behaviors)]) })
		}
	}
	r.clients.Go(r.readConfig)
	r.clients.Go(r.moveRoute)
	r.clients.Go(r.watchLag)
}

// watchLag records the times at which the measuring process was not scheduled, until the rig stops.
func (r *soakRig) watchLag() {
	for !r.stopping.Load() {
		from := r.since()
		time.Sleep(soakLagPoll)
		to := r.since()
		if to-from < soakLagPoll+soakLag {
			continue
		}
		r.count(rigLagged)
		r.mu.Lock()
		r.history.Lags = append(r.history.Lags, soak.Lag{From: from, To: to})
		r.mu.Unlock()
	}
}

// awaitExit waits until a process that was sent SIGTERM has exited. Unless a fault has affected its machine since then,
// the process has to exit with status 0 within its grace period.
func (r *soakRig) awaitExit(m *soakMachine, terminatedAt time.Duration) {
	ended := make(chan error, 1)
	go func() { ended <- m.process.Load().cmd.Wait() }()
	select {
	case err := <-ended:
		running := terminatedAt - time.Duration(m.started.Load())
		switch {
		case err == nil || r.faultSince(m, terminatedAt):
		case m.earlyHUP.Load() && endedBy(err, syscall.SIGHUP): // SIGHUP came before the process handled signals
			r.count(hupWhileStarting)
		case running < soakStartTime: // SIGTERM came before the process handled signals and accepted requests
			r.count(termWhileStarting)
		default:
			r.fault("sidecar %d exited with %v, want status 0; SIGTERM was sent %v after its start",
				m.number, err, running)
		}
	case <-time.After(soakGracePeriod + soakEndSlack):
		if !r.faultSince(m, terminatedAt) {
			r.fault("sidecar %d still runs %v after SIGTERM", m.number, soakGracePeriod+soakEndSlack)
		}
		m.signal(syscall.SIGKILL)
		<-ended
	}
}

// endedBy reports whether a process was terminated by the given signal.
func endedBy(err error, signal syscall.Signal) bool {
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return false
	}
	status, ok := ended.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// faultSince reports whether the machine's process was killed, or a fault affected the machine after a moment.
func (r *soakRig) faultSince(m *soakMachine, moment time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.killed.Load() || r.history.FaultSince(soak.Machine(m.number), moment)
}
