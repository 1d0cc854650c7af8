package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/meshapi"
)

// meshZones are the zones of the measured mesh. meshPrefix is the loopback network with an address for each machine,
// because all machines listen on the same ports. Each measuring process has its own network: in a shared network, a
// port that is free at one address may be in use at another.
var (
	meshZones  = []string{"hall-a", "hall-b", "hall-c"}
	meshPrefix = fmt.Sprintf("127.%d.%d.", 128+os.Getpid()>>8%64, os.Getpid()%256)
)

const (
	// meshStartTimeout limits the time until a mesh serves, so that a measurement does not hang.
	meshStartTimeout = 20 * time.Second
	// meshControlPorts and meshInternalPorts are the lowest control and internal ports, and meshPortSpan is the
	// number of ports to choose from. meshPortAttempts limits the search for a free port, as all ports may be in
	// use.
	meshControlPorts  = 20_000
	meshInternalPorts = 25_000
	meshPortSpan      = 4_900
	meshPortAttempts  = 100
	// meshConfigApply is the longest time in seconds until a change is in force on all sidecars (configApplyS).
	meshConfigApply = 14
)

// meshCore is a set of core members, which run as processes of cmd/meshd, each on its own loopback address.
type meshCore struct {
	binary, dir string
	prefix      string // of the members' addresses
	control     int    // control port of all members
	internal    int    // lowest internal port of all members
	members     []*process
	hosts       []string
	client      *http.Client
	version     int64
	resources   []json.RawMessage
	processors  int // GOMAXPROCS of processes that are started
	configApply int // configApplyS of the processes' settings
}

// buildMeshd builds meshd in a folder and returns the path of the binary.
func buildMeshd(dir string) (string, error) {
	path := filepath.Join(dir, "meshd")
	out, err := exec.Command("go", "build", "-o", path, "caperarch/cmd/meshd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build meshd: %w\n%s", err, out)
	}
	return path, nil
}

// meshPort returns a port that is free at the first machine's address. The port lies below the ephemeral range, which
// outgoing connections use.
func meshPort(prefix string, low int) (int, error) {
	for range meshPortAttempts {
		port := low + rand.IntN(meshPortSpan)
		l, err := net.Listen("tcp", net.JoinHostPort(prefix+"1", strconv.Itoa(port)))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, fmt.Errorf("no free port found from port %d on", low)
}

// startMeshCore starts core members with empty disks and returns once a leader is known.
func startMeshCore(c cleanups, binary string, members int) (*meshCore, error) {
	return startMeshCoreIn(c, binary, meshPrefix, members)
}

// startMeshCoreIn is like startMeshCore, in another loopback network, so that several cores can run in parallel.
func startMeshCoreIn(c cleanups, binary, prefix string, members int) (*meshCore, error) {
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { os.RemoveAll(dir) })
	m := &meshCore{
		binary: binary, dir: dir, prefix: prefix, client: httpclient.New(time.Second),
		processors: 1, configApply: meshConfigApply,
	}
	if m.control, err = meshPort(prefix, meshControlPorts); err != nil {
		return nil, err
	}
	if m.internal, err = meshPort(prefix, meshInternalPorts); err != nil {
		return nil, err
	}
	for i := range members {
		m.hosts = append(m.hosts, prefix+strconv.Itoa(i+1))
	}
	for i, host := range m.hosts {
		p, err := m.startMember(c, host, i, true)
		if err != nil {
			return nil, err
		}
		m.members = append(m.members, p)
	}
	for end := time.Now().Add(meshStartTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, err := m.reportedLeader(); err == nil {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%d core members have elected no leader within %v: %s",
		members, meshStartTimeout, m.memberViews())
}

// memberViews describes, for an error message, the leader that each member reports, or the error of its status request.
func (m *meshCore) memberViews() string {
	var views []string
	for i, host := range m.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		view, err := rpc.Get[meshapi.NodeStatus](ctx, m.client, m.url(i, meshapi.NodeStatusPath))
		cancel()
		if err != nil {
			views = append(views, fmt.Sprintf("%s: %v", host, err))
			continue
		}
		views = append(views, fmt.Sprintf("%s: leader %q, in contact %v", host, view.Leader, view.InContact))
	}
	return strings.Join(views, "; ")
}

// disk returns the data directory of the member at an address.
func (m *meshCore) disk(host string) string { return filepath.Join(m.dir, host) }

// startMember starts a core member at an address, with its existing data directory or an empty one.
func (m *meshCore) startMember(c cleanups, host string, number int, firstStart bool) (*process, error) {
	if err := os.MkdirAll(m.disk(host), 0o700); err != nil {
		return nil, err
	}
	self := map[string]any{"dataDirectory": m.disk(host), "machineClass": settings.Core, "firstStart": firstStart}
	return m.start(c, "controlplane", host, meshZones[number%len(meshZones)], self, nil)
}

