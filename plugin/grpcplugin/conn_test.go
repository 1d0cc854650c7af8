package grpcplugin

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
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
	"google.golang.org/protobuf/types/known/wrapperspb"

	"caperarch/internal/lab/testbed"
	"caperarch/plugin"
	"caperarch/policy"
)

const service = "/grpc.testing.TestService/"

// config is for some servers: unary calls are unsafe, streams safe, empty calls keyed.
func config(addresses ...string) plugin.Config {
	brief := policy.Class{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Value: 1}
	safe, keyed, unsafe := brief, brief, brief
	safe.Effect, keyed.Effect, unsafe.Effect = policy.Idempotent, policy.Deduplicated, policy.NonIdempotent
	keyed.DedupWindow = time.Second
	c := plugin.Config{
		Classes: []string{"look", "reading", "entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3, MaxRetryAfter: time.Second, Classes: []policy.Class{safe, keyed, unsafe}, Slots: 20,
		},
		Methods: map[string]plugin.Method{
			service + "UnaryCall": {Class: "entry"}, service + "StreamingOutputCall": {Class: "look"}, service + "EmptyCall": {Class: "reading"},
			"/ledger.Ledger/look": {Class: "look"},
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

// ledger is a service as its authors write it.
type ledger struct {
	testgrpc.UnimplementedTestServiceServer
	unary  func(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error)
	stream func(*testgrpc.StreamingOutputCallRequest, grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse]) error
	calls  atomic.Int64
}

func (l *ledger) UnaryCall(ctx context.Context, r *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
	l.calls.Add(1)
	return l.unary(ctx, r)
}

func (l *ledger) StreamingOutputCall(r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse]) error {
	l.calls.Add(1)
	return l.stream(r, s)
}

func serve(t *testing.T, l *ledger) string {
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

// Generated stubs take the connection unchanged: messages, metadata both ways, deadlines, options.
func TestGeneratedStub(t *testing.T) {
	l := &ledger{}
	l.unary = func(ctx context.Context, r *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
		md, _ := metadata.FromIncomingContext(ctx)
		end, limited := ctx.Deadline()
		if len(md.Get("x-request-id")) != 1 || len(md.Get("x-trace")) != 2 || !limited || time.Until(end) > 5*time.Second {
			return nil, status.Errorf(codes.InvalidArgument, "metadata %v, deadline %v", md, end)
		}
		_ = grpc.SetHeader(ctx, metadata.Pairs("x-head", "h", "x-raw-bin", "\x00\xff"))
		_ = grpc.SetTrailer(ctx, metadata.Pairs("x-tail", "t"))
		return &testgrpc.SimpleResponse{Username: "scale", Payload: r.GetPayload()}, nil
	}
	stub := testgrpc.NewTestServiceClient(mustOpen(t, config(serve(t, l))))
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), "x-trace", "1", "x-trace", "2"), 5*time.Second)
	defer cancel()
	var header, trailer metadata.MD
	finished := errors.New("not called")
	res, err := stub.UnaryCall(ctx, &testgrpc.SimpleRequest{Payload: &testgrpc.Payload{Body: []byte("41.5 kg")}},
		grpc.Header(&header), grpc.Trailer(&trailer), grpc.OnFinish(func(err error) { finished = err }), grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	if res.GetUsername() != "scale" || string(res.GetPayload().GetBody()) != "41.5 kg" || finished != nil {
		t.Errorf("answer %v, finished with %v", res, finished)
	}
	if strings.Join(header.Get("x-raw-bin"), "") != "\x00\xff" || strings.Join(trailer.Get("x-tail"), "") != "t" {
		t.Errorf("header %v, trailer %v", header, trailer)
	}
}

