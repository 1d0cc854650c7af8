package grpcplugin

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	testgrpc "google.golang.org/grpc/interop/grpc_testing"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"caperarch/plugin"
	"caperarch/policy"
)

const service = "/grpc.testing.TestService/"

// testConfig returns a configuration for servers at the addresses. UnaryCall is non-idempotent, StreamingOutputCall is
// idempotent and EmptyCall is deduplicated.
func testConfig(addresses ...string) plugin.Config {
	base := policy.Class{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 1}
	idempotent, deduplicated, nonIdempotent := base, base, base
	idempotent.Effect, deduplicated.Effect, nonIdempotent.Effect =
		policy.Idempotent, policy.Deduplicated, policy.NonIdempotent
	deduplicated.DedupWindow = time.Second
	c := plugin.Config{
		Classes: []string{"look", "reading", "entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
			Classes: []policy.Class{idempotent, deduplicated, nonIdempotent}, Slots: 20,
		},
		Methods: map[string]plugin.Method{
			service + "UnaryCall":           {Class: "entry"},
			service + "StreamingOutputCall": {Class: "look"},
			service + "EmptyCall":           {Class: "reading"},
			"/ledger.Ledger/look":           {Class: "look"},
		},
	}
	for i, a := range addresses {
		c.Known = append(c.Known, plugin.Node{ID: string(rune('a' + i)), Address: a, Weight: 1})
	}
	return c
}

func mustOpen(t *testing.T, cfg plugin.Config) *Conn {
	t.Helper()
	c, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.Close(ctx)
	})
	return c
}

// testServer implements the test service with functions that a test supplies.
type testServer struct {
	testgrpc.UnimplementedTestServiceServer
	unary  func(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error)
	stream func(
		*testgrpc.StreamingOutputCallRequest, grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse],
	) error
	calls atomic.Int64
}

func (l *testServer) UnaryCall(ctx context.Context, r *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
	l.calls.Add(1)
	return l.unary(ctx, r)
}

func (l *testServer) StreamingOutputCall(
	r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse],
) error {
	l.calls.Add(1)
	return l.stream(r, s)
}

// startServer serves the test service on the loopback interface and returns its address.
func startServer(t *testing.T, l *testServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	testgrpc.RegisterTestServiceServer(s, l)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	return listener.Addr().String()
}

// A generated stub works with a Conn: messages, metadata in both directions, deadlines and call options.
func TestGeneratedStub(t *testing.T) {
	l := &testServer{}
	l.unary = func(ctx context.Context, r *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
		md, _ := metadata.FromIncomingContext(ctx)
		end, limited := ctx.Deadline()
		if len(md.Get("x-request-id")) != 1 || len(md.Get("x-trace")) != 2 || !limited || time.Until(end) > 5*time.Second {
			return nil, status.Errorf(codes.InvalidArgument,
				"metadata %v, deadline %v, want an x-request-id, two x-trace and a deadline within 5 s", md, end)
		}
		_ = grpc.SetHeader(ctx, metadata.Pairs("x-head", "h", "x-raw-bin", "\x00\xff"))
		_ = grpc.SetTrailer(ctx, metadata.Pairs("x-tail", "t"))
		return &testgrpc.SimpleResponse{Username: "scale", Payload: r.GetPayload()}, nil
	}
	stub := testgrpc.NewTestServiceClient(mustOpen(t, testConfig(startServer(t, l))))
	ctx, cancel := context.WithTimeout(
		metadata.AppendToOutgoingContext(context.Background(), "x-trace", "1", "x-trace", "2"), 5*time.Second)
	defer cancel()
	var header, trailer metadata.MD
	finished := errors.New("not called")
	res, err := stub.UnaryCall(ctx, &testgrpc.SimpleRequest{Payload: &testgrpc.Payload{Body: []byte("41.5 kg")}},
		grpc.Header(&header), grpc.Trailer(&trailer),
		grpc.OnFinish(func(err error) { finished = err }), grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	if res.GetUsername() != "scale" || string(res.GetPayload().GetBody()) != "41.5 kg" || finished != nil {
		t.Errorf("response %v, OnFinish error %v, want the payload of the request and no error", res, finished)
	}
	if strings.Join(header.Get("x-raw-bin"), "") != "\x00\xff" || strings.Join(trailer.Get("x-tail"), "") != "t" {
		t.Errorf("header %v, trailer %v, want x-raw-bin and x-tail unchanged", header, trailer)
	}
}

// The status of a server is returned with its details, and a call that a server answered is not retried.
func TestStatusDetails(t *testing.T) {
	l := &testServer{}
	code := codes.FailedPrecondition
	l.unary = func(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
		st, err := status.New(code, "the hive is closed").WithDetails(&errdetails.ErrorInfo{Reason: "WINTER"})
		if err != nil {
			return nil, err
		}
		return nil, st.Err()
	}
	conn := mustOpen(t, testConfig(startServer(t, l), startServer(t, l)))
	stub := testgrpc.NewTestServiceClient(conn)
	for _, c := range []struct{ sent, want codes.Code }{
		{codes.FailedPrecondition, codes.FailedPrecondition}, {codes.NotFound, codes.NotFound},
		{codes.Internal, codes.Internal},
		{codes.Unavailable, codes.Unknown}, // UNAVAILABLE is reserved for refused calls, and this call may have run
	} {
		code = c.sent
		before := l.calls.Load()
		_, err := stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{})
		st := status.Convert(err)
		if st.Code() != c.want || !strings.Contains(st.Message(), "the hive is closed") || len(st.Details()) != 1 {
			t.Errorf("server status %v: error %v with details %v, want code %v and one detail",
				c.sent, err, st.Details(), c.want)
		}
		if n := l.calls.Load() - before; n != 1 {
			t.Errorf("server status %v: the call ran %d times, want 1", c.sent, n)
		}
	}
}

