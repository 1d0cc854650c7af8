package plugin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/pool"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

// Client carries calls to servers over HTTP/1.1.
type Client struct {
	core  *Core  // of a client with one pool
	pools *pools // of one with several; else nil
}

// Open starts a client, or returns an *InvalidError that names the unusable field of the Config. It needs a
// Close.
func Open(cfg Config) (*Client, error) {
	core, err := OpenCore(cfg, overHTTP1)
	if err != nil {
		return nil, err
	}
	return &Client{core: core}, nil
}

// overHTTP1 makes the transport of a client.
func overHTTP1(cfg Config, c clock.Clock) pool.Transport {
	names, columns := cfg.loadReport()
	return http1.New(http1.Config{
		Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: cfg.MaxConnections,
		LoadFields: names, Columns: columns,
	})
}

// coreFor returns the core of the pool that a call goes to, by its host, path, method and class.
func (c *Client) coreFor(host, target, method, class string) (*Core, error) {
	if c.pools == nil {
		return c.core, nil
	}
	return c.pools.route(host, target, method, class)
}

// Request is one call.
type Request struct {
	Class  string // one of Config.Classes; empty: by Config.Methods and Path
	Tenant string // one of Config.Tenants; empty: by Config.Methods; not used where there are none

	ID       string        // its name among the open calls, and to servers (X-Request-ID); empty: a random one
	Key      string        // Idempotency-Key: needed in keyed classes, of no use in unsafe ones
	RouteKey string        // what the call is about, where it has such a key
	Timeout  time.Duration // how long the caller waits; 0: its class's deadline. The context's deadline holds too
	Work     time.Duration // expected work; 0: unknown
	Repeat   bool          // it is the caller's own further try

	Method string // empty: GET where the class is safe and there is no body, else POST
	Path   string // with the query, as it goes on; empty: "/" and the class
	Host   string // empty: "service.internal"
	Header http.Header
	Body   []byte // MaxBody bytes at most; not changed until Do has returned, and not by an attempt that is called off
}

// Response is a served call's answer.
type Response struct {
	Header http.Header
	Body   []byte
}

// Do carries a call out and returns a server's answer. Else the error says which answer it was: a
// *RefusedError, a *FailedError (which unwraps to the context's error where ctx ended first: the call is then
// called off) or an *InvalidError.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if len(r.Body) > MaxBody {
		return Response{}, &InvalidError{"Request.Body", fmt.Sprintf("%d bytes, %d at most", len(r.Body), MaxBody)}
	}
	spec := CallSpec{
		Class: r.Class, Tenant: r.Tenant, ID: r.ID, Key: r.Key, RouteKey: r.RouteKey,
		Timeout: r.Timeout, Work: r.Work, Repeat: r.Repeat,
	}
	if path, _, _ := strings.Cut(r.Path, "?"); r.Path != "" {
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsFunc(r.Path, notInPath) {
			return Response{}, &InvalidError{"Request.Path", "it must begin with a slash and hold no space or control character"}
		}
		spec.Method = path
	}
	host := or(r.Host, "service.internal")
	core, err := c.coreFor(host, or(r.Path, "/"+r.Class), r.Method, r.Class)
	if err != nil {
		return Response{}, err
	}
	q, effect, err := core.Resolve(&spec)
	if err != nil {
		return Response{}, err
	}
	m := &call.Message{
		Method: r.Method, URI: r.Path, Host: host, Header: call.EndToEndHeaders(r.Header), Body: r.Body,
	}
	if m.Method == "" {
		m.Method = http.MethodPost
		if effect == policy.Idempotent && len(r.Body) == 0 {
			m.Method = http.MethodGet
		}
	}
	if m.URI == "" {
		m.URI = "/" + core.cfg.Classes[q.Class]
	}
	if err := checkMessage(m); err != nil {
		return Response{}, err
	}
	core.setControlHeaders(m.Header, &spec)
	a, err := core.Do(ctx, &spec, q, m)
	if err != nil {
		return Response{}, err
	}
	return Response{Header: call.EndToEndHeaders(a.Header), Body: a.Body}, nil
}

