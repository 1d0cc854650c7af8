// Package grpcplugin is caperarch inside a gRPC client: a grpc.ClientConnInterface that generated stubs take
// unchanged. The decision module says which server each attempt goes to and whether there is another;
// grpc-go's own balancing, retries and service configuration are off.
//
// Unary calls and server streams are carried; streams of the client's are answered Unimplemented. The calls'
// classes come from plugin.Config.Methods, by full method name. Metadata idempotency-key, x-tenant-id,
// x-route-key, x-request-id, x-timeout and x-retried mean what the headers of that name do at the daemon; all
// but x-timeout go on to the server. A call's time is the least of x-timeout (else its class's deadline) and
// ctx's. A message holds plugin.MaxBody bytes at most.
//
// A server's answer, of whatever status, is returned as it came, details too, with one exception: UNAVAILABLE
// is what many take as leave to repeat, so it is kept for refusals, which promise that repeating is harmless,
// and come with a RetryInfo detail. A server's own UNAVAILABLE to a call that may have run becomes UNKNOWN.
// Every error unwraps to *plugin.RefusedError, *plugin.FailedError or *plugin.InvalidError where it is one of
// these.
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

// Conn is a connection to all servers. It is safe for concurrent use.
type Conn struct {
	core    *plugin.Core
	methods map[string]plugin.Method
	abandon time.Duration // a stream that nobody reads is closed after this
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// Option sets a property of the gRPC transport.
type Option func(*grpctransport.Config)

// WithTransportCredentials makes connections with credentials; without it they are plain TCP.
func WithTransportCredentials(c credentials.TransportCredentials) Option {
	return func(t *grpctransport.Config) { t.Credentials = c }
}

// WithUserAgent puts a name in front of grpc-go's own user agent.
func WithUserAgent(name string) Option { return func(t *grpctransport.Config) { t.UserAgent = name } }

// Open starts a connection to all servers that the configuration or discovery lists, or returns a
// *plugin.InvalidError that names the unusable field. Policy.MayProbe has load reports asked for over ORCA's
// out-of-band service; LoadReport names the named_metrics that count. It needs a Close.
func Open(cfg plugin.Config, opts ...Option) (*Conn, error) {
	if len(cfg.Methods) == 0 {
		return nil, &plugin.InvalidError{Field: "Config.Methods", Reason: "it is empty: no call would have a class"}
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
		c.abandon = max(c.abandon, abandonAfter*class.Deadline)
	}
	return c, nil
}

// abandonAfter is how many of the longest deadlines a stream may wait for its message to be read. Without a bound one
// forgotten stream occupies a slot of its compartment for good.
const abandonAfter = 10

// Close takes no further call and waits until those that are held, streams too, have ended. Where ctx ends
// first they are ended at once, and its error is returned. Nothing of the connection is left after it.
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
	if a.LastResult != nil { // failed, with a server's answer
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

// controlMetadata is the metadata that carries a call's specification; each may be given once.
var controlMetadata = []string{
	"idempotency-key", "x-tenant-id", "x-route-key", "x-request-id", "x-retried", "x-timeout",
}

// message makes a call's message and resolves its specification.
func (c *Conn) message(
	ctx context.Context, method string, o *options,
) (*plugin.CallSpec, policy.Request, *call.Message, error) {
	none := func(err error) (*plugin.CallSpec, policy.Request, *call.Message, error) {
		return nil, policy.Request{}, nil, asStatus(err)
	}
	if _, listed := c.methods[method]; !listed {
		reason := fmt.Sprintf("%q is in none of them: its calls have no class", method)
		return none(&plugin.InvalidError{Field: "Config.Methods", Reason: reason})
	}
	md, _ := metadata.FromOutgoingContext(ctx) // a copy
	if md == nil {
		md = make(metadata.MD, 4)
	}
	values := make(map[string]string, len(controlMetadata))
	for _, name := range controlMetadata {
		v := md.Get(name)
		if len(v) > 1 {
			return none(&plugin.InvalidError{Field: "metadata " + name, Reason: "it is given twice"})
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
			return none(&plugin.InvalidError{Field: "metadata x-timeout", Reason: "malformed or not above 0"})
		}
		delete(md, "x-timeout") // the server is told by grpc-timeout how long an attempt waits
	}
	q, _, err := c.core.Resolve(spec)
	if err != nil {
		return none(err)
	}
	md.Set("x-request-id", spec.ID)
	md.Set("x-priority-class", spec.Class)
	if spec.Tenant != "" {
		md.Set("x-tenant-id", spec.Tenant)
	}
	return spec, q, &call.Message{URI: method, Host: o.authority, Header: http.Header(md), Format: o.subtype}, nil
}