// start writes a settings file for one machine and starts the machine's process with it.
func (m *meshCore) start(c cleanups, role, host, zone string, self, listen map[string]any) (*process, error) {
	var seeds []string
	for _, h := range m.hosts {
		seeds = append(seeds, net.JoinHostPort(h, strconv.Itoa(m.control)))
	}
	regions := make(map[string]string)
	for _, z := range meshZones {
		regions[z] = "kochi"
	}
	all := map[string]any{
		"nodeName": "node-" + host, "role": role, "servedRoles": []string{role}, "ipAddress": host,
		"zone": zone, "region": "kochi", "countedInQuorum": role == "controlplane", "firstStart": true,
		"limits": map[string]any{"cpuShare": 0.3, "cpuCores": 1, "memoryMb": 284, "maxOpenFiles": 8192,
			"bandwidthMbps": 1000, "diskMb": 256},
	}
	for k, v := range self {
		all[k] = v
	}
	addresses := map[string]any{"controlPlane": net.JoinHostPort(host, strconv.Itoa(m.control))}
	for k, v := range listen {
		addresses[k] = v
	}
	file := map[string]any{
		"self": all,
		"network": map[string]any{
			"listenAddresses": addresses, "internalPortRange": []int{m.internal, min(m.internal+15, 65535)},
			"seedNodes": seeds, "zones": regions,
		},
		"provider": map[string]any{"discoverySource": "static", "entryType": "static", "heartbeatIntervalS": 1.5},
		"guarantees": map[string]any{
			"contracts":      []string{"base", "drain", "config", "retry", "recover", "tenants", "quota"},
			"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{"gracePeriodS": 2, "configApplyS": m.configApply, "quotaWindowS": 5,
				"quotaOverage": 0.1, "quotaSlack": 20, "retryBudgetRatio": 0.2, "retryWindowS": 10,
				"retryBudgetSlack": 62},
		},
	}
	raw, err := json.Marshal(file) // the settings file is YAML, and JSON is valid YAML
	if err != nil {
		return nil, err
	}
	path := filepath.Join(m.dir, "settings-"+host)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	p, err := start(exec.Command(m.binary, "-say", "error", role),
		[]string{settings.BootVariable + "=" + path, fmt.Sprint("GOMAXPROCS=", m.processors)}, false)
	if err != nil {
		return nil, err
	}
	c.Cleanup(p.kill)
	return p, nil
}

// reportedLeader returns the number of the leader that the first member reports.
func (m *meshCore) reportedLeader() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	view, err := rpc.Get[meshapi.NodeStatus](ctx, m.client, m.url(0, meshapi.NodeStatusPath))
	if err != nil {
		return 0, err
	}
	for i, host := range m.hosts {
		if strings.HasPrefix(view.Leader, host+":") && view.InContact {
			return i, nil
		}
	}
	return 0, fmt.Errorf("the first core member reports no leader in contact with a majority")
}

func (m *meshCore) url(member int, path string) string {
	return "http://" + net.JoinHostPort(m.hosts[member], strconv.Itoa(m.control)) + path
}

// seeds returns the members' internal addresses.
func (m *meshCore) seeds() (all []string) {
	for _, h := range m.hosts {
		all = append(all, net.JoinHostPort(h, strconv.Itoa(m.internal)))
	}
	return all
}

// change sends a configuration change to the first member, and repeats the same change until it succeeds or
// meshStartTimeout has passed. It returns the times of the first attempt and of the response, and the size of the body.
func (m *meshCore) change(path string, body map[string]any) (sent, answered time.Time, size int, err error) {
	body["configVersion"], body["baseVersion"] = m.version+1, m.version
	raw, err := json.Marshal(body)
	if err != nil {
		return sent, answered, 0, err
	}
	sent = time.Now()
	for end := sent.Add(meshStartTimeout); ; {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = rpc.Post[json.RawMessage](ctx, m.client, m.url(0, path), raw)
		cancel()
		if err == nil {
			m.version++
			return sent, time.Now(), len(raw), nil
		}
		if time.Now().After(end) {
			return sent, answered, 0, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// replace replaces the whole configuration.
func (m *meshCore) replace(resources []json.RawMessage) (sent, answered time.Time, size int, err error) {
	m.resources = resources
	return m.change(meshapi.ReplacePath, map[string]any{"resources": resources})
}

// update changes the priority of one route.
func (m *meshCore) update(route int, priority int) (sent, answered time.Time, size int, err error) {
	changed := []json.RawMessage{meshRoute(route, priority)}
	return m.change(meshapi.UpdatePath, map[string]any{"upsert": map[string]any{"resources": changed}})
}
