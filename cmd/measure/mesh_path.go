package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"caperarch/internal/mesh/settings"
)

// meshPathRoute is the route of the measured calls. Its only service is the upstream of the gate's sidecar.
const meshPathRoute = `{"resourceType":"routes","metadata":{"name":"path"},` +
	`"specification":{"hostname":"path.example","pathPrefix":"/","routeType":"non_idempotent","timeoutS":2,` +
	`"targetLatencyS":0.25,"serviceName":"service00","maxAttempts":2,"public":true}}`

// pathBench is a mesh with two sidecars: the outbound sidecar of the caller and the gate of the upstream.
type pathBench struct {
	outbound, upstream string // addresses of the caller's sidecar and of the upstream
	sidecars           []*process
}

// pathResult holds the results of all rounds at one call rate: times in ms, and CPU time of each sidecar in µs per
// call.
type pathResult struct {
	directP50, directP99   samples
	throughP50, throughP99 samples
	addedP50, addedP99     samples
	outboundCPU, gateCPU   samples
	failed                 int
}

// measureMeshPath measures the latency that the two sidecars on a call's path add to it, and the CPU time that they
// use. It returns the latency in ms that they add to the 99th percentile in each round, at the first rate, which is
// the call rate that operators expect of one sidecar.
func measureMeshPath(binary string, short bool) (added samples, err error) {
	rounds, seconds, rates := 5, 6.0, []float64{125, 400}
	if short {
		rounds, seconds, rates = 2, 3, []float64{125}
	}
	c := newCleanups()
	defer c.end()
	b, err := startPathBench(c, binary)
	if err != nil {
		return nil, err
	}
	for i, rate := range rates {
		var r pathResult
		for round := range rounds {
			load := meshLoad{Direct: b.upstream, Through: b.outbound, Rate: 2 * rate, Seconds: seconds,
				Seed: uint64(100*i + round + 1)}
			if i == 0 && round == 0 { // waits until the upstream is registered and connections are open
				if err := waitForCalls(load); err != nil {
					return nil, err
				}
			}
			if err := b.round(load, &r); err != nil {
				return nil, err
			}
		}
		fmt.Printf("path, %.0f calls/s through two sidecars and as many direct, in random order: p50 "+
			"direct %v through %v added %v ms; p99 direct %v through %v added %v ms; CPU per call: "+
			"outbound %v, gate %v µs, control included; %d failed\n",
			rate, r.directP50, r.throughP50, r.addedP50, r.directP99, r.throughP99, r.addedP99,
			r.outboundCPU, r.gateCPU, r.failed)
		if i == 0 {
			added = r.addedP99
		}
	}
	return added, b.printMemory()
}

// startPathBench starts the core members, the two sidecars and the upstream of the second sidecar.
func startPathBench(c cleanups, binary string) (*pathBench, error) {
	core, err := startMeshCore(c, binary, 3)
	if err != nil {
		return nil, err
	}
	if _, _, _, err := core.replace(append(meshResources(25), json.RawMessage(meshPathRoute))); err != nil {
		return nil, err
	}
	b := new(pathBench)
	for i, host := range []string{meshPrefix + "101", meshPrefix + "102"} {
		ports, err := freePorts(host, 4)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			b.outbound = ports[1]
		} else {
			b.upstream = ports[3]
		}
		p, err := core.start(c, "sidecar", host, meshZones[0],
			map[string]any{"machineClass": settings.Sidecar, "appAddress": ports[3],
				"serviceName": []string{"service01", "service00"}[i]},
			map[string]any{"inbound": ports[0], "outbound": ports[1], "readiness": ports[2]})
		if err != nil {
			return nil, err
		}
		b.sidecars = append(b.sidecars, p)
	}
	upstream, err := startChild([]string{"GOMAXPROCS=1"}, "meshupstream", b.upstream)
	if err != nil {
		return nil, err
	}
	c.Cleanup(upstream.kill)
	_, err = upstream.line("upstream ")
	return b, err
}

// freePorts returns n addresses on a host that were free when checked.
func freePorts(host string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, l.Addr().String())
		l.Close()
	}
	return addresses, nil
}

// round generates a load and adds its results to r.
func (b *pathBench) round(load meshLoad, r *pathResult) (err error) {
	before := make([]time.Duration, len(b.sidecars))
	for i, p := range b.sidecars {
		if before[i], _, err = usage(p.cmd.Process.Pid); err != nil {
			return err
		}
	}
	t, err := load.run()
	if err != nil {
		return err
	}
	if t.Through == 0 || t.Direct == 0 {
		return fmt.Errorf("no direct call or no call through the mesh succeeded: %s", t.FirstFailure)
	}
	for i, p := range b.sidecars {
		cpu, _, err := usage(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		s := []*samples{&r.outboundCPU, &r.gateCPU}[i]
		s.add(float64((cpu - before[i]).Microseconds()) / float64(t.Through))
	}
	r.failed += t.Failed
	r.addedP50.add(t.ThroughP50 - t.DirectP50)
	r.addedP99.add(t.ThroughP99 - t.DirectP99)
	r.directP50.add(t.DirectP50)
	r.directP99.add(t.DirectP99)
	r.throughP50.add(t.ThroughP50)
	r.throughP99.add(t.ThroughP99)
	return nil
}

// printMemory prints the memory use of the sidecars.
func (b *pathBench) printMemory() error {
	for i, p := range b.sidecars {
		_, rss, err := usage(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Printf("path: %s uses %.1f MiB\n",
			[]string{"the outbound sidecar", "the sidecar of the gate"}[i], float64(rss)/(1<<20))
	}
	return nil
}

// waitForCalls repeats a short load until all its calls succeed.
func waitForCalls(l meshLoad) error {
	l.Seconds = 0.5
	for end := time.Now().Add(meshStartTimeout); ; time.Sleep(100 * time.Millisecond) {
		t, err := l.run()
		if err != nil {
			return err
		}
		if t.Failed == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("calls still fail after %v: %s", meshStartTimeout, t.FirstFailure)
		}
	}
}

// run starts a process of callers that generates the load, and returns its result.
func (l meshLoad) run() (t meshTimes, err error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return t, err
	}
	p, err := startChild([]string{"GOMAXPROCS=1"}, "meshcallers", string(raw))
	if err != nil {
		return t, err
	}
	return t, p.result(&t)
}
