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
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

// onceConfig has a route whose requests must not run twice and one whose may.
const onceConfig = `{"configVersion":1,"resources":[` +
	`{"resourceType":"routes","metadata":{"name":"w"},"specification":{"hostname":"h","pathPrefix":"/write/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},` +
	`{"resourceType":"routes","metadata":{"name":"r"},"specification":{"hostname":"h","pathPrefix":"/read/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"serviceName":"s","maxAttempts":2}},` +
	`{"resourceType":"services","metadata":{"name":"s"},"specification":{}}]}`

// mesh is a caller's sidecar and two gates with an upstream each, in memory.
type mesh struct {
	t           *testing.T
	net         *memoryNetwork
	stop        context.CancelFunc
	transports  []*http1.Transport
	gates       []*inbound
	upstreamLog struct {
		sync.Mutex
		executions, arrivals map[string]int
		written              map[string]string
	}
	// upstreams is what they do with a request; nil: they run it.
	upstreams upstreamBehavior
}

// behaviour is what an upstream does with the n-th request that came to it under an id: whether it runs it, what it writes,
// and whether the connection goes on behind that.
type upstreamBehavior func(address, id string, n int) (runs bool, out string, goesOn bool)

// received is what a client got for a request.
type clientResult struct {
	id         string // of the request
	status     int    // 0: no answer, or none that is whole
	responseID string // the id in the answer
	signature  string
	body       string
}

func newMesh(t *testing.T, p faultPlan, upstreams upstreamBehavior, bodyBytes int64) *mesh {
	m := &mesh{t: t, net: &memoryNetwork{plan: p}, upstreams: upstreams}
	if m.upstreams == nil {
		m.upstreams = func(_, id string, _ int) (bool, string, bool) { return true, successOf(id), true }
	}
	m.upstreamLog.executions, m.upstreamLog.arrivals, m.upstreamLog.written = make(map[string]int), make(map[string]int), make(map[string]string)
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	for _, n := range []string{"1", "2"} {
		m.upstream("upstream" + n)
		m.gate(ctx, "gate"+n, "upstream"+n, bodyBytes)
	}
	m.caller(ctx)
	return m
}

func (m *mesh) close() {
	m.stop()
	m.net.close()
	for _, l := range m.transports {
		l.Close()
	}
}

func (m *mesh) engine(ctx context.Context, tr call.Transport, attempts int, module func(policy.Host) engine.Module) *engine.Engine {
	e, err := engine.New(engine.Config{
		Policy: policy.Config{MaxAttempts: attempts}, Clock: clock.New(), Transport: tr, Log: slog.New(slog.DiscardHandler), Silent: true, Sleeps: true,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) { return module(host), nil },
	})
	if err != nil {
		m.t.Fatal(err)
	}
	go e.Run(ctx, call.Listing{})
	return e
}

// bodyRoom is what a front holds of bodies at once.
const frontBodyBytes = 1 << 20

func (m *mesh) serve(address string, e *engine.Engine, d *fronthttp1.Dialect, bodyRoom int64) {
	f := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(&fronthttp1.Target{Engine: e, BodyBytes: bodyRoom}), Dialect: d, Conns: fronthttp1.BoundsOf(100, 100),
		Log: slog.New(slog.DiscardHandler), InMemory: true,
	}, clock.New())
	l := m.net.listen(address)
	go f.Serve(l)
}

func (m *mesh) transport(from, kind string, d *http1.Dialect) *http1.Transport {
	l := http1.New(http1.Config{Clock: clock.New(), DialTimeout: dialTimeout, ConnIdle: time.Minute, MostConns: 100, Dialect: d, Dial: m.net.dialer(from, kind)})
	m.transports = append(m.transports, l)
	return l
}

func (m *mesh) caller(ctx context.Context) {
	s := &Sidecar{settings: new(settings.Settings), clock: clock.New(), log: zap.NewNop(), endpoints: newEndpoints([]string{"z"}, "caller")}
	s.settings.Self.ServiceName = "s"
	change, err := config.ParseReplace([]byte(onceConfig))
	if err != nil {
		m.t.Fatal(err)
	}
	c, _, err := config.Empty().Apply(change)
	if err != nil {
		m.t.Fatal(err)
	}
	s.config.Store(c)
	one := func() int { return 1 }
	bounds := settings.Bounds{QuotaWindow: 5 * time.Second, RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 100}
	if s.quota, err = newQuotaClient(bounds, quotaConfig{clock: s.clock, log: s.log, node: "n", serviceName: s.endpoints.serviceName, sidecarCount: one}); err != nil {
		m.t.Fatal(err)
	}
	e := m.engine(ctx, gateTransport{m.transport("caller", "gate", gateDialect())}, maxSends, func(host policy.Host) engine.Module {
		return balancer.New(balancer.Config{Members: one, RetryBudget: s.quota}, host)
	})
	s.endpoints.apply(true, []registry.Upstream{
		{Instance: "i-1", Service: "s", Inbound: "gate1", Zone: "z", Slots: 4}, {Instance: "i-2", Service: "s", Inbound: "gate2", Zone: "z", Slots: 4},
	}, nil)
	e.List(s.endpoints.balancerListing())
	e.Flush()
	m.serve("caller", e, s.newOutbound().frontDialect(), frontBodyBytes)
}