// A server's status passes with its details, and an answer of the application is not sent again.
func TestStatusDetails(t *testing.T) {
	l := &ledger{}
	code := codes.FailedPrecondition
	l.unary = func(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
		st, err := status.New(code, "the hive is closed").WithDetails(&errdetails.ErrorInfo{Reason: "WINTER"})
		if err != nil {
			return nil, err
		}
		return nil, st.Err()
	}
	conn := mustOpen(t, config(serve(t, l), serve(t, l)))
	stub := testgrpc.NewTestServiceClient(conn)
	for _, c := range []struct{ sent, want codes.Code }{
		{codes.FailedPrecondition, codes.FailedPrecondition}, {codes.NotFound, codes.NotFound},
		{codes.Internal, codes.Internal}, {codes.Unavailable, codes.Unknown}, // it may have run: not to be taken for a refusal
	} {
		code = c.sent
		before := l.calls.Load()
		_, err := stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{})
		st := status.Convert(err)
		if st.Code() != c.want || !strings.Contains(st.Message(), "the hive is closed") || len(st.Details()) != 1 {
			t.Errorf("%v: %v with details %v, want %v", c.sent, err, st.Details(), c.want)
		}
		if n := l.calls.Load() - before; n != 1 {
			t.Errorf("%v: ran %d times", c.sent, n)
		}
	}
}

// A refusal is UNAVAILABLE with RetryInfo; a method of no class and a message that is too long have clear errors.
func TestErrors(t *testing.T) {
	stub := testgrpc.NewTestServiceClient(mustOpen(t, config("127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1")))
	_, err := stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{})
	st := status.Convert(err)
	var refused *plugin.RefusedError
	if st.Code() != codes.Unavailable || !errors.As(err, &refused) || len(st.Details()) != 1 {
		t.Errorf("no server: %v, details %v", err, st.Details())
	} else if info, ok := st.Details()[0].(*errdetails.RetryInfo); !ok || info.GetRetryDelay().AsDuration() != refused.RetryAfter || refused.RetryAfter <= 0 {
		t.Errorf("retry info %v, want %v", info, refused.RetryAfter)
	}
	var invalid *plugin.InvalidError
	_, err = stub.UnimplementedCall(context.Background(), &testgrpc.Empty{})
	if !errors.As(err, &invalid) || status.Code(err) != codes.InvalidArgument || !strings.Contains(err.Error(), "UnimplementedCall") {
		t.Errorf("a method of no class: %v", err)
	}
	_, err = stub.EmptyCall(context.Background(), &testgrpc.Empty{})
	if !errors.As(err, &invalid) {
		t.Errorf("keyed without a key: %v", err)
	}
	_, err = stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{Payload: &testgrpc.Payload{Body: make([]byte, plugin.MaxBody)}})
	if status.Code(err) != codes.ResourceExhausted || !errors.As(err, &invalid) {
		t.Errorf("a long message: %v", err)
	}
	_, err = stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{}, grpc.UseCompressor("gzip"))
	if status.Code(err) != codes.Unimplemented {
		t.Errorf("an option that is not carried: %v", err)
	}
	if _, err = stub.FullDuplexCall(context.Background()); status.Code(err) != codes.Unimplemented {
		t.Errorf("a stream of the client's: %v", err)
	}
	if _, err := Open(plugin.Config{}); !errors.As(err, &invalid) {
		t.Errorf("no methods: %v", err)
	}
}

func messages(n int) *testgrpc.StreamingOutputCallRequest {
	r := &testgrpc.StreamingOutputCallRequest{}
	for range n {
		r.ResponseParameters = append(r.ResponseParameters, &testgrpc.ResponseParameters{Size: 1000})
	}
	return r
}

func answer(r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse]) error {
	for _, p := range r.GetResponseParameters() {
		if err := s.Send(&testgrpc.StreamingOutputCallResponse{Payload: &testgrpc.Payload{Body: make([]byte, p.GetSize())}}); err != nil {
			return err
		}
	}
	return nil
}

// A server's stream, to its end, and one that breaks after it has begun: nobody sends it again.
func TestServerStream(t *testing.T) {
	l := &ledger{stream: answer}
	conn := mustOpen(t, config(serve(t, l)))
	stub := testgrpc.NewTestServiceClient(conn)
	for _, n := range []int{0, 1, 50} {
		s, err := stub.StreamingOutputCall(context.Background(), messages(n))
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		for {
			if _, err = s.Recv(); err != nil {
				break
			}
			got++
		}
		if got != n || err != io.EOF {
			t.Errorf("%d messages and %v, want %d and EOF", got, err, n)
		}
		if _, err := s.Recv(); err != io.EOF {
			t.Errorf("behind the end: %v", err)
		}
	}
	before := l.calls.Load()
	l.stream = func(r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse]) error {
		_ = answer(r, s)
		return status.Error(codes.Unavailable, "broken off")
	}
	s, err := stub.StreamingOutputCall(context.Background(), messages(1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Errorf("the first: %v", err)
	}
	if _, err := s.Recv(); status.Code(err) != codes.Unknown {
		t.Errorf("the break: %v, want one that no one takes for a refusal", err)
	}
	if n := l.calls.Load() - before; n != 1 {
		t.Errorf("%d calls, want 1", n)
	}
}

