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

// meshPath measures what two sidecars, one at either end, add to a call, and what they use for it.
// It returns what is added to the 99th percentile, in ms, by round, at the rate that is expected of
// one sidecar.
func meshPath(binary string, short bool) (added spread, err error) {
	rounds, seconds, rates := 5, 6.0, []float64{125, 400}
	if short {
		rounds, seconds, rates = 2, 3, []float64{125}
	}
	c := newCleanups()
	defer c.end()
	core, err := startMeshCore(c, binary, 3)
	if err != nil {
		return nil, err
	}
	if _, _, _, err := core.replace(append(meshResources(25), json.RawMessage(meshPathRoute))); err != nil {
		return nil, err
	}
	var sidecars []*process
	var outbound, upstream string
	for i, host := range []string{meshPrefix + "101", meshPrefix + "102"} {
		ports := make([]string, 4)
		for j := range ports {
			l, err := net.Listen("tcp", host+":0")
			if err != nil {
				return nil, err
			}
			ports[j] = l.Addr().String()
			l.Close()
		}
		if i == 0 {
			outbound = ports[1]
		} else {
			upstream = ports[3]
		}
		p, err := core.start(c, "sidecar", host, meshZones[0],
			map[string]any{"machineClass": settings.Sidecar, "appAddress": ports[3],
				"serviceName": []string{"service01", "service00"}[i]},
			map[string]any{"inbound": ports[0], "outbound": ports[1], "readiness": ports[2]})
		if err != nil {
			return nil, err
		}
		sidecars = append(sidecars, p)
	}
	stand, err := startChild([]string{"GOMAXPROCS=1"}, "meshupstream", upstream)
	if err != nil {
		return nil, err
	}
	c.Cleanup(stand.kill)
	if _, err := stand.line("upstream "); err != nil {
		return nil, err
	}
	for i, rate := range rates {
		var p50, p99, out, gate, directP50, directP99, throughP50, throughP99 spread
		failed := 0
		for round := range rounds {
			load := meshLoad{Direct: upstream, Through: outbound, Rate: 2 * rate, Seconds: seconds,
				Seed: uint64(100*i + round + 1)}
			if i == 0 && round == 0 { // the upstream is met, connections come up
				if err := warmMesh(load); err != nil {
					return nil, err
				}
			}
			before := make([]time.Duration, len(sidecars))
			for j, p := range sidecars {
				if before[j], _, err = usage(p.cmd.Process.Pid); err != nil {
					return nil, err
				}
			}
			t, err := load.run()
			if err != nil {
				return nil, err
			}
			if t.Through == 0 || t.Direct == 0 {
				return nil, fmt.Errorf("no call came through: %s", t.FirstFailure)
			}
			for j, p := range sidecars {
				cpu, _, err := usage(p.cmd.Process.Pid)
				if err != nil {
					return nil, err
				}
				s := []*spread{&out, &gate}[j]
				s.add(float64((cpu - before[j]).Microseconds()) / float64(t.Through))
			}
			failed += t.Failed
			p50.add(t.ThroughP50 - t.DirectP50)
			p99.add(t.ThroughP99 - t.DirectP99)
			directP50.add(t.DirectP50)
			directP99.add(t.DirectP99)
			throughP50.add(t.ThroughP50)
			throughP99.add(t.ThroughP99)
		}
		fmt.Printf("path, %.0f calls/s through two sidecars and as many direct, in turn by chance: p50 "+
			"direct %v through %v added %v ms; p99 direct %v through %v added %v ms; CPU a call: way "+
			"out %v, gate %v µs, control included; %d failed\n",
			rate, directP50, throughP50, p50, directP99, throughP99, p99, out, gate, failed)
		if i == 0 {
			added = p99
		}
	}
	for i, p := range sidecars {
		_, rss, err := usage(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		fmt.Printf("path: %s holds %.1f MiB\n",
			[]string{"the sidecar of the way out", "the sidecar of the gate"}[i], float64(rss)/(1<<20))
	}
	return added, nil
}

// warmMesh calls until calls come through.
func warmMesh(l meshLoad) error {
	l.Seconds = 0.5
	for end := time.Now().Add(meshUp); ; time.Sleep(100 * time.Millisecond) {
		t, err := l.run()
		if err != nil {
			return err
		}
		if t.Failed == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("calls don't come through after %v: %s", meshUp, t.FirstFailure)
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
