package main

import (
	"os"
	"strings"

	"caperarch/internal/lab/testbed"
)

// bench is the setup of the proxy measurements: a process of simulated nodes, and the daemon in front of the nodes.
type bench struct {
	dir       string
	config    string   // configuration file of the plug-in
	addresses []string // of the nodes
	nodes     *process
	daemon    *process
	at        string // address of the daemon
}

func newBench() (*bench, error) { return newBenchOf("", 1000, 2100) }

// newBenchOf starts nodes of a kind, and a daemon with a limit on open requests and a quota per tenant in requests per
// second.
func newBenchOf(kind string, maxOpen int, quota float64) (b *bench, err error) {
	b = new(bench)
	if b.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, err
	}
	made := b // a return with an error sets b to nil
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
	text := testbed.ConfigText(panicTB{}, testbed.Listed(1, "ready", b.addresses...),
		func(file, settings map[string]any) {
			file["discovery"] = words[1]
			file["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
			settings["caps"].(map[string]any)["max_open"] = maxOpen
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

// through generates a load through a process. It returns the outcome and the process's CPU time in µs per request.
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

// startProxy starts the standard library's reverse proxy in front of the nodes, and returns its address.
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
