package http1

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// instantEngine replies to each request before Submit returns.
type instantEngine struct{ response call.Answer }

func (e *instantEngine) Submit(
	_ policy.Request, _ *call.Message, _ time.Duration, reply chan<- call.Answer,
) policy.RequestID {
	reply <- e.response
	return 1
}
func (e *instantEngine) ClientGone(policy.RequestID) {}
func (e *instantEngine) Done() <-chan struct{}       { return nil }

// benchmarkRequests repeatedly sends the same batch of requests on one kept connection and reads the responses.
func benchmarkRequests(b *testing.B, batch string, perBatch int) {
	b.Helper()
	answer := call.Answer{Kind: call.Served, Status: http.StatusOK, Body: []byte("done")}
	target := &Target{Engine: &instantEngine{answer}, MaxBodyBytes: 1 << 20}
	front := New(Config{
		Route: RouteTo(target), ConnLimits: NewConnLimits(64, 64),
		Linger: time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Dialect: &Dialect{
			ParseRequest: func(*h1.Head) (policy.Request, time.Duration, *Rejection) {
				return policy.Request{}, time.Minute, nil
			},
			RewriteHeaders: func(*policy.Request, http.Header) {},
			CanPipeline:    func(*policy.Request) bool { return true },
			ProxyHeaders:   func(*h1.Head, *call.Answer) http.Header { return nil },
		},
	}, clock.New())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	defer func() {
		_ = front.Drain()
		<-served
	}()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	// All responses have the same length, because the Date value has a fixed width.
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nDate: Wed, 02 Dec 2026 08:00:00 GMT\r\n\r\ndone"
	request, responses := []byte(batch), make([]byte, perBatch*len(response))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(client, responses); err != nil {
			b.Fatal(err)
		}
	}
	if end := string(responses[len(responses)-4:]); end != "done" {
		b.Fatalf("the last response ends with %q, want the body \"done\"", end)
	}
}

func BenchmarkRequestOnKeptConnection(b *testing.B) { benchmarkRequests(b, get("/safe/1"), 1) }

func BenchmarkPostWithBody(b *testing.B) {
	benchmarkRequests(b, "POST /run/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", 1)
}

func BenchmarkPipelinedRequests(b *testing.B) {
	benchmarkRequests(b, get("/safe/1", "/safe/2", "/safe/3", "/safe/4"), 4)
}