func (m *mesh) gate(ctx context.Context, address, upstream string, bodyBytes int64) {
	in := &inbound{clock: clock.New()}
	instance := "i-" + address[len("gate"):]
	in.instance.Store(&instance)
	e := m.engine(ctx, m.transport(address, "upstream", in.upstreamDialect()), 1, func(host policy.Host) engine.Module {
		in.gate = gate.New(host)
		return in.gate
	})
	id := call.ServerID(instance)
	e.List(call.Listing{Whole: true, Servers: []policy.Server{{ID: id, State: policy.Ready, Weight: 4}}, Address: map[policy.ServerID]string{id: upstream}})
	e.Flush()
	m.gates = append(m.gates, in)
	m.serve(address, e, in.frontDialect(), bodyBytes)
}

// upstream serves at an address, one request at a time on a connection, and keeps the ledger.
func (m *mesh) upstream(address string) {
	l := m.net.listen(address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serveConn(address, c)
		}
	}()
}

func (m *mesh) serveConn(address string, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(headers.AttemptID)
		if body, err := io.ReadAll(r.Body); err != nil || r.Method == http.MethodPost && string(body) != bodyOf(id) {
			return
		}
		m.upstreamLog.Lock()
		runs, out, goesOn := m.upstreams(address, id, m.upstreamLog.arrivals[id])
		m.upstreamLog.arrivals[id]++
		m.upstreamLog.written[id] += out
		if runs {
			m.upstreamLog.executions[id]++
		}
		m.upstreamLog.Unlock()
		if runs {
			time.Sleep(20 * time.Millisecond) // its work
		}
		for i, part := range strings.Split(out, pauseMark) {
			if i > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
		if !goesOn {
			return
		}
	}
}

// upstreamAnswer is a whole answer to a request, with more fields, each ended by CR and LF.
func successOf(id string, more ...string) string {
	body := bodyOf(id)
	return "HTTP/1.1 200 OK\r\n" + idField(id) + fmt.Sprintf("%s: 3e1b.%s\r\nContent-Length: %d\r\n", headers.Signature, id, len(body)) + strings.Join(more, "") + "\r\n" + body
}

// later divides what an upstream writes at once from what follows some milliseconds behind.
const pauseMark = "\x00"

// long marks ids of requests and answers whose bodies are longer than what is held whole.
const longBody = "long"

// bodyOf is the body of a request, and of the answer to it.
func bodyOf(id string) string {
	if strings.HasPrefix(id, longBody) {
		return "ran " + id + strings.Repeat("x", call.BodyLimit)
	}
	return "ran " + id
}

func idField(id string) string { return headers.AttemptID + ": " + id + "\r\n" }

