// Package fleet starts many real processes of the program, each on a loopback address of its own,
// and breaks what is between them: every datagram and every connection of theirs goes through
// relays that this rig owns.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"

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
	Peers      *udpRelays
	Answers    *answers

	t      testbed.TB
	dir    string
	second byte
	tcp    tcpRelays
}

const (
	clientPort  = 8080
	controlPort = 8081
	peerPort    = 7946
	relayPort   = 7947
)

// reserveNetwork takes a part of the loopback network that no other fleet on this machine has, for
// as long as the test lasts.
func reserveNetwork(t testbed.TB) byte {
	for second := 64; second < 127; second++ {
		if reservation, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, relayPort)); err == nil {
			t.Cleanup(func() { reservation.Close() })
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
	f := &Fleet{Config: cfg, t: t, ArrivalLog: new(testbed.ArrivalLog), second: reserveNetwork(t),
		Answers: newAnswers()}
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
	f.Peers = newUDPRelays(t, f.ip, cfg.Size)
	f.tcp.cut = make(map[int]bool)
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
			swap[n.Address] = f.tcp.relay(f.t, i, n.Address, nil)
		}
		discovery = f.tcp.relay(f.t, i, f.Discovery.Address, swap)
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
