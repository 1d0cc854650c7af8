// Package fleet starts many real processes of the program, each on its own loopback address. All datagrams and
// connections between the processes go through relays of this package, which inject faults.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"

	"caperarch/internal/lab/testbed"
)

// Config configures a fleet.
type Config struct {
	Size    int
	Nodes   int              // number of upstream nodes; each cell has two
	Lease   string           // "" for the default of the program
	Command func() *exec.Cmd // command of the daemon; "-fleet FILE" and the environment are added
	Edit    func(file, settings map[string]any)
	Begin   func(f *Fleet) // called when the nodes are running, before any process starts; may be nil
	CutOff  string         // policy text for sidecars that are cut off; "" for a fleet without a replicated policy
	State   bool           // machines have state directories that outlive their processes
	Plain   bool           // the processes run without a fleet file, for comparisons
	// Direct omits the relays between sidecars and upstreams or discovery; hundreds of sidecars would need too many
	// file descriptors for them.
	Direct bool
}

// Fleet is the processes, the servers around them, and the records of clients and upstreams.
type Fleet struct {
	Config
	Sidecars   []*Sidecar
	Nodes      []*testbed.Node
	Discovery  *testbed.Discovery
	ArrivalLog *testbed.ArrivalLog
	Peers      *udpRelays
	Answers    *answers

	t       testbed.TB
	dir     string
	network byte
	tcp     tcpRelays
}

const (
	clientPort  = 8080
	controlPort = 8081
	peerPort    = 7946
	relayPort   = 7947
)

// reserveNetwork reserves a network 127.x.0.0/16 that no other fleet on this machine uses, until the end of the test.
// It returns x.
func reserveNetwork(t testbed.TB) byte {
	for second := 64; second < 127; second++ {
		if reservation, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, relayPort)); err == nil {
			t.Cleanup(func() { reservation.Close() })
			return byte(second)
		}
	}
	t.Fatalf("fleet: no free network 127.x.0.0/16 on this machine")
	return 0
}

func (f *Fleet) fleetFile(i int) string { return filepath.Join(f.dir, fmt.Sprintf("fleet-%d.toml", i)) }

// StateDir returns the state directory of a machine, which outlives its processes.
func (f *Fleet) StateDir(i int) string { return filepath.Join(f.dir, fmt.Sprintf("kept-%d", i)) }

// ip returns the address of a machine in the reserved network.
func (f *Fleet) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, i/200, 1+i%200) }

// New starts a fleet and waits until all processes serve.
func New(t testbed.TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: cfg, t: t, ArrivalLog: new(testbed.ArrivalLog), network: reserveNetwork(t),
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
	// Processes of an earlier fleet that is being stopped may still send to these addresses; the name tells the fleets
	// apart.
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
			if err := os.Mkdir(f.StateDir(i), 0o700); err != nil {
				t.Fatalf("fleet: %v", err)
			}
			own += fmt.Sprintf("state = %q\n", f.StateDir(i))
		}
		if err := os.WriteFile(f.fleetFile(i), []byte(own), 0o600); err != nil {
			t.Fatalf("fleet: %v", err)
		}
	}
	for i := range cfg.Size {
		f.Sidecars = append(f.Sidecars, f.newSidecar(i, peers))
	}
	for _, s := range f.Sidecars {
		s.Start()
	}
	for _, s := range f.Sidecars {
		s.waitUntilServing()
	}
	return f
}

// newSidecar writes the configuration of a sidecar. Unless Direct is set, the sidecar reaches upstreams and discovery
// at relay addresses of its own.
func (f *Fleet) newSidecar(i int, peers []string) *Sidecar {
	s := &Sidecar{Number: i, f: f, Listen: fmt.Sprintf("%s:%d", f.ip(i), clientPort),
		config: filepath.Join(f.dir, fmt.Sprintf("%d.json", i))}
	discovery, known := f.Discovery.Address, testbed.Known(f.Nodes...)
	if !f.Direct {
		addresses := make(map[string]string)
		for _, n := range f.Nodes {
			addresses[n.Address] = f.tcp.relay(f.t, i, n.Address, nil)
		}
		discovery = f.tcp.relay(f.t, i, f.Discovery.Address, addresses)
		known = replaceAddresses(known, addresses)
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
		s.fleetEnded = true
		s.mu.Unlock()
		s.Crash()
		log.Close()
	})
	return s
}
