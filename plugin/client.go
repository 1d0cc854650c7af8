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

// Client sends calls to servers over HTTP/1.1.
type Client struct {
	core  *Core  // set if the client has a single pool, else nil
	pools *pools // set if the client was opened by OpenPools, else nil
}

// Open starts a client. If the Config is not valid, it returns an *InvalidError that names the field. The caller must
// call Close.
func Open(cfg Config) (*Client, error) {
	core, err := OpenCore(cfg, newHTTP1Transport)
	if err != nil {
		return nil, err
	}
	return &Client{core: core}, nil
}

// newHTTP1Transport returns the HTTP/1.1 transport of a client.
func newHTTP1Transport(cfg Config, c clock.Clock) pool.Transport {
	names, columns := cfg.loadReport()
	return http1.New(http1.Config{
		Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: cfg.MaxConnections,
		LoadFields: names, Columns: columns, ProcessingStart: http1.AfterLastByte,
	})
}

// coreFor returns the core of the pool for a call, which the routes select by host, path, method and class.
func (c *Client) coreFor(host, target, method, class string) (*Core, error) {
	if c.pools == nil {
		return c.core, nil
	}
	return c.pools.route(host, target, method, class)
}

// Request describes a call.
type Request struct {
	Class  string // one of Config.Classes; empty: assigned by Config.Methods and Path
	Tenant string // one of Config.Tenants; empty: assigned by Config.Methods; ignored if Config.Tenants is empty

	ID       string        // unique among the calls in flight, sent as X-Request-ID; empty: a generated ID
	Key      string        // Idempotency-Key; required in deduplicated classes, not allowed in non-idempotent ones
	RouteKey string        // subject of the call; InOrder classes run calls of one key in order; may be empty
	Timeout  time.Duration // 0: the deadline of the class. The deadline of the context applies too
	Work     time.Duration // expected work; 0: unknown
	Repeat   bool          // the caller repeats a call that it has sent before

	Method string // empty: GET if the class is idempotent and the body is empty, else POST
	Path   string // path with the query; empty: "/" and the class
	Host   string // empty: "service.internal"
	Header http.Header
	Body   []byte // at most MaxBody bytes; must not change until Do has returned; no attempt changes it
}

// Response is the response of the server that served a call.
type Response struct {
	Header http.Header
	Body   []byte
}

// Do sends a call and returns the response of the server that served it. Otherwise the error is a *RefusedError, a
// *FailedError or an *InvalidError. If ctx ends first, Do cancels the call and returns a *FailedError that unwraps to
// the error of the context.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if len(r.Body) > MaxBody {
		return Response{}, &InvalidError{"Request.Body", fmt.Sprintf("got %d bytes, want at most %d", len(r.Body), MaxBody)}
	}
	spec := CallSpec{
		Class: r.Class, Tenant: r.Tenant, ID: r.ID, Key: r.Key, RouteKey: r.RouteKey,
		Timeout: r.Timeout, Work: r.Work, Repeat: r.Repeat,
	}
	if path, _, _ := strings.Cut(r.Path, "?"); r.Path != "" {
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsFunc(r.Path, isSpaceOrControl) {
			return Response{}, &InvalidError{"Request.Path", "want a leading slash, and no space or control character"}
		}
		spec.Method = path
	}
	host := orDefault(r.Host, "service.internal")
	core, err := c.coreFor(host, orDefault(r.Path, "/"+r.Class), r.Method, r.Class)
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

// Close refuses further calls and waits until the calls in flight have their answers. If ctx ends first, Close ends
// these calls at once and returns the error of the context. After Close no goroutine or connection of the client is
// left.
func (c *Client) Close(ctx context.Context) error {
	if c.pools != nil {
		return c.pools.close(ctx)
	}
	return c.core.Close(ctx)
}

// isSpaceOrControl reports whether a character is a space or an ASCII control character, which no path or host may
// have.
func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// checkMessage rejects a message whose method, host or headers could end the header section early or inject another
// request (request smuggling).
func checkMessage(m *call.Message) error {
	invalid := func(field, reason string) error { return &InvalidError{"Request." + field, reason} }
	isToken := func(s string) bool {
		return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
			return r <= ' ' || r >= 0x7f || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r)
		})
	}
	if !isToken(m.Method) {
		return invalid("Method", "the method is not a valid HTTP token")
	}
	if strings.ContainsFunc(m.Host, isSpaceOrControl) {
		return invalid("Host", "the host has a space or control character")
	}
	for name, values := range m.Header {
		if !isToken(name) {
			return invalid("Header", fmt.Sprintf("%q is not a valid header name", name))
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return invalid("Header", fmt.Sprintf("the value of %q has a control character", name))
			}
		}
	}
	return nil
}

// setControlHeaders sets the protocol headers that carry the specification of a call.
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

