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

// log is a process' log; it is written and read by different goroutines.
type processLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// process is one of a sidecar's.
type process struct {
	cmd     *exec.Cmd
	control string
	log     processLog
	ended   chan error
}

// sidecar is one whose processes come and go.
type sidecar struct {
	t         *testing.T
	dir       string // that they share
	listen    string
	discovery string
	known     string
	limits    map[string]any // nil: the rig's
}

// start starts a process and returns without waiting.
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
			s.t.Logf("log of one process:\n%s", p.log.b.String())
		}
	})
	return p
}

// call calls a process; "" where it can't be reached.
func (p *process) call(line string) string {
	text, err := testbed.Operate(p.control, line)
	if err != nil {
		return ""
	}
	return text
}

func (p *process) ready(t *testing.T) *process {
	t.Helper()
	testbed.Until(t, "the process' yes", func() bool { return strings.HasPrefix(p.call("health"), "200") })
	return p
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testbed.Wait(t, "the old process' end", p.ended); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
}

func newSidecar(t *testing.T, nodes ...*testbed.Node) *sidecar {
	t.Helper()
	return &sidecar{t: t, dir: t.TempDir(), listen: testbed.FreeAddress(t), discovery: testbed.NewDiscovery(t, nodes...).Address, known: testbed.Known(nodes...)}
}

// Three replacements under load: every request has its one final answer, none meets a connection that broke or
// was refused, no entry runs twice, and each old process ends by itself.
func TestReplacedUnderLoad(t *testing.T) {
	var l testbed.ArrivalLog
	a, b := testbed.NewHTTPNode(t, "s-0", &l), testbed.NewHTTPNode(t, "s-1", &l)
	for _, n := range []*testbed.Node{a, b} {
		n.Delay.Store(int64(5 * time.Millisecond))
		n.Do(testbed.Always(testbed.Slow))
	}
	s := newSidecar(t, a, b)
	p := s.start().ready(t)
	var stop atomic.Bool
	var asked, served, refused atomic.Int64
	broken := make(chan error, 10000)
	var load sync.WaitGroup
	for i := range 8 {
		load.Go(func() {
			client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testbed.MaxWait}
			defer client.CloseIdleConnections()
			for n := 0; !stop.Load(); n++ {
				req, _ := http.NewRequest("POST", "http://"+s.listen+"/entry", strings.NewReader("1"))
				for name, value := range map[string]string{"X-Request-ID": fmt.Sprintf("r%d-%d", i, n), "X-Priority-Class": "entry", "X-Tenant-Id": "north", "X-Timeout": "20000m"} {
					req.Header.Set(name, value)
				}
				asked.Add(1)
				res, err := client.Do(req)
				switch {
				case err != nil:
					broken <- err
					continue
				case res.StatusCode == http.StatusOK:
					served.Add(1)
				case res.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					broken <- fmt.Errorf("%s", res.Status)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
	for range 3 {
		before := served.Load()
		testbed.Until(t, "load", func() bool { return served.Load() > before+100 })
		next := s.start().ready(t)
		p.stop(t)
		p = next
	}
	before := served.Load()
	testbed.Until(t, "load", func() bool { return served.Load() > before+100 })
	stop.Store(true)
	load.Wait()
	close(broken)
	for err := range broken {
		t.Error(err)
	}
	if asked.Load() != served.Load()+refused.Load() {
		t.Errorf("%d asked, %d served, %d refused", asked.Load(), served.Load(), refused.Load())
	}
	times := make(map[string]int)
	for _, x := range l.All() {
		if times[x.ID]++; times[x.ID] == 2 {
			t.Errorf("%s ran twice", x.ID)
		}
	}
}

// A newcomer that dies, before its yes or behind it, leaves the old process as it was; a ban told to one
// process holds in the other and ends by a call to either, and outlives both where they are killed at once.
func TestNewcomerDiesAndBansLast(t *testing.T) {
	var l testbed.ArrivalLog
	s := newSidecar(t, testbed.NewHTTPNode(t, "s-0", &l), testbed.NewHTTPNode(t, "s-1", &l))
	old := s.start().ready(t)
	skipped := func(p *process, n int) func() bool {
		return func() bool {
			return strings.Contains(p.call("counters"), fmt.Sprintf("\nedge_skipped_upstreams %d\n", n))
		}
	}
	for i, early := range []bool{true, false} {
		dead := s.start()
		testbed.Until(t, "the old process to see it", func() bool { return strings.Count(old.logText(), "now=2 before=1") > i })
		if !early {
			dead.ready(t)
		}
		_ = dead.cmd.Process.Kill()
		testbed.Until(t, "the old process to take all again", func() bool { return strings.Count(old.logText(), "now=1 before=2") > i })
	}
	young := s.start().ready(t)
	if got := old.call("cordon s-0"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	testbed.Until(t, "the newcomer to know the ban", skipped(young, 1))
	if got := young.call("uncordon s-0"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	testbed.Until(t, "the old process to know its end", skipped(old, 0))
	if got := young.call("cordon s-1"); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	_ = old.cmd.Process.Kill()
	_ = young.cmd.Process.Kill()
	<-old.ended
	<-young.ended
	last := s.start().ready(t)
	if !skipped(last, 1)() {
		t.Errorf("the ban is lost: %s", last.call("counters"))
	}
	last.stop(t)
}

func (p *process) logText() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.b.String()
}

// A folder that can't be used takes nothing away but the replacement: the process serves, and says yes to a ban
// that holds in itself.
func TestServesWithoutAFolder(t *testing.T) {
	var l testbed.ArrivalLog
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "none")} {
		s := newSidecar(t, testbed.NewHTTPNode(t, "s-0", &l))
		s.dir = dir
		p := s.start().ready(t)
		if got := p.call("cordon s-0"); !strings.HasPrefix(got, "200") {
			t.Errorf("folder %q: %s", dir, got)
		}
		if got := p.call("counters"); !strings.Contains(got, "\nedge_skipped_upstreams 1\n") {
			t.Errorf("folder %q: the ban does not hold: %s", dir, got)
		}
		p.stop(t)
	}
}

// An old process that waits for its last answer has given its part up long before: its successor must not be
// held to half for as long as that takes.
func TestSuccessorHasFullLimitsWhileTheOldProcessWaits(t *testing.T) {
	var l testbed.ArrivalLog
	n := testbed.NewHTTPNode(t, "s-0", &l)
	n.Do(testbed.Always(testbed.Hang))
	s := newSidecar(t, n)
	old := s.start().ready(t)
	go func() {
		req, _ := http.NewRequest("POST", "http://"+s.listen+"/entry", strings.NewReader("1"))
		for name, value := range map[string]string{"X-Request-ID": "r", "X-Priority-Class": "entry", "X-Tenant-Id": "north", "X-Timeout": "20000m"} {
			req.Header.Set(name, value)
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
	}()
	testbed.Until(t, "the request to be out", func() bool { return l.Len() == 1 })
	young := s.start().ready(t)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the successor to have all", func() bool { return strings.Contains(young.logText(), "now=1 before=2") })
	select {
	case err := <-old.ended:
		t.Errorf("the old process ended before its request did: %v", err)
	default:
	}
}
