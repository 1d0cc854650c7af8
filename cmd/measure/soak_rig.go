package main

import (
	"context"
	"encoding/json"
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
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/meshapi"
)

const (
	soakCore = 3
	// soakListeners is how many ports a sidecar and its upstream listen on, from soakLowestPort on.
	soakListeners, soakLowestPort = 4, 15_000
	// soakGrace is gracePeriodS and soakTimeout the routes' timeoutS, as meshCore and soakResources set them.
	soakGrace, soakTimeout = 2 * time.Second, time.Second
	// soakReadPause is the pause between two reads of the configuration.
	soakReadPause = 20 * time.Millisecond
	// soakMovePause is the mean time between two changes of the configuration by its second operator: one change
	// is to be in force everywhere for a while before the next one.
	soakMovePause = 3 * time.Second
	// soakConfigApply is configApplyS.
	soakConfigApply = 2
	// soakStartTime is how long a process may take to begin to handle signals on a busy machine.
	soakStartTime = 300 * time.Millisecond
	// soakLagPoll is how often the rig looks whether it gets a processor, and soakLag how much later than that it has
	// to be for what it records to count as late.
	soakLagPoll, soakLag = 10 * time.Millisecond, 50 * time.Millisecond
	// soakEndSlack is how much longer than its grace period a process may take to end on a busy machine.
	soakEndSlack = time.Second
)

// soakServices are the services, and soakMovingHost the host of the route that goes from one to the other.
var soakServices = []string{"work", "spare"}

const soakMovingHost = "moving"

// soakRules are what a soak's history is judged by.
var soakRules = soak.Rules{
	ContactWindow: 3 * time.Second, GracePeriod: soakGrace, RouteTimeout: soakTimeout, LossSlack: 200 * time.Millisecond,
	ConfigApply: soakConfigApply * time.Second, DrainTimeout: soakDrainTimeout,
}

// soakRig is a deployment of processes, with upstreams and clients in this one, which record what they see.
type soakRig struct {
	cleanups  cleanups
	core      *meshCore
	ports     [][]string // of each sidecar: inbound, outbound, readiness, upstream
	sidecars  []*soakMachine
	upstreams []*soakUpstream
	begun     time.Time
	stopping  atomic.Bool
	clients   sync.WaitGroup
	lastID    atomic.Int64
	seed      uint64

	operator    sync.Mutex // held while the configuration is changed
	coreTrouble sync.Mutex // held while a core member is down

	mu      sync.Mutex // guards the fields below
	history soak.History
	faults  []string // of the processes: unexpected ends, and ends that took too long
	counts  soakCounts
}

// hardCase is a case that a soak counts, as its report names it.
type hardCase string

// The hard cases, and what the operator of the soak did.
const (
	hupInDrain            hardCase = "SIGHUP within a drain"
	changeInDrain         hardCase = "change within a drain"
	secondTerm            hardCase = "second SIGTERM"
	seriesOnOneSidecar    hardCase = "two series on one sidecar"
	termBeforeLastDrained hardCase = "SIGTERM before the last has drained"
	termWhileStarting     hardCase = "SIGTERM within the start"
	hupWhileStarting      hardCase = "SIGHUP within the start, which ended the process"
	drainUnacknowledged   hardCase = "drains that nobody acknowledged"
	paused                hardCase = "pauses of a process"
	rigLagged             hardCase = "measuring process without a processor"
	configChange          hardCase = "configuration changes"
	configFailure         hardCase = "changes without a clear answer"
)

// hardCases are all of them.
var hardCases = []hardCase{
	hupInDrain, changeInDrain, secondTerm, seriesOnOneSidecar, termBeforeLastDrained, termWhileStarting,
	hupWhileStarting, configChange, configFailure, drainUnacknowledged, paused, rigLagged,
}

// soakCounts are how often the hard cases and the events happened.
type soakCounts struct {
	Cases  map[hardCase]int
	Events map[soak.Kind]int
}

