package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/plugin"
)

// pauseTimeout is the timeout of each request of the load.
const pauseTimeout = 900 * time.Millisecond

// pauseConfig returns a configuration file whose classes have deadlines of at most pauseTimeout.
func pauseConfig(t *testing.T, d *testbed.Discovery, nodes ...*testbed.Node) string {
	t.Helper()
	return testbed.ConfigText(t, testbed.Known(nodes...), func(file, settings map[string]any) {
		file["discovery"] = d.Address
		for _, c := range settings["classes"].([]any) {
			class := c.(map[string]any)
			class["aim_ms"], class["hard_limit_ms"] = 600.0, 900.0
		}
	})
}

// The daemon is suspended with SIGSTOP for 1.5 s under load (see testbed.Pause). Every request gets a response.
func TestSuspendedDaemon(t *testing.T) {
	l := new(testbed.ArrivalLog)
	nodes := []*testbed.Node{testbed.NewHTTPNode(t, "s-0", l), testbed.NewHTTPNode(t, "s-1", l)}
	d := testbed.NewDiscovery(t, nodes...)
	cmd := daemonProcess(t, pauseConfig(t, d, nodes...))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	address := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if m := regexp.MustCompile(`serving.* listen=(\S+)`).FindStringSubmatch(lines.Text()); m != nil {
				address <- m[1]
			}
		}
	}()
	url := "http://" + testbed.Wait(t, "the daemon", address) + "/entry"
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	for worker := range 8 {
		done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("1"))
				if err != nil {
					t.Error(err)
					return
				}
				for name, value := range map[string]string{
					"X-Request-ID":     string(rune('a'+worker)) + "-" + time.Now().Format("150405.000000000"),
					"X-Priority-Class": "entry", "X-Tenant-Id": "north", "X-Timeout": "900m",
				} {
					req.Header.Set(name, value)
				}
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("request got no response: %v", err)
					return
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
	for _, violation := range testbed.Pause(t, cmd.Process.Pid, d, l, nodes, 1500*time.Millisecond, pauseTimeout) {
		t.Error(violation)
	}
	close(stop)
	done.Wait()
}

// A host process of the plugin is suspended with SIGSTOP for 1.5 s under load (see testbed.Pause).
func TestSuspendedPluginHost(t *testing.T) {
	l := new(testbed.ArrivalLog)
	nodes := []*testbed.Node{testbed.NewHTTPNode(t, "s-0", l), testbed.NewHTTPNode(t, "s-1", l)}
	d := testbed.NewDiscovery(t, nodes...)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(pauseConfig(t, d, nodes...)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PLUGIN_HOST="+path)
	in, err := cmd.StdinPipe() // closing standard input ends the host process
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for _, violation := range testbed.Pause(t, cmd.Process.Pid, d, l, nodes, 1500*time.Millisecond, pauseTimeout) {
		t.Error(violation)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("host process ended with error %v and output: %s", err, out.String())
	}
}

// runPluginHost calls the plugin from eight goroutines until standard input ends. It panics if a call returns anything
// but success, *plugin.RefusedError or *plugin.FailedError, or takes more than 2 s longer than its timeout.
func runPluginHost(path string) {
	cfg, err := plugin.ReadConfig(path)
	if err != nil {
		panic(err)
	}
	c, err := plugin.Open(cfg)
	if err != nil {
		panic(err)
	}
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	for range 8 {
		done.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				start := time.Now()
				_, err := c.Do(context.Background(), plugin.Request{Class: "entry", Tenant: "north", Timeout: pauseTimeout})
				switch err.(type) {
				case nil, *plugin.RefusedError, *plugin.FailedError:
				default:
					panic(err)
				}
				if elapsed := time.Since(start); elapsed > pauseTimeout+2*time.Second {
					panic(elapsed)
				}
			}
		})
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	close(stop)
	done.Wait()
	if err := c.Close(context.Background()); err != nil {
		panic(err)
	}
}
