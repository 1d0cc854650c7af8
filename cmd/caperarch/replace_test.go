package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// processLog is the log of a process. It is safe for concurrent use.
type processLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// process is one process of a sidecar.
type process struct {
	cmd     *exec.Cmd
	control string
	log     processLog
	ended   chan error
}

// sidecar is a sidecar with several processes that replace each other.
type sidecar struct {
	t         *testing.T
	dir       string // directory that the processes share
	listen    string
	discovery string
	known     string
	limits    map[string]any // nil: the limits of testbed.ConfigText
}

// start starts a process and does not wait until the process serves.
func (s *sidecar) start() *process {
	s.t.Helper()
	p := &process{control: testbed.FreeAddress(s.t), ended: make(chan error, 1)}
	text := testbed.ConfigText(s.t, s.known, func(file, _ map[string]any) {
		file["listen"], file["discovery"], file["control"] = s.listen, s.discovery, p.control
		if s.limits != nil {
			file["limits"] = s.limits
		}
	})
	path := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1", "EDGE_CONFIG="+path, "TMPDIR="+s.dir)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if s.t.Failed() {
			s.t.Logf("log of a process of the sidecar:\n%s", p.log.b.String())
		}
	})
	return p
}

// call makes a control call and returns the response, or "" if the process can't be reached.
func (p *process) call(line string) string {
	text, err := testbed.Operate(p.control, line)
	if err != nil {
		return ""
	}
	return text
}

// awaitReady waits until the process is healthy.
func (p *process) awaitReady(t *testing.T) *process {
	t.Helper()
	testbed.Until(t, "the process to be healthy", func() bool { return strings.HasPrefix(p.call("health"), "200") })
	return p
}

// stop sends SIGTERM and waits until the process has ended.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testbed.Wait(t, "the end of the old process", p.ended); err != nil {
		t.Errorf("the old process ended with error %v after SIGTERM", err)
	}
}

// newSidecar returns a sidecar without processes, whose discovery service lists the given nodes.
func newSidecar(t *testing.T, nodes ...*testbed.Node) *sidecar {
	t.Helper()
	return &sidecar{
		t: t, dir: t.TempDir(), listen: testbed.FreeAddress(t),
		discovery: testbed.NewDiscovery(t, nodes...).Address, known: testbed.Known(nodes...),
	}
}

