package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Received is a request that a stub has read.
type Received struct {
	*http.Request
	URI  string
	Body string
	Conn int // number of its connection, from 0
}

// ID returns the request's ID.
func (r Received) ID() string { return r.Header.Get("X-Request-ID") }

// Stub is an HTTP/1.1 server that passes each request to a function, together with the connection to answer on.
type Stub struct {
	Address string
	Seen    chan Received // requests with an ID
	Closed  chan int      // numbers of the connections that the client has closed or that broke

	listener net.Listener
}

// NewStub starts a stub. It closes a connection when answer returns false.
func NewStub(t TB, answer func(c net.Conn, r Received) bool) *Stub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for the stub: %v", err)
	}
	s := &Stub{Address: l.Addr().String(), Seen: make(chan Received, 100000),
		Closed: make(chan int, 100000), listener: l}
	t.Cleanup(func() { l.Close() })
	go s.accept(l, answer)
	return s
}

func (s *Stub) accept(l net.Listener, answer func(net.Conn, Received) bool) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c, n, answer)
	}
}

func (s *Stub) serve(c net.Conn, n int, answer func(net.Conn, Received) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			s.Closed <- n
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			s.Closed <- n
			return
		}
		got := Received{req, req.RequestURI, string(body), n}
		if got.ID() != "" {
			s.Seen <- got
		}
		if !answer(c, got) {
			return
		}
	}
}

// OK answers 200 with a body.
func OK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Echo answers with the request's ID.
func Echo(c net.Conn, r Received) bool { return OK(c, "done "+r.ID()) }

// Silent never answers.
func Silent(net.Conn, Received) bool { return true }

// NewHandler starts a server and returns its address. The server passes each request to a function before it reads the
// body, together with the connection to answer on. It closes the connection when answer returns false.
func NewHandler(t TB, answer func(c net.Conn, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for the handler: %v", err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil || !answer(c, req) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
