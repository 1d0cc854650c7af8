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

// newAwaitingTransport returns a transport with AwaitCancelled, whose cancelled attempts end when their server ends
// them.
func newAwaitingTransport() *Transport {
	return New(Config{
		Clock: clock.New(), DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxConns: 96,
		AwaitCancelled: true,
	})
}

// heldServer is a server that receives a request and waits until the test closes release.
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

// With AwaitCancelled, Cancel notifies the server immediately, and the attempt ends when the server closes the
// connection or responds. Until then the server may still be processing the request.
func TestCancelledAttemptWaitsForServer(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   policy.Ending
	}{
		"closes the connection": {"", policy.Cancelled},
		"responds anyway":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", policy.Served},
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
			attempt.Cancel() // a second Cancel has no effect
			if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Fatalf("server read %d bytes with error %v, want the end of the client's side", n, err)
			}
			if len(done) > 0 {
				t.Fatal("cancelled attempt ended before the server closed the connection or responded")
			}
			_, _ = c.Write([]byte(test.answer))
			close(s.release)
			if got := testbed.Wait(t, "the end of the attempt", done); got.Ending != test.want {
				t.Errorf("cancelled attempt ended as %v, want %v", got.Ending, test.want)
			}
			if idle := len(transport.idle[s.host]); idle > 0 {
				t.Errorf("%d half-closed connections were kept, want 0", idle)
			}
		})
	}
}

// Close ends attempts without waiting for their servers, even with AwaitCancelled and whether or not an attempt was
// cancelled before.
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
			t.Errorf("attempt ended as %v after Close, want %v", got.Ending, policy.Cancelled)
		}
		close(s.release)
	}
}
