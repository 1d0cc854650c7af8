// Package http1 is the application's side: it takes requests over HTTP/1.1 and answers them.
package http1

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/call"
	"caperarch/internal/clock"
	"caperarch/policy"
)

const (
	// A client beside us sends a request at once. These leave room for one that is short of CPU and
	// end those that never finish within 3 s of connecting.
	headerTime    = 2200 * time.Millisecond // over the head; also for a new connection's first byte
	bodyTime      = 2 * time.Second         // over the body, once the head is here
	rejectTime    = 500 * time.Millisecond  // the rest of a rejected request is read over for so long
	clientIdle    = 2 * time.Minute         // idle connections of clients are closed after this
	headerLimit   = 16 << 10
	countersEvery = 10 * time.Second
	farTimeout    = 10 // a time-out of more than so many deadlines of its class is no usable one
)

// singles lists the headers that steer a request. Sent twice, two readers may heed different ones.
var singles = []string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "X-Retried", "X-Cost",
	"X-Attrs", "Idempotency-Key", "Content-Length",
}

// Engine answers what the front takes: see engine.Engine.
type Engine interface {
	Ask(q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer) policy.RequestID
	Gone(id policy.RequestID)
	Ended() <-chan struct{}
}

// Target is where requests go: an engine, what requests it takes and how many at once. Its counts are its own, and so
// are the ids that are open: the same X-Request-ID at two targets is two requests.
type Target struct {
	Engine    Engine
	Classes   map[string]int // class by name, its settings at that place in ClassOf
	ClassOf   []policy.Class
	Tenants   map[string]int // tenant by name; empty where there are none
	MostOpen  int            // requests held at once; 0: no bound but that on connections
	BodyBytes int64          // of their bodies

	walls atomic.Pointer[Walls]
	held  atomic.Int64 // requests with no answer yet
	bytes atomic.Int64 // of their bodies

	mu   sync.Mutex
	open map[string]bool // ids of the requests that have no answer yet
}

// Walls are bounds that several targets share.
type Walls interface {
	// Enter takes a place for a client's connection whose request's body is to be read, or says that there is none.
	Enter() bool
	// Exit gives it back.
	Exit()
	// Take takes a place for a request with a body of so many bytes, or says that there is none.
	Take(size int64) bool
	// Give gives it back.
	Give(size int64)
}

// SetWalls has what is taken on from now on counted there too; nil: no longer.
func (t *Target) SetWalls(w Walls) {
	if w == nil {
		t.walls.Store(nil)
		return
	}
	t.walls.Store(&w)
}

// Held is how many requests have no answer yet.
func (t *Target) Held() int64 { return t.held.Load() }

// Config says where requests go and how many clients there may be.
type Config struct {
	// Route says where a request goes, by its head, or why it goes nowhere. It is called from many goroutines.
	Route   func(r *http.Request) (*Target, *Rejection)
	Conns   Bounds        // on clients' connections
	Longest time.Duration // the longest deadline of any class: what a drain waits for
	Log     *slog.Logger
}

// To routes all requests to one target.
func To(t *Target) func(*http.Request) (*Target, *Rejection) {
	return func(*http.Request) (*Target, *Rejection) { return t, nil }
}

// Front is the application's side.
type Front struct {
	cfg    Config
	clock  clock.Clock
	held   atomic.Int64 // requests with no answer yet, of all targets
	ready  atomic.Bool  // what GET /up tells
	server *http.Server
	conns  atomic.Pointer[acceptor]
}

// New makes a front.
func New(cfg Config, c clock.Clock) *Front {
	f := &Front{cfg: cfg, clock: c}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headerTime, IdleTimeout: clientIdle, MaxHeaderBytes: headerLimit,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return f
}

// Serve takes requests on a listener until Drain is called, and returns why it ended.
func (f *Front) Serve(l net.Listener) error {
	a := newAcceptor(l, f.clock, f.cfg.Conns)
	f.server.ConnState = a.state
	f.conns.Store(a)
	f.ready.Store(true)
	ended := make(chan struct{})
	defer close(ended)
	go f.logCounters(ended)
	return f.server.Serve(a)
}

