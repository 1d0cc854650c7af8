// Package fleet starts many real processes of the program, each on a loopback address of its own,
// and breaks what is between them: every datagram and every connection of theirs goes through
// relays that this rig owns.
package fleet

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/lab/testbed"
)

// Config is what a fleet is made of.
type Config struct {
	Size    int
	Nodes   int              // upstreams, in cells of two
	Lease   string           // "": as the program has it
	Command func() *exec.Cmd // starts the program's daemon with -fleet FILE as its last words; the environment is added
	Edit    func(file, settings map[string]any)
	Begin   func(f *Fleet) // called once its nodes are there, before any process; nil: nothing
	CutOff  string         // text of the policy of who is cut off; "": the fleet agrees on no policy
	State   bool           // machines have folders that outlive their processes
	Plain   bool           // no fleet file: for comparisons
	// no relays between sidecars and upstreams or discovery: hundreds would need too many descriptors
	Direct bool
}

// Fleet is the processes, their world and what was seen of both.
type Fleet struct {
	Config
	Sidecars   []*Sidecar
	Nodes      []*testbed.Node
	Discovery  *testbed.Discovery
	ArrivalLog *testbed.ArrivalLog
	Peers      *datagrams
	Answers    *answers

	t      testbed.TB
	dir    string
	second byte
	ways   ways
}

// Sidecar is one machine: its address, and the process on it if there is one.
type Sidecar struct {
	Number int
	Listen string
	f      *Fleet
	config string

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	over    bool        // the fleet is: a plan that still plays must leave no process behind
	began   []time.Time // when its processes did
	stopped bool
	log     *os.File
	broken  []span // when no client could count on it
	stalls  []span // when it stood still
	cuts    []span // when it reached neither upstreams nor discovery
}

// span is a stretch of time; an end of zero: not over yet.
type span struct{ from, to time.Time }

const (
	clientPort  = 8080
	controlPort = 8081
	peerPort    = 7946
	relayPort   = 7947
)

// place is a part of the loopback network that no other fleet on this machine has, for as long as the test lasts.
func place(t testbed.TB) byte {
	for second := 64; second < 127; second++ {
		if mark, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, relayPort)); err == nil {
			t.Cleanup(func() { mark.Close() })
			return byte(second)
		}
	}
	t.Fatalf("fleet: no addresses are free")
	return 0
}

func (f *Fleet) fleetFile(i int) string { return filepath.Join(f.dir, fmt.Sprintf("fleet-%d.toml", i)) }

// Kept is a machine's folder that outlives its processes.
func (f *Fleet) Kept(i int) string { return filepath.Join(f.dir, fmt.Sprintf("kept-%d", i)) }

// ip is a machine's own address: 127, a part of this process's own, its number.
func (f *Fleet) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", f.second, i/200, 1+i%200) }

// New starts a fleet whose processes all serve.
func New(t testbed.TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: cfg, t: t, ArrivalLog: new(testbed.ArrivalLog), second: place(t), Answers: newAnswers()}
	var err error
	if f.dir, err = os.MkdirTemp("", "fleet"); err != nil {
		t.Fatalf("fleet: %v", err)
	}
	t.Cleanup(func() { os.RemoveAll(f.dir) })
	for i := range cfg.Nodes {
		n := testbed.NewHTTPNode(t, fmt.Sprintf("s-%d", i), f.ArrivalLog)
		n.Cell = i / 2
		f.Nodes = append(f.Nodes, n)
	}
	f.Discovery = testbed.NewDiscovery(t, f.Nodes...)
	if cfg.Begin != nil {
		cfg.Begin(f)
	}
	var peers []string
	for i := range cfg.Size {
		peers = append(peers, fmt.Sprintf("%s:%d", f.ip(i), relayPort))
	}
	f.Peers = newDatagrams(t, f.ip, cfg.Size)
	f.ways.cut = make(map[int]bool)
	// Processes of a fleet that is just being ended may still send to addresses that are this one's now.
	file := fmt.Sprintf("name = %q\n", filepath.Base(f.dir))
	if cfg.Lease != "" {
		file += fmt.Sprintf("lease = %q\n", cfg.Lease)
	}
	if cfg.CutOff != "" {
		file += "[policy]\ncut_off = \"cut-off.toml\"\n"
		if err := os.WriteFile(filepath.Join(f.dir, "cut-off.toml"), []byte(cfg.CutOff), 0o600); err != nil {
			t.Fatalf("fleet: %v", err)
		}
	}
	for i := range cfg.Size {
		own := file
		if cfg.State {
			if err := os.Mkdir(f.Kept(i), 0o700); err != nil {
				t.Fatalf("fleet: %v", err)
			}
			own += fmt.Sprintf("state = %q\n", f.Kept(i))
		}
		if err := os.WriteFile(f.fleetFile(i), []byte(own), 0o600); err != nil {
			t.Fatalf("fleet: %v", err)
		}
	}
	for i := range cfg.Size {
		f.Sidecars = append(f.Sidecars, f.machine(i, peers))
	}
	for _, s := range f.Sidecars {
		s.Start()
	}
	for _, s := range f.Sidecars {
		s.await()
	}
	return f
}

