// Demo shows a daemon at work on loopback: four stand-in nodes, discovery and a load of some seconds, while one
// node goes silent and one drains.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/lab/testbed"
)

const (
	length = 9 * time.Second
	rate   = 150.0 // requests a second

	silentFrom, silentTo = 2 * time.Second, 5 * time.Second
	drainAt              = 6 * time.Second
)

// world is a rig.TB for a program: what can't go on ends it.
type world struct{ cleanups []func() }

func (*world) Helper() {}

func (w *world) Cleanup(f func()) { w.cleanups = append(w.cleanups, f) }

func (w *world) Fatalf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "demo: "+format+"\n", args...)
	w.end()
	os.Exit(1)
}

func (w *world) end() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
	w.cleanups = nil
}

func main() {
	w := new(world)
	defer w.end()
	ledger := new(testbed.ArrivalLog)
	var nodes []*testbed.Node
	for i := range 4 {
		n := testbed.NewHTTPNode(w, "s-"+strconv.Itoa(i), ledger)
		n.Delay.Store(int64(15 * time.Millisecond))
		n.Do(testbed.Always(testbed.Slow))
		nodes = append(nodes, n)
	}
	discovery := testbed.NewDiscovery(w, nodes...)
	url := startDaemon(w, discovery, nodes)

	begun := time.Now()
	t := &table{nodes: nodes, ledger: ledger, states: make(map[string]string), begun: begun}
	events := []struct {
		at   time.Duration
		what string
		do   func()
	}{
		{silentFrom, "s-2 goes silent: it takes requests and answers none", func() { nodes[2].Do(testbed.Always(testbed.Hang)); t.state("s-2", "silent") }},
		{silentTo, "s-2 answers again", func() { nodes[2].Do(testbed.Always(testbed.Slow)); t.state("s-2", "ready") }},
		{drainAt, "s-3 drains: nothing new goes there", func() { discovery.Set(nodes[3], "draining"); t.state("s-3", "draining") }},
	}
	for _, e := range events {
		timer := time.AfterFunc(e.at, func() {
			fmt.Printf("-- %s\n", e.what)
			e.do()
		})
		w.Cleanup(func() { timer.Stop() })
	}
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	t.head()
	for n, due := 0, time.Duration(0); due < length; n++ {
		select {
		case <-tick.C:
			t.line()
		default:
		}
		time.Sleep(due - time.Since(begun))
		calls.Go(func() { t.answered(call(&client, url, n)) })
		due += time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
	}
	calls.Wait()
	t.line()
	t.summary()
}

// startDaemon builds and starts the daemon with an example configuration, which stays where it says.
func startDaemon(w *world, d *testbed.Discovery, nodes []*testbed.Node) string {
	dir, err := os.MkdirTemp("", "caperarch-demo")
	if err != nil {
		w.Fatalf("%v", err)
	}
	text := testbed.ConfigText(w, testbed.Known(nodes...), func(file, settings map[string]any) {
		file["discovery"] = d.Address
		for i, times := range [][2]float64{{500, 1000}, {600, 2500}, {500, 1000}} {
			class := settings["classes"].([]any)[i].(map[string]any)
			class["aim_ms"], class["hard_limit_ms"] = times[0], times[1]
		}
	})
	config, binary := filepath.Join(dir, "config.json"), filepath.Join(dir, "caperarch")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		w.Fatalf("%v", err)
	}
	if out, err := exec.Command("go", "build", "-o", binary, "caperarch/cmd/caperarch").CombinedOutput(); err != nil {
		w.Fatalf("building the daemon: %v\n%s", err, out)
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	log, err := cmd.StderrPipe()
	if err != nil {
		w.Fatalf("%v", err)
	}
	if err := cmd.Start(); err != nil {
		w.Fatalf("starting the daemon: %v", err)
	}
	w.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		_ = os.Remove(binary)
	})
	address := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if _, rest, ok := strings.Cut(lines.Text(), " listen="); ok {
				listen, _, _ := strings.Cut(rest, " ")
				address <- listen
			}
		}
	}()
	at := testbed.Wait(w, "the daemon to serve", address)
	fmt.Printf("configuration: %s\ndaemon: http://%s, discovery: http://%s/discovery/hosts, %d nodes\n\n", config, at, d.Address, len(nodes))
	return "http://" + at
}

// call makes one request of a mix and returns its answer: served, refused or failed.
func call(client *http.Client, url string, n int) string {
	class, method, body := "reading", http.MethodPost, io.Reader(strings.NewReader("41.5 kg"))
	switch n % 5 {
	case 3:
		class = "entry"
	case 4:
		class, method, body = "look", http.MethodGet, nil
	}
	req, err := http.NewRequest(method, url+"/"+class, body)
	if err != nil {
		return err.Error()
	}
	id := "d" + strconv.Itoa(n)
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": class, "X-Tenant-Id": []string{"north", "south"}[n%3/2], "X-Timeout": "1000m",
	} {
		req.Header.Set(name, value)
	}
	if class == "reading" {
		req.Header.Set("Idempotency-Key", "k-"+id)
	}
	res, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	switch res.StatusCode {
	case http.StatusOK:
		return "served"
	case http.StatusServiceUnavailable:
		return "refused"
	}
	return "failed"
}
