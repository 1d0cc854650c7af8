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

// onceConfig has a non-idempotent route (/write/) and an idempotent one (/read/).
const onceConfig = `{"configVersion":1,"resources":[
	{"resourceType":"routes","metadata":{"name":"w"},"specification":{
		"hostname":"h","pathPrefix":"/write/","routeType":"non_idempotent","timeoutS":2,
		"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},
	{"resourceType":"routes","metadata":{"name":"r"},"specification":{
		"hostname":"h","pathPrefix":"/read/","routeType":"idempotent","timeoutS":2,
		"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},
	{"resourceType":"services","metadata":{"name":"s"},"specification":{}}]}`

// network is what a mesh's processes reach each other by. Addresses are names.
type network interface {
	listen(address string) net.Listener
	dial(from, kind, address string) (net.Conn, error)
	// inMemory says that connections are no sockets.
	inMemory() bool
	close()
}

// mesh is a caller's sidecar and two gates with an upstream each.
type mesh struct {
	t           *testing.T
	net         network
	memory      *memoryNetwork // the same, where it is in memory
	config      string         // that the caller's sidecar has
	stop        context.CancelFunc
	transports  []*http1.Transport
	gates       []*inbound
	engines     []*engine.Engine // of the gates, and last the caller's
	upstreamLog struct {
		sync.Mutex
		executions, arrivals map[string]int
		written              map[string]string
	}
	upstreams upstreamBehavior // what both do with a request
}

// upstreamBehavior is what an upstream does with the n-th request that arrives under an id: whether it
// runs it, what it writes (see pauseMark), and whether the connection stays open after that.
type upstreamBehavior func(address, id string, n int) (runs bool, output string, keepAlive bool)

// clientResult is what a client got for a request.
type clientResult struct {
	id         string // of the request
	status     int    // 0: no response, or an incomplete one
	responseID string // the attempt id in the response
	signature  string
	body       string
}

// newMesh starts a mesh with a fault. Upstreams whose behavior is nil run all requests; gates hold so
// many bytes of request bodies.
func newMesh(t *testing.T, p faultPlan, upstreams upstreamBehavior, bodyBytes int64) *mesh {
	t.Helper()
	memory := &memoryNetwork{plan: p}
	m := &mesh{t: t, net: memory, memory: memory, config: onceConfig, upstreams: upstreams}
	if m.upstreams == nil {
		m.upstreams = func(_, id string, _ int) (bool, string, bool) { return true, successOf(id), true }
	}
	m.upstreamLog.executions = make(map[string]int)
	m.upstreamLog.arrivals = make(map[string]int)
	m.upstreamLog.written = make(map[string]string)
	m.start(bodyBytes, m.serveConn)
	return m
}

// start starts all processes. Upstreams serve their connections by a function; gates hold so many bytes of
// request bodies.
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

// startEngine runs an engine until ctx ends.
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

// frontBodyBytes is how many bytes of bodies a front holds, where a test doesn't say.
const frontBodyBytes = 1 << 20

// startFront serves requests at an address.
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

// transport connects a process to what a kind of connection leads to.
func (m *mesh) transport(from, kind string, cfg http1.Config) *http1.Transport {
	cfg.MaxConns, cfg.IdleTimeout = 100, time.Minute
	cfg.Dial = func(_ context.Context, address string) (net.Conn, error) {
		return m.net.dial(from, kind, address)
	}
	transport := http1.New(cfg)
	m.transports = append(m.transports, transport)
	return transport
}

// startCaller starts the sidecar that the clients' requests go through.
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
	one := func() int { return 1 }
	bounds := settings.Bounds{
		QuotaWindow: 5 * time.Second,
		RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100,
	}
	s.quota, err = newQuotaClient(bounds, quotaConfig{
		clock: s.clock, log: s.log, node: "n", serviceName: s.endpoints.serviceName, sidecarCount: one,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	toGates := m.transport("caller", "gate", gateTransportConfig(clock.New(), headers.NewSendIDSource()))
	e := m.startEngine(ctx, balancerEngineConfig(toGates, balancer.Config{SidecarCount: one, RetryBudget: s.quota}))
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
	toUpstream := m.transport(address, "upstream", in.upstreamTransportConfig())
	e := m.startEngine(ctx, in.gateEngineConfig(toUpstream))
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

// startUpstream serves the connections to an address, each on a goroutine of its own, and closes them
// behind that.
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

// serveConn answers the requests of a connection until it ends, one at a time, and keeps the log.
func (m *mesh) serveConn(address string, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(headers.AttemptID)
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == http.MethodPost && string(body) != bodyOf(id) {
			return
		}
		runs, output, keepAlive := m.logArrival(address, id)
		if runs {
			time.Sleep(20 * time.Millisecond) // its work
		}
		if writeInParts(c, output) != nil || !keepAlive {
			return
		}
	}
}

// logArrival logs a request and what the upstream does with it.
func (m *mesh) logArrival(address, id string) (runs bool, output string, keepAlive bool) {
	m.upstreamLog.Lock()
	defer m.upstreamLog.Unlock()
	runs, output, keepAlive = m.upstreams(address, id, m.upstreamLog.arrivals[id])
	m.upstreamLog.arrivals[id]++
	m.upstreamLog.written[id] += output
	if runs {
		m.upstreamLog.executions[id]++
	}
	return runs, output, keepAlive
}

// writeInParts writes an upstream's output with a pause at each mark.
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

// successOf is a complete response of success, with more fields, each ended by CR and LF.
func successOf(id string, more ...string) string {
	body := bodyOf(id)
	signature := fmt.Sprintf("%s: %s\r\n", headers.Signature, signatureOf(id))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	fields := idField(id) + signature + length + strings.Join(more, "")
	return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body
}

// pauseMark divides what an upstream writes at once from what follows some milliseconds later.
const pauseMark = "\x00"

// longBody begins the ids of requests and responses whose bodies are longer than what is buffered.
const longBody = "long"

// bodyOf is the body of a request, and of the response to it.
func bodyOf(id string) string {
	if strings.HasPrefix(id, longBody) {
		return "ran " + id + strings.Repeat("x", call.MaxBufferedBody)
	}
	return "ran " + id
}

// signatureOf is what an upstream signs a response with.
func signatureOf(id string) string { return "3e1b." + id }

func idField(id string) string { return headers.AttemptID + ": " + id + "\r\n" }

// rejectionOf is an upstream's response that it did not run a request.
func rejectionOf(id string) string {
	fields := idField(id) + headers.NotExecuted + ": 1\r\nContent-Length: 0\r\n"
	return "HTTP/1.1 503 Service Unavailable\r\n" + fields + "\r\n"
}

// oneRejects and bothReject are upstreams that are full.
func oneRejects(address, id string, _ int) (bool, string, bool) {
	if address == "upstream1" {
		return false, rejectionOf(id), true
	}
	return true, successOf(id), true
}

func bothReject(_, id string, _ int) (bool, string, bool) { return false, rejectionOf(id), true }

// sendOneByOne sends non-idempotent requests one after the other, on one connection while that stays
// open.
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

// connect opens a client's connection. Its deadline is far beyond that of its requests, so that what
// comes too late is looked at as well.
func (m *mesh) connect() (net.Conn, *bufio.Reader) {
	m.t.Helper()
	c, err := m.net.dial("client", "client", "caller")
	if err != nil {
		m.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(4 * freezeTime))
	return c, bufio.NewReader(c)
}

// receive reads the response to a request, and reports whether its connection stays open.
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