// Close takes no further call and waits until those that are held have their answers. Where ctx ends first
// these are answered at once, and its error is returned. Nothing of the client is left after it.
func (c *Client) Close(ctx context.Context) error {
	if c.pools != nil {
		return c.pools.close(ctx)
	}
	return c.core.Close(ctx)
}

// notInPath says whether a character may not stand in a path.
func notInPath(r rune) bool { return r <= ' ' || r == 0x7f }

// checkMessage rejects what would end a request's head early or begin another request in it.
func checkMessage(m *call.Message) error {
	bad := func(field, reason string) error { return &InvalidError{"Request." + field, reason} }
	token := func(s string) bool {
		return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
			return r <= ' ' || r >= 0x7f || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r)
		})
	}
	if !token(m.Method) {
		return bad("Method", "it is no token")
	}
	if strings.ContainsFunc(m.Host, notInPath) {
		return bad("Host", "it holds a space or control character")
	}
	for name, values := range m.Header {
		if !token(name) {
			return bad("Header", fmt.Sprintf("%q is no name", name))
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return bad("Header", fmt.Sprintf("%q holds a control character", name))
			}
		}
	}
	return nil
}

// setControlHeaders sets the headers of the protocol that carry a call's specification.
func (c *Core) setControlHeaders(h http.Header, s *CallSpec) {
	h["X-Request-Id"] = []string{s.ID}
	h["X-Priority-Class"] = []string{s.Class}
	set := func(name, value string) {
		if value == "" {
			delete(h, name)
		} else {
			h[name] = []string{value}
		}
	}
	set("X-Tenant-Id", s.Tenant)
	set("X-Route-Key", s.RouteKey)
	set("Idempotency-Key", s.Key)
	if s.Repeat {
		h["X-Retried"] = []string{"1"}
	}
	if s.Work > 0 {
		h["X-Cost"] = []string{strconv.FormatInt(s.Work.Microseconds(), 10)}
	}
}

// CallSpec is what a call says of itself, whatever it goes over. It is for the adapters of this module.
type CallSpec struct {
	Method, Class, Tenant, ID, Key, RouteKey string
	Timeout, Work                            time.Duration
	Repeat                                   bool
}

// Core is what the clients of all transports share. It is for the adapters of this module: others can't
// name what it is opened with.
type Core struct {
	cfg      Config
	classes  map[string]int
	tenants  map[string]int
	pool     *pool.Pool
	idPrefix string
	idNumber atomic.Uint64
}

// OpenCore starts a core over a transport.
func OpenCore(cfg Config, transport func(Config, clock.Clock) pool.Transport) (*Core, error) {
	return openCore(cfg, transport, clock.New())
}

func openCore(cfg Config, transport func(Config, clock.Clock) pool.Transport, clk clock.Clock) (*Core, error) {
	cfg, err := cfg.validated()
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, classes: numbersByName(cfg.Classes), tenants: numbersByName(cfg.Tenants)}
	if cfg.Seed == 0 {
		cfg.Seed = mathrand.Uint64()
	}
	var prefix [8]byte
	if _, err := rand.Read(prefix[:]); err != nil {
		return nil, fmt.Errorf("caperarch: %w", err)
	}
	c.idPrefix = hex.EncodeToString(prefix[:])
	c.pool, err = pool.Open(pool.Config{
		Policy: cfg.Policy, Seed: cfg.Seed, Clock: clk, Transport: transport(cfg, clk),
		Discovery: cfg.Discovery, Zones: numbersByName(cfg.Zones), Known: cfg.knownServers(),
		MaxOpen: cfg.MaxCalls, MaxBodyBytes: cfg.MaxBodyBytes, SharedLimits: cfg.sharedLimits,
		Log: cfg.Log.With("plugin", cfg.Name),
	})
	if err != nil {
		return nil, &InvalidError{"Config.Policy", strings.TrimPrefix(err.Error(), "config: ")}
	}
	return c, nil
}

// Close is Client.Close.
func (c *Core) Close(ctx context.Context) error { return c.pool.Close(ctx) }

