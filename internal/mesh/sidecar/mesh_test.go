package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"

	"go.uber.org/zap"
)

// twoRouteConfig is a configuration with a non-idempotent route (/write/) and an idempotent one (/read/).
const twoRouteConfig = `{"configVersion":1,"resources":[
	{"resourceType":"routes","metadata":{"name":"w"},"specification":{
		"hostname":"h","pathPrefix":"/write/","routeType":"non_idempotent","timeoutS":2,
		"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},
	{"resourceType":"routes","metadata":{"name":"r"},"specification":{
		"hostname":"h","pathPrefix":"/read/","routeType":"idempotent","timeoutS":2,
		"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},
	{"resourceType":"services","metadata":{"name":"s"},"specification":{}}]}`

// network connects the processes of a mesh. Addresses are the processes' names.
type network interface {
	listen(address string) net.Listener
	dial(from, kind, address string) (net.Conn, error)
	// inMemory reports whether connections are not sockets.
	inMemory() bool
	close()
}

// mesh consists of a caller's sidecar and two gates, each with an upstream.
type mesh struct {
	t           *testing.T
	net         network
	memory      *memoryNetwork // same as net if the network is in memory, else nil
	config      string         // configuration of the caller's sidecar
	stop        context.CancelFunc
	transports  []*http1.Transport
	gates       []*inbound
	engines     []*engine.Engine // one per gate; the last one is the caller's
	upstreamLog struct {
		sync.Mutex
		executions, arrivals map[string]int    // by request id
		written              map[string]string // output by request id
	}
	upstreams testUpstreams
}

// testUpstreams is how both upstreams of a mesh process requests.
type testUpstreams struct {
	respond upstreamBehavior // nil: they run all requests
	// startAtHead makes them begin work as soon as they have a request's head. Otherwise they need the complete request.
	startAtHead bool
}

// upstreamBehavior returns how an upstream handles a request: whether it runs the request, what it writes (see
// pauseMark), and whether the connection stays open afterwards. n counts earlier arrivals of the request's id.
type upstreamBehavior func(address, id string, n int) (runs bool, output string, keepAlive bool)

// clientResult is what a client received for a request.
type clientResult struct {
	id         string // of the request
	status     int    // 0: no response or an incomplete one
	responseID string // attempt id in the response
	signature  string
	body       string
}

// newMesh starts a mesh with a fault. The fronts of gates buffer up to bodyBytes bytes of request bodies.
func newMesh(t *testing.T, p faultPlan, upstreams testUpstreams, bodyBytes int64) *mesh {
	t.Helper()
	memory := &memoryNetwork{plan: p}
	m := &mesh{t: t, net: memory, memory: memory, config: twoRouteConfig, upstreams: upstreams}
	if m.upstreams.respond == nil {
		m.upstreams.respond = func(_, id string, _ int) (bool, string, bool) { return true, successResponse(id), true }
	}
	m.upstreamLog.executions = make(map[string]int)
	m.upstreamLog.arrivals = make(map[string]int)
	m.upstreamLog.written = make(map[string]string)
	m.start(bodyBytes, m.serveConn)
	return m
}

// start starts all processes. Upstreams handle their connections with serve. The fronts of gates buffer up to
// bodyBytes bytes of request bodies.
func (m *mesh) start(bodyBytes int64, serve func(address string, c net.Conn)) {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	for _, n := range []string{"1", "2"} {
		m.startUpstream("upstream"+n, serve)
		m.startGate(ctx, "gate"+n, "upstream"+n, bodyBytes)
	}
	m.startCaller(ctx)
}

func (m *mesh) close() {
	m.stop()
	m.net.close()
	for _, transport := range m.transports {
		transport.Close()
	}
}

// startEngine starts an engine, which runs until ctx ends.
func (m *mesh) startEngine(ctx context.Context, cfg engine.Config) *engine.Engine {
	m.t.Helper()
	cfg.Clock, cfg.Log = clock.New(), slog.New(slog.DiscardHandler)
	e, err := engine.New(cfg)
	if err != nil {
		m.t.Fatal(err)
	}
	m.engines = append(m.engines, e)
	go e.Run(ctx, call.ServerList{})
	return e
}

// frontBodyBytes is the default number of body bytes that a front buffers.
const frontBodyBytes = 1 << 20