// machine writes a sidecar's configuration; its upstreams and discovery have addresses of its own.
func (f *Fleet) machine(i int, peers []string) *Sidecar {
	s := &Sidecar{Number: i, f: f, Listen: fmt.Sprintf("%s:%d", f.ip(i), clientPort),
		config: filepath.Join(f.dir, fmt.Sprintf("%d.json", i))}
	discovery, known := f.Discovery.Address, testbed.Known(f.Nodes...)
	if !f.Direct {
		swap := make(map[string]string)
		for _, n := range f.Nodes {
			swap[n.Address] = f.ways.relay(f.t, i, n.Address, nil)
		}
		discovery = f.ways.relay(f.t, i, f.Discovery.Address, swap)
		known = replaced(known, swap)
	}
	text := testbed.ConfigText(f.t, known, func(file, settings map[string]any) {
		file["name"], file["listen"], file["control"], file["discovery"] = fmt.Sprintf("n%d", i), s.Listen,
			s.control(), discovery
		file["peer_listen"], file["peers"] = fmt.Sprintf("%s:%d", f.ip(i), peerPort), peers
		file["seed"] = fmt.Sprintf("%x", 1000+i)
		settings["balancers"], settings["me"] = f.Size, i
		settings["caps"].(map[string]any)["peers"] = true
		settings["rules"].(map[string]any)["ask_within_ms"] = 6000.0
		for _, c := range settings["classes"].([]any) {
			c.(map[string]any)["aim_ms"], c.(map[string]any)["hard_limit_ms"] = 500.0, 1000.0
		}
		if f.Edit != nil {
			f.Edit(file, settings)
		}
	})
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		f.t.Fatalf("fleet: %v", err)
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
	if err != nil {
		f.t.Fatalf("fleet: %v", err)
	}
	s.log = log
	f.t.Cleanup(func() {
		s.mu.Lock()
		s.over = true
		s.mu.Unlock()
		s.Crash()
		log.Close()
	})
	return s
}

func (s *Sidecar) control() string { return fmt.Sprintf("%s:%d", s.f.ip(s.Number), controlPort) }

// Start starts the machine's process, which remembers nothing.
func (s *Sidecar) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil || s.over {
		return
	}
	cmd := s.f.Command()
	cmd.Args = append(cmd.Args, "-log-format", "text") // its times are to the millisecond
	if !s.f.Plain {
		cmd.Args = append(cmd.Args, "-fleet", s.f.fleetFile(s.Number))
	}
	tmp, err := os.MkdirTemp(s.f.dir, "tmp")
	if err != nil {
		s.f.t.Fatalf("fleet: %v", err)
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+s.config, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = s.log, s.log
	if err := cmd.Start(); err != nil {
		s.f.t.Fatalf("fleet: sidecar %d: %v", s.Number, err)
	}
	s.f.ways.restore(s.Number)
	s.cmd = cmd
	s.starts++
	s.began = append(s.began, time.Now())
	s.whole()
}