func newSoakCounts() soakCounts {
	return soakCounts{Cases: make(map[hardCase]int), Events: make(map[soak.Kind]int)}
}

// add adds the counts of another run.
func (c soakCounts) add(one soakCounts) {
	for name, n := range one.Cases {
		c.Cases[name] += n
	}
	for kind, n := range one.Events {
		c.Events[kind] += n
	}
}

// soakMachine is a sidecar's machine and the process on it.
type soakMachine struct {
	number   int
	mu       sync.Mutex // held while its process is ended and started again
	process  atomic.Pointer[process]
	draining atomic.Bool
	killed   atomic.Bool  // its process was sent SIGKILL
	frozen   atomic.Bool  // its process was sent SIGSTOP, for a while
	started  atomic.Int64 // when its process was started, a time.Duration since the run's begin
	earlyHUP atomic.Bool  // its process was sent SIGHUP before it can be expected to handle signals
	series   atomic.Int32 // that are at it
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

// disturb records that something is done to a machine; end records that it is over.
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

// soakRoute is a route of a soak's configuration.
type soakRoute struct {
	host, kind string
	target     string // its service; "": all, by the number of their upstreams
}

// soakResources are a soak's configuration: a route for what may run twice, one for what must not, and one that goes
// to one service alone, which changes.
func soakResources(latencyTarget float64, moved string) (all []json.RawMessage) {
	for _, service := range soakServices {
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},`+
			`"specification":{"healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tlsEnabled":false}}`, service)))
	}
	for _, route := range []soakRoute{
		{host: "read", kind: "idempotent"}, {host: "write", kind: "non_idempotent"},
		{host: soakMovingHost, kind: "idempotent", target: moved},
	} {
		targets := fmt.Sprintf(`"serviceName":"%s"`, route.target)
		if route.target == "" {
			targets = fmt.Sprintf(`"weightedTargets":[{"serviceName":"%s","weight":2},{"serviceName":"%s","weight":1}]`,
				soakServices[0], soakServices[1])
		}
		all = append(all, json.RawMessage(fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},`+
			`"specification":{"hostname":"%s.soak.example","pathPrefix":"/","routeType":"%s","timeoutS":%d,`+
			`"targetLatencyS":%g,%s,"maxAttempts":2,"public":true}}`,
			route.host, route.host, route.kind, int(soakTimeout.Seconds()), latencyTarget, targets)))
	}
	return all
}

// soakServiceOf is the service of the upstream with a number: each third one is of the second.
func soakServiceOf(number int) string {
	if number%3 == 2 {
		return soakServices[1]
	}
	return soakServices[0]
}

// startSoakRig starts core, upstreams and sidecars, and returns once a request comes through each sidecar.
func startSoakRig(c cleanups, binary string, seed uint64, sidecars int) (*soakRig, error) {
	core, err := startMeshCoreIn(c, binary, soakNetwork(seed), soakCore)
	if err != nil {
		return nil, err
	}
	core.configApply = soakConfigApply // the sidecars' own: core machines don't go by it
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

// soakPorts are the ports that all sidecars listen on, each at its own address. They lie below those that outgoing
// connections get: a restarted process must find its own free.
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
				r.sidecars[number].signal(syscall.SIGUSR1) // it writes out what it has logged
				time.Sleep(time.Second)
				return fmt.Errorf("sidecar %d serves nothing after %v; last status %d", number, meshStartTimeout, status)
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
		c.hangUp()
	}
	return nil
}

// soakNetwork is the loopback network of a seed: two that run at the same time must not take each other's ports.
func soakNetwork(seed uint64) string { return fmt.Sprintf("127.79.%d.", seed%256) }

func (r *soakRig) host(number int) string { return r.core.prefix + strconv.Itoa(101+number) }

