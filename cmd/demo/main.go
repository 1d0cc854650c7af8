// Demo runs a daemon on loopback with four simulated nodes, discovery and a load of nine seconds, while one node stops
// responding for a while and another node drains.
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
	duration          = 9 * time.Second
	requestsPerSecond = 150.0

	// Times of the faults after the start, and the affected nodes:
	hangFrom, hangUntil = 2 * time.Second, 5 * time.Second // s-2
	drainFrom           = 6 * time.Second                  // s-3
)

// program is a testbed.TB for use outside of tests: a fatal error ends the process.
type program struct{ cleanups []func() }

// Helper does nothing: there is no test to attribute an error to.
func (*program) Helper() {}

// Cleanup registers a function to run at the end. The functions run in reverse order of registration.
func (p *program) Cleanup(f func()) { p.cleanups = append(p.cleanups, f) }

// Fatalf prints an error, cleans up and exits with status 1.
func (p *program) Fatalf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "demo: "+format+"\n", args...)
	p.cleanUp()
	os.Exit(1)
}

// cleanUp runs the functions that Cleanup registered.
func (p *program) cleanUp() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
	p.cleanups = nil
}

func main() {
	p := new(program)
	defer p.cleanUp()
	arrivals := new(testbed.ArrivalLog)
	var nodes []*testbed.Node
	for i := range 4 {
		n := testbed.NewHTTPNode(p, "s-"+strconv.Itoa(i), arrivals)
		n.Delay.Store(int64(15 * time.Millisecond))
		n.Do(testbed.Always(testbed.Slow))
		nodes = append(nodes, n)
	}
	discovery := testbed.NewDiscovery(p, nodes...)
	url := startDaemon(p, discovery, nodes)
	t := &table{nodes: nodes, arrivals: arrivals, states: make(map[string]string), started: time.Now()}
	scheduleFaults(p, t, discovery)
	sendLoad(t, url)
	t.printSummary()
}

// scheduleFaults makes one node hang for a while and later drains another node.
func scheduleFaults(p *program, t *table, discovery *testbed.Discovery) {
	for _, fault := range []struct {
		at   time.Duration
		what string
		do   func()
	}{
		{hangFrom, "s-2 hangs: it accepts requests and sends no responses", func() {
			t.nodes[2].Do(testbed.Always(testbed.Hang))
			t.setState("s-2", "silent")
		}},
		{hangUntil, "s-2 responds again", func() {
			t.nodes[2].Do(testbed.Always(testbed.Slow))
			t.setState("s-2", "ready")
		}},
		{drainFrom, "s-3 drains: it gets no new requests", func() {
			discovery.Set(t.nodes[3], "draining")
			t.setState("s-3", "draining")
		}},
	} {
		timer := time.AfterFunc(fault.at, func() {
			fmt.Printf("-- %s\n", fault.what)
			fault.do()
		})
		p.Cleanup(func() { timer.Stop() })
	}
}

// sendLoad sends requests at random times, prints a line of the table per second and waits for the last response.
func sendLoad(t *table, url string) {
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	t.printHeader()
	for n, due := 0, time.Duration(0); due < duration; n++ {
		select {
		case <-tick.C:
			t.printLine()
		default:
		}
		time.Sleep(due - time.Since(t.started))
		calls.Go(func() { t.countAnswer(call(&client, url, n)) })
		due += time.Duration(rand.ExpFloat64() / requestsPerSecond * float64(time.Second))
	}
	calls.Wait()
	t.printLine()
}

// startDaemon builds and starts the daemon with an example configuration, and returns the daemon's URL. The
// configuration file is kept, so that it can be read afterwards.
func startDaemon(p *program, d *testbed.Discovery, nodes []*testbed.Node) string {
	dir, err := os.MkdirTemp("", "caperarch-demo")
	if err != nil {
		p.Fatalf("%v", err)
	}
	text := testbed.ConfigText(p, testbed.Known(nodes...), func(file, settings map[string]any) {
		file["discovery"] = d.Address
		for i, times := range [][2]float64{{500, 1000}, {600, 2500}, {500, 1000}} {
			class := settings["classes"].([]any)[i].(map[string]any)
			class["aim_ms"], class["hard_limit_ms"] = times[0], times[1]
		}
	})
	config, binary := filepath.Join(dir, "config.json"), filepath.Join(dir, "caperarch")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		p.Fatalf("%v", err)
	}
	if out, err := exec.Command("go", "build", "-o", binary, "caperarch/cmd/caperarch").CombinedOutput(); err != nil {
		p.Fatalf("build the daemon: %v\n%s", err, out)
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	log, err := cmd.StderrPipe()
	if err != nil {
		p.Fatalf("%v", err)
	}
	if err := cmd.Start(); err != nil {
		p.Fatalf("start the daemon: %v", err)
	}
	p.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		_ = os.Remove(binary)
	})
	address := make(chan string, 1)
	go findListenAddress(log, address)
	at := testbed.Wait(p, "the daemon to serve", address)
	fmt.Printf("configuration: %s\ndaemon: http://%s, discovery: http://%s/discovery/hosts, %d nodes\n\n",
		config, at, d.Address, len(nodes))
	return "http://" + at
}

// findListenAddress reads the daemon's log to its end, and sends the address that the daemon listens on to a channel.
func findListenAddress(log io.Reader, address chan<- string) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if _, rest, ok := strings.Cut(lines.Text(), " listen="); ok {
			listen, _, _ := strings.Cut(rest, " ")
			address <- listen
		}
	}
}

// call sends request n of a fixed mix and returns its outcome: served, refused, failed, no answer or the text of an
// error.
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
