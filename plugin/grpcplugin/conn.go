// Package grpcplugin embeds the caperarch load balancer in a gRPC client. It provides a grpc.ClientConnInterface that
// generated stubs use unchanged. The balancing policy selects the server of each attempt and decides about retries. The
// balancing, retries and service configuration of grpc-go are disabled.
//
// The package supports unary calls and server streams. Client streams and bidirectional streams fail with
// Unimplemented. plugin.Config.Methods assigns classes to calls by their full method names. The metadata
// idempotency-key, x-tenant-id, x-route-key, x-request-id, x-timeout and x-retried have the same meaning as the headers
// of these names at the daemon. All of them except x-timeout are passed on to the server. A call ends at the earlier
// of the deadline of ctx and the end of x-timeout, which defaults to the deadline of the class. A message has at most
// plugin.MaxBody bytes.
//
// The status of a server is returned unchanged with its details, except UNAVAILABLE. Many clients repeat a call after
// UNAVAILABLE, so the package reserves this code for refused calls, which are safe to repeat, and adds a RetryInfo
// detail. If a server answers UNAVAILABLE to a call that may have run, the package returns UNKNOWN. An error that has a
// *plugin.RefusedError, *plugin.FailedError or *plugin.InvalidError as its cause unwraps to it.
package grpcplugin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/pool"
	grpctransport "caperarch/internal/proxy/transport/grpc"
	"caperarch/plugin"
	"caperarch/policy"
)

// Conn is a virtual connection to all servers. It is safe for concurrent use.
type Conn struct {
	core                *plugin.Core
	methods             map[string]plugin.Method
	unreadStreamTimeout time.Duration // a stream is closed if its caller reads no message for this long
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// Option configures the gRPC transport.
type Option func(*grpctransport.Config)

// WithTransportCredentials sets the credentials for connections to servers. Without it, connections are plain TCP.
func WithTransportCredentials(c credentials.TransportCredentials) Option {
	return func(t *grpctransport.Config) { t.Credentials = c }
}

// WithUserAgent prepends a name to the user agent of grpc-go.
func WithUserAgent(name string) Option { return func(t *grpctransport.Config) { t.UserAgent = name } }

// Open opens a connection to all servers that the configuration or discovery lists. If the configuration is not valid,
// it returns a *plugin.InvalidError that names the field. If Policy.MayProbe is set, the connection requests load
// reports from the out-of-band service of ORCA. LoadReport selects the named_metrics to use. The caller must call
// Close.
func Open(cfg plugin.Config, opts ...Option) (*Conn, error) {
	if len(cfg.Methods) == 0 {
		return nil, &plugin.InvalidError{Field: "Config.Methods", Reason: "the map is empty: no call would have a class"}
	}
	core, err := plugin.OpenCore(cfg, func(cfg plugin.Config, c clock.Clock) pool.Transport {
		t := grpctransport.Config{
			Clock: c, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdle, MaxConns: cfg.MaxConnections,
			ORCAProbes: cfg.Policy.MayProbe, LoadMetrics: cfg.LoadReport,
		}
		for _, o := range opts {
			o(&t)
		}
		return grpctransport.New(t)
	})
	if err != nil {
		return nil, err
	}
	c := &Conn{core: core, methods: cfg.Methods}
	for _, class := range cfg.Policy.Classes {
		c.unreadStreamTimeout = max(c.unreadStreamTimeout, unreadStreamDeadlines*class.Deadline)
	}
	return c, nil
}

// unreadStreamDeadlines is the time that a stream waits for its caller to read a message, in multiples of the longest
// class deadline. Without this limit, a stream that the caller never reads would occupy a slot of its compartment
// permanently.
const unreadStreamDeadlines = 10

// Close refuses further calls and waits until the calls and streams in flight have ended. If ctx ends first, Close ends
// them at once and returns the error of the context. After Close no goroutine or connection of the Conn is left.
func (c *Conn) Close(ctx context.Context) error { return c.core.Close(ctx) }

// Invoke implements grpc.ClientConnInterface.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	o, err := parseCallOptions(opts)
	if err == nil {
		err = c.invoke(ctx, method, args, reply, o)
		o.finished(err)
	}
	return err
}

// invoke sends a unary call and decodes the response into reply.
func (c *Conn) invoke(ctx context.Context, method string, args, reply any, o *options) error {
	body, err := o.encode(args)
	if err != nil {
		return err
	}
	spec, q, m, err := c.message(ctx, method, o)
	if err != nil {
		return err
	}
	m.Body = body
	a, err := c.core.Do(ctx, spec, q, m)
	if a.LastResult != nil { // the call failed with a response of a server
		a.Header, a.Trailer = a.LastResult.Header, a.LastResult.Trailer
	}
	if o.header != nil {
		*o.header = metadata.MD(a.Header)
	}
	if o.trailer != nil {
		*o.trailer = metadata.MD(a.Trailer)
	}
	if err != nil {
		return asStatus(err)
	}
	if a.Status != int(codes.OK) {
		return decodeStatus(a.Status, a.Body).Err()
	}
	return o.decode(a.Body, reply)
}

// controlMetadata lists the metadata keys that carry the specification of a call. Each may have only one value.
var controlMetadata = []string{
	"idempotency-key", "x-tenant-id", "x-route-key", "x-request-id", "x-retried", "x-timeout",
}

// message resolves the specification of a call and builds its message from the outgoing metadata, without a body.
func (c *Conn) message(
	ctx context.Context, method string, o *options,
) (*plugin.CallSpec, policy.Request, *call.Message, error) {
	fail := func(err error) (*plugin.CallSpec, policy.Request, *call.Message, error) {
		return nil, policy.Request{}, nil, asStatus(err)
	}
	if _, listed := c.methods[method]; !listed {
		reason := fmt.Sprintf("method %q is not listed: its calls have no class", method)
		return fail(&plugin.InvalidError{Field: "Config.Methods", Reason: reason})
	}
	md, _ := metadata.FromOutgoingContext(ctx) // a copy, which this function may change
	if md == nil {
		md = make(metadata.MD, 4)
	}
	values := make(map[string]string, len(controlMetadata))
	for _, name := range controlMetadata {
		v := md.Get(name)
		if len(v) > 1 {
			return fail(&plugin.InvalidError{Field: "metadata " + name, Reason: "the key has more than one value"})
		}
		if len(v) == 1 {
			values[name] = v[0]
		}
	}
	spec := &plugin.CallSpec{
		Method: method, Key: values["idempotency-key"], Tenant: values["x-tenant-id"], RouteKey: values["x-route-key"],
		ID: values["x-request-id"], Repeat: values["x-retried"] == "1",
	}
	if text := values["x-timeout"]; text != "" {
		var ok bool
		if spec.Timeout, ok = call.ParseDuration(text); !ok || spec.Timeout <= 0 {
			return fail(&plugin.InvalidError{Field: "metadata x-timeout", Reason: "want a valid duration above 0"})
		}
		delete(md, "x-timeout") // grpc-timeout tells the server the time-out of the attempt
	}
	q, _, err := c.core.Resolve(spec)
	if err != nil {
		return fail(err)
	}
	md.Set("x-request-id", spec.ID)
	md.Set("x-priority-class", spec.Class)
	if spec.Tenant != "" {
		md.Set("x-tenant-id", spec.Tenant)
	}
	return spec, q, &call.Message{URI: method, Host: o.authority, Header: http.Header(md), Format: o.subtype}, nil
}
