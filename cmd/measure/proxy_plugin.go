package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"caperarch/plugin"
)

// Bounds of the plug-in.
const (
	maxAddedShare     = 1.0 / 3   // of the latency that the daemon adds to p50
	maxAllocs         = 40.0      // per request, in addition to net/http's allocations
	maxIdleBytes      = 256 << 10 // per idle plug-in
	maxIdleGoroutines = 6.0       // goroutines per idle plug-in
	idlePlugins       = 200       // idle plug-ins that are measured together
)

// measurePlugin compares direct calls, calls through the plug-in's RoundTripper and calls through a daemon, at 350 and
// 2,100 requests per second in an open loop. Then it measures idle plug-ins.
func measurePlugin(short bool) (string, []string, error) {
	b, err := newBench()
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	rounds, seconds := 7, 8.0
	if short {
		rounds, seconds = 3, 1.8
	}
	var missed []string
	result := ""
	for _, rate := range []float64{350, 2100} {
		f := make(metrics)
		for range rounds {
			l := load{Nodes: b.addresses, Config: b.config, Rate: rate, Seconds: seconds,
				Seed: uint64(time.Now().UnixNano())}
			if err := b.pluginRound(f, l); err != nil {
				return "", nil, err
			}
		}
		fmt.Printf("%.0f requests/s, %d rounds of %.1f s: median (minimum to maximum)\n", rate, rounds, seconds)
		printPlugin(f)
		plug, daemon := f["plugin p50"].minus(f["direct p50"]), f["daemon p50"].minus(f["direct p50"])
		allocs := f["plugin allocs"].minus(f["direct allocs"])
		if plug.median() > daemon.median()*maxAddedShare {
			missed = append(missed, fmt.Sprintf("at %.0f/s the plug-in adds %.3f ms to p50, want at most "+
				"a third of the daemon's %.3f ms", rate, plug.median(), daemon.median()))
		}
		if allocs.median() > maxAllocs {
			missed = append(missed, fmt.Sprintf("at %.0f/s the plug-in makes %.1f more allocations per "+
				"request than net/http, want at most %.0f", rate, allocs.median(), maxAllocs))
		}
		result += fmt.Sprintf("added_p50_ms_%.0f=%.3f daemon_added_p50_ms_%.0f=%.3f "+
			"extra_allocs_%.0f=%.1f cpu_us_%.0f=%.1f daemon_cpu_us_%.0f=%.1f ",
			rate, plug.median(), rate, daemon.median(), rate, allocs.median(), rate,
			f["plugin CPU"].median(), rate, f["daemon CPU"].median())
	}
	bytes, routines, err := idlePluginCost(b.config)
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("each of %d idle plug-ins in one process: %.1f KiB, %.2f goroutines\n", idlePlugins, bytes/1024, routines)
	if bytes > maxIdleBytes || routines > maxIdleGoroutines {
		missed = append(missed, fmt.Sprintf("an idle plug-in uses %.0f KiB and %.2f goroutines", bytes/1024, routines))
	}
	return result + fmt.Sprintf("idle_kib=%.1f idle_goroutines=%.2f", bytes/1024, routines), missed, nil
}

// pluginRound generates the same load directly, through the plug-in and through the daemon.
func (b *bench) pluginRound(f metrics, l load) error {
	l.Mode = "direct"
	direct, err := l.run()
	if err != nil {
		return err
	}
	l.Mode = "plugin"
	in, err := l.run()
	if err != nil {
		return err
	}
	l.Seed++ // the daemon must not receive request IDs that were already used
	by, daemonCPU, err := b.through(b.daemon, b.at, l)
	if err != nil {
		return err
	}
	_, daemonRSS, err := usage(b.daemon.cmd.Process.Pid)
	if err != nil {
		return err
	}
	for name, o := range map[string]outcome{"direct ": direct, "plugin ": in, "daemon ": by} {
		f.add(name+"p50", o.P50)
		f.add(name+"p99", o.P99)
		f.add(name+"p99.9", o.P999)
		f.add(name+"allocs", o.Allocs)
		f.add(name+"RSS", o.RSS)
	}
	f.add("direct CPU", direct.CPU)
	f.add("plugin CPU", in.CPU)
	f.add("daemon CPU", by.CPU+daemonCPU)
	f.add("daemon's own RSS", float64(daemonRSS)/(1<<20))
	return nil
}

// printPlugin prints the results of all rounds at one rate.
func printPlugin(f metrics) {
	for _, name := range []string{"p50", "p99", "p99.9"} {
		fmt.Printf("  %-6s direct %v ms; added by the plug-in %v, by the daemon %v\n", name, f["direct "+name],
			f["plugin "+name].minus(f["direct "+name]), f["daemon "+name].minus(f["direct "+name]))
	}
	fmt.Printf("  CPU per request, µs, including the callers': direct %v, plug-in %v, callers and daemon %v\n",
		f["direct CPU"], f["plugin CPU"], f["daemon CPU"])
	fmt.Printf("  allocations per request: direct %v, plug-in %v\n", f["direct allocs"], f["plugin allocs"])
	fmt.Printf("  memory, MiB: callers alone %v, callers with plug-in %v, callers %v and daemon %v\n",
		f["direct RSS"], f["plugin RSS"], f["daemon RSS"], f["daemon's own RSS"])
}

// idlePluginCost returns the memory (heap and stack, in bytes) and the goroutines per idle plug-in. Resources that all
// plug-ins share are divided by their number.
func idlePluginCost(config string) (bytes, routines float64, err error) {
	held := func() (float64, float64) {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse), float64(runtime.NumGoroutine())
	}
	bytesBefore, routinesBefore := held()
	var clients []*plugin.Client
	defer func() {
		for _, c := range clients {
			_ = c.Close(context.Background())
		}
	}()
	for range idlePlugins {
		cfg, err := plugin.ReadConfig(config)
		if err != nil {
			return 0, 0, err
		}
		c, err := plugin.Open(cfg)
		if err != nil {
			return 0, 0, err
		}
		clients = append(clients, c)
	}
	time.Sleep(2 * time.Second) // until the plug-ins have received their lists and completed their first rounds
	bytesAfter, routinesAfter := held()
	return (bytesAfter - bytesBefore) / idlePlugins, (routinesAfter - routinesBefore) / idlePlugins, nil
}
