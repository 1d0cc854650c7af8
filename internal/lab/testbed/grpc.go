package testbed

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// NewGRPCNode starts a node that speaks gRPC. Every method takes a google.protobuf.StringValue and answers with one,
// which holds "done" and the request's ID (metadata x-request-id). A request "stream N" gets N of these answers.
func NewGRPCNode(t TB, id string, l *ArrivalLog, opts ...grpc.ServerOption) *Node {
	t.Helper()
	return newNode(t, id, l, func(n *Node, l net.Listener) func() {
		s := grpc.NewServer(append(opts, grpc.UnknownServiceHandler(n.grpc))...)
		go func() { _ = s.Serve(l) }()
		return s.Stop
	})
}

// grpc handles a call of any method.
func (n *Node) grpc(_ any, s grpc.ServerStream) error {
	var in wrapperspb.StringValue
	if err := s.RecvMsg(&in); err != nil {
		return err
	}
	a := grpcArrival(s, &in)
	act := n.act(a)
	if n.Load != nil {
		s.SetTrailer(metadata.Pairs("endpoint-load-metrics-bin", ORCA(n.Load())))
	}
	p, _ := peer.FromContext(s.Context())
	switch act {
	case Reject:
		s.SetTrailer(metadata.Pairs("x-not-processed", "1"))
		return status.Error(codes.Unavailable, "queue full")
	case Fail:
		return status.Error(codes.Internal, "failed")
	case Busy:
		return status.Error(codes.Unavailable, "busy")
	case Hang:
		<-s.Context().Done()
		return status.FromContextError(context.Cause(s.Context())).Err()
	case Reset:
		return n.breakStream(s, p)
	case Truncate:
		_ = s.SendHeader(metadata.Pairs("x-cut", "1"))
		return n.breakStream(s, p)
	case Garbage:
		n.mu.Lock()
		c := n.conns[p.Addr.String()]
		n.mu.Unlock()
		if c != nil {
			_, _ = io.WriteString(c, "SMTP ready, no frames here at all\r\n\r\n")
		}
		return n.breakStream(s, p)
	case Slow:
		n.sleepServiceTime()
	}
	answers := 1
	if count, ok := strings.CutPrefix(in.GetValue(), "stream "); ok {
		answers, _ = strconv.Atoi(count)
		_ = s.SendHeader(metadata.Pairs("x-stream", count))
	}
	for range answers {
		if err := s.SendMsg(wrapperspb.String("done " + a.ID)); err != nil {
			return err
		}
	}
	return nil
}

// grpcArrival returns the log entry of a call.
func grpcArrival(s grpc.ServerStream, in *wrapperspb.StringValue) Arrival {
	md, _ := metadata.FromIncomingContext(s.Context())
	first := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	method, _ := grpc.MethodFromServerStream(s)
	a := Arrival{
		ID: first("x-request-id"), Key: first("idempotency-key"), Class: first("x-priority-class"),
		Method: method, Body: in.GetValue(),
	}
	if end, limited := s.Context().Deadline(); limited {
		a.Timeout = time.Until(end)
	}
	return a
}

// breakStream resets the connection of a call and waits for the end of the call.
func (n *Node) breakStream(s grpc.ServerStream, p *peer.Peer) error {
	n.breakConn(p.Addr.String())
	<-s.Context().Done()
	return s.Context().Err()
}

// ORCA converts a load report "TEXT name=value, ..." to the value of the gRPC trailer, with all values in
// named_metrics.
func ORCA(report string) string {
	r := &orcapb.OrcaLoadReport{NamedMetrics: make(map[string]float64)}
	for name, value := range reportFields(report) {
		r.NamedMetrics[name] = value
	}
	b, err := proto.Marshal(r)
	if err != nil {
		panic(err) // a map of numbers can always be encoded
	}
	return string(b)
}
