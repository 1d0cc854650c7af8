package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
)

// socketNetwork is a network on loopback sockets. Unlike memoryNetwork, it lets a process notice that its peer has
// disconnected without a read or write.
type socketNetwork struct {
	t         *testing.T
	mu        sync.Mutex
	listeners map[string]net.Listener
}

func (n *socketNetwork) listen(address string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Error(err)
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *socketNetwork) dial(_, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	return net.Dial("tcp", l.Addr().String())
}

func (n *socketNetwork) inMemory() bool { return false }

func (n *socketNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
}

// heldRequest is a request that an upstream keeps pending until the test has it respond or its connection ends.
type heldRequest struct {
	id      string
	respond chan struct{} // closed by the test to make the upstream respond
	result  chan error    // receives nil after the response, or the error that ended the connection before it
}

// socketMesh is a mesh on sockets whose upstreams hold all requests.
type socketMesh struct {
	*mesh
	heldRequests chan *heldRequest
}

// longTimeoutConfig is twoRouteConfig with timeouts that no test reaches.
var longTimeoutConfig = strings.ReplaceAll(twoRouteConfig, `"timeoutS":2`, `"timeoutS":60`)

func newSocketMesh(t *testing.T) *socketMesh {
	t.Helper()
	m := &socketMesh{heldRequests: make(chan *heldRequest, 64)}
	m.mesh = &mesh{
		t: t, config: longTimeoutConfig,
		net: &socketNetwork{t: t, listeners: make(map[string]net.Listener)},
	}
	m.start(frontBodyBytes, m.holdRequest)
	t.Cleanup(m.close)
	return m
}

// holdRequest reads one request and holds it until it is told to respond or the connection ends.
func (m *socketMesh) holdRequest(_ string, c net.Conn) {
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	held := &heldRequest{
		id: r.Header.Get(headers.AttemptID), respond: make(chan struct{}), result: make(chan error, 1),
	}
	connectionEnd := make(chan error, 1)
	go func() {
		_, err := in.ReadByte()
		connectionEnd <- err
	}()
	m.heldRequests <- held
	select {
	case err := <-connectionEnd:
		held.result <- err
	case <-held.respond:
		_, err := io.WriteString(c, successResponse(held.id))
		held.result <- err
		<-connectionEnd // the connection stays open until its gate closes it
	}
}

// dialClient opens a client's connection to its sidecar.
func (m *socketMesh) dialClient() *net.TCPConn {
	m.t.Helper()
	c, err := m.net.dial("client", "client", "caller")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// sendRequests writes requests on a connection, waiting after each of them until an upstream holds it.
func (m *socketMesh) sendRequests(c net.Conn, count int, format string) []*heldRequest {
	m.t.Helper()
	var all []*heldRequest
	for i := range count {
		fmt.Fprintf(c, format, idField(fmt.Sprint("id", i)))
		all = append(all, testbed.Wait(m.t, "a request at an upstream", m.heldRequests))
	}
	return all
}

// readRequest is the format of an idempotent request; its argument is the id field.
const readRequest = "GET /read/ HTTP/1.1\r\nHost: h\r\n%s\r\n"

// postTo returns the format of a request with a body of the given length; its argument is the id field. A body of
// more than call.MaxBufferedBody bytes is streamed.
func postTo(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%%sContent-Length: %d\r\n\r\n%s",
		path, length, strings.Repeat("x", length))
}

// Guards against upstreams that go on working on an idempotent request whose client has disconnected. However the
// client disconnects, the upstream's connection ends, so that it can drop the request.
func TestUpstreamConnectionEndsWhenClientDisconnects(t *testing.T) {
	closeConn := func(c *net.TCPConn) error { return c.Close() }
	reset := func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for name, test := range map[string]struct {
		count      int
		request    string
		disconnect func(*net.TCPConn) error
	}{
		"closes its connection":       {1, readRequest, closeConn},
		"resets its connection":       {1, readRequest, reset},
		"half-closes its connection":  {1, readRequest, (*net.TCPConn).CloseWrite},
		"had sent a body":             {1, postTo("/read/", 2), closeConn},
		"had sent a long body":        {1, postTo("/read/", 2*call.MaxBufferedBody), closeConn},
		"had sent several at once":    {3, readRequest, closeConn},
		"resets several sent at once": {3, readRequest, reset},
	} {
		t.Run(name, func(t *testing.T) {
			m := newSocketMesh(t)
			c := m.dialClient()
			all := m.sendRequests(c, test.count, test.request)
			if err := test.disconnect(c); err != nil {
				t.Fatal(err)
			}
			for _, held := range all {
				if err := testbed.Wait(t, held.id+" to be dropped", held.result); err == nil {
					t.Errorf("%s was answered after its client disconnected, want its connection to end", held.id)
				}
			}
		})
	}
}

// A non-idempotent request that has started must complete after its client has disconnected.
func TestNonIdempotentRequestCompletesAfterClientDisconnects(t *testing.T) {
	for name, length := range map[string]int{"short body": 2, "long body": 2 * call.MaxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			m := newSocketMesh(t)
			c := m.dialClient()
			held := m.sendRequests(c, 1, postTo("/write/", length))[0]
			c.Close()
			testbed.Until(t, "its gate knows that the client has disconnected", func() bool {
				return m.engines[0].Abandoned().Requests+m.engines[1].Abandoned().Requests == 1
			})
			close(held.respond)
			if err := testbed.Wait(t, "the response", held.result); err != nil {
				t.Errorf("the upstream's connection ended before the response: %v, want a response", err)
			}
		})
	}
}
