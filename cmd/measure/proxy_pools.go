package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"caperarch/internal/lab/testbed"
)

// Bounds for the quiet pool while the other pool is flooded, relative to a run without a flood.
const (
	minGoodputRatio = 0.99  // least ratio of goodput
	maxP99Ratio     = 1.5   // largest ratio of p99
	quietRate       = 200.0 // requests per second
)

// poolsBench is the setup for a daemon with two pools, quiet and flooded, each with its own nodes.
type poolsBench struct {
	dir      string
	binary   string
	config   string
	children []*process
	quiet    []string // addresses of the quiet pool's nodes
}

func newPoolsBench() (b *poolsBench, err error) {
	b = new(poolsBench)
	if b.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, err
	}
	if b.binary, err = buildDaemon(b.dir); err != nil {
		return b, err
	}
	for _, name := range []string{"quiet", "flooded", "silent"} {
		p, err := startChild(nil, "nodes", name)
		if err != nil {
			return b, err
		}
		b.children = append(b.children, p)
		line, err := p.line("nodes ")
		if err != nil {
			return b, err
		}
		words := strings.Fields(line)
		text := testbed.ConfigText(panicTB{}, testbed.Listed(1, "ready", words[2:]...),
			func(file, settings map[string]any) {
				file["discovery"] = words[1]
				file["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}
				settings["caps"].(map[string]any)["max_open"] = 200
				for _, c := range settings["classes"].([]any) {
					class := c.(map[string]any)
					class["aim_ms"], class["hard_limit_ms"] = 500.0, 2000.0
				}
				for _, o := range settings["orgs"].([]any) {
					o.(map[string]any)["quota_per_s"] = 400.0
				}
			})
		if err := os.WriteFile(b.dir+"/"+name+".json", []byte(text), 0o600); err != nil {
			return b, err
		}
		if name == "quiet" {
			b.quiet, b.config = words[2:], text
		}
	}
	return b, nil
}

func (b *poolsBench) close() {
	for _, p := range b.children {
		p.kill()
	}
	_ = os.RemoveAll(b.dir)
}

// play generates the quiet pool's load for some seconds, with a flood of a kind during the middle three fifths of the
// time. No flood is generated if kind is empty.
func (b *poolsBench) play(kind string, walls bool, seconds float64, series bool) (outcome, error) {
	other := "flooded"
	if kind == "nodes that never respond" {
		other = "silent"
	}
	file := fmt.Sprintf("walls = %v\n[pools.quiet]\nconfig = \"quiet.json\"\n[pools.other]\nconfig = \"%s.json\"\n"+
		"[[routes]]\nhost = \"quiet.example.org\"\npool = \"quiet\"\n"+
		"[[routes]]\nhost = \"other.example.org\"\npool = \"other\"\n", walls, other)
	if err := os.WriteFile(b.dir+"/pools.toml", []byte(file), 0o600); err != nil {
		return outcome{}, err
	}
	daemon, at, err := startDaemon(b.binary, b.dir, b.config, "-pools", b.dir+"/pools.toml")
	if err != nil {
		return outcome{}, err
	}
	defer daemon.kill()
	ended := make(chan error, 1)
	if kind == "" {
		ended <- nil
	} else {
		raw, err := json.Marshal(flooding{Kind: kind, Address: at, Host: "other.example.org",
			Seconds: seconds * 0.6, Connections: 400})
		if err != nil {
			return outcome{}, err
		}
		go func() {
			time.Sleep(time.Duration(seconds * 0.2 * float64(time.Second)))
			p, err := startChild(nil, "flood", string(raw))
			if err == nil {
				p.discardOutput()
				err = p.cmd.Wait()
			}
			ended <- err
		}()
	}
	l := load{
		Mode: "through", Address: at, Host: "quiet.example.org", Nodes: b.quiet, Rate: quietRate, Seconds: seconds,
		Seed: uint64(time.Now().UnixNano()), Lenient: true, Series: series,
	}
	o, err := l.run()
	if flood := <-ended; err == nil {
		err = flood
	}
	return o, err
}

// measurePools measures a daemon with two pools on one core. One pool receives a steady 200 requests per second
// while the other pool is flooded, in four ways. It compares runs with and without walls between the pools to runs
// without a flood.
func measurePools(short bool) (string, []string, error) {
	b, err := newPoolsBench()
	if err != nil {
		if b != nil {
			b.close()
		}
		return "", nil, err
	}
	defer b.close()
	rounds, seconds := 3, 8.0
	if short {
		rounds, seconds = 1, 1.6
	}
	var missed []string
	result := ""
	goodput := func(o outcome) float64 { return float64(o.Requests-o.Failed) / float64(o.Requests) }
	for i, kind := range floodKinds {
		f := make(metrics)
		for range rounds {
			for name, how := range map[string]struct {
				kind  string
				walls bool
			}{"none": {"", true}, "walls": {kind, true}, "no walls": {kind, false}} {
				o, err := b.play(how.kind, how.walls, seconds, false)
				if err != nil {
					return "", nil, fmt.Errorf("%s: %w", kind, err)
				}
				f.add(name+" goodput", goodput(o))
				f.add(name+" p50", o.P50)
				f.add(name+" p99", o.P99)
			}
		}
		kept, slower := f["walls goodput"].over(f["none goodput"]), f["walls p99"].over(f["none p99"])
		fmt.Printf("%s\n  no flood: goodput %v, p50 %v, p99 %v ms\n  walls:    goodput %v, p50 %v, p99 "+
			"%v ms\n  no walls: goodput %v, p50 %v, p99 %v ms\n",
			kind, f["none goodput"], f["none p50"], f["none p99"], f["walls goodput"], f["walls p50"], f["walls p99"],
			f["no walls goodput"], f["no walls p50"], f["no walls p99"])
		if kept.median() < minGoodputRatio {
			missed = append(missed, fmt.Sprintf("%s: the quiet pool keeps %.3f of its goodput, want at least %.2f", kind,
				kept.median(), minGoodputRatio))
		}
		if slower.median() > maxP99Ratio {
			missed = append(missed, fmt.Sprintf("%s: the quiet pool's p99 is %.2f times that without a flood, want at most %.1f",
				kind, slower.median(), maxP99Ratio))
		}
		result += fmt.Sprintf("kept_%d=%.3f p99_ratio_%d=%.2f bare_kept_%d=%.3f ", i+1, kept.median(), i+1,
			slower.median(), i+1,
			f["no walls goodput"].over(f["none goodput"]).median())
	}
	return strings.TrimSpace(result), missed, nil
}