// CallSpec is the specification of a call, independent of the transport. It is meant for the transport adapters of this
// module.
type CallSpec struct {
	Method, Class, Tenant, ID, Key, RouteKey string
	Timeout, Work                            time.Duration
	Repeat                                   bool
}

// Core is the part of a client that all transports share. It is meant for the transport adapters of this module; other
// modules can't open a Core, because the parameters of OpenCore have internal types.
type Core struct {
	cfg      Config
	classes  map[string]int
	tenants  map[string]int
	pool     *pool.Pool
	idPrefix string
	idNumber atomic.Uint64
}

// OpenCore checks a Config and starts a core that sends calls over a transport.
func OpenCore(cfg Config, transport func(Config, clock.Clock) pool.Transport) (*Core, error) {
	return openCore(cfg, transport, clock.New())
}

// openCore is OpenCore with a clock that the caller supplies.
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

// Close refuses further calls and waits for the calls in flight, as Client.Close does.
func (c *Core) Close(ctx context.Context) error { return c.pool.Close(ctx) }

// Resolve checks the specification of a call. It fills in the class and tenant from Config.Methods, and an ID if the
// specification has none. It returns the request for the balancing policy and the effect of the class.
func (c *Core) Resolve(s *CallSpec) (q policy.Request, effect policy.Effect, err error) {
	invalid := func(field, format string, args ...any) (policy.Request, policy.Effect, error) {
		return policy.Request{}, 0, &InvalidError{"Request." + field, fmt.Sprintf(format, args...)}
	}
	if m, listed := c.cfg.Methods[s.Method]; listed && s.Class == "" {
		s.Class = m.Class
		s.Tenant = orDefault(s.Tenant, m.Tenant)
	}
	var known bool
	if q.Class, known = c.classes[s.Class]; !known {
		if s.Class == "" && s.Method != "" {
			return invalid("Class", "the class is empty, and method %q is not in Config.Methods", s.Method)
		}
		return invalid("Class", "class %q is not in Config.Classes", s.Class)
	}
	if len(c.tenants) > 0 {
		if q.Tenant, known = c.tenants[s.Tenant]; !known {
			return invalid("Tenant", "tenant %q is not in Config.Tenants", s.Tenant)
		}
	}
	class := &c.cfg.Policy.Classes[q.Class]
	switch {
	case class.Effect == policy.Deduplicated && s.Key == "":
		return invalid("Key", "class %q is deduplicated and requires an idempotency key", s.Class)
	case class.Effect == policy.NonIdempotent && s.Key != "":
		return invalid("Key", "class %q is non-idempotent and takes no idempotency key", s.Class)
	case s.Timeout < 0 || s.Timeout > maxTimeoutDeadlines*class.Deadline:
		return invalid("Timeout", "got %v, want 0 to %d deadlines of class %q", s.Timeout, maxTimeoutDeadlines, s.Class)
	case s.Work < 0 || s.Work > time.Hour:
		return invalid("Work", "got %v, want 0 to 1 hour", s.Work)
	}
	for field, value := range map[string]string{"ID": s.ID, "Key": s.Key, "RouteKey": s.RouteKey} {
		if len(value) > maxIDBytes || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r >= 0x7f }) {
			return invalid(field, "want at most %d bytes of printable ASCII characters", maxIDBytes)
		}
	}
	if s.ID == "" {
		s.ID = c.idPrefix + "-" + strconv.FormatUint(c.idNumber.Add(1), 16)
	}
	q.Key, q.Work, q.IsRetry = call.RouteKey(s.RouteKey), s.Work, s.Repeat
	return q, class.Effect, nil
}

const (
	maxTimeoutDeadlines = 10  // largest time-out of a call, in multiples of its class's deadline
	maxIDBytes          = 512 // size limit of IDs and keys, which are held in headers and in the table of calls in flight
)

// Do sends a resolved call. It returns the same errors as Client.Do.
func (c *Core) Do(ctx context.Context, s *CallSpec, q policy.Request, m *call.Message) (call.Answer, error) {
	started := c.pool.Now()
	deadline := started + orDefault(s.Timeout, c.cfg.Policy.Classes[q.Class].Deadline)
	if contextDeadline, ok := ctx.Deadline(); ok {
		deadline = min(deadline, started+time.Until(contextDeadline))
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
		return a, &RefusedError{RetryAfter: a.RetryAfter, Reason: "no server can accept the call now"}
	}
	failed := &FailedError{TimedOut: a.TimedOut}
	if a.LastResult != nil {
		failed.Status, failed.Header, failed.Body = a.LastResult.Status, a.LastResult.Header, a.LastResult.Body
	}
	return a, failed
}

// Ends returns the deadline of a context on the clock of the core, or 0 if the context has no deadline.
func (c *Core) Ends(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return c.pool.Now() + time.Until(deadline)
	}
	return 0
}
