package http1

import (
	"net"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

// newAwaitingTransport has cancelled attempts last until their server has ended them.
func newAwaitingTransport() *Transport {
	return New(Config{
		Clock: clock.New(), DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxConns: 96,
		AwaitCancelled: true,
	})
}

// heldServer is a server that has a request and does nothing until its test says so.
type heldServer struct {
	host    *host
	arrived chan net.Conn
	release chan struct{}
}

func newHeldServer(t *testing.T, transport *Transport) *heldServer {
	t.Helper()
	s := &heldServer{arrived: make(chan net.Conn, 1), release: make(chan struct{})}
	stub := testbed.NewStub(t, func(c net.Conn, _ testbed.Received) bool {
		s.arrived <- c
		<-s.release
		return false
	})
	s.host = transport.Server(stub.Address).(*host)
	return s
}

// A cancelled attempt tells its server at once, and has its end only with the server's: until then the
// server may be at work on it.
func TestCancelledAttemptLastsUntilItsServerEndsIt(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   policy.Ending
	}{
		"drops it":             {"", policy.Cancelled},
		"answers all the same": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served},
	} {
		t.Run(name, func(t *testing.T) {
			transport := newAwaitingTransport()
			defer transport.Close()
			s := newHeldServer(t, transport)
			done := make(chan call.Result, 2)
			attempt := transport.send(s.host, testMessage("1"), call.Within(transport.clock.Now()+testbed.MaxWait),
				func(r call.Result) { done <- r })
			c := testbed.Wait(t, "the request", s.arrived)
			attempt.Cancel()
			attempt.Cancel() // the second one changes nothing
			if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Fatalf("the server reads %d bytes, %v; want the end of our side", n, err)
			}
			if len(done) > 0 {
				t.Fatal("the attempt has ended before its server ended it")
			}
			_, _ = c.Write([]byte(test.answer))
			close(s.release)
			if got := testbed.Wait(t, "the end of the attempt", done); got.Ending != test.want {
				t.Errorf("ending %v, want %v", got.Ending, test.want)
			}
			if idle := len(transport.idle[s.host]); idle > 0 {
				t.Errorf("%d connections were kept whose one side is ended", idle)
			}
		})
	}
}

// Close waits for no server, whether the attempt was cancelled before or not.
func TestCloseEndsCancelledAttempts(t *testing.T) {
	for _, cancelledBefore := range []bool{true, false} {
		transport := newAwaitingTransport()
		s := newHeldServer(t, transport)
		done := make(chan call.Result, 2)
		attempt := transport.send(s.host, testMessage("1"), call.Within(transport.clock.Now()+testbed.MaxWait),
			func(r call.Result) { done <- r })
		testbed.Wait(t, "the request", s.arrived)
		if cancelledBefore {
			attempt.Cancel()
		}
		transport.Close()
		if got := testbed.Wait(t, "the end of the attempt", done); got.Ending != policy.Cancelled {
			t.Errorf("ending %v, want %v", got.Ending, policy.Cancelled)
		}
		close(s.release)
	}
}
