package main

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"

	"caperarch/internal/lab/emulator"
	"caperarch/internal/lab/loadspread"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// earlierBinary is the daemon of an earlier release, to compare the current release with; "": none.
var earlierBinary string

// evenReal configures a fleet of real processes whose distribution of requests is measured.
type evenReal struct {
	sidecars, nodes int
	each            float64 // mean requests per second of a sidecar
	heavy           bool    // a random tenth of the sidecars has half of the traffic
	peers           bool    // the sidecars know of each other
	dead            float64 // share of random sidecars that are killed before the measurement
	seed            uint64
}

// evenWorld is a running fleet with its load.
type evenWorld struct {
	*fleet.Fleet
	late     *testbed.Discovery // the discovery server of every other sidecar
	unlisted []*testbed.Node    // not listed by discovery yet
	begun    time.Time
	stop     func() // stops the load
}

// drawServiceTime draws a service time with a mean of 10 ms and a standard deviation of 5 ms.
func drawServiceTime() time.Duration {
	sum := 0.0
	for range 4 {
		sum += rand.ExpFloat64()
	}
	return time.Duration(sum / 4 * float64(10*time.Millisecond))
}

// start starts the fleet and its load. times returns the factor on the usual traffic at a time since the start.
func (e evenReal) start(t cleanups, binary string, times func(time.Duration) float64) *evenWorld {
	w := new(evenWorld)
	// Every other sidecar uses a second discovery server, which can be updated later than the first.
	w.Fleet = fleet.New(t, fleet.Config{
		Size: e.sidecars, Nodes: e.nodes, Direct: true, Plain: !e.peers,
		Command: func() *exec.Cmd { return exec.Command(binary) },
		Begin: func(f *fleet.Fleet) {
			for _, n := range f.Nodes {
				n.ServiceTime = drawServiceTime
				n.Do(testbed.Always(testbed.Slow))
			}
			w.late = testbed.NewDiscovery(t, f.Nodes...)
		},
		Edit: func(file, settings map[string]any) {
			if me := settings["me"].(int); me%2 == 1 {
				file["discovery"] = w.late.Address
			}
			for _, org := range settings["orgs"].([]any) {
				org.(map[string]any)["quota_per_s"] = 1.2 * e.each * float64(e.sidecars) / 2
			}
		},
	})
	rates := make([]float64, e.sidecars)
	rng := rand.New(rand.NewPCG(e.seed, 7))
	for i := range rates {
		rates[i] = e.each
	}
	if e.heavy {
		for i := range rates {
			rates[i] = e.each / 1.8
		}
		for _, i := range rng.Perm(e.sidecars)[:e.sidecars/10] {
			rates[i] *= 9
		}
	}
	if e.peers { // read from the logs, as repeated requests would increase the processes' memory
		begun := time.Now()
		for w.Logged("peers: in contact") < e.sidecars && time.Since(begun) < contactTimeout {
			time.Sleep(200 * time.Millisecond)
		}
	}
	for _, i := range rng.Perm(e.sidecars)[:int(e.dead*float64(e.sidecars))] {
		w.Sidecars[i].Crash()
	}
	if e.peers && e.dead > 0 {
		time.Sleep(crashKnownTime)
	}
	w.begun = time.Now()
	w.stop = w.Streams(e.seed, func(i int, since time.Duration) float64 { return rates[i] * times(since) })
	return w
}

const (
	contactTimeout = 2 * time.Minute // 300 sidecars take about 30 s to be in contact
	crashKnownTime = 8 * time.Second // a crash is known to all sidecars after some seconds
)

// usual is the factor of constant traffic.
func usual(time.Duration) float64 { return 1 }

// evenResult holds the measured distribution of requests of the fleet, and of reference algorithms for the same
// arrivals.
type evenResult struct {
	brief, long, alike samples // variance over mean in 1 s and in 10 s; loadspread.Coincidence
	greatest           samples // largest over mean in 10 s
	chance, two, limit samples // variance over mean in 10 s: random, two random choices, round robin
	chanceGreatest     samples // greatest of random choice
	requests, refused  int
}

// run runs the fleet for a while and adds the measured values to o.
func (e evenReal) run(binary string, warm, length time.Duration, o *evenResult) error {
	t := newCleanups()
	defer t.end()
	w := e.start(t, binary, usual)
	time.Sleep(warm + length)
	w.stop()
	if _, broken := w.Check(); len(broken) > 0 {
		return fmt.Errorf("%d processes: violated rules: %v", e.sidecars, broken[:min(5, len(broken))])
	}
	all, weights := w.Arrivals(w.begun), make([]float64, e.nodes)
	for i := range weights {
		weights[i] = 1
	}
	window := 10 * time.Second
	o.brief.add(loadspread.Measure(all, weights, warm, warm+length, time.Second).Variance)
	s := loadspread.Measure(all, weights, warm, warm+length, window)
	o.long.add(s.Variance)
	o.greatest.add(s.Greatest)
	r := loadspread.Measure(loadspread.Random(all, weights, e.seed), weights, warm, warm+length, window)
	o.chance.add(r.Variance)
	o.chanceGreatest.add(r.Greatest)
	o.two.add(loadspread.Measure(loadspread.TwoChoices(all, weights, 10*time.Millisecond, e.seed), weights, warm,
		warm+length, window).Variance)
	o.limit.add(loadspread.Measure(loadspread.RoundRobin(all, weights), weights, warm, warm+length, window).Variance)
	o.alike.add(loadspread.Coincidence(all[len(all)/2:min(len(all), len(all)/2+10_000)], weights, 50*time.Millisecond))
	o.requests += len(all)
	o.refused += w.Refused(w.begun)
	return nil
}

