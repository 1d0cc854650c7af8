package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/meshapi"
)

const (
	// callTimeout bounds each request to a core machine.
	callTimeout = time.Second
	// eventuallyTimeout is the time within which a condition has to hold, and eventuallyInterval the
	// time between two checks of the condition.
	eventuallyTimeout  = 20 * time.Second
	eventuallyInterval = 20 * time.Millisecond
)

// testCluster is a cluster of core machines that run in this process, with real sockets and disks. Each
// machine has a loopback address of its own.
type testCluster struct {
	t            *testing.T
	controlPort  string // serves operators and upstreams
	internalPort string
	client       *http.Client
	machines     map[int]*testMachine // running machines by number
}

// testMachine is a running core machine.
type testMachine struct {
	cancel context.CancelFunc
	ended  chan error
	reload chan *settings.Settings
}

// machineConfig is the part of the settings in which a core machine differs from the others of its
// cluster.
type machineConfig struct {
	number       int // the last byte of its IP address
	firstStart   bool
	disk         string // data directory
	seeds        []int  // numbers of the seed machines
	gracePeriodS float64
}

const machineSettings = `
self:
  nodeName: core-%[1]d
  role: controlplane
  machineClass: core
  servedRoles: [control_plane]
  ipAddress: %[8]s.%[1]d
  zone: zone-%[1]d
  region: r
  countedInQuorum: true
  firstStart: %[4]t
  dataDirectory: %[5]q
  limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}
network:
  listenAddresses: {controlPlane: "%[8]s.%[1]d:%[2]s"}
  internalPortRange: [%[3]s, %[3]s]
  seedNodes: [%[6]s]
  zones: {}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees:
  contracts: [base]
  faultTolerance: {machines: 1, zones: 0, regions: 0}
  bounds: {gracePeriodS: %[7]g}
`

// testNetwork is the first three bytes of the machines' IP addresses, in the form 127.A.B. It differs
// from process to process: a port that is free at one address of a shared network need not be free at
// the others, so concurrent runs of the tests took each other's ports (2 of 384 runs of
// TestCoreMachinesReplaced, 32 at a time, failed with "address already in use").
var testNetwork = fmt.Sprintf("127.%d.%d", 64+os.Getpid()>>8%64, os.Getpid()%256)

// newTestCluster returns a cluster without machines. Machines that still run at the end of the test are
// stopped then.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	ports := freePorts(t)
	c := &testCluster{
		t:            t,
		controlPort:  ports[0],
		internalPort: ports[1],
		client:       httpclient.New(callTimeout),
		machines:     map[int]*testMachine{},
	}
	t.Cleanup(func() {
		for number := range c.machines {
			c.stop(number)
		}
	})
	return c
}

// freePorts returns two different ports that are free at the first address of testNetwork.
func freePorts(t *testing.T) (ports [2]string) {
	t.Helper()
	for i := range ports {
		l, err := net.Listen("tcp", testNetwork+".1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		_, ports[i], _ = net.SplitHostPort(l.Addr().String())
	}
	return ports
}

func (c *testCluster) settings(m machineConfig) *settings.Settings {
	c.t.Helper()
	var seeds string
	for _, seed := range m.seeds {
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s.%d:%s", testNetwork, seed, c.controlPort))
	}
	set, err := settings.Parse(fmt.Appendf(nil, machineSettings,
		m.number, c.controlPort, c.internalPort, m.firstStart, m.disk, seeds, m.gracePeriodS, testNetwork))
	if err != nil {
		c.t.Fatal(err)
	}
	return set
}

func (c *testCluster) start(config machineConfig) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m := &testMachine{
		cancel: cancel,
		ended:  make(chan error, 1),
		reload: make(chan *settings.Settings, 1),
	}
	set := c.settings(config)
	go func() { m.ended <- Run(ctx, set, m.reload, zap.NewNop()) }()
	c.machines[config.number] = m
}

// stop ends a machine as SIGTERM does, and waits until the machine has stopped.
func (c *testCluster) stop(number int) {
	c.t.Helper()
	m := c.machines[number]
	delete(c.machines, number)
	m.cancel()
	if err := <-m.ended; err != nil {
		c.t.Error(err)
	}
}

// status returns a machine's own status, or the zero value if the machine does not answer.
func (c *testCluster) status(number int) *meshapi.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := rpc.Get[meshapi.NodeStatus](ctx, c.client, c.url(number, meshapi.NodeStatusPath))
	if err != nil {
		return &meshapi.NodeStatus{}
	}
	return status
}

func (c *testCluster) url(number int, path string) string {
	return fmt.Sprintf("http://%s.%d:%s%s", testNetwork, number, c.controlPort, path)
}

func (c *testCluster) internalAddress(number int) string {
	return fmt.Sprintf("%s.%d:%s", testNetwork, number, c.internalPort)
}

// eventually waits until a condition holds. It checks the condition repeatedly, because the condition
// depends on other machines.
func (c *testCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(eventuallyInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met in time: %s; status of machine 1: %+v", description, c.status(1))
		}
	}
}

// hasVoters returns a condition: the observing machine is in contact and knows exactly these voters,
// with no membership change in progress.
func (c *testCluster) hasVoters(observer int, voters ...int) func() bool {
	return func() bool {
		status := c.status(observer)
		var want []string
		for _, number := range voters {
			want = append(want, c.internalAddress(number))
		}
		slices.Sort(status.Voters)
		return status.InContact && !status.MembershipChanging && slices.Equal(status.Voters, want)
	}
}

// change applies a configuration version on top of the base version through a machine, and retries until
// the machine acknowledges the version.
func (c *testCluster) change(number int, version, base int64) {
	c.t.Helper()
	body := fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"resources":[`+
		`{"resourceType":"services","metadata":{"name":"tea"},"specification":{}}]}`, version, base)
	c.eventually(fmt.Sprintf("version %d is acknowledged", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		url := c.url(number, meshapi.ReplacePath)
		response, err := rpc.Post[meshapi.ChangeResponse](ctx, c.client, url, body)
		return err == nil && response.ConfigVersion == version
	})
}

// version returns the configuration version that a machine describes, or 0 if the machine does not
// answer.
func (c *testCluster) version(number int) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	document, err := rpc.Get[json.RawMessage](ctx, c.client, c.url(number, meshapi.DescribePath))
	if err != nil {
		return 0
	}
	var described struct {
		ConfigVersion int64 `json:"configVersion"`
	}
	_ = json.Unmarshal(*document, &described)
	return described.ConfigVersion
}