// startFront starts a front that serves requests at an address.
func (m *mesh) startFront(
	address string, e *engine.Engine, d *fronthttp1.Dialect, bodyBytes int64,
) {
	front := fronthttp1.New(fronthttp1.Config{
		Route:   fronthttp1.RouteTo(&fronthttp1.Target{Engine: e, MaxBodyBytes: bodyBytes}),
		Dialect: d, ConnLimits: fronthttp1.NewConnLimits(100, 100),
		Log: slog.New(slog.DiscardHandler), InMemory: m.net.inMemory(),
	}, clock.New())
	listener := m.net.listen(address)
	go front.Serve(listener)
}

// transport returns a transport from a process over connections of a kind.
func (m *mesh) transport(from, kind string, cfg http1.Config) *http1.Transport {
	cfg.MaxConns, cfg.IdleTimeout = 100, time.Minute
	cfg.Dial = func(_ context.Context, address string) (net.Conn, error) {
		return m.net.dial(from, kind, address)
	}
	transport := http1.New(cfg)
	m.transports = append(m.transports, transport)
	return transport
}

// startCaller starts the sidecar that receives the clients' requests.
func (m *mesh) startCaller(ctx context.Context) {
	m.t.Helper()
	s := &Sidecar{
		settings: new(settings.Settings), clock: clock.New(), log: zap.NewNop(),
		endpoints: newEndpoints([]string{"z"}, "caller"), watchClient: watch.NewClient(watch.ClientConfig{}),
	}
	s.settings.Self.ServiceName = "s"
	change, err := config.ParseReplace([]byte(m.config))
	if err != nil {
		m.t.Fatal(err)
	}
	c, _, err := config.Empty().Apply(change)
	if err != nil {
		m.t.Fatal(err)
	}
	s.config.Store(c)
	oneSidecar := func() int { return 1 }
	bounds := settings.Bounds{
		QuotaWindow: 5 * time.Second,
		RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100,
	}
	s.quota, err = newQuotaClient(bounds, quotaConfig{
		clock: s.clock, log: s.log, node: "n", serviceName: s.endpoints.serviceName, sidecarCount: oneSidecar,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	transportToGates := m.transport("caller", "gate", gateTransportConfig(clock.New(), headers.NewSendIDSource()))
	e := m.startEngine(ctx, balancerEngineConfig(transportToGates, balancer.Config{
		SidecarCount: oneSidecar, RetryBudget: s.quota,
	}))
	s.endpoints.apply(true, []registry.Upstream{
		{Instance: "i-1", Service: "s", Inbound: "gate1", Zone: "z", Slots: 4},
		{Instance: "i-2", Service: "s", Inbound: "gate2", Zone: "z", Slots: 4},
	}, nil)
	e.UpdateServers(s.endpoints.balancerListing())
	e.Flush()
	m.startFront("caller", e, s.newOutbound().frontDialect(), frontBodyBytes)
}

// startGate starts the gate of an upstream.
func (m *mesh) startGate(ctx context.Context, address, upstream string, bodyBytes int64) {
	in := &inbound{clock: clock.New()}
	instance := "i-" + address[len("gate"):]
	in.instance.Store(&instance)
	transportToUpstream := m.transport(address, "upstream", in.upstreamTransportConfig())
	e := m.startEngine(ctx, in.gateEngineConfig(transportToUpstream))
	id := call.ServerID(instance)
	e.UpdateServers(call.ServerList{
		Full:      true,
		Servers:   []policy.Server{{ID: id, State: policy.Ready, Weight: 4}},
		Addresses: map[policy.ServerID]string{id: upstream},
	})
	e.Flush()
	m.gates = append(m.gates, in)
	m.startFront(address, e, in.frontDialect(), bodyBytes)
}

// startUpstream accepts connections at an address, runs serve for each of them on its own goroutine, and then closes
// the connection.
func (m *mesh) startUpstream(address string, serve func(address string, c net.Conn)) {
	l := m.net.listen(address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(address, c)
			}()
		}
	}()
}

// serveConn answers the requests on a connection one at a time until it ends, and records them in upstreamLog.
func (m *mesh) serveConn(address string, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(headers.AttemptID)
		var runs, keepAlive bool
		var output string
		if m.upstreams.startAtHead {
			runs, output, keepAlive = m.logArrival(address, id)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == http.MethodPost && string(body) != bodyOf(id) {
			return
		}
		if !m.upstreams.startAtHead {
			runs, output, keepAlive = m.logArrival(address, id)
		}
		if runs {
			time.Sleep(20 * time.Millisecond) // simulates the execution
		}
		if writeInParts(c, output) != nil || !keepAlive {
			return
		}
	}
}