func (o *evenResult) String() string {
	return fmt.Sprintf("variance over mean %v in 1 s, %v in 10 s (chance %v, random of two by own view "+
		"%v, one round robin %v); greatest over mean %v (chance %v); alike within 50 ms %v; %d requests, %d refused",
		o.brief, o.long, o.chance, o.two, o.limit, o.greatest, o.chanceGreatest, o.alike, o.requests, o.refused)
}

// evenEvents runs a fleet of real processes through each event, under faults: datagrams are lost, delayed and
// duplicated, a tenth of the processes is killed and a tenth is stopped for a while at the event, and half of the
// processes receive updates from discovery two seconds later.
func evenEvents(binary string, e evenReal, side int) (map[string]emulator.EventResult, error) {
	seen := make(map[string]emulator.EventResult)
	var mu sync.Mutex
	var failed error
	slots := make(chan bool, side)
	var all sync.WaitGroup
	for _, event := range emulator.SpreadEvents(e.nodes) {
		slots <- true
		all.Go(func() {
			defer func() { <-slots }()
			b, err := e.event(binary, &event)
			mu.Lock()
			defer mu.Unlock()
			if seen[event.Name] = b; err != nil && failed == nil {
				failed = fmt.Errorf("%s: %w", event.Name, err)
			}
		})
	}
	all.Wait()
	return seen, failed
}

// event runs a fleet through one event.
func (e evenReal) event(binary string, event *emulator.SpreadEvent) (emulator.EventResult, error) {
	t := newCleanups()
	defer t.end()
	times := usual
	if event.Times != nil {
		times = event.Times
	}
	w := e.start(t, binary, times)
	for i := range event.Added {
		n := testbed.NewHTTPNode(t, fmt.Sprintf("s-%d", e.nodes+i), w.ArrivalLog)
		n.Cell, n.ServiceTime = (e.nodes+i)/2, drawServiceTime
		n.Do(testbed.Always(testbed.Slow))
		w.unlisted = append(w.unlisted, n)
	}
	w.Peers.Break(fleet.Faults{Loss: 0.1, Duplicate: 0.1, Delay: 200 * time.Millisecond}, e.seed)
	until := event.End + 14*time.Second
	var steps sync.WaitGroup
	at := func(when time.Duration, do func()) {
		steps.Go(func() {
			time.Sleep(time.Until(w.begun.Add(when)))
			do()
		})
	}
	if event.At > 0 {
		at(event.At, func() {
			for i := 0; i < e.sidecars; i += 10 {
				w.Sidecars[i].Crash()
				w.Sidecars[i+5].Stop()
			}
		})
		at(event.At+3*time.Second, func() {
			for i := 0; i < e.sidecars; i += 10 {
				w.Sidecars[i].Start()
				w.Sidecars[i+5].Continue()
			}
		})
	}
	w.scheduleEvent(event, at)
	time.Sleep(time.Until(w.begun.Add(until)))
	steps.Wait()
	w.stop()
	if _, broken := w.Check(); len(broken) > 0 {
		return emulator.EventResult{}, fmt.Errorf("violated rules: %v", broken[:min(5, len(broken))])
	}
	return event.Evaluate(w.Arrivals(w.begun), e.nodes, until, e.seed), nil
}

// scheduleEvent schedules the changes of upstreams that belong to the event.
func (w *evenWorld) scheduleEvent(event *emulator.SpreadEvent, at func(time.Duration, func())) {
	touched := w.Nodes[:event.Touched]
	// Half of the sidecars receive the update two seconds later; a removed upstream still serves them meanwhile.
	list := func(when time.Duration, of []*testbed.Node, lifecycle string) {
		at(when, func() {
			for _, n := range of {
				w.Discovery.Set(n, lifecycle)
			}
		})
		at(when+2*time.Second, func() {
			for _, n := range of {
				w.late.Set(n, lifecycle)
			}
		})
	}
	each := func(when time.Duration, do func(*testbed.Node)) {
		at(when, func() {
			for _, n := range touched {
				do(n)
			}
		})
	}
	if event.Removed > 0 {
		list(event.At, touched[:event.Removed], "draining")
	}
	if event.Added > 0 {
		came := event.End - emulator.SpreadSlowStartTime
		at(came, func() {
			for _, n := range w.unlisted {
				n.Started = time.Now()
			}
		})
		list(came+10*time.Millisecond, w.unlisted, "ready")
	}
	switch {
	case event.State.Silent:
		each(event.At, func(n *testbed.Node) { n.Do(testbed.Always(testbed.Hang)) })
		each(event.End, func(n *testbed.Node) { n.Do(testbed.Always(testbed.Slow)) })
	case event.State.Slower > 0:
		takes := func(by float64) func(*testbed.Node) {
			return func(n *testbed.Node) { n.ServiceTimeScale.Store(int64(by * 1000)) }
		}
		each(event.At, takes(event.State.Slower))
		if event.End > event.At {
			each(event.End, takes(1))
		}
	}
}