// During three replacements under load, every request gets exactly one response, no connection breaks or is refused, no
// non-idempotent request is executed twice, and each old process ends after SIGTERM.
func TestReplacementUnderLoad(t *testing.T) {
	var l testbed.ArrivalLog
	a, b := testbed.NewHTTPNode(t, "s-0", &l), testbed.NewHTTPNode(t, "s-1", &l)
	for _, n := range []*testbed.Node{a, b} {
		n.Delay.Store(int64(5 * time.Millisecond))
		n.Do(testbed.Always(testbed.Slow))
	}
	s := newSidecar(t, a, b)
	p := s.start().awaitReady(t)
	var stop atomic.Bool
	var sent, served, rejected atomic.Int64
	failures := make(chan error, 10000)
	var load sync.WaitGroup
	for i := range 8 {
		load.Go(func() {
			client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testbed.MaxWait}
			defer client.CloseIdleConnections()
			for n := 0; !stop.Load(); n++ {
				req, _ := http.NewRequest("POST", "http://"+s.listen+"/entry", strings.NewReader("1"))
				for name, value := range map[string]string{
					"X-Request-ID": fmt.Sprintf("r%d-%d", i, n), "X-Priority-Class": "entry",
					"X-Tenant-Id": "north", "X-Timeout": "20000m",
				} {
					req.Header.Set(name, value)
				}
				sent.Add(1)
				res, err := client.Do(req)
				switch {
				case err != nil:
					failures <- err
					continue
				case res.StatusCode == http.StatusOK:
					served.Add(1)
				case res.StatusCode == http.StatusServiceUnavailable:
					rejected.Add(1)
				default:
					failures <- fmt.Errorf("request got unexpected status %s", res.Status)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
	for range 3 {
		before := served.Load()
		testbed.Until(t, "load", func() bool { return served.Load() > before+100 })
		next := s.start().awaitReady(t)
		p.stop(t)
		p = next
	}
	before := served.Load()
	testbed.Until(t, "load", func() bool { return served.Load() > before+100 })
	stop.Store(true)
	load.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	if sent.Load() != served.Load()+rejected.Load() {
		t.Errorf("%d requests sent, but %d served and %d rejected", sent.Load(), served.Load(), rejected.Load())
	}
	executions := make(map[string]int)
	for _, x := range l.All() {
		if executions[x.ID]++; executions[x.ID] == 2 {
			t.Errorf("request %s was executed twice", x.ID)
		}
	}
}

// If a successor dies, before or after it is healthy, the old process gets its full limits back. A ban on one process
// applies in the other process too, a call to either process lifts the ban, and a ban outlives both processes if they
// are killed at the same time.
func TestSuccessorDiesAndBansPersist(t *testing.T) {
	var l testbed.ArrivalLog
	s := newSidecar(t, testbed.NewHTTPNode(t, "s-0", &l), testbed.NewHTTPNode(t, "s-1", &l))
	old := s.start().awaitReady(t)
	skipped := func(p *process, n int) func() bool {
		return func() bool {
			return strings.Contains(p.call("counters"), fmt.Sprintf("\nedge_skipped_upstreams %d\n", n))
		}
	}
	for i, early := range []bool{true, false} {
		dead := s.start()
		testbed.Until(t, "the old process to detect the successor", func() bool {
			return strings.Count(old.logText(), "now=2 before=1") > i
		})
		if !early {
			dead.awaitReady(t)
		}
		_ = dead.cmd.Process.Kill()
		testbed.Until(t, "the old process to use its full limits again", func() bool {
			return strings.Count(old.logText(), "now=1 before=2") > i
		})
	}
	successor := s.start().awaitReady(t)
	if got := old.call("cordon s-0"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	testbed.Until(t, "the successor to apply the ban", skipped(successor, 1))
	if got := successor.call("uncordon s-0"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	testbed.Until(t, "the old process to lift the ban", skipped(old, 0))
	if got := successor.call("cordon s-1"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	_ = old.cmd.Process.Kill()
	_ = successor.cmd.Process.Kill()
	<-old.ended
	<-successor.ended
	last := s.start().awaitReady(t)
	if !skipped(last, 1)() {
		t.Errorf("the ban did not outlive both processes: %s", last.call("counters"))
	}
	last.stop(t)
}

// logText returns the log of the process so far.
func (p *process) logText() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.b.String()
}

// Without a directory, or with a directory that does not exist, the process can't be replaced while it serves, but it
// serves requests and applies bans.
func TestServesWithoutDirectory(t *testing.T) {
	var l testbed.ArrivalLog
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "none")} {
		s := newSidecar(t, testbed.NewHTTPNode(t, "s-0", &l))
		s.dir = dir
		p := s.start().awaitReady(t)
		if got := p.call("cordon s-0"); !strings.HasPrefix(got, "200") {
			t.Errorf("directory %q: response to cordon is %s, want 200", dir, got)
		}
		if got := p.call("counters"); !strings.Contains(got, "\nedge_skipped_upstreams 1\n") {
			t.Errorf("directory %q: the ban was not applied: %s", dir, got)
		}
		p.stop(t)
	}
}

// A leaving process that waits for its last response has released its share of the limits. Otherwise its successor
// would be limited to half of the limits for as long as the old process waits.
func TestSuccessorHasFullLimitsWhileOldProcessWaits(t *testing.T) {
	var l testbed.ArrivalLog
	n := testbed.NewHTTPNode(t, "s-0", &l)
	n.Do(testbed.Always(testbed.Hang))
	s := newSidecar(t, n)
	old := s.start().awaitReady(t)
	go func() {
		req, _ := http.NewRequest("POST", "http://"+s.listen+"/entry", strings.NewReader("1"))
		for name, value := range map[string]string{
			"X-Request-ID": "r", "X-Priority-Class": "entry", "X-Tenant-Id": "north", "X-Timeout": "20000m",
		} {
			req.Header.Set(name, value)
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
	}()
	testbed.Until(t, "the request to reach the upstream", func() bool { return l.Len() == 1 })
	successor := s.start().awaitReady(t)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the successor to have the full limits", func() bool {
		return strings.Contains(successor.logText(), "now=1 before=2")
	})
	select {
	case err := <-old.ended:
		t.Errorf("the old process ended before its request was answered: %v", err)
	default:
	}
}