// logArrival records a request in upstreamLog, and returns how the upstream handles it.
func (m *mesh) logArrival(address, id string) (runs bool, output string, keepAlive bool) {
	m.upstreamLog.Lock()
	defer m.upstreamLog.Unlock()
	runs, output, keepAlive = m.upstreams.respond(address, id, m.upstreamLog.arrivals[id])
	m.upstreamLog.arrivals[id]++
	m.upstreamLog.written[id] += output
	if runs {
		m.upstreamLog.executions[id]++
	}
	return runs, output, keepAlive
}

// writeInParts writes an upstream's output, with a pause at each pauseMark.
func writeInParts(c net.Conn, output string) error {
	for i, part := range strings.Split(output, pauseMark) {
		if i > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}
	return nil
}

// successResponse returns a complete success response. Each of the additional fields must end in CR and LF.
func successResponse(id string, more ...string) string {
	body := bodyOf(id)
	signature := fmt.Sprintf("%s: %s\r\n", headers.Signature, signatureOf(id))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	fields := idField(id) + signature + length + strings.Join(more, "")
	return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body
}

// pauseMark splits an upstream's output into parts that are written 5 ms apart.
const pauseMark = "\x00"

// longBodyPrefix begins the ids of requests and responses whose bodies exceed call.MaxBufferedBody. With
// veryLongBodyPrefix most of the body follows the part that is buffered.
const (
	longBodyPrefix     = "long"
	veryLongBodyPrefix = "very long"
)

// bodyOf returns the body of a request, which is also the body of its response.
func bodyOf(id string) string {
	if strings.HasPrefix(id, longBodyPrefix) {
		return "ran " + id + strings.Repeat("x", call.MaxBufferedBody)
	}
	if strings.HasPrefix(id, veryLongBodyPrefix) {
		return "ran " + id + strings.Repeat("x", 4*call.MaxBufferedBody)
	}
	return "ran " + id
}

// signatureOf returns the signature of an upstream's response.
func signatureOf(id string) string { return "3e1b." + id }

func idField(id string) string { return headers.AttemptID + ": " + id + "\r\n" }

// rejectionResponse returns an upstream's response that states that a request was not executed.
func rejectionResponse(id string) string {
	fields := idField(id) + headers.NotExecuted + ": 1\r\nContent-Length: 0\r\n"
	return "HTTP/1.1 503 Service Unavailable\r\n" + fields + "\r\n"
}

// oneRejects and bothReject are behaviors where one or both upstreams reject all requests.
func oneRejects(address, id string, _ int) (bool, string, bool) {
	if address == "upstream1" {
		return false, rejectionResponse(id), true
	}
	return true, successResponse(id), true
}

func bothReject(_, id string, _ int) (bool, string, bool) { return false, rejectionResponse(id), true }

// sendOneByOne sends non-idempotent requests one after the other. It reuses a connection until that is closed.
func (m *mesh) sendOneByOne(ids ...string) (all []clientResult) {
	var c net.Conn
	var in *bufio.Reader
	for _, id := range ids {
		if c == nil {
			c, in = m.connect()
		}
		body := bodyOf(id)
		fmt.Fprintf(c, "POST /write/ HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s",
			idField(id), len(body), body)
		got, keepAlive := receive(id, in)
		all = append(all, got)
		if !keepAlive {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return all
}

// sendPipelined sends idempotent requests, all at once on one connection.
func (m *mesh) sendPipelined(ids ...string) (all []clientResult) {
	c, in := m.connect()
	defer c.Close()
	var out []byte
	for _, id := range ids {
		out = fmt.Appendf(out, "GET /read/ HTTP/1.1\r\nHost: h\r\n%s\r\n", idField(id))
	}
	c.Write(out)
	for _, id := range ids {
		got, keepAlive := receive(id, in)
		if all = append(all, got); !keepAlive {
			break
		}
	}
	return all
}

// connect opens a client's connection. Its deadline is much later than its requests' deadlines, so that late
// responses are read as well.
func (m *mesh) connect() (net.Conn, *bufio.Reader) {
	m.t.Helper()
	c, err := m.net.dial("client", "client", "caller")
	if err != nil {
		m.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(4 * freezeTime))
	return c, bufio.NewReader(c)
}

// receive reads the response to a request, and returns whether the connection stays open.
func receive(id string, in *bufio.Reader) (got clientResult, keepAlive bool) {
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return clientResult{id: id}, false
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return clientResult{id: id}, false
	}
	return clientResult{
		id: id, status: res.StatusCode, responseID: res.Header.Get(headers.AttemptID),
		signature: res.Header.Get(headers.Signature), body: string(body),
	}, !res.Close
}
