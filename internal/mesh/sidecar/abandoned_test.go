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

// socketNetwork is the loopback interface: only on sockets a process is told that its peer has left.
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

// heldRequest is a request that an upstream works on until it is told to answer, or its connection ends.
type heldRequest struct {
	id     string
	answer chan struct{} // closed by the test: the upstream answers
	ended  chan error    // receives how its connection ended: nil if it answered before
}

// socketMesh is a mesh on sockets whose upstreams hold all requests.
type socketMesh struct {
	*mesh
	arrived chan *heldRequest
}

// patientConfig is onceConfig with time-outs that no test waits for.
var patientConfig = strings.ReplaceAll(onceConfig, `"timeoutS":2`, `"timeoutS":60`)

func newSocketMesh(t *testing.T) *socketMesh {
	t.Helper()
	m := &socketMesh{arrived: make(chan *heldRequest, 64)}
	m.mesh = &mesh{
		t: t, config: patientConfig,
		net: &socketNetwork{t: t, listeners: make(map[string]net.Listener)},
	}
	m.start(frontBodyBytes, m.hold)
	t.Cleanup(m.close)
	return m
}

// hold reads one request and holds it, and drops it once its connection ends.
func (m *socketMesh) hold(_ string, c net.Conn) {
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	held := &heldRequest{
		id: r.Header.Get(headers.AttemptID), answer: make(chan struct{}), ended: make(chan error, 1),
	}
	connectionEnd := make(chan error, 1)
	go func() {
		_, err := in.ReadByte()
		connectionEnd <- err
	}()
	m.arrived <- held
	select {
	case err := <-connectionEnd:
		held.ended <- err
	case <-held.answer:
		_, err := io.WriteString(c, successOf(held.id))
		held.ended <- err
		<-connectionEnd // it is kept until its gate closes it
	}
}

// dialCaller opens a client's connection.
func (m *socketMesh) dialCaller() *net.TCPConn {
	m.t.Helper()
	c, err := m.net.dial("client", "client", "caller")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// sendRequests writes requests on a connection, and waits until upstreams hold them all.
func (m *socketMesh) sendRequests(c net.Conn, count int, format string) []*heldRequest {
	m.t.Helper()
	var all []*heldRequest
	for i := range count {
		fmt.Fprintf(c, format, idField(fmt.Sprint("id", i)))
		all = append(all, testbed.Wait(m.t, "a request at an upstream", m.arrived))
	}
	return all
}

// readRequest is an idempotent request, where its id field is to be set.
const readRequest = "GET /read/ HTTP/1.1\r\nHost: h\r\n%s\r\n"

// postTo is a request with a body of a length, where its id field is to be set. Over call.MaxBufferedBody
// bytes it is streamed.
func postTo(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%%sContent-Length: %d\r\n\r\n%s",
		path, length, strings.Repeat("x", length))
}

// Upstreams are told when the client of an idempotent request leaves, however it does: their connection
// ends, so that they can drop the request. Nobody is left to read its answer.
func TestUpstreamIsToldThatClientLeft(t *testing.T) {
	closeConn := func(c *net.TCPConn) error { return c.Close() }
	reset := func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for name, test := range map[string]struct {
		count   int
		request string
		leave   func(*net.TCPConn) error
	}{
		"closes its connection":       {1, readRequest, closeConn},
		"resets its connection":       {1, readRequest, reset},
		"ends its side":               {1, readRequest, (*net.TCPConn).CloseWrite},
		"had sent a body":             {1, postTo("/read/", 2), closeConn},
		"had sent a long body":        {1, postTo("/read/", 2*call.MaxBufferedBody), closeConn},
		"had sent several at once":    {3, readRequest, closeConn},
		"resets several sent at once": {3, readRequest, reset},
	} {
		t.Run(name, func(t *testing.T) {
			m := newSocketMesh(t)
			c := m.dialCaller()
			all := m.sendRequests(c, test.count, test.request)
			if err := test.leave(c); err != nil {
				t.Fatal(err)
			}
			for _, held := range all {
				if err := testbed.Wait(t, held.id+" to be dropped", held.ended); err == nil {
					t.Errorf("%s was answered", held.id)
				}
			}
		})
	}
}

// A request that must not run twice goes on when its client leaves: what it has begun is finished.
func TestNonIdempotentRunOutlivesItsClient(t *testing.T) {
	for name, length := range map[string]int{"short body": 2, "long body": 2 * call.MaxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			m := newSocketMesh(t)
			c := m.dialCaller()
			held := m.sendRequests(c, 1, postTo("/write/", length))[0]
			c.Close()
			testbed.Until(t, "its gate knows that the caller has left", func() bool {
				return m.engines[0].Abandoned().Requests+m.engines[1].Abandoned().Requests == 1
			})
			close(held.answer)
			if err := testbed.Wait(t, "the answer", held.ended); err != nil {
				t.Errorf("the upstream's connection ended while it worked: %v", err)
			}
		})
	}
}
