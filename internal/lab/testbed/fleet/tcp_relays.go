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

// tcpRelays carries the connections between sidecars and what they connect to. One that is cut off says
// nothing: what stands stays open and silent, and what is new never gets an answer.
type tcpRelays struct {
	mu    sync.Mutex
	cut   map[int]bool
	conns map[int]map[*relayedConn]bool
}

// relayedConn is one connection.
type relayedConn struct {
	near, far net.Conn
	silent    bool
}

// partition cuts a sidecar off from upstreams and discovery, or has its machine crash: what it has
// open stays so on the other side.
func (w *tcpRelays) partition(i int) { w.set(i, true, false) }

// restore brings it back. What stood before is reset, as the protocol has it of a machine that is back.
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

// isSilenced says whether a connection may carry nothing any more.
func (w *tcpRelays) isSilenced(c *relayedConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent
}

// relay listens for a sidecar's connections to an address, and returns where. Answers that list
// addresses have them swapped.
func (w *tcpRelays) relay(t testbed.TB, i int, to string, swap map[string]string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("fleet: a relay: %v", err)
	}
	t.Cleanup(func() {
		l.Close()
		w.restore(i)
		w.end(i)
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(i, near, to, swap)
		}
	}()
	return l.Addr().String()
}

// end closes all that a sidecar has open.
func (w *tcpRelays) end(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns[i] {
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	}
}

func (w *tcpRelays) carry(i int, near net.Conn, to string, swap map[string]string) {
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
		return // it is open, and that is all; restore closes it
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
		if swap != nil {
			w.lists(c, swap)
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

// copy carries bytes until an end comes or the way is cut; then nothing more goes over, an end neither.
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

// lists carries discovery's answers, with a sidecar's own addresses in them.
func (w *tcpRelays) lists(c *relayedConn, swap map[string]string) {
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
		text = []byte(replaced(string(text), swap))
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", res.Status, len(text))
		b.Write(text)
		_ = c.near.SetWriteDeadline(time.Now().Add(testbed.MaxWait))
		if _, err := c.near.Write(b.Bytes()); err != nil {
			return
		}
	}
}

func replaced(text string, swap map[string]string) string {
	for from, to := range swap {
		text = strings.ReplaceAll(text, `"`+from+`"`, `"`+to+`"`)
	}
	return text
}