// refusal is an upstream's word that it did not run a request.
func rejectionOf(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idField(id) + headers.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// oneRefuses and bothRefuse are upstreams that are full.
func oneRejects(address, id string, _ int) (bool, string, bool) {
	if address == "upstream1" {
		return false, rejectionOf(id), true
	}
	return true, successOf(id), true
}

func bothReject(_, id string, _ int) (bool, string, bool) { return false, rejectionOf(id), true }

// write sends requests that must not run twice one after the other, on one connection while that goes on.
func (m *mesh) sendOneByOne(ids ...string) (all []clientResult) {
	var c net.Conn
	var in *bufio.Reader
	for _, id := range ids {
		if c == nil {
			c, in = m.connect()
		}
		fmt.Fprintf(c, "POST /write/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headers.AttemptID, id, len(bodyOf(id)), bodyOf(id))
		got, goesOn := receive(id, in)
		all = append(all, got)
		if !goesOn {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return all
}

// read sends requests that may run twice, all at once on one connection.
func (m *mesh) sendPipelined(ids ...string) (all []clientResult) {
	c, in := m.connect()
	defer c.Close()
	var out []byte
	for _, id := range ids {
		out = fmt.Appendf(out, "GET /read/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", headers.AttemptID, id)
	}
	c.Write(out)
	for _, id := range ids {
		got, goesOn := receive(id, in)
		if all = append(all, got); !goesOn {
			break
		}
	}
	return all
}

func (m *mesh) connect() (net.Conn, *bufio.Reader) {
	c, err := m.net.dial("client", "client", "caller")
	if err != nil {
		m.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(4 * freezeTime)) // far beyond its own, so that what comes too late is looked at as well
	return c, bufio.NewReader(c)
}

// receive reads the answer to a request, and says whether its connection goes on.
func receive(id string, in *bufio.Reader) (got clientResult, goesOn bool) {
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return clientResult{id: id}, false
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return clientResult{id: id}, false
	}
	return clientResult{id, res.StatusCode, res.Header.Get(headers.AttemptID), res.Header.Get(headers.Signature), string(body)}, !res.Close
}

// check looks from outside at what clients got and what ran, once all is over.
func (m *mesh) verify(all []clientResult, mayRepeat bool) error {
	m.upstreamLog.Lock()
	defer m.upstreamLog.Unlock()
	for id, n := range m.upstreamLog.executions {
		if n > 1 && !mayRepeat {
			return fmt.Errorf("%s ran %d times", id, n)
		}
	}
	for _, got := range all {
		ran := m.upstreamLog.executions[got.id]
		switch {
		case got.status == 0:
		case got.responseID == "" && got.status == http.StatusRequestTimeout: // our own word on a head that did not come whole
		case got.responseID != got.id:
			return fmt.Errorf("%s got the answer of %q", got.id, got.responseID)
		case got.status/100 == 2 && (got.body != bodyOf(got.id) || got.signature != "3e1b."+got.id || ran == 0):
			return fmt.Errorf("%s got a success that is not its own, ran %d times: %+v", got.id, ran, got)
		case got.status/100 != 2 && got.signature != "" && !strings.Contains(m.upstreamLog.written[got.id], fmt.Sprintf("HTTP/1.1 %d ", got.status)):
			return fmt.Errorf("%s got a failure under the upstream's stamp: %+v", got.id, got)
		case (got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421) && ran > 0 && !mayRepeat:
			return fmt.Errorf("%s got %d, a promise, and ran", got.id, got.status)
		}
	}
	return nil
}

// play plays one history and says what clients got, after all that was held up has arrived.
func playTrace(t *testing.T, p faultPlan, upstreams upstreamBehavior, reads bool, ids ...string) (all []clientResult, sizes map[string][2]int, err error) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, p, upstreams, frontBodyBytes)
		if reads {
			all = m.sendPipelined(ids...)
		} else {
			all = m.sendOneByOne(ids...)
		}
		time.Sleep(4 * freezeTime)
		synctest.Wait()
		err = m.verify(all, reads)
		sizes = map[string][2]int{"client": m.net.bytesOfFirstLink("client"), "gate": m.net.bytesOfFirstLink("gate"), "upstream": m.net.bytesOfFirstLink("upstream")}
		m.close()
	})
	return all, sizes, err
}

var faults = map[string]fault{"reset": resetLink, "silence": silentLink, "freeze": freezeLink, "freeze of the gate": freezeGate, "freeze of the caller's sidecar": freezeCaller}

// everyByte plays requests with a fault at every byte, or every few, of each link that they take, in both directions.
func faultAtEveryByte(t *testing.T, upstreams upstreamBehavior, reads bool, step int, ids ...string) {
	_, whole, err := playTrace(t, faultPlan{}, upstreams, reads, ids[:1]...)
	if err != nil {
		t.Fatal(err)
	}
	for kind, sizes := range whole {
		for name, fault := range faults {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				statuses := map[int]int{}
				for direction, size := range sizes {
					for at := 0; at <= size; at += step {
						p := faultPlan{kind, direction, at, fault}
						all, _, err := playTrace(t, p, upstreams, reads, ids...)
						if err != nil {
							t.Fatalf("%+v: %v", p, err)
						}
						statuses[all[0].status]++
					}
				}
				t.Log(statuses)
			})
		}
	}
}

// TestEveryByte cuts a request that must not run twice, and its answer, at every byte; another one follows.
func TestNonIdempotentWithFaultAtEveryByte(t *testing.T) {
	t.Run("runs", func(t *testing.T) { faultAtEveryByte(t, nil, false, 1, "a", "b") })
	t.Run("one upstream refuses", func(t *testing.T) { faultAtEveryByte(t, oneRejects, false, 5, "a", "b") })
	t.Run("long bodies", func(t *testing.T) { faultAtEveryByte(t, nil, false, 3989, "long", "long b") })
	t.Run("both refuse", func(t *testing.T) { faultAtEveryByte(t, bothReject, false, 5, "a", "b") })
}

