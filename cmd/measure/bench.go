package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"caperarch/internal/lab/testbed"
)

// bench is the stand-ins and subjects that both measurements need.
type bench struct {
	dir       string
	config    string // file of a plug-in
	addresses []string
	nodes     *process
	daemon    *process
	at        string // the daemon
}

// panics is a rig.TB for a program: what can't go on ends it.
type panics struct{}

func (panics) Helper()                           {}
func (panics) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panics) Cleanup(func())                    {}

func newBench() (*bench, error) { return newBenchOf("", 1000, 2100) }

// newBenchOf has nodes of a kind, and a daemon that holds so many requests at once, for tenants with a quota each.
func newBenchOf(kind string, mostOpen int, quota float64) (b *bench, err error) {
	b = new(bench)
	if b.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, err
	}
	made := b // a return with an error leaves none in b
	defer func() {
		if err != nil {
			made.close()
		}
	}()
	binary, err := buildDaemon(b.dir)
	if err != nil {
		return nil, err
	}
	if b.nodes, err = startChild(nil, "nodes", kind); err != nil {
		return nil, err
	}
	line, err := b.nodes.line("nodes ")
	if err != nil {
		return nil, err
	}
	words := strings.Fields(line)
	b.addresses = words[2:]
	text := testbed.ConfigText(panics{}, testbed.Listed(1, "ready", b.addresses...),
		func(file, settings map[string]any) {
			file["discovery"] = words[1]
			file["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
			settings["caps"].(map[string]any)["max_open"] = mostOpen
			for _, c := range settings["classes"].([]any) {
				class := c.(map[string]any)
				class["aim_ms"], class["hard_limit_ms"] = 500.0, 2000.0
			}
			for _, o := range settings["orgs"].([]any) {
				o.(map[string]any)["quota_per_s"] = quota
			}
		})
	b.config = b.dir + "/plugin.json"
	if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.daemon, b.at, err = startDaemon(binary, b.dir, text)
	return b, err
}

func (b *bench) close() {
	for _, p := range []*process{b.daemon, b.nodes} {
		if p != nil {
			p.kill()
		}
	}
	_ = os.RemoveAll(b.dir)
}

// through makes a load through a process and returns its CPU time a request besides, in µs.
func (b *bench) through(p *process, address string, l load) (outcome, float64, error) {
	l.Mode, l.Address = "through", address
	before, _, err := usage(p.cmd.Process.Pid)
	if err != nil {
		return outcome{}, 0, err
	}
	o, err := l.run()
	if err != nil {
		return o, 0, err
	}
	after, _, err := usage(p.cmd.Process.Pid)
	return o, float64((after - before).Microseconds()) / float64(o.Requests), err
}

// startProxy starts the standard library's reverse proxy before the nodes, and returns its address.
func (b *bench) startProxy() (*process, string, error) {
	p, err := startChild(nil, "proxy", b.addresses...)
	if err != nil {
		return nil, "", err
	}
	line, err := p.line("listen=")
	if err != nil {
		p.kill()
		return nil, "", err
	}
	return p, strings.TrimSpace(strings.TrimPrefix(line, "proxy listen=")), nil
}

