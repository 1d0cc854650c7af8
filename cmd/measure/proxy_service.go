package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/lab/testbed"
)

const (
	controlBound        = time.Second // longest duration of an operator's call, under any load
	maxAffectedRequests = 2           // failed or resent requests per upgrade
	silentConnections   = 200         // connections to the control port that send nothing
)

// service is a sidecar whose process is replaced by upgrades.
type service struct {
	b       *bench
	binary  string
	listen  string
	tmp     string // TMPDIR of the processes
	process *exec.Cmd
	control string // control address of the current process
	n       int    // number of processes started
}

// newService starts the first process of a service, with the daemon that the bench has built.
func newService(b *bench) (s *service, err error) {
	s = &service{b: b, binary: filepath.Join(b.dir, "caperarch"), tmp: b.dir, listen: testbed.FreeAddress(panicTB{})}
	s.process, s.control, err = s.start()
	return s, err
}

// start starts a process and returns once the process reports that it is healthy.
func (s *service) start() (cmd *exec.Cmd, control string, err error) {
	control = testbed.FreeAddress(panicTB{})
	raw, err := os.ReadFile(s.b.config)
	if err != nil {
		return nil, "", err
	}
	var file map[string]any
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, "", err
	}
	file["listen"], file["control"] = s.listen, control
	if raw, err = json.Marshal(file); err != nil {
		return nil, "", err
	}
	s.n++
	path := filepath.Join(s.b.dir, fmt.Sprintf("service-%d.json", s.n))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, "", err
	}
	cmd = exec.Command(s.binary)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+s.tmp)
	if err := cmd.Start(); err != nil {
		return nil, "", err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if text, err := testbed.Operate(control, "health"); err == nil && strings.HasPrefix(text, "200") {
			return cmd, control, nil
		}
	}
	return nil, "", fmt.Errorf("daemon did not report that it is healthy within 10 s")
}

func (s *service) kill() {
	if s.process != nil {
		_ = s.process.Process.Kill()
		_ = s.process.Wait()
	}
}

// processResources returns the sums of the resident memory in bytes and of the file descriptors of a sidecar's
// processes.
func processResources(pids ...int) (rss int64, descriptors int) {
	for _, pid := range pids {
		if _, r, err := usage(pid); err == nil {
			rss += r
		}
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			descriptors += len(all)
		}
	}
	return rss, descriptors
}

// steady sends requests at a rate until it is stopped. It counts requests that failed, and requests that were sent
// again because their connection was closed.
type steady struct {
	client          http.Client
	address         string
	stop            context.CancelFunc
	done            sync.WaitGroup
	sent, failed    atomic.Int64
	again, refusals atomic.Int64
}

func newSteady(address string, rate float64) *steady {
	ctx, stop := context.WithCancel(context.Background())
	l := &steady{address: address, stop: stop,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}}
	l.done.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				l.done.Go(func() { l.call(n) })
			case <-ctx.Done():
				return
			}
		}
	})
	return l
}

func (l *steady) call(n int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+l.address+"/entry", strings.NewReader(body))
	if err != nil {
		return
	}
	h := req.Header
	h["X-Request-Id"] = []string{fmt.Sprintf("u-%d-%d", os.Getpid(), n)}
	h["X-Priority-Class"], h["X-Tenant-Id"], h["X-Timeout"] = []string{"entry"}, []string{"north"}, []string{"2000m"}
	req.GetBody = func() (io.ReadCloser, error) { // called for a resend on a new connection
		l.again.Add(1)
		return io.NopCloser(strings.NewReader(body)), nil
	}
	l.sent.Add(1)
	res, err := l.client.Do(req)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		l.refusals.Add(1)
	case err != nil || res.StatusCode != http.StatusOK:
		l.failed.Add(1)
	}
}