// Resolve checks what a call says of itself and fills in what the table of methods has for it and the id.
func (c *Core) Resolve(s *CallSpec) (q policy.Request, effect policy.Effect, err error) {
	no := func(field, format string, args ...any) (policy.Request, policy.Effect, error) {
		return policy.Request{}, 0, &InvalidError{"Request." + field, fmt.Sprintf(format, args...)}
	}
	if m, listed := c.cfg.Methods[s.Method]; listed && s.Class == "" {
		s.Class = m.Class
		s.Tenant = or(s.Tenant, m.Tenant)
	}
	var known bool
	if q.Class, known = c.classes[s.Class]; !known {
		if s.Class == "" && s.Method != "" {
			return no("Class", "it is empty, and %q is in none of Config.Methods", s.Method)
		}
		return no("Class", "%q is none of Config.Classes", s.Class)
	}
	if len(c.tenants) > 0 {
		if q.Tenant, known = c.tenants[s.Tenant]; !known {
			return no("Tenant", "%q is none of Config.Tenants", s.Tenant)
		}
	}
	class := &c.cfg.Policy.Classes[q.Class]
	switch {
	case class.Effect == policy.Deduplicated && s.Key == "":
		return no("Key", "class %q needs one", s.Class)
	case class.Effect == policy.NonIdempotent && s.Key != "":
		return no("Key", "it is of no use in class %q, whose calls must never run twice", s.Class)
	case s.Timeout < 0 || s.Timeout > maxTimeoutDeadlines*class.Deadline:
		return no("Timeout", "%v is not within 0 and %d deadlines of class %q", s.Timeout, maxTimeoutDeadlines, s.Class)
	case s.Work < 0 || s.Work > time.Hour:
		return no("Work", "%v is not within 0 and an hour", s.Work)
	}
	for field, value := range map[string]string{"ID": s.ID, "Key": s.Key, "RouteKey": s.RouteKey} {
		if len(value) > maxIDBytes || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r >= 0x7f }) {
			return no(field, "more than %d bytes, or not of printable ASCII characters", maxIDBytes)
		}
	}
	if s.ID == "" {
		s.ID = c.idPrefix + "-" + strconv.FormatUint(c.idNumber.Add(1), 16)
	}
	q.Key, q.Work, q.IsRetry = call.RouteKey(s.RouteKey), s.Work, s.Repeat
	return q, class.Effect, nil
}

const (
	maxTimeoutDeadlines = 10  // bounds a time-out, in deadlines of its class
	maxIDBytes          = 512 // of an id or key: they go into headers and the table of open calls
)

// Do carries a resolved call out. The error is as Client.Do has it.
func (c *Core) Do(ctx context.Context, s *CallSpec, q policy.Request, m *call.Message) (call.Answer, error) {
	begun := c.pool.Now()
	deadline := begun + or(s.Timeout, c.cfg.Policy.Classes[q.Class].Deadline)
	if end, limited := ctx.Deadline(); limited {
		deadline = min(deadline, begun+time.Until(end))
	}
	a, err := c.pool.Do(ctx, s.ID, q, m, deadline)
	switch {
	case errors.Is(err, pool.ErrClosed):
		return a, &RefusedError{Reason: "the client is closed"}
	case errors.Is(err, pool.ErrFull):
		return a, &RefusedError{RetryAfter: c.pool.RetryAfterFull(), Reason: err.Error()}
	case errors.Is(err, pool.ErrDuplicateID):
		return a, &InvalidError{"Request.ID", err.Error()}
	case err != nil:
		return a, &FailedError{Cause: err, TimedOut: errors.Is(err, context.DeadlineExceeded)}
	}
	switch a.Kind {
	case call.Served:
		return a, nil
	case call.Refused:
		return a, &RefusedError{RetryAfter: a.RetryAfter, Reason: "no server is to be had for it now"}
	}
	failed := &FailedError{TimedOut: a.TimedOut}
	if a.LastResult != nil {
		failed.Status, failed.Header, failed.Body = a.LastResult.Status, a.LastResult.Header, a.LastResult.Body
	}
	return a, failed
}

// Ends is when a context's deadline is on the core's clock; 0: it has none.
func (c *Core) Ends(ctx context.Context) time.Duration {
	if end, limited := ctx.Deadline(); limited {
		return c.pool.Now() + time.Until(end)
	}
	return 0
}