// startSidecar starts the process of a machine, at the addresses that it had before. The machine's lock is held,
// or nobody else knows it yet.
func (r *soakRig) startSidecar(m *soakMachine) error {
	ports := r.ports[m.number]
	p, err := r.core.start(r.cleanups, "sidecar", r.host(m.number), meshZones[m.number%len(meshZones)],
		map[string]any{"machineClass": settings.Sidecar, "appAddress": ports[3], "serviceName": soakServiceOf(m.number)},
		map[string]any{"inbound": ports[0], "outbound": ports[1], "readiness": ports[2]})
	if err != nil {
		return err
	}
	p.drop()
	m.process.Store(p)
	m.killed.Store(false)
	m.earlyHUP.Store(false)
	m.started.Store(int64(r.since()))
	if soakQuotaFlag > 0 {
		go m.limitProcessor(p, soakQuotaFlag)
	}
	return nil
}

// signal sends a signal to the process of a machine; one that has ended gets none.
func (m *soakMachine) signal(s os.Signal) { _ = m.process.Load().cmd.Process.Signal(s) }

// startClients starts the clients of all sidecars.
func (r *soakRig) startClients() {
	clients := len(soakBehaviors) * max(1, soakClientsFlag) // of each sidecar
	for number := range r.sidecars {
		for i := range clients {
			random := rand.New(rand.NewPCG(r.seed, uint64(1+number*clients+i)))
			c := &soakClient{rig: r, sidecar: number, random: random}
			r.clients.Go(func() { c.run(soakBehaviors[i%len(soakBehaviors)]) })
		}
	}
	r.clients.Go(r.readConfig)
	r.clients.Go(r.moveRoute)
	r.clients.Go(r.watchLag)
}

// watchLag records when this process gets no processor, until the rig stops.
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

// soakDescription is what a soak reads of a configuration.
type soakDescription struct {
	ConfigVersion int64 `json:"configVersion"`
}

// readConfig reads the configuration at one sidecar after the other, again and again.
func (r *soakRig) readConfig() {
	random := rand.New(rand.NewPCG(r.seed, 0))
	for !r.stopping.Load() {
		time.Sleep(soakReadPause)
		read := soak.Read{Sidecar: random.IntN(len(r.sidecars)), Sent: r.since()}
		address := net.JoinHostPort(r.host(read.Sidecar), strconv.Itoa(r.core.control))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := rpc.Get[soakDescription](ctx, r.core.client, "http://"+address+meshapi.DescribePath)
		cancel()
		if err != nil {
			continue // a 5xx or silence promises nothing
		}
		read.Answered, read.Version = r.since(), answer.ConfigVersion
		r.mu.Lock()
		r.history.Reads = append(r.history.Reads, read)
		r.mu.Unlock()
	}
}

// await waits until a process that was told to end has ended. Unless a fault met its machine since, it has to end
// with status 0 within its grace period.
func (r *soakRig) await(m *soakMachine, told time.Duration) {
	ended := make(chan error, 1)
	go func() { ended <- m.process.Load().cmd.Wait() }()
	select {
	case err := <-ended:
		running := told - time.Duration(m.started.Load())
		switch {
		case err == nil || r.faultSince(m, told):
		case m.earlyHUP.Load() && endedBy(err, syscall.SIGHUP): // as below
			r.count(hupWhileStarting)
		case running < soakStartTime: // the system ended it before it could handle signals: it had accepted nothing
			r.count(termWhileStarting)
		default:
			r.fault("sidecar %d ended with %v, told to after %v", m.number, err, running)
		}
	case <-time.After(soakGrace + soakEndSlack):
		if !r.faultSince(m, told) {
			r.fault("sidecar %d runs %v after it was told to end", m.number, soakGrace+soakEndSlack)
		}
		m.signal(syscall.SIGKILL)
		<-ended
	}
}

// endedBy reports whether a process's end was a signal's.
func endedBy(err error, signal syscall.Signal) bool {
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return false
	}
	status, ok := ended.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// faultSince reports whether a fault met a machine after a moment.
func (r *soakRig) faultSince(m *soakMachine, moment time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.killed.Load() || r.history.FaultSince(soak.Machine(m.number), moment)
}
