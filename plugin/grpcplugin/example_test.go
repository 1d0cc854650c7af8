package grpcplugin_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	testgrpc "google.golang.org/grpc/interop/grpc_testing"

	"caperarch/plugin"
	"caperarch/plugin/grpcplugin"
	"caperarch/policy"
)

// ledger is a server that confirms every entry.
type ledger struct {
	testgrpc.UnimplementedTestServiceServer
}

func (ledger) UnaryCall(context.Context, *testgrpc.SimpleRequest) (*testgrpc.SimpleResponse, error) {
	return &testgrpc.SimpleResponse{Username: "entered"}, nil
}

// Calls a unary method of a generated stub over a connection to all servers.
func ExampleOpen() {
	// Test server. A real program lists its own servers in Known or sets Discovery.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := grpc.NewServer()
	testgrpc.RegisterTestServiceServer(server, ledger{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()

	conn, err := grpcplugin.Open(plugin.Config{
		Known:   []plugin.Node{{ID: "s-1", Address: listener.Addr().String(), Weight: 1}},
		Classes: []string{"harvest-entry"},
		Policy: policy.Config{
			Balancers: 1, MaxAttempts: 3,
			Classes: []policy.Class{{
				LatencyTarget: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 2,
				Effect: policy.NonIdempotent,
			}},
		},
		Methods: map[string]plugin.Method{"/grpc.testing.TestService/UnaryCall": {Class: "harvest-entry"}},
	})
	if err != nil {
		fmt.Println(err) // names the invalid field
		return
	}
	defer conn.Close(context.Background())

	stub := testgrpc.NewTestServiceClient(conn)
	answer, err := stub.UnaryCall(context.Background(), &testgrpc.SimpleRequest{})
	var refused *plugin.RefusedError
	switch {
	case errors.As(err, &refused):
		fmt.Println("safe to repeat after", refused.RetryAfter)
		return
	case err != nil:
		fmt.Println("the call may have run:", err)
		return
	}
	fmt.Println(answer.GetUsername())
	// Output: entered
}
