package main

import (
	"fmt"
	"time"
)

// daemonBound is the largest ratio of the CPU time per request of the daemon to that of the proxy; the target is 0.45.
const daemonBound = 0.55

// measureDaemon compares direct calls, calls through the standard library's reverse proxy and calls through the daemon,
// with 16 and 256 connections and nodes that take 2 ms. The proxy and the daemon are each limited to one core.
func measureDaemon(short bool) (string, []string, error) {
	b, err := newBenchOf("", 1000, 20000) // 256 concurrent requests must fit into the limits of the compartments
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
		f := make(metrics)
		for round := range rounds {
			l := load{Nodes: b.addresses, Connections: connections, Seconds: seconds,
				Seed: uint64(time.Now().UnixNano())}
			name := fmt.Sprintf("%d connections, round %d", connections, round+1)
			if err := b.daemonRound(name, f, proxy, proxyAt, l); err != nil {
				return "", nil, err
			}
		}
		ratio, p50 := f["daemon CPU"].over(f["proxy CPU"]), f["daemon p50"].over(f["proxy p50"])
		fmt.Printf("%d connections: CPU per request, daemon over proxy: %v\n", connections, ratio)
		fmt.Printf("%d connections: p50, daemon over proxy:           %v\n", connections, p50)
		if ratio.median() > daemonBound {
			missed = append(missed, fmt.Sprintf("at %d connections the daemon uses %.2f of the proxy's "+
				"CPU time, want at most %.2f", connections, ratio.median(), daemonBound))
		}
		if p50.median() > 1 {
			missed = append(missed, fmt.Sprintf("at %d connections the daemon's p50 is %.2f of the proxy's, want at most 1",
				connections, p50.median()))
		}
		result += fmt.Sprintf("cpu_ratio_%d=%.3f cpu_us_%d=%.1f p50_ratio_%d=%.3f ", connections,
			ratio.median(), connections, f["daemon CPU"].median(), connections, p50.median())
	}
	return fmt.Sprintf("%srounds=%d", result, rounds), missed, nil
}

// daemonRound generates the same load directly, through the reverse proxy and through the daemon.
func (b *bench) daemonRound(name string, f metrics, proxy *process, proxyAt string, l load) error {
	l.Mode = "direct"
	direct, err := l.run()
	if err != nil {
		return err
	}
	l.Seed++
	viaProxy, proxyCPU, err := b.through(proxy, proxyAt, l)
	if err != nil {
		return err
	}
	l.Seed++
	viaDaemon, daemonCPU, err := b.through(b.daemon, b.at, l)
	if err != nil {
		return err
	}
	f.add("direct p50", direct.P50)
	f.add("proxy p50", viaProxy.P50)
	f.add("daemon p50", viaDaemon.P50)
	f.add("proxy CPU", proxyCPU)
	f.add("daemon CPU", daemonCPU)
	fmt.Printf("%s: p50 direct %.3f proxy %.3f daemon %.3f ms; CPU per request proxy %.1f daemon %.1f µs\n",
		name, direct.P50, viaProxy.P50, viaDaemon.P50, proxyCPU, daemonCPU)
	return nil
}
