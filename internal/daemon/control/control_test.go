package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// Parse accepts calls with the right number of arguments, and rejects other input with an error of one line.
func TestParse(t *testing.T) {
	for line, want := range map[string]Call{
		"health": {Verb: Health}, "counters\r": {Verb: Counters}, "peers": {Verb: Peers},
		" cordon  s-1 ": {Cordon, []string{"s-1"}}, "uncordon\ts-1": {Uncordon, []string{"s-1"}},
		"policy-show": {Verb: PolicyShow}, "policy-propose ab 3": {PolicyPropose, []string{"ab", "3"}},
		"policy-text ab 0 1 =YQ": {PolicyText, []string{"ab", "0", "1", "=YQ"}},
	} {
		got, err := Parse([]byte(line))
		if err != nil || got.Verb != want.Verb || !slices.Equal(got.Arguments, want.Arguments) {
			t.Errorf("call %q: parsed as %+v, error %v", line, got, err)
		}
	}
	for _, line := range []string{
		"", "\r", "HEALTH", "cordon", "cordon a b", "health now", "policy-show 1", "policy-propose ab",
		"policy-text a b c", "GET / HTTP/1.1", "\x16\x03\x01\x02\x00", "cordon a\x00b", "cordon \xff",
		strings.Repeat("x", MaxLineBytes+1), "cordon " + strings.Repeat("x", MaxLineBytes),
	} {
		if c, err := Parse([]byte(line)); err == nil || strings.ContainsAny(err.Error(), "\n\x00") {
			t.Errorf("call %.20q: parsed as %+v, error %v, want an error of one line", line, c, err)
		}
	}
}

// fakeHandler is a Handler that returns fixed responses and records the ids of cordoned upstreams.
type fakeHandler struct{ cordoned chan string }

func (fakeHandler) Health() error              { return errors.Join(errors.New("no"), errors.New("not yet")) }
func (fakeHandler) Counters(w io.Writer) error { _, err := io.WriteString(w, "a 1\n"); return err }
func (h fakeHandler) Cordon(id string) error   { h.cordoned <- id; return nil }
func (fakeHandler) Uncordon(string) error      { return nil }
func (fakeHandler) Peers(w io.Writer) error    { return errors.New("no fleet") }
func (fakeHandler) Policy(c Call, w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %q\n", c.Verb, c.Arguments)
	return err
}
func (h fakeHandler) Work(c Call, w io.Writer) error { return h.Policy(c, w) }

// startServer starts a server for at most maxOpen callers and returns its address. The listener does not use
// TCP_DEFER_ACCEPT, so idle callers reach the server.
func startServer(t *testing.T, maxOpen int) (string, fakeHandler) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := fakeHandler{make(chan string, 100)}
	go New(h, maxOpen).Serve(l)
	return l.Addr().String(), h
}

// exchange sends text on a new connection and returns everything that the server sends until it closes the connection.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	go io.WriteString(c, text)
	got, err := io.ReadAll(bufio.NewReader(c))
	if err != nil {
		t.Errorf("call %.20q: reading the response failed: %v", text, err)
	}
	return string(got)
}

// The server sends the expected response to valid, invalid and too long calls.
func TestResponses(t *testing.T) {
	address, handler := startServer(t, 2)
	for text, want := range map[string]string{
		"health\n": "400 no; not yet\n", "counters\n": "a 1\nEOF\n",
		"cordon s-1\r\n": "200 ok\n", "uncordon s-1\nhealth\n": "200 ok\n",
		"policy-propose ab 3\n":                    "200 ok\npolicy-propose [\"ab\" \"3\"]\nEOF\n",
		"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n": "400 unknown call: one of " + callUsage + " is needed\n",
		strings.Repeat("x", 1<<20) + "\n":          "400 a call has 512 bytes at most\n",
	} {
		if got := exchange(t, address, text); got != want {
			t.Errorf("call %.20q: response %q, want %q", text, got, want)
		}
	}
	if id := testbed.Wait(t, "the cordon call", handler.cordoned); id != "s-1" {
		t.Errorf("handler got a cordon call for upstream %q, want s-1", id)
	}
}

// Callers that send nothing or an incomplete line do not delay other calls: the server evicts the longest idle caller.
func TestIdleCallersAreEvicted(t *testing.T) {
	address, _ := startServer(t, 3)
	for i := range 100 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "heal")
		}
	}
	start := time.Now()
	if got := exchange(t, address, "counters\n"); got != "a 1\nEOF\n" {
		t.Errorf("response to counters is %q, want the counters and EOF", got)
	}
	// Without an eviction the idle callers would keep their slots for readTimeout.
	if elapsed := time.Since(start); elapsed > readTimeout/2 {
		t.Errorf("response to counters took %v, want at most half of readTimeout", elapsed)
	}
}

// A caller is evicted even if its goroutine has not run yet, as happens on a saturated processor. With GOMAXPROCS 1 the
// goroutine runs only after both callers have been admitted. A read deadline that the goroutine set itself would undo
// the eviction.
func TestEvictionBeforeFirstRead(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	server := New(fakeHandler{make(chan string, 1)}, 1)
	idleClient, idleServer := net.Pipe()
	defer idleClient.Close()
	if !server.admit(&caller{Conn: idleServer, since: time.Now().Add(-2 * evictionGrace)}) {
		t.Fatal("the first caller was not admitted")
	}
	nextClient, nextServer := net.Pipe()
	defer nextClient.Close()
	if !server.admit(&caller{Conn: nextServer, since: time.Now()}) {
		t.Fatal("the second caller was not admitted in place of the idle one")
	}
	start := time.Now()
	_ = idleClient.SetReadDeadline(start.Add(testbed.MaxWait))
	if _, err := idleClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the evicted caller's connection ended with %v, want EOF", err)
	}
	// Without the eviction the connection would stay open for readTimeout.
	if elapsed := time.Since(start); elapsed > readTimeout/2 {
		t.Errorf("the evicted caller was closed after %v, want at most half of readTimeout", elapsed)
	}
}

// The listener accepts a caller that sends data, before the callers that connected earlier and sent nothing.
func TestIdleCallersAreNotAccepted(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 300)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 200 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "health\n"); err != nil {
		t.Fatal(err)
	}
	if got := testbed.Wait(t, "the active caller", accepted); got.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("accepted the caller %v, want %v, the only caller that sent data", got.RemoteAddr(), c.LocalAddr())
	}
}