// await waits until it serves.
func (s *Sidecar) await() {
	testbed.Until(s.f.t, fmt.Sprintf("sidecar %d to serve; its log: %s", s.Number, s.log.Name()), func() bool {
		answer, err := testbed.Operate(s.control(), "health")
		if err != nil || !strings.HasPrefix(answer, "200") {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
}

// Crash kills the process. Its machine says nothing any more: no connection of its that others hold is reset.
func (s *Sidecar) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.shaky()
	s.f.ways.silence(s.Number)
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	s.cmd, s.stopped = nil, false
}

// End has the process end in order, and waits for that.
func (s *Sidecar) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.shaky()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	stuck := time.AfterFunc(testbed.Generous, func() { _ = s.cmd.Process.Kill() })
	err := s.cmd.Wait()
	stuck.Stop()
	if err != nil {
		s.f.t.Fatalf("fleet: sidecar %d ended with %v", s.Number, err)
	}
	s.cmd = nil
}

// Stop has the process stand still, Continue go on.
func (s *Sidecar) Stop() { s.signal(syscall.SIGSTOP) }

// Continue has it go on.
func (s *Sidecar) Continue() { s.signal(syscall.SIGCONT) }

func (s *Sidecar) signal(which syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	stop := which == syscall.SIGSTOP
	if stop == s.stopped {
		return
	}
	if s.stopped = stop; stop {
		s.shaky()
		s.stalls = append(s.stalls, span{from: time.Now()})
	} else {
		s.whole()
		s.stalls[len(s.stalls)-1].to = time.Now()
	}
	_ = s.cmd.Process.Signal(which)
}

// Partition has nothing of the machine's reach upstreams and discovery any more, nor theirs the machine. Rejoin ends that.
func (s *Sidecar) Partition() {
	s.f.ways.silence(s.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = append(s.cuts, span{from: time.Now()})
}

// Heal has it reach them again.
func (s *Sidecar) Heal() {
	if s.PID() != 0 {
		s.f.ways.restore(s.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.cuts); n > 0 && s.cuts[n-1].to.IsZero() {
		s.cuts[n-1].to = time.Now()
	}
}

// shaky notes that no client can count on the machine from now on, whole that it can again.
func (s *Sidecar) shaky() {
	if n := len(s.broken); n == 0 || !s.broken[n-1].to.IsZero() {
		s.broken = append(s.broken, span{from: time.Now()})
	}
}

func (s *Sidecar) whole() {
	if n := len(s.broken); n > 0 && s.broken[n-1].to.IsZero() {
		s.broken[n-1].to = time.Now()
	}
}

// steady says whether a client could count on the machine through all of a stretch.
func (s *Sidecar) steady(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !touch(s.broken, from, to)
}

// reached says whether it could be told of all through a stretch.
func (s *Sidecar) reached(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !touch(s.cuts, from, to)
}

// touch says whether one of some spans has part of a stretch.
func touch(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(b span) bool {
		return (b.to.IsZero() || b.to.After(from)) && b.from.Before(to)
	})
}

// begins says whether a process began in a stretch.
func (s *Sidecar) begins(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.began, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// Runs says whether the process lives and does not stand still.
func (s *Sidecar) Runs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil && !s.stopped
}

// PID is that of the process; 0: there is none.
func (s *Sidecar) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// Log is what the machine's processes have written so far.
func (s *Sidecar) Log() string {
	raw, err := os.ReadFile(s.log.Name())
	if err != nil {
		s.f.t.Fatalf("fleet: %v", err)
	}
	return string(raw)
}

// Logged is how many processes have logged a text.
func (f *Fleet) Logged(text string) (n int) {
	for _, s := range f.Sidecars {
		if strings.Contains(s.Log(), text) {
			n++
		}
	}
	return n
}

// GoneAt is when each process logged that it holds a member for gone, since a moment.
func (f *Fleet) GoneAt(member int, since time.Time) []time.Time {
	return f.loggedAt(regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .*peers: member" number=%d state=gone `,
		member)), since)
}

