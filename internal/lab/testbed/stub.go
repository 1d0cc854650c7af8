package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Received is a request as a stub read it.
type Received struct {
	*http.Request
	URI  string
	Body string
	Conn int // number of its connection, from 0
}

// ID is the request's id.
func (r Received) ID() string { return r.Header.Get("X-Request-ID") }

// Stub is a server over HTTP/1.1 that hands each request to a function, with the connection to answer on.
type Stub struct {
	Address string
	Seen    chan Received // requests with an id
	Closed  chan int      // connections that the other side has closed or that broke

	listener net.Listener
}

// NewStub starts a stub. If answer returns false the connection is closed.
func NewStub(t TB, answer func(c net.Conn, r Received) bool) *Stub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("stub: %v", err)
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

// Echo answers with the request's own id.
func Echo(c net.Conn, r Received) bool { return OK(c, "done "+r.ID()) }

// Silent never answers.
func Silent(net.Conn, Received) bool { return true }

// NewHandler starts a server that hands each request to a function before its body is read, with
// the connection to answer on, and returns its address. If answer returns false the connection is
// closed.
func NewHandler(t TB, answer func(c net.Conn, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("handler: %v", err)
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
