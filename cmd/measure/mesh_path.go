package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"caperarch/internal/mesh/settings"
)

// meshPathRoute is the route of the measured calls, whose one service is beside the gate's sidecar.
const meshPathRoute = `{"resourceType":"routes","metadata":{"name":"path"},` +
	`"specification":{"hostname":"path.example","pathPrefix":"/","routeType":"non_idempotent","timeoutS":2,` +
	`"targetLatencyS":0.25,"serviceName":"service00","maxAttempts":2,"public":true}}`

// pathBench is a mesh with two sidecars, one at either end of the measured calls.
type pathBench struct {
	outbound, upstream string // addresses: of the caller's sidecar, and of the upstream itself
	sidecars           []*process
}

// pathResult is what calls at one rate took, by round: times in ms, CPU of each sidecar in µs a call.
type pathResult struct {
	directP50, directP99   samples
	throughP50, throughP99 samples
	addedP50, addedP99     samples
	outboundCPU, gateCPU   samples
	failed                 int
}

// meshPath measures what two sidecars, one at either end, add to a call, and what they use for it.
// It returns what is added to the 99th percentile, in ms, by round, at the rate that is expected of
// one sidecar.
func meshPath(binary string, short bool) (added samples, err error) {
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
			if i == 0 && round == 0 { // the upstream registers, connections come up
				if err := warmMesh(load); err != nil {
					return nil, err
				}
			}
			if err := b.round(load, &r); err != nil {
				return nil, err
			}
		}
		fmt.Printf("path, %.0f calls/s through two sidecars and as many direct, in turn by chance: p50 "+
			"direct %v through %v added %v ms; p99 direct %v through %v added %v ms; CPU a call: "+
			"outbound %v, gate %v µs, control included; %d failed\n",
			rate, r.directP50, r.throughP50, r.addedP50, r.directP99, r.throughP99, r.addedP99,
			r.outboundCPU, r.gateCPU, r.failed)
		if i == 0 {
			added = r.addedP99
		}
	}
	return added, b.printMemory()
}

// startPathBench starts core members, the two sidecars and the upstream beside the second.
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

// freePorts are addresses on a host that were free a moment ago.
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

// round makes a load and adds what came of it.
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
		return fmt.Errorf("no call came through: %s", t.FirstFailure)
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

// printMemory prints what the sidecars hold in memory.
func (b *pathBench) printMemory() error {
	for i, p := range b.sidecars {
		_, rss, err := usage(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Printf("path: %s holds %.1f MiB\n",
			[]string{"the outbound sidecar", "the sidecar of the gate"}[i], float64(rss)/(1<<20))
	}
	return nil
}

// warmMesh calls until calls come through.
func warmMesh(l meshLoad) error {
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
			return fmt.Errorf("calls don't come through after %v: %s", meshStartTimeout, t.FirstFailure)
		}
	}
}

// run has a process of callers make a load.
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