// TestPipelined cuts four requests that are sent at once and may run twice: each has its own answer, in its place.
func TestPipelinedWithFaultAtEveryByte(t *testing.T) {
	faultAtEveryByte(t, nil, true, 1, "a", "b", "c", "d")
}

// TestStrayAnswers has upstreams write what belongs to no request, or is not whole, on connections that are used again.
func TestStrayResponsesReachNobody(t *testing.T) {
	ran := func(out func(id string, n int) (string, bool)) upstreamBehavior {
		return func(_, id string, n int) (bool, string, bool) {
			text, goesOn := out(id, n)
			return true, text, goesOn
		}
	}
	large := strings.Repeat("x", call.BodyLimit+1)
	for _, c := range []struct {
		name      string
		upstreams upstreamBehavior
		want      int // what each of three requests gets; 0: no whole answer
	}{
		{"twice", ran(func(id string, _ int) (string, bool) { return successOf(id) + successOf(id), true }), 200},
		{"an older one first", ran(func(id string, _ int) (string, bool) { return successOf("z") + successOf(id), true }), 200},
		{"an older refusal first", ran(func(id string, _ int) (string, bool) { return rejectionOf("z") + successOf(id), true }), 200},
		{"a refusal without an id first", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(rejectionOf(id), idField(id), "", 1) + successOf(id), true
		}), 200},
		{"interim answers first", ran(func(id string, _ int) (string, bool) {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + idField(id) + "\r\n" + successOf(id), true
		}), 200},
		{"no id", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), idField(id), "", 1), false
		}), 502},
		{"another id", ran(func(string, int) (string, bool) { return successOf("z"), false }), 502},
		{"its id twice", ran(func(id string, _ int) (string, bool) { return successOf(id, idField(id)), false }), 502},
		{"another id beside its own", ran(func(id string, _ int) (string, bool) { return successOf(id, idField("z")), false }), 502},
		{"no answer", ran(func(string, int) (string, bool) { return "no answer\r\n", true }), 502},
		{"bytes behind", ran(func(id string, _ int) (string, bool) { return successOf(id) + "more", true }), 200},
		{"cut in the body", ran(func(id string, _ int) (string, bool) { return successOf(id)[:len(successOf(id))-1], false }), 502},
		{"no length, cut", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(strings.TrimSuffix(successOf(id), id), "Content-Length: 5\r\n", "", 1), false
		}), 502},
		{"chunks, cut", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(strings.TrimSuffix(successOf(id), "ran "+id), "Content-Length: 5", "Transfer-Encoding: chunked", 1) + "5\r\nran " + id + "\r\n", false
		}), 0},
		{"a failure, then a success", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), "200 OK", "500 Internal Server Error", 1) + successOf(id), true
		}), 500},
		{"a promise that it does not give", ran(func(id string, _ int) (string, bool) {
			return strings.Replace(successOf(id), "200 OK", "503 Service Unavailable", 1), true
		}), 502},
		{"created, with a long body that is cut", ran(func(id string, _ int) (string, bool) {
			return "HTTP/1.1 201 Created\r\n" + idField(id) + headers.Signature + ": 3e1b." + id + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(large)) + large[1:], false
		}), 0},
		{"a refusal twice, and then it runs", func(_, id string, n int) (bool, string, bool) {
			if n < 2 { // once at either
				return false, rejectionOf(id) + pauseMark + rejectionOf(id), true
			}
			return true, successOf(id), true
		}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, _, err := playTrace(t, faultPlan{}, c.upstreams, false, "a", "b", "c")
			for _, got := range all {
				if err != nil || got.status != c.want {
					t.Fatalf("%+v: %v", all, err)
				}
			}
		})
	}
}

// TestFrontRefuses: what the front of a gate turns away by itself, without asking its engine, is remembered by the gate.
func TestFrontRejectionIsRecordedByTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, faultPlan{}, nil, 3) // less than a body
		defer m.close()
		all := m.sendOneByOne("a")
		synctest.Wait()
		if err := m.verify(all, false); err != nil || all[0].status != http.StatusServiceUnavailable {
			t.Errorf("%+v: %v", all, err)
		}
		for i, in := range m.gates {
			if n := in.gate.AttemptLog().Size(); n != 1 {
				t.Errorf("gate %d remembers %d requests", i, n)
			}
		}
	})
}