// Before it has begun a stream is resent as any other call.
func TestStreamIsResentBeforeItBegins(t *testing.T) {
	l := new(testbed.ArrivalLog)
	a, b := testbed.NewGRPCNode(t, "s-a", l), testbed.NewGRPCNode(t, "s-b", l)
	var first atomic.Bool
	script := func(testbed.Arrival) testbed.Act {
		if first.CompareAndSwap(false, true) {
			return testbed.Fail
		}
		return testbed.Serve
	}
	a.Do(script)
	b.Do(script)
	conn := mustOpen(t, config(a.Address, b.Address))
	s, err := conn.NewStream(context.Background(), &grpc.StreamDesc{ServerStreams: true}, "/ledger.Ledger/look")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SendMsg(wrapperspb.String("stream 2")); err != nil {
		t.Fatal(err)
	}
	var out wrapperspb.StringValue
	for i := range 3 {
		if err := s.RecvMsg(&out); i < 2 && err != nil || i == 2 && err != io.EOF {
			t.Fatalf("message %d: %v", i, err)
		}
	}
	if n := l.Len(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// A caller that never reads its stream holds a slot only until its context ends, or for ten deadlines, or until
// Close.
func TestStreamThatNobodyReads(t *testing.T) {
	endless := func(_ *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse]) error {
		for {
			if err := s.Send(&testgrpc.StreamingOutputCallResponse{Payload: &testgrpc.Payload{Body: make([]byte, 60000)}}); err != nil {
				return err
			}
		}
	}
	open := func(t *testing.T, edit func(*plugin.Config)) (*Conn, testgrpc.TestServiceClient, *ledger) {
		l := &ledger{stream: endless}
		cfg := config(serve(t, l))
		cfg.Policy.Slots = 1
		if edit != nil {
			edit(&cfg)
		}
		conn := mustOpen(t, cfg)
		return conn, testgrpc.NewTestServiceClient(conn), l
	}
	free := func(t *testing.T, stub testgrpc.TestServiceClient, l *ledger) {
		t.Helper()
		l.unary = func(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
			return &testgrpc.SimpleResponse{}, nil
		}
		testbed.Until(t, "the slot to be free", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := stub.UnaryCall(ctx, &testgrpc.SimpleRequest{})
			return err == nil
		})
	}
	t.Run("context", func(t *testing.T) {
		_, stub, l := open(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		s, err := stub.StreamingOutputCall(ctx, messages(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		cancel()
		free(t, stub, l)
		for err == nil { // what had come by then may still be read
			_, err = s.Recv()
		}
		if status.Code(err) != codes.Canceled || !errors.Is(err, context.Canceled) {
			t.Errorf("read after all: %v, want the context's error", err)
		}
	})
	t.Run("abandoned", func(t *testing.T) {
		_, stub, l := open(t, func(c *plugin.Config) {
			for i := range c.Policy.Classes {
				c.Policy.Classes[i].LatencyTarget, c.Policy.Classes[i].Deadline = 200*time.Millisecond, 200*time.Millisecond
			}
		})
		s, err := stub.StreamingOutputCall(context.Background(), messages(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		free(t, stub, l)
	})
	t.Run("close", func(t *testing.T) {
		conn, stub, _ := open(t, nil)
		before := runtime.NumGoroutine()
		s, err := stub.StreamingOutputCall(context.Background(), messages(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if err := conn.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Close: %v, want that it did not wait for ever", err)
		}
		for err == nil {
			_, err = s.Recv()
		}
		if err == io.EOF {
			t.Error("the stream passes for whole")
		}
		testbed.Until(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
	})
}
