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

func TestParse(t *testing.T) {
	for line, want := range map[string]Call{
		"health": {Verb: Health}, "counters\r": {Verb: Counters}, "peers": {Verb: Peers},
		" cordon  s-1 ": {Cordon, []string{"s-1"}}, "uncordon\ts-1": {Uncordon, []string{"s-1"}},
		"policy-show": {Verb: PolicyShow}, "policy-propose ab 3": {PolicyPropose, []string{"ab", "3"}},
		"policy-text ab 0 1 =YQ": {PolicyText, []string{"ab", "0", "1", "=YQ"}},
	} {
		got, err := Parse([]byte(line))
		if err != nil || got.Verb != want.Verb || !slices.Equal(got.Arguments, want.Arguments) {
			t.Errorf("%q: %+v, %v", line, got, err)
		}
	}
	for _, line := range []string{
		"", "\r", "HEALTH", "cordon", "cordon a b", "health now", "policy-show 1", "policy-propose ab", "policy-text a b c",
		"GET / HTTP/1.1", "\x16\x03\x01\x02\x00", "cordon a\x00b", "cordon \xff",
		strings.Repeat("x", MaxLineBytes+1), "cordon " + strings.Repeat("x", MaxLineBytes),
	} {
		if c, err := Parse([]byte(line)); err == nil || strings.ContainsAny(err.Error(), "\n\x00") {
			t.Errorf("%.20q: %+v, %v; want an error of one line", line, c, err)
		}
	}
}

// desk answers calls for tests.
type desk struct{ cordoned chan string }

func (desk) Health() error              { return errors.Join(errors.New("no"), errors.New("not yet")) }
func (desk) Counters(w io.Writer) error { _, err := io.WriteString(w, "a 1\n"); return err }
func (d desk) Cordon(id string) error   { d.cordoned <- id; return nil }
func (desk) Uncordon(string) error      { return nil }
func (desk) Peers(w io.Writer) error    { return errors.New("no fleet") }
func (desk) Policy(c Call, w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %q\n", c.Verb, c.Arguments)
	return err
}
func (d desk) Work(c Call, w io.Writer) error { return d.Policy(c, w) }

func start(t *testing.T, maxOpen int) (string, desk) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") // the plain way: Listen's makes silent callers cost nothing
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := desk{make(chan string, 100)}
	go New(d, maxOpen).Serve(l)
	return l.Addr().String(), d
}

// say sends text and returns all that is answered.
func say(t *testing.T, address, text string) string {
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
		t.Errorf("%.20q: %v", text, err)
	}
	return string(got)
}

func TestAnswers(t *testing.T) {
	address, d := start(t, 2)
	for text, want := range map[string]string{
		"health\n": "400 no; not yet\n", "counters\n": "a 1\nEOF\n",
		"cordon s-1\r\n": "200 ok\n", "uncordon s-1\nhealth\n": "200 ok\n",
		"policy-propose ab 3\n":                    "200 ok\npolicy-propose [\"ab\" \"3\"]\nEOF\n",
		"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n": "400 unknown call: one of " + callUsage + " is needed\n",
		strings.Repeat("x", 1<<20) + "\n":          "400 a call has 512 bytes at most\n",
	} {
		if got := say(t, address, text); got != want {
			t.Errorf("%.20q: %q, want %q", text, got, want)
		}
	}
	if id := testbed.Wait(t, "the call", d.cordoned); id != "s-1" {
		t.Errorf("cordoned %q", id)
	}
}

// Callers that say nothing, or half a line, hold up nobody: those that have for longest go.
func TestIdleCallersAreEvicted(t *testing.T) {
	address, _ := start(t, 3)
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
	begun := time.Now()
	if got := say(t, address, "counters\n"); got != "a 1\nEOF\n" {
		t.Errorf("%q", got)
	}
	if took := time.Since(begun); took > readTimeout/2 { // only their own time-out would end them else
		t.Errorf("answered after %v", took)
	}
}

// An eviction holds though it comes before the caller's own goroutine has run, as it does when the processor is
// saturated: on one processor the goroutine runs only once both callers have been admitted.
func TestEvictionBeforeTheFirstReadHolds(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	server := New(desk{make(chan string, 1)}, 1)
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
	begun := time.Now()
	_ = idleClient.SetReadDeadline(begun.Add(testbed.MaxWait))
	if _, err := idleClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the evicted caller's connection ended by %v, want EOF", err)
	}
	if took := time.Since(begun); took > readTimeout/2 { // only its own time-out would end it else
		t.Errorf("the evicted caller was closed after %v", took)
	}
}

// Who says nothing is not even handed over, who speaks is at once.
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
	if got := testbed.Wait(t, "the one that spoke", accepted); got.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("accepted %v, spoke %v", got.RemoteAddr(), c.LocalAddr())
	}
}
