package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/plugin"
)

// load is what a host of callers is asked for, and told what came of it.
type load struct {
	Mode        string // direct, plugin or through (a daemon or proxy at Address)
	Address     string // through
	Config      string // plugin: the file
	Nodes       []string
	Rate        float64 // requests a second, open loop; 0: Connections callers, one request after the other
	Connections int
	Seconds     float64
	Seed        uint64
	Host        string // header; "": the address
	Lenient     bool   // failures are part of the result
	Series      bool   // report each request

	series [][2]float64
}

// outcome is what came of a load.
type outcome struct {
	P50, P99, P999 float64 // of the time of a request from when it was due, in ms
	Requests       int
	Failed         int
	CPU            float64 // of the host, µs a request
	Allocs         float64 // of the host, a request
	RSS            float64 // MiB
	// of each request: when it was due, in s, and its time, in ms; -1: it failed
	Series [][2]float64 `json:",omitempty"`
}

// host is a process of callers.
func host(args []string) error {
	var l load
	if err := json.Unmarshal([]byte(args[0]), &l); err != nil {
		return err
	}
	transport := http.RoundTripper(&http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true})
	if l.Mode == "plugin" {
		cfg, err := plugin.ReadConfig(l.Config)
		if err != nil {
			return err
		}
		c, err := plugin.Open(cfg)
		if err != nil {
			return err
		}
		defer c.Close(context.Background())
		transport = c.RoundTripper()
	}
	client := http.Client{Transport: transport}
	call := func(n int) error { return l.call(&client, n) }
	for n := range 64 { // connections, pools and the module's first word of the servers
		_ = call(1_000_000 + n)
	}
	drive := l.open
	if l.Rate == 0 {
		drive = l.closed
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, _, err := usage(os.Getpid())
	if err != nil {
		return err
	}
	times, failed := drive(call)
	cpuAfter, rss, err := usage(os.Getpid())
	if err != nil {
		return err
	}
	runtime.ReadMemStats(&after)
	n := float64(len(times))
	return json.NewEncoder(os.Stdout).Encode(outcome{
		P50: quantile(times, 0.5), P99: quantile(times, 0.99), P999: quantile(times, 0.999),
		Requests: len(times), Failed: failed,
		CPU:    float64((cpuAfter - cpu).Microseconds()) / n,
		Allocs: float64(after.Mallocs-before.Mallocs) / n, RSS: float64(rss) / (1 << 20),
		Series: l.series,
	})
}

// call sends the request of a number and reads its answer.
func (l *load) call(client *http.Client, n int) error {
	address := l.Address
	if l.Mode != "through" {
		address = l.Nodes[n%len(l.Nodes)]
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/entry", strings.NewReader(body))
	if err != nil {
		return err
	}
	if l.Host != "" {
		req.Host = l.Host
	}
	h := req.Header
	h["X-Request-Id"] = []string{strconv.FormatUint(l.Seed, 36) + "-" + strconv.Itoa(n)}
	h["X-Priority-Class"] = []string{"entry"}
	h["X-Tenant-Id"] = []string{"north"}
	h["X-Timeout"] = []string{"2000m"}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", res.Status)
	}
	return nil
}

// open calls at times drawn ahead, whatever the answers do: a slow one makes no later one come later.
func (l *load) open(call func(int) error) (times []time.Duration, failed int) {
	rng := rand.New(rand.NewPCG(l.Seed, 0))
	var mu sync.Mutex
	var calls sync.WaitGroup
	begun := time.Now()
	for due, n := time.Duration(0), 0; due.Seconds() < l.Seconds; n++ {
		time.Sleep(due - time.Since(begun))
		from := due
		calls.Go(func() {
			err := call(n)
			took := time.Since(begun) - from
			mu.Lock()
			defer mu.Unlock()
			times = append(times, took)
			ms := float64(took) / float64(time.Millisecond)
			if err != nil {
				failed++
				ms = -1
			}
			if l.Series {
				l.series = append(l.series, [2]float64{from.Seconds(), ms})
			}
		})
		due += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
	}
	calls.Wait()
	return times, failed
}

// closed has callers that each send one request after the other.
func (l *load) closed(call func(int) error) (times []time.Duration, failed int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(time.Duration(l.Seconds * float64(time.Second)))
	for i := range l.Connections {
		callers.Go(func() {
			var mine []time.Duration
			bad := 0
			for n := i; time.Now().Before(end); n += l.Connections {
				from := time.Now()
				if call(n) != nil {
					bad++
				}
				mine = append(mine, time.Since(from))
			}
			mu.Lock()
			defer mu.Unlock()
			times, failed = append(times, mine...), failed+bad
		})
	}
	callers.Wait()
	return times, failed
}

// run has a host of callers make a load.
func (l load) run() (outcome, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return outcome{}, err
	}
	p, err := startChild(nil, "host", string(raw))
	if err != nil {
		return outcome{}, err
	}
	var o outcome
	if err := p.result(&o); err != nil {
		return outcome{}, err
	}
	if o.Failed > 0 && !l.Lenient {
		return o, fmt.Errorf("%d of %d requests failed", o.Failed, o.Requests)
	}
	return o, nil
}
