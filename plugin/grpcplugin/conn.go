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
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec of calls that name none
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/pool"
	grpctransport "caperarch/internal/proxy/transport/grpc"
	"caperarch/plugin"
	"caperarch/policy"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
)

// Conn is safe for concurrent use.
type Conn struct {
	core    *plugin.Core
	methods map[string]plugin.Method
	abandon time.Duration // a stream that nobody reads is given up after this
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// Option sets what is gRPC's own.
type Option func(*grpctransport.Config)

// WithTransportCredentials has connections made with credentials; without it they are plain TCP.
func WithTransportCredentials(c credentials.TransportCredentials) Option {
	return func(t *grpctransport.Config) { t.Credentials = c }
}

// WithUserAgent is put in front of grpc-go's own user agent.
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

// abandonAfter is how many of the longest deadlines a stream may stand with a message that nobody asks for.
// Without a bound one forgotten stream holds a slot of its compartment for good.
const abandonAfter = 10

// Close takes no further call and waits until those that are held, streams too, have ended. Where ctx ends
// first they are ended at once, and its error is returned. Nothing of the connection is left after it.
func (c *Conn) Close(ctx context.Context) error { return c.core.Close(ctx) }

// options are the call options that this package heeds.
type options struct {
	header, trailer *metadata.MD
	finish          []func(error)
	authority       string
	subtype         string
	marshal         func(any) ([]byte, error)
	unmarshal       func([]byte, any) error
	most            int // bytes of an answer's message
}

func read(opts []grpc.CallOption) (*options, error) {
	o := &options{most: call.MaxBufferedBody}
	o.use("proto")
	for _, opt := range opts {
		switch opt := opt.(type) {
		case grpc.HeaderCallOption:
			o.header = opt.HeaderAddr
		case grpc.TrailerCallOption:
			o.trailer = opt.TrailerAddr
		case grpc.OnFinishCallOption:
			o.finish = append(o.finish, opt.OnFinish)
		case grpc.AuthorityOverrideCallOption:
			o.authority = opt.Authority
		case grpc.ContentSubtypeCallOption:
			if !o.use(strings.ToLower(opt.ContentSubtype)) {
				return nil, status.Errorf(codes.Internal, "grpcplugin: no codec is registered for content-subtype %q", opt.ContentSubtype)
			}
		case grpc.ForceCodecV2CallOption:
			o.useV2(opt.CodecV2)
		case grpc.ForceCodecCallOption:
			codec := opt.Codec
			o.subtype, o.marshal, o.unmarshal = codec.Name(), codec.Marshal, codec.Unmarshal
		case grpc.MaxRecvMsgSizeCallOption:
			o.most = min(o.most, opt.MaxRecvMsgSize)
		case grpc.MaxSendMsgSizeCallOption, grpc.FailFastCallOption, grpc.StaticMethodCallOption, grpc.EmptyCallOption:
			// Requests wait as the module says, and have a bound of their own.
		default:
			return nil, status.Errorf(codes.Unimplemented, "grpcplugin: call option %T is not carried", opt)
		}
	}
	return o, nil
}

func (o *options) use(subtype string) bool {
	codec := encoding.GetCodecV2(subtype)
	if codec == nil {
		return false
	}
	o.useV2(codec)
	return true
}

func (o *options) useV2(codec encoding.CodecV2) {
	o.subtype = codec.Name()
	o.marshal = func(v any) ([]byte, error) {
		data, err := codec.Marshal(v)
		if err != nil {
			return nil, err
		}
		defer data.Free()
		return data.Materialize(), nil
	}
	o.unmarshal = func(b []byte, v any) error {
		return codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(b)}, v)
	}
}

func (o *options) encode(v any) ([]byte, error) {
	b, err := o.marshal(v)
	switch {
	case err != nil:
		return nil, status.Errorf(codes.Internal, "grpcplugin: while marshaling: %v", err)
	case len(b) > plugin.MaxBody:
		err := &plugin.InvalidError{Field: "message", Reason: fmt.Sprintf("%d bytes, %d at most", len(b), plugin.MaxBody)}
		return nil, &callError{err, status.New(codes.ResourceExhausted, err.Error())}
	}
	return b, nil
}

