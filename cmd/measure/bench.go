package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"caperarch/internal/rig"
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

func newBench() (b *bench, err error) {
	b = new(bench)
	if b.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	binary, err := buildDaemon(b.dir)
	if err != nil {
		return nil, err
	}
	if b.nodes, err = startChild(nil, "nodes"); err != nil {
		return nil, err
	}
	line, err := b.nodes.line("nodes ")
	if err != nil {
		return nil, err
	}
	words := strings.Fields(line)
	b.addresses = words[2:]
	text := rig.ConfigText(panics{}, rig.Listed(1, "ready", b.addresses...), func(file, settings map[string]any) {
		file["discovery"] = words[1]
		file["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
		settings["caps"].(map[string]any)["max_open"] = 1000
		for _, c := range settings["classes"].([]any) {
			class := c.(map[string]any)
			class["aim_ms"], class["hard_limit_ms"] = 500.0, 2000.0
		}
		for _, o := range settings["orgs"].([]any) {
			o.(map[string]any)["quota_per_s"] = 2100.0
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

// measureDaemon: 16 connections, nodes that take 2 ms; direct calls, the standard library's reverse proxy and the
// daemon, each of the two held to one core.
func measureDaemon(short bool) (string, []string, error) {
	b, err := newBench()
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	proxy, err := startChild(nil, "proxy", b.addresses...)
	if err != nil {
		return "", nil, err
	}
	defer proxy.kill()
	line, err := proxy.line("listen=")
	if err != nil {
		return "", nil, err
	}
	proxyAt := strings.TrimSpace(strings.TrimPrefix(line, "proxy listen="))

	rounds, seconds := 7, 5.0
	if short {
		rounds, seconds = 5, 2.0
	}
	f := make(figures)
	for round := range rounds {
		l := load{Nodes: b.addresses, Connections: 16, Seconds: seconds, Seed: uint64(time.Now().UnixNano())}
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
		fmt.Printf("round %d: p50 direct %.3f proxy %.3f daemon %.3f ms; CPU a request proxy %.1f daemon %.1f µs\n",
			round+1, direct.P50, viaProxy.P50, viaDaemon.P50, proxyCPU, daemonCPU)
	}
	ratio := f["daemon CPU"].over(f["proxy CPU"])
	added := f["daemon p50"].minus(f["direct p50"])
	fmt.Println("CPU a request, daemon over proxy:", ratio)
	fmt.Println("added to p50 by the daemon, ms:  ", added)
	fmt.Println("added to p50 by the proxy, ms:   ", f["proxy p50"].minus(f["direct p50"]))
	var missed []string
	if ratio.median() > daemonBound {
		missed = append(missed, fmt.Sprintf("the daemon takes %.2f of the proxy's CPU, %.2f at most", ratio.median(), daemonBound))
	}
	return fmt.Sprintf("cpu_ratio=%.3f cpu_us=%.1f added_p50_ms=%.3f rounds=%d", ratio.median(), f["daemon CPU"].median(), added.median(), rounds), missed, nil
}

// daemonBound is what the daemon took of the proxy's CPU before the engine was cut out, at most; the aim is 0.6.
const daemonBound = 0.86