// loggedAt is when each process logged a line, its time the first group, the first time since a
// moment; those that did not have no part in it.
func (f *Fleet) loggedAt(line *regexp.Regexp, since time.Time) (at []time.Time) {
	for _, s := range f.Sidecars {
		for _, m := range line.FindAllStringSubmatch(s.Log(), -1) {
			if t, err := time.Parse(time.RFC3339, m[1]); err == nil && t.After(since) {
				at = append(at, t)
				break
			}
		}
	}
	return at
}

// View is what a process says that it knows.
type View struct {
	Contact  bool
	Session  string
	Sidecars int
	State    map[int]string // of the other members
	Of       map[int]string // sessions of theirs
	Out      map[int]bool
	Text     string
}

var (
	selfLine   = regexp.MustCompile(`(?m)^self \d+: (in|out of) contact.* session (\S+), (\d+) sidecars`)
	memberLine = regexp.MustCompile(`(?m)^member (\d+): (\w+) for (.*) session (\S+)$`)
)

// View asks a process; false: it does not say.
func (s *Sidecar) View() (v View, ok bool) {
	if !s.Runs() {
		return v, false
	}
	text, err := testbed.Operate(s.control(), "peers")
	head := selfLine.FindStringSubmatch(text)
	if err != nil || head == nil {
		return v, false
	}
	v = View{Contact: head[1] == "in", Session: head[2], State: make(map[int]string),
		Of: make(map[int]string), Out: make(map[int]bool), Text: text}
	v.Sidecars, _ = strconv.Atoi(head[3])
	for _, m := range memberLine.FindAllStringSubmatch(text, -1) {
		i, _ := strconv.Atoi(m[1])
		v.State[i], v.Of[i], v.Out[i] = m[2], m[4], strings.Contains(m[3], "over for good")
	}
	return v, true
}

// Agree says whether all processes that run are in contact, hold each other for alive under their
// present sessions, and those that don't live for gone or left; why says what is not so.
func (f *Fleet) Agree() (ok bool, why string) {
	views := make(map[int]View)
	var mu sync.Mutex
	var asked sync.WaitGroup
	silent := -1
	for _, s := range f.Sidecars {
		asked.Go(func() {
			v, ok := s.View()
			mu.Lock()
			defer mu.Unlock()
			if ok {
				views[s.Number] = v
			} else if s.Runs() {
				silent = s.Number
			}
		})
	}
	if asked.Wait(); silent >= 0 {
		return false, fmt.Sprintf("%d says nothing", silent)
	}
	for i, v := range views {
		if !v.Contact {
			return false, fmt.Sprintf("%d is out of contact", i)
		}
		for j := range f.Sidecars {
			if other, lives := views[j]; i != j && lives && (v.State[j] != "alive" || v.Of[j] != other.Session) {
				return false, fmt.Sprintf("%d holds %d for %s under %s, it is there under %s", i, j,
					v.State[j], v.Of[j], other.Session)
			} else if i != j && !lives && v.State[j] != "gone" && v.State[j] != "left" {
				return false, fmt.Sprintf("%d holds %d for %s, it does not live", i, j, v.State[j])
			}
		}
	}
	return true, ""
}

// WaitForAgreement waits until all agree, and returns how long it took, or why they don't.
func (f *Fleet) WaitForAgreement(within time.Duration) (took time.Duration, why string) {
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ok, why := f.Agree()
		if took := time.Since(begun); ok {
			return took, ""
		} else if took > within {
			return took, why
		}
	}
}

// RequireAgreement is Settle where anything else is a failure.
func (f *Fleet) RequireAgreement(within time.Duration) time.Duration {
	f.t.Helper()
	took, why := f.WaitForAgreement(within)
	if why != "" {
		f.t.Fatalf("after %v: %s", took, why)
	}
	return took
}

// Dump writes what all processes logged, for a failure.
func (f *Fleet) Dump(to io.Writer) {
	for _, s := range f.Sidecars {
		fmt.Fprintf(to, "--- sidecar %d\n%s", s.Number, s.Log())
	}
}
