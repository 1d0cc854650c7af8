package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
)

// BenchmarkAttempt sends sequential attempts to a server that responds immediately.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerRequests(c)
		}
	}()
	defer func() {
		listener.Close()
		<-served
	}()
	ticking := clock.New()
	transport := New(Config{
		Clock: ticking, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 8, ReuseDelay: -1,
	})
	defer transport.Close()
	server := transport.Server(listener.Addr().String())
	message := &call.Message{
		Method: http.MethodGet, URI: "/safe/1", Host: "a",
		Header: http.Header{"X-Request-Id": {"one"}, "Accept": {"*/*"}},
	}
	results := make(chan call.Result, 1)
	done := func(r call.Result) { results <- r }
	b.ReportAllocs()
	for b.Loop() {
		server.Send(message, call.Within(ticking.Now()+time.Second), done)
		if r := <-results; r.Status != http.StatusOK {
			b.Fatalf("result is %+v, want status 200", r)
		}
	}
}

// answerRequests responds to requests without a body until the connection ends. It does not allocate per request.
func answerRequests(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}
