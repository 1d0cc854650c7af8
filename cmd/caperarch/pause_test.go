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

// pauseTimeout is what each request of the load has.
const pauseTimeout = 900 * time.Millisecond

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

// The daemon is stopped with SIGSTOP for 1.5 s under load: see testbed.Pause. Its clients have one answer each.
func TestDaemonIsStoppedForAWhile(t *testing.T) {
	l := new(testbed.ArrivalLog)
	nodes := []*testbed.Node{testbed.NewHTTPNode(t, "s-0", l), testbed.NewHTTPNode(t, "s-1", l)}
	d := testbed.NewDiscovery(t, nodes...)
	cmd := program(t, pauseConfig(t, d, nodes...))
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
					"X-Request-ID": string(rune('a'+worker)) + "-" + time.Now().Format("150405.000000000"), "X-Priority-Class": "entry",
					"X-Tenant-Id": "north", "X-Timeout": "900m",
				} {
					req.Header.Set(name, value)
				}
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("a request with no answer: %v", err)
					return
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
	for _, broken := range testbed.Pause(t, cmd.Process.Pid, d, l, nodes, 1500*time.Millisecond, pauseTimeout) {
		t.Error(broken)
	}
	close(stop)
	done.Wait()
}

// The host of a plug-in is stopped in the same way.
func TestHostOfAPlugInIsStoppedForAWhile(t *testing.T) {
	l := new(testbed.ArrivalLog)
	nodes := []*testbed.Node{testbed.NewHTTPNode(t, "s-0", l), testbed.NewHTTPNode(t, "s-1", l)}
	d := testbed.NewDiscovery(t, nodes...)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(pauseConfig(t, d, nodes...)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PLUGIN_HOST="+path)
	in, err := cmd.StdinPipe() // its end ends the host
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for _, broken := range testbed.Pause(t, cmd.Process.Pid, d, l, nodes, 1500*time.Millisecond, pauseTimeout) {
		t.Error(broken)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the host ended with %v: %s", err, out.String())
	}
}

// host is a process with a plug-in: eight callers until standard input ends. It fails where a call has no answer of
// the three kinds.
func host(path string) {
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
				begun := time.Now()
				_, err := c.Do(context.Background(), plugin.Request{Class: "entry", Tenant: "north", Timeout: pauseTimeout})
				switch err.(type) {
				case nil, *plugin.RefusedError, *plugin.FailedError:
				default:
					panic(err)
				}
				if took := time.Since(begun); took > pauseTimeout+2*time.Second {
					panic(took)
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