// upgrades replaces the process several times while requests are sent at a rate. It returns the counts of requests, and
// the largest memory use and number of descriptors of the old and the new process together.
func (s *service) upgrades(times int, rate float64) (l *steady, rss int64, descriptors int, err error) {
	l = newSteady(s.listen, rate)
	defer l.done.Wait()
	defer l.stop()
	for range times {
		time.Sleep(300 * time.Millisecond)
		next, control, err := s.start()
		if err != nil {
			return l, 0, 0, err
		}
		r, d := processResources(s.process.Process.Pid, next.Process.Pid)
		rss, descriptors = max(rss, r), max(descriptors, d)
		if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
			return l, 0, 0, err
		}
		if err := s.process.Wait(); err != nil {
			return l, 0, 0, fmt.Errorf("old process did not exit with status 0: %w", err)
		}
		s.process, s.control = next, control
	}
	time.Sleep(300 * time.Millisecond)
	return l, rss, descriptors, nil
}

// controlCallTimes returns the durations of operators' calls while clients saturate the process and a number of
// connections to the control port send nothing.
func (s *service) controlCallTimes(seconds float64, silent int) (times []time.Duration, err error) {
	for range silent {
		c, err := net.Dial("tcp", s.control)
		if err != nil {
			return nil, err
		}
		defer c.Close()
	}
	var loading sync.WaitGroup
	defer loading.Wait()
	loading.Go(func() {
		_, _ = load{Mode: "through", Address: s.listen, Connections: 256, Seconds: seconds,
			Seed: uint64(time.Now().UnixNano()), Lenient: true}.run()
	})
	end := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		begun := time.Now()
		text, err := testbed.Operate(s.control, "counters")
		if err != nil || !strings.HasSuffix(text, "EOF\n") {
			return nil, fmt.Errorf("operator's call of counters: got %q, error %v, want a text that ends with EOF", text, err)
		}
		times = append(times, time.Since(begun))
	}
	return times, nil
}

// measureService measures operators' calls while the core is saturated, upgrades under load, and the transfer of large
// bodies compared to the standard library's reverse proxy.
func measureService(short bool) (string, []string, error) {
	b, err := newBenchOf("", 1000, 20000)
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	s, err := newService(b)
	if err != nil {
		return "", nil, err
	}
	defer s.kill()
	times, seconds := 30, 8.0
	if short {
		times, seconds = 3, 2.0
	}
	result, missed := "", []string(nil)
	for _, silent := range []int{0, silentConnections} {
		took, err := s.controlCallTimes(seconds, silent)
		if err != nil {
			return "", nil, err
		}
		p50, most := quantile(took, 0.5), quantile(took, 1)
		fmt.Printf("operators' calls with 256 busy clients and %d silent connections: p50 %.2f ms, maximum "+
			"%.1f ms, %d calls\n", silent, p50, most, len(took))
		result += fmt.Sprintf("call_p50_ms_%d=%.2f call_most_ms_%d=%.1f ", silent, p50, silent, most)
		if most > float64(controlBound.Milliseconds()) {
			missed = append(missed, fmt.Sprintf("an operator's call took %.0f ms, want at most %v", most, controlBound))
		}
	}
	for _, rate := range []float64{350, 2100} {
		l, rss, descriptors, err := s.upgrades(times, rate)
		if err != nil {
			return "", nil, err
		}
		touched := float64(l.failed.Load()+l.again.Load()) / float64(times)
		fmt.Printf("%d upgrades at %.0f/s: %d requests, %d failed, %d sent again, %d refused; both processes "+
			"used at most %.1f MiB and %d descriptors\n",
			times, rate, l.sent.Load(), l.failed.Load(), l.again.Load(), l.refusals.Load(),
			float64(rss)/(1<<20), descriptors)
		result += fmt.Sprintf("touched_%.0f=%.2f failed_%.0f=%d ", rate, touched, rate, l.failed.Load())
		if touched > maxAffectedRequests || l.failed.Load() > 0 {
			missed = append(missed, fmt.Sprintf("%.2f requests per upgrade failed or were resent at %.0f/s, %d failed",
				touched, rate, l.failed.Load()))
		}
	}
	streams, worse, err := measureStreams(short)
	return result + streams, append(missed, worse...), err
}
