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

// load is the load that a process of callers generates. It is passed to the process as JSON.
type load struct {
	Mode        string // direct, plugin or through (a daemon or proxy at Address)
	Address     string // of the daemon or proxy, in mode through
	Config      string // configuration file, in mode plugin
	Nodes       []string
	Rate        float64 // requests per second, open loop; 0: closed loop with Connections callers
	Connections int
	Seconds     float64
	Seed        uint64
	Host        string // Host header; "": the address
	Lenient     bool   // failed requests are not an error
	Series      bool   // report each request

	series [][2]float64 // see outcome.Series
}

// outcome is the result of a load.
type outcome struct {
	P50, P99, P999 float64 // of request durations, counted from the time at which a request was due, in ms
	Requests       int
	Failed         int
	CPU            float64 // CPU time of the process of callers, in µs per request
	Allocs         float64 // allocations of the process of callers, per request
	RSS            float64 // resident memory of the process of callers, in MiB
	// Series has, for each request, the time at which it was due in s and its duration in ms, or -1 if it failed.
	Series [][2]float64 `json:",omitempty"`
}

// callers runs a child process of callers, which generates a load.
func callers(args []string) error {
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
	for n := range 64 { // opens connections, fills pools and lets the plug-in learn the state of the servers
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

// call sends request n and reads its response.
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
		return fmt.Errorf("got status %s, want 200 OK", res.Status)
	}
	return nil
}

// open generates an open-loop load: the times of calls are independent of responses, so that a slow response does not
// delay later calls.
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

// closed generates a closed-loop load: each of Connections callers sends one request after the other.
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

// run starts a process of callers that generates the load, and returns the outcome.
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
