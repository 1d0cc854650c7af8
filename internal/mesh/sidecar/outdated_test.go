package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"

	"go.uber.org/zap"
)

const (
	// outdatedConfigApply is configApplyS in the test's settings.
	outdatedConfigApply = time.Second
	// outdatedDeadline bounds each wait of the test.
	outdatedDeadline = 15 * time.Second
	outdatedPoll     = 20 * time.Millisecond
)

// loopbackPrefix begins the loopback addresses that only this process uses. On addresses shared with other processes
// a port that is free at one address may be in use at another.
var loopbackPrefix = fmt.Sprintf("127.%d.%d.", 192+os.Getpid()>>8%32, os.Getpid()%256)

// movedConfig returns a configuration that routes /moved/ to a given service, /old/ to service old and /new/ to
// service new.
func movedConfig(version int, movedTo string) []byte {
	route := func(name, service string) string {
		return fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},"specification":{"hostname":"h",`+
			`"pathPrefix":"/%s/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"serviceName":"%s","maxAttempts":2}}`,
			name, name, service)
	}
	return fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"resources":[%s,%s,%s,`+
		`{"resourceType":"services","metadata":{"name":"old"},"specification":{}},`+
		`{"resourceType":"services","metadata":{"name":"new"},"specification":{}}]}`,
		version, version-1, route("moved", movedTo), route("old", "old"), route("new", "new"))
}

// fakeCore is a core machine without a replicated log: a watch server for a configuration that the test sets. It can
// be partitioned from nodes: then nothing that it sends reaches them, nor the other way round.
type fakeCore struct {
	*watch.Server
	mu          sync.Mutex
	current     *config.Snapshot
	partitioned map[string]bool
}

func (c *fakeCore) Current() int64 { return c.snapshot().Version() }

func (c *fakeCore) Since(int64) ([]json.RawMessage, bool) { return nil, false }

func (c *fakeCore) FullConfig() json.RawMessage {
	current := c.snapshot()
	if current.Version() == 0 {
		return nil
	}
	full, _ := current.Encode()
	frame, _ := json.Marshal(ConfigUpdate{Version: current.Version(), Full: full})
	return frame
}

func (c *fakeCore) snapshot() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeCore) isPartitioned(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[node]
}

// replace replaces the configuration and pushes it.
func (c *fakeCore) replace(t *testing.T, body []byte) {
	t.Helper()
	change, err := config.ParseReplace(body)
	if err != nil {
		t.Fatal(err)
	}
	next, _, err := c.snapshot().Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	c.current = next
	c.mu.Unlock()
	c.Publish()
}

// handler forwards calls to mux. A call from a partitioned node gets no response until its client gives up.
func (c *fakeCore) handler(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var call struct{ Node string }
		_ = json.Unmarshal(body, &call)
		if c.isPartitioned(call.Node) {
			<-r.Context().Done()
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(&partitionWriter{ResponseWriter: w, core: c, node: call.Node}, r)
	})
}

// partitionWriter drops what is written to a node while the node is partitioned.
type partitionWriter struct {
	http.ResponseWriter
	core *fakeCore
	node string
}

func (w *partitionWriter) Write(p []byte) (int, error) {
	if w.core.isPartitioned(w.node) {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (w *partitionWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// outdatedFleet is a fakeCore and sidecars with their upstreams, on loopback addresses.
type outdatedFleet struct {
	t      *testing.T
	core   *fakeCore
	ports  []int             // of listeners: inbound, outbound, readiness, control plane, internal, upstream
	nodes  map[string]string // loopback address by node name
	lastID atomic.Int64

	mu         sync.Mutex
	executedBy map[string]string // service that ran a request, by request id
}

// loopbackPorts returns ports that are free at an address.
func loopbackPorts(t *testing.T, host string, count int) (ports []int) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func newOutdatedFleet(t *testing.T) *outdatedFleet {
	t.Helper()
	f := &outdatedFleet{
		t: t, ports: loopbackPorts(t, loopbackPrefix+"1", 6), nodes: make(map[string]string),
		executedBy: make(map[string]string),
	}
	f.core = &fakeCore{current: config.Empty(), partitioned: make(map[string]bool)}
	self := f.address(loopbackPrefix+"1", 4)
	f.core.Server = watch.NewServer(watch.ServerConfig{
		Self: self, Zone: "z", Epoch: 1, Peers: func() []string { return []string{self} },
		Contact:      func() (time.Duration, bool) { return 0, true },
		ConfigSource: f.core, HTTP: new(http.Client), Log: zap.NewNop(),
	})
	mux := http.NewServeMux()
	f.core.Register(mux)
	f.serve(self, f.core.handler(mux))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.core.Run(ctx)
	f.core.replace(t, movedConfig(1, "old"))
	return f
}

func (f *outdatedFleet) address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(f.ports[port]))
}

// serve serves a handler at an address until the test ends.
func (f *outdatedFleet) serve(address string, handler http.Handler) {
	f.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	f.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
}

// start starts a sidecar with an upstream of a service, and waits until it serves requests.
func (f *outdatedFleet) start(node, service string) {
	f.t.Helper()
	host := loopbackPrefix + strconv.Itoa(2+len(f.nodes))
	f.nodes[node] = host
	f.serve(f.address(host, 5), f.upstream(node, service))
	set := &settings.Settings{
		Self: settings.Self{
			NodeName: node, MachineClass: settings.Sidecar, IPAddress: host, Zone: "z", Region: "r",
			AppAddress: f.address(host, 5), ServiceName: service, Limits: settings.Limits{MaxOpenFiles: 4096},
		},
		Network: settings.Network{
			ListenAddresses: settings.ListenAddresses{
				Inbound: f.address(host, 0), Outbound: f.address(host, 1),
				Readiness: f.address(host, 2), ControlPlane: f.address(host, 3),
			},
			InternalPortRange: settings.PortRange{First: f.ports[4], Last: f.ports[4]},
			SeedNodes:         []string{f.address(loopbackPrefix+"1", 4)}, Zones: map[string]string{"z": "r"},
		},
		Guarantees: settings.Guarantees{Bounds: settings.Bounds{
			ConfigApply: outdatedConfigApply, GracePeriod: time.Second, RetryWindow: 10 * time.Second,
			RetryBudgetRatio: 0.2, RetryBudgetSlack: 60,
		}},
	}
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	go func() {
		if err := Run(ctx, set, nil, zap.NewNop()); err != nil {
			f.t.Error(err)
		}
	}()
	f.waitUntil(node+" serves", func() bool { status, _ := f.get(node, "/"+service+"/"); return status == http.StatusOK })
}

// upstream returns a handler that runs each request and records its service.
func (f *outdatedFleet) upstream(node, service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headers.AttemptID)
		h := w.Header()
		h[headers.Instance], h[headers.Load] = []string{"i-" + node}, []string{"0,0,8"}
		if id == "" { // health requests have no id
			return
		}
		f.mu.Lock()
		f.executedBy[id] = service
		f.mu.Unlock()
		h[headers.AttemptID], h[headers.Signature] = []string{id}, []string{"signed"}
	})
}

// get sends a request through a sidecar. It returns the status and the service that ran the request, "" if none did.
func (f *outdatedFleet) get(node, path string) (status int, servedBy string) {
	f.t.Helper()
	id := fmt.Sprint("r", f.lastID.Add(1))
	request, err := http.NewRequest(http.MethodGet, "http://"+f.address(f.nodes[node], 1)+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host, request.Header[headers.AttemptID] = "h", []string{id}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	response.Body.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	return response.StatusCode, f.executedBy[id]
}

func (f *outdatedFleet) waitUntil(what string, done func() bool) {
	f.t.Helper()
	poll := time.NewTicker(outdatedPoll)
	defer poll.Stop()
	for end := time.Now().Add(outdatedDeadline); !done(); <-poll.C {
		if time.Now().After(end) {
			f.t.Fatalf("timed out after %v waiting until %s", outdatedDeadline, what)
		}
	}
}

// Guards against requests that are run by the service that their route no longer targets. They were sent through
// sidecars that had not received the configuration change.
func TestOutdatedSidecarSendsNothingToTheOldService(t *testing.T) {
	f := newOutdatedFleet(t)
	f.start("old-1", "old")
	f.start("old-2", "old")
	f.start("new-1", "new")
	f.start("new-2", "new")
	outdated := []string{"old-2", "new-2"} // both are partitioned; only old-2's upstream belongs to the old service
	f.core.mu.Lock()
	for _, node := range outdated {
		f.core.partitioned[node] = true
	}
	f.core.mu.Unlock()
	f.core.replace(t, movedConfig(2, "new"))
	f.waitUntil("the change is applied", func() bool {
		_, servedBy := f.get("old-1", "/moved/")
		return servedBy == "new"
	})
	// Meanwhile clients continue to send through all sidecars, so that these observe each other's versions.
	poll := time.NewTicker(outdatedPoll)
	defer poll.Stop()
	for end := time.Now().Add(outdatedConfigApply); time.Now().Before(end); <-poll.C {
		for node := range f.nodes {
			f.get(node, "/old/")
			f.get(node, "/new/")
		}
	}
	for _, node := range outdated {
		served := 0
		for range 20 {
			if status, servedBy := f.get(node, "/moved/"); servedBy == "old" || status == http.StatusNotFound {
				t.Errorf("%s: request for /moved/ got status %d and was run by %q, %v or more after its route changed",
					node, status, servedBy, outdatedConfigApply)
			}
			if status, _ := f.get(node, "/new/"); status == http.StatusOK {
				served++
			}
		}
		if served < 19 {
			t.Errorf("%s served %d of 20 requests on a route that has not changed, want at least 19", node, served)
		}
	}
}
