package grpcplugin

import (
	"context"
	"errors"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	testgrpc "google.golang.org/grpc/interop/grpc_testing"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"caperarch/internal/lab/testbed"
	"caperarch/plugin"
)

// streamRequest requests a stream of n messages of 1,000 bytes.
func streamRequest(n int) *testgrpc.StreamingOutputCallRequest {
	r := &testgrpc.StreamingOutputCallRequest{}
	for range n {
		r.ResponseParameters = append(r.ResponseParameters, &testgrpc.ResponseParameters{Size: 1000})
	}
	return r
}

// sendResponses sends the messages that a stream request asks for.
func sendResponses(
	r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse],
) error {
	for _, p := range r.GetResponseParameters() {
		if err := s.Send(&testgrpc.StreamingOutputCallResponse{
			Payload: &testgrpc.Payload{Body: make([]byte, p.GetSize())},
		}); err != nil {
			return err
		}
	}
	return nil
}

// A server stream delivers all messages and then io.EOF. A stream that breaks after it has begun is not retried.
func TestServerStream(t *testing.T) {
	l := &testServer{stream: sendResponses}
	conn := mustOpen(t, testConfig(startServer(t, l)))
	stub := testgrpc.NewTestServiceClient(conn)
	for _, n := range []int{0, 1, 50} {
		s, err := stub.StreamingOutputCall(context.Background(), streamRequest(n))
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
			t.Errorf("got %d messages and error %v, want %d messages and EOF", got, err, n)
		}
		if _, err := s.Recv(); err != io.EOF {
			t.Errorf("Recv after the end: error %v, want EOF", err)
		}
	}
	before := l.calls.Load()
	l.stream = func(
		r *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse],
	) error {
		_ = sendResponses(r, s)
		return status.Error(codes.Unavailable, "stream broken")
	}
	s, err := stub.StreamingOutputCall(context.Background(), streamRequest(1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Errorf("first Recv: error %v, want none", err)
	}
	if _, err := s.Recv(); status.Code(err) != codes.Unknown {
		t.Errorf("Recv after the break: error %v, want UNKNOWN, as UNAVAILABLE means refused", err)
	}
	if n := l.calls.Load() - before; n != 1 {
		t.Errorf("server received %d calls, want 1", n)
	}
}

// A stream is retried like a unary call until it has begun.
func TestStreamIsRetriedBeforeItBegins(t *testing.T) {
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
	conn := mustOpen(t, testConfig(a.Address, b.Address))
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
			t.Fatalf("RecvMsg %d: error %v, want two messages and then EOF", i, err)
		}
	}
	if n := l.Len(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// A stream that its caller does not read occupies a slot only until its context ends, for ten times the longest
// deadline, or until Close.
func TestUnreadStreamReleasesSlot(t *testing.T) {
	endless := func(
		_ *testgrpc.StreamingOutputCallRequest, s grpc.ServerStreamingServer[testgrpc.StreamingOutputCallResponse],
	) error {
		for {
			if err := s.Send(&testgrpc.StreamingOutputCallResponse{
				Payload: &testgrpc.Payload{Body: make([]byte, 60000)},
			}); err != nil {
				return err
			}
		}
	}
	open := func(t *testing.T, edit func(*plugin.Config)) (*Conn, testgrpc.TestServiceClient, *testServer) {
		l := &testServer{stream: endless}
		cfg := testConfig(startServer(t, l))
		cfg.Policy.Slots = 1
		if edit != nil {
			edit(&cfg)
		}
		conn := mustOpen(t, cfg)
		return conn, testgrpc.NewTestServiceClient(conn), l
	}
	waitForFreeSlot := func(t *testing.T, stub testgrpc.TestServiceClient, l *testServer) {
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
		s, err := stub.StreamingOutputCall(ctx, streamRequest(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		cancel()
		waitForFreeSlot(t, stub, l)
		for err == nil { // messages that were received before the cancellation may still be read
			_, err = s.Recv()
		}
		if status.Code(err) != codes.Canceled || !errors.Is(err, context.Canceled) {
			t.Errorf("Recv after the cancellation: error %v, want the error of the context", err)
		}
	})
	t.Run("abandoned", func(t *testing.T) {
		_, stub, l := open(t, func(c *plugin.Config) {
			for i := range c.Policy.Classes {
				c.Policy.Classes[i].LatencyTarget, c.Policy.Classes[i].Deadline = 200*time.Millisecond, 200*time.Millisecond
			}
		})
		s, err := stub.StreamingOutputCall(context.Background(), streamRequest(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		waitForFreeSlot(t, stub, l)
	})
	t.Run("close", func(t *testing.T) {
		conn, stub, _ := open(t, nil)
		before := runtime.NumGoroutine()
		s, err := stub.StreamingOutputCall(context.Background(), streamRequest(1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Header(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if err := conn.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Close: error %v, want DeadlineExceeded", err)
		}
		for err == nil {
			_, err = s.Recv()
		}
		if err == io.EOF {
			t.Error("Recv after Close: error EOF, want an error that shows that the stream is incomplete")
		}
		testbed.Until(t, "the goroutines of the connection to end", func() bool { return runtime.NumGoroutine() <= before })
	})
}