// Counters are figures of the clients' connections.
func (f *Front) Counters() Counters {
	if a := f.conns.Load(); a != nil {
		return a.counters()
	}
	return Counters{}
}

func (f *Front) logCounters(ended <-chan struct{}) {
	ticker := time.NewTicker(countersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.cfg.Log.Info("clients", "connections", f.Counters(), "held", f.held.Load())
		case <-ended:
			return
		}
	}
}

// connKey is where a request's context has its connection.
type connKey struct{}

// Rejection is why a request can't be taken on: an answer for its client alone.
type Rejection struct {
	Status int
	Reason string
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.clock.Now() // the client's time began when it sent, so before the body is read
	if r.URL.Path == "/up" && r.Method == http.MethodGet && len(r.TransferEncoding) == 0 && r.ContentLength == 0 {
		if !f.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	t, bad := f.cfg.Route(r)
	if bad != nil {
		reject(w, r, bad)
		return
	}
	q, left, bad := t.read(r)
	if bad != nil {
		reject(w, r, bad)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.asked()
	}
	id := r.Header.Get("X-Request-ID")
	if !t.enter(id) {
		reject(w, r, &Rejection{http.StatusConflict, "a request of this X-Request-ID is open"})
		return
	}
	defer t.leave(id)
	walls := t.walls.Load()
	if walls != nil {
		if !(*walls).Enter() { // bodies that come a byte at a time would hold all connections otherwise
			reject(w, r, &Rejection{http.StatusServiceUnavailable, "too many requests are being read"})
			return
		}
		defer (*walls).Exit()
	}
	body, bad := readBody(w, r)
	if bad != nil {
		reject(w, r, bad)
		return
	}
	// Counted only now: clients that tell of a body and don't send it must not use up what the others
	// may hold. Until here the bound on connections holds for them.
	size := int64(len(body))
	f.held.Add(1)
	defer f.held.Add(-1)
	defer t.held.Add(-1)
	defer t.bytes.Add(-size)
	held, bytes := t.held.Add(1), t.bytes.Add(size)
	if t.MostOpen > 0 && held > int64(t.MostOpen) || bytes > t.BodyBytes {
		refuse(w, time.Second)
		return
	}
	if walls != nil {
		if !(*walls).Take(size) {
			refuse(w, time.Second)
			return
		}
		defer (*walls).Give(size)
	}
	m := &call.Message{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: call.EndToEnd(r.Header), Body: body}
	reply := make(chan call.Answer, 1)
	number := t.Engine.Ask(q, m, arrived+left, reply)
	select {
	case a := <-reply:
		write(w, a)
	case <-r.Context().Done(): // the client has closed its connection
		t.Engine.Gone(number)
		panic(http.ErrAbortHandler) // net/http's way to close it with no answer
	case <-t.Engine.Ended(): // its pool was taken away: what it had taken is answered by then
		select {
		case a := <-reply:
			write(w, a)
		default: // it never came to the module
			refuse(w, time.Second)
		}
	}
}

// enter takes an id into use. One that is open belongs to another request: upstreams would take a
// second under it for a copy of the first.
func (t *Target) enter(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[id] {
		return false
	}
	if t.open == nil {
		t.open = make(map[string]bool)
	}
	t.open[id] = true
	return true
}

func (t *Target) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// readBody reads a body of the length that was told, within bodyTime: a client that tells more than
// it sends must not hold memory and a connection for ever.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime)) // fails only on a closed connection, as the read does
	body, err := io.ReadAll(r.Body)                       // which takes no more memory than has come
	if err != nil {
		return nil, &Rejection{http.StatusRequestTimeout, "the body is shorter than Content-Length"}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// reject answers a request that can't be taken on and closes its connection: where it ends is not to
// be trusted. Its client may still be sending: it is told at once, and read over for a while, see clientConn.linger.
func reject(w http.ResponseWriter, r *http.Request, bad *Rejection) {
	w.Header().Set("Connection", "close") // or net/http would read the rest first
	until := time.Now().Add(rejectTime)
	_ = http.NewResponseController(w).SetReadDeadline(until)
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.linger(until)
	}
	if bad.Status == http.StatusServiceUnavailable { // nothing of it was sent: harmless to repeat
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, bad.Reason, bad.Status)
}

// read takes what a request says of itself. What is missing or malformed is a rejection: nothing of
// it may reach the module or an upstream, whose 400 would count as the upstream's failure.
func (t *Target) read(r *http.Request) (q policy.Request, left time.Duration, bad *Rejection) {
	h := r.Header
	no := func(status int, reason string) (policy.Request, time.Duration, *Rejection) {
		return policy.Request{}, 0, &Rejection{status, reason}
	}
	// net/http has dropped a Content-Length beside it. Which of the two counts is what such requests
	// are about: the body may hold another request.
	if len(r.TransferEncoding) > 0 {
		return no(http.StatusLengthRequired, "Transfer-Encoding is not taken, send Content-Length")
	}
	if !r.ProtoAtLeast(1, 1) { // net/http passes over Transfer-Encoding there
		return no(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return no(http.StatusBadRequest, "the target is no path")
	}
	for _, name := range singles {
		if len(h[name]) > 1 {
			return no(http.StatusBadRequest, name+" is given twice")
		}
	}
	if h.Get("X-Request-ID") == "" {
		return no(http.StatusBadRequest, "X-Request-ID is missing")
	}
	name := h.Get("X-Priority-Class")
	var ok bool
	if q.Class, ok = t.Classes[name]; !ok {
		return no(http.StatusBadRequest, "X-Priority-Class names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != name {
		return no(http.StatusBadRequest, "the path is of another class than X-Priority-Class")
	}
	class, key := &t.ClassOf[q.Class], h.Get("Idempotency-Key")
	if want := methods[class.Effect]; r.Method != want {
		return no(http.StatusMethodNotAllowed, "requests of this class are sent with "+want)
	}
	switch {
	case class.Effect == policy.Keyed && key == "":
		return no(http.StatusBadRequest, "Idempotency-Key is missing")
	case class.Effect == policy.Unsafe && key != "":
		return no(http.StatusBadRequest, "Idempotency-Key is of no use in this class")
	case class.Effect == policy.Safe && r.ContentLength != 0:
		return no(http.StatusBadRequest, "GET has no body")
	case class.Effect != policy.Safe && h["Content-Length"] == nil:
		return no(http.StatusLengthRequired, "Content-Length is missing")
	case r.ContentLength > call.BodyLimit:
		return no(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if len(t.Tenants) > 0 {
		if q.Tenant, ok = t.Tenants[h.Get("X-Tenant-Id")]; !ok {
			return no(http.StatusBadRequest, "X-Tenant-Id names no tenant")
		}
	}
	if left, ok = call.ParseDuration(h.Get("X-Timeout")); !ok || left <= 0 || left > farTimeout*class.Deadline {
		return no(http.StatusBadRequest, "X-Timeout is missing, malformed or out of range")
	}
	if cost := h.Get("X-Cost"); cost != "" {
		if q.Work, ok = call.ParseDuration(cost + "u"); !ok {
			return no(http.StatusBadRequest, "X-Cost is malformed")
		}
	}
	q.Key = call.RouteKey(h.Get("X-Route-Key"))
	q.Repeat = h.Get("X-Retried") == "1"
	return q, left, nil
}

// methods are what each effect's requests are sent with.
var methods = map[policy.Effect]string{
	policy.Safe: http.MethodGet, policy.Keyed: http.MethodPost, policy.Unsafe: http.MethodPost,
}

// write sends the final answer to the client.
func write(w http.ResponseWriter, a call.Answer) {
	switch {
	case a.Kind == call.Served:
		for name, values := range call.EndToEnd(a.Header) {
			w.Header()[name] = values
		}
		if a.Header["Content-Type"] == nil {
			w.Header()["Content-Type"] = nil // not to be guessed
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body) // it fails if the client has gone: nobody is left to tell
	case a.Kind == call.Refused:
		refuse(w, a.Pause)
	case a.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// refuse answers that trying again is harmless, best after the pause.
func refuse(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