func (o *options) decode(b []byte, v any) error {
	if len(b) > o.most {
		return status.Errorf(codes.ResourceExhausted, "grpcplugin: received a message of %d bytes, %d at most", len(b), o.most)
	}
	if err := o.unmarshal(b, v); err != nil {
		return status.Errorf(codes.Internal, "grpcplugin: failed to unmarshal the received message: %v", err)
	}
	return nil
}

func (o *options) finished(err error) {
	for _, f := range o.finish {
		f(err)
	}
}

// Invoke implements grpc.ClientConnInterface.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	o, err := read(opts)
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
	if a.LastResult != nil { // failed, with a server's word
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

// message makes a call's message and resolves what it says of itself.
func (c *Conn) message(ctx context.Context, method string, o *options) (*plugin.CallSpec, policy.Request, *call.Message, error) {
	none := func(err error) (*plugin.CallSpec, policy.Request, *call.Message, error) {
		return nil, policy.Request{}, nil, asStatus(err)
	}
	if _, listed := c.methods[method]; !listed {
		return none(&plugin.InvalidError{Field: "Config.Methods", Reason: fmt.Sprintf("%q is in none of them: its calls have no class", method)})
	}
	md, _ := metadata.FromOutgoingContext(ctx) // a copy
	if md == nil {
		md = make(metadata.MD, 4)
	}
	one := map[string]string{"idempotency-key": "", "x-tenant-id": "", "x-route-key": "", "x-request-id": "", "x-retried": "", "x-timeout": ""}
	for name := range one {
		v := md.Get(name)
		if len(v) > 1 {
			return none(&plugin.InvalidError{Field: "metadata " + name, Reason: "it is given twice"})
		}
		if len(v) == 1 {
			one[name] = v[0]
		}
	}
	spec := &plugin.CallSpec{
		Method: method, Key: one["idempotency-key"], Tenant: one["x-tenant-id"], RouteKey: one["x-route-key"],
		ID: one["x-request-id"], Repeat: one["x-retried"] == "1",
	}
	if text := one["x-timeout"]; text != "" {
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

// callError is an error of package plugin with its status.
type callError struct {
	error
	st *status.Status
}

// GRPCStatus is what status.FromError finds.
func (e *callError) GRPCStatus() *status.Status { return e.st }

func (e *callError) Unwrap() error { return e.error }

// asStatus puts an error of package plugin into gRPC's words.
func asStatus(err error) error {
	var (
		refused *plugin.RefusedError
		failed  *plugin.FailedError
		invalid *plugin.InvalidError
	)
	switch {
	case errors.As(err, &refused):
		st := status.New(codes.Unavailable, err.Error())
		if detailed, e := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(refused.RetryAfter)}); e == nil {
			st = detailed
		}
		return &callError{err, st}
	case errors.As(err, &invalid):
		return &callError{err, status.New(codes.InvalidArgument, err.Error())}
	case errors.As(err, &failed):
		switch {
		case failed.Cause != nil:
			return &callError{err, status.FromContextError(failed.Cause)}
		case failed.Status != 0:
			return &callError{err, mayHaveRun(decodeStatus(failed.Status, failed.Body))}
		case failed.TimedOut:
			return &callError{err, status.New(codes.DeadlineExceeded, err.Error())}
		}
		return &callError{err, status.New(codes.Unknown, err.Error())}
	}
	return err
}

// mayHaveRun keeps a server's UNAVAILABLE from being taken as leave to repeat.
func mayHaveRun(st *status.Status) *status.Status {
	if st.Code() != codes.Unavailable {
		return st
	}
	p := st.Proto()
	p.Code, p.Message = int32(codes.Unknown), "the call may have run: "+p.Message
	return status.FromProto(p)
}

// decodeStatus is a server's status as the transport has it: its code, and the whole where that can be read.
func decodeStatus(code int, encoded []byte) *status.Status {
	var p spb.Status
	if proto.Unmarshal(encoded, &p) != nil || p.GetCode() != int32(code) {
		return status.New(codes.Code(code), "")
	}
	return status.FromProto(&p)
}