// measureDaemon: 16 connections, nodes that take 2 ms; direct calls, the standard library's reverse proxy and the
// daemon, each of the two held to one core.
func measureDaemon(short bool) (string, []string, error) {
	b, err := newBenchOf("", 1000, 20000) // 256 at once must fit in the compartments
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	proxy, proxyAt, err := b.startProxy()
	if err != nil {
		return "", nil, err
	}
	defer proxy.kill()

	rounds, seconds := 7, 5.0
	if short {
		rounds, seconds = 3, 2.0
	}
	var missed []string
	result := ""
	for _, connections := range []int{16, 256} {
		f := make(figures)
		for round := range rounds {
			l := load{Nodes: b.addresses, Connections: connections, Seconds: seconds,
				Seed: uint64(time.Now().UnixNano())}
			l.Mode = "direct"
			direct, err := l.run()
			if err != nil {
				return "", nil, err
			}
			l.Seed++
			viaProxy, proxyCPU, err := b.through(proxy, proxyAt, l)
			if err != nil {
				return "", nil, err
			}
			l.Seed++
			viaDaemon, daemonCPU, err := b.through(b.daemon, b.at, l)
			if err != nil {
				return "", nil, err
			}
			f.add("direct p50", direct.P50)
			f.add("proxy p50", viaProxy.P50)
			f.add("daemon p50", viaDaemon.P50)
			f.add("proxy CPU", proxyCPU)
			f.add("daemon CPU", daemonCPU)
			fmt.Printf("%d connections, round %d: p50 direct %.3f proxy %.3f daemon %.3f ms; CPU a "+
				"request proxy %.1f daemon %.1f µs\n",
				connections, round+1, direct.P50, viaProxy.P50, viaDaemon.P50, proxyCPU, daemonCPU)
		}
		ratio, p50 := f["daemon CPU"].over(f["proxy CPU"]), f["daemon p50"].over(f["proxy p50"])
		fmt.Printf("%d connections: CPU a request, daemon over proxy: %v\n", connections, ratio)
		fmt.Printf("%d connections: p50, daemon over proxy:           %v\n", connections, p50)
		if ratio.median() > daemonBound {
			missed = append(missed, fmt.Sprintf("at %d connections the daemon takes %.2f of the proxy's "+
				"CPU, %.2f at most", connections, ratio.median(), daemonBound))
		}
		if p50.median() > 1 {
			missed = append(missed, fmt.Sprintf("at %d connections the daemon's p50 is %.2f of the proxy's, 1 at most",
				connections, p50.median()))
		}
		result += fmt.Sprintf("cpu_ratio_%d=%.3f cpu_us_%d=%.1f p50_ratio_%d=%.3f ", connections,
			ratio.median(), connections, f["daemon CPU"].median(), connections, p50.median())
	}
	return fmt.Sprintf("%srounds=%d", result, rounds), missed, nil
}

// daemonBound is what of the proxy's CPU the daemon may take a request; the aim is 0.45.
const daemonBound = 0.55

// turnawayBound is what of a served request's CPU a refusal at the head may take.
const turnawayBound = 0.5

// measureTurnaway: what a request costs that is refused at its head, with the place held by
// another, beside one that is served.
func measureTurnaway(short bool) (string, []string, error) {
	served, err := newBench()
	if err != nil {
		return "", nil, err
	}
	defer served.close()
	full, err := newBenchOf("silent", 1, 2100)
	if err != nil {
		return "", nil, err
	}
	defer full.close()
	rounds, seconds := 7, 5.0
	if short {
		rounds, seconds = 5, 2.0
	}
	f := make(figures)
	for round := range rounds {
		l := load{Nodes: served.addresses, Connections: 16, Seconds: seconds,
			Seed: uint64(time.Now().UnixNano()), Lenient: true}
		_, servedCPU, err := served.through(served.daemon, served.at, l)
		if err != nil {
			return "", nil, err
		}
		o, refusedCPU, err := full.through(full.daemon, full.at, l)
		if err != nil {
			return "", nil, err
		}
		if float64(o.Failed) < 0.99*float64(o.Requests) {
			return "", nil, fmt.Errorf("only %d of %d requests were refused", o.Failed, o.Requests)
		}
		f.add("served", servedCPU)
		f.add("refused", refusedCPU)
		fmt.Printf("round %d: CPU a request served %.1f refused %.1f µs (%d refused)\n", round+1, servedCPU,
			refusedCPU, o.Failed)
	}
	ratio := f["refused"].over(f["served"])
	fmt.Println("CPU a request, refused at the head over served:", ratio)
	var missed []string
	if ratio.median() > turnawayBound {
		missed = append(missed, fmt.Sprintf("a refusal takes %.2f of a served request's CPU, %.2f at most",
			ratio.median(), turnawayBound))
	}
	return fmt.Sprintf("cpu_ratio=%.3f refused_us=%.1f rounds=%d", ratio.median(), f["refused"].median(),
		rounds), missed, nil
}
