package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// tcpRelays forwards the connections of sidecars to upstreams and discovery. A partition makes connections silent:
// existing connections stay open without data, and new connections are accepted but never answered.
type tcpRelays struct {
	mu    sync.Mutex
	cut   map[int]bool
	conns map[int]map[*relayedConn]bool
}

// relayedConn is a connection from a sidecar (near) to its destination (far).
type relayedConn struct {
	near, far net.Conn
	silent    bool
}

// partition cuts a sidecar off from upstreams and discovery. It also simulates a crash of the machine: the other side
// of each connection sees it stay open.
func (w *tcpRelays) partition(i int) { w.set(i, true, false) }

// restore ends the partition. Connections that were silent are closed, as after the return of a machine.
func (w *tcpRelays) restore(i int) { w.set(i, false, true) }

func (w *tcpRelays) set(i int, cut, reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[i] = cut
	for c := range w.conns[i] {
		if reset && c.silent {
			c.near.Close()
			if c.far != nil {
				c.far.Close()
			}
			delete(w.conns[i], c)
			continue
		}
		c.silent = c.silent || cut
	}
}

// isSilenced reports whether a connection may no longer transfer data.
func (w *tcpRelays) isSilenced(c *relayedConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent
}

// relay listens for connections of sidecar i to an address and returns the address to connect to. If addresses is not
// nil, it replaces these addresses in the responses.
func (w *tcpRelays) relay(t testbed.TB, i int, to string, addresses map[string]string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("fleet: listen for a TCP relay: %v", err)
	}
	t.Cleanup(func() {
		l.Close()
		w.restore(i)
		w.closeAll(i)
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go w.forward(i, near, to, addresses)
		}
	}()
	return l.Addr().String()
}

// closeAll closes all connections of a sidecar.
func (w *tcpRelays) closeAll(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns[i] {
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	}
}

func (w *tcpRelays) forward(i int, near net.Conn, to string, addresses map[string]string) {
	c := &relayedConn{near: near}
	w.mu.Lock()
	if w.conns == nil {
		w.conns = make(map[int]map[*relayedConn]bool)
	}
	if w.conns[i] == nil {
		w.conns[i] = make(map[*relayedConn]bool)
	}
	w.conns[i][c], c.silent = true, w.cut[i]
	w.mu.Unlock()
	if c.silent {
		return // the connection stays open without data until restore closes it
	}
	far, err := net.Dial("tcp", to)
	if err != nil {
		near.Close()
		return
	}
	w.mu.Lock()
	c.far = far
	w.mu.Unlock()
	back := make(chan struct{})
	go func() {
		defer close(back)
		if addresses != nil {
			w.forwardDiscovery(c, addresses)
		} else {
			w.copy(c, near, far)
		}
	}()
	w.copy(c, far, near)
	if !w.isSilenced(c) {
		far.Close()
	}
	<-back
	if !w.isSilenced(c) {
		near.Close()
		far.Close()
		w.mu.Lock()
		delete(w.conns[i], c)
		w.mu.Unlock()
	}
}

// copy forwards bytes until the source ends or the connection is silenced. After that it forwards neither data nor the
// end of the stream.
func (w *tcpRelays) copy(c *relayedConn, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if w.isSilenced(c) {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwardDiscovery forwards the responses of discovery, with the relay addresses of the sidecar in place of the real
// ones.
func (w *tcpRelays) forwardDiscovery(c *relayedConn, addresses map[string]string) {
	for r := bufio.NewReader(c.far); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil || w.isSilenced(c) {
			c.near.Close()
			return
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || w.isSilenced(c) {
			return
		}
		text = []byte(replaceAddresses(string(text), addresses))
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", res.Status, len(text))
		b.Write(text)
		_ = c.near.SetWriteDeadline(time.Now().Add(testbed.MaxWait))
		if _, err := c.near.Write(b.Bytes()); err != nil {
			return
		}
	}
}

func replaceAddresses(text string, addresses map[string]string) string {
	for from, to := range addresses {
		text = strings.ReplaceAll(text, `"`+from+`"`, `"`+to+`"`)
	}
	return text
}