// A refused call fails with UNAVAILABLE and a RetryInfo detail. Calls and options that are not valid fail with the
// matching status codes and errors.
func TestErrors(t *testing.T) {
	stub := testgrpc.NewTestServiceClient(mustOpen(t, testConfig("127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1")))
	_, err := stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{})
	st := status.Convert(err)
	var refused *plugin.RefusedError
	if st.Code() != codes.Unavailable || !errors.As(err, &refused) || len(st.Details()) != 1 {
		t.Errorf("no reachable server: error %v, details %v, want UNAVAILABLE with one detail", err, st.Details())
	} else if info, ok := st.Details()[0].(*errdetails.RetryInfo); !ok ||
		info.GetRetryDelay().AsDuration() != refused.RetryAfter || refused.RetryAfter <= 0 {
		t.Errorf("retry info %v, want a delay of %v above 0", info, refused.RetryAfter)
	}
	var invalid *plugin.InvalidError
	_, err = stub.UnimplementedCall(context.Background(), &testgrpc.Empty{})
	if !errors.As(err, &invalid) || status.Code(err) != codes.InvalidArgument ||
		!strings.Contains(err.Error(), "UnimplementedCall") {
		t.Errorf("method without a class: error %v, want INVALID_ARGUMENT that names the method", err)
	}
	_, err = stub.EmptyCall(context.Background(), &testgrpc.Empty{})
	if !errors.As(err, &invalid) {
		t.Errorf("deduplicated call without a key: error %v, want an InvalidError", err)
	}
	_, err = stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{
		Payload: &testgrpc.Payload{Body: make([]byte, plugin.MaxBody)},
	})
	if status.Code(err) != codes.ResourceExhausted || !errors.As(err, &invalid) {
		t.Errorf("message over plugin.MaxBody: error %v, want RESOURCE_EXHAUSTED", err)
	}
	_, err = stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{}, grpc.UseCompressor("gzip"))
	if status.Code(err) != codes.Unimplemented {
		t.Errorf("unsupported call option: error %v, want UNIMPLEMENTED", err)
	}
	if _, err = stub.FullDuplexCall(context.Background()); status.Code(err) != codes.Unimplemented {
		t.Errorf("bidirectional stream: error %v, want UNIMPLEMENTED", err)
	}
	if _, err := Open(plugin.Config{}); !errors.As(err, &invalid) {
		t.Errorf("configuration without methods: error %v, want an InvalidError", err)
	}
}
