package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
)

// dial opens a raw connection to the sidecar.
func (s *running) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	return c, bufio.NewReader(c)
}

func say(t *testing.T, c io.Writer, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// Requests that come in one go are answered in order, also those whose client ends its side behind the last.
func TestPipelined(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, nil, s.Address)
	c, r := side.dial(t)
	var all strings.Builder
	for i := range 20 {
		size := 3 + i*1000 // some with their head across the end of a buffer
		fmt.Fprintf(&all, rawHead+"Content-Length: %d\r\n\r\n%s", "p"+strconv.Itoa(i), size, strings.Repeat("x", size))
	}
	say(t, c, "%s", all.String())
	for i := range 20 {
		if status, body := hear(t, r); status != 200 || body != "done p"+strconv.Itoa(i) {
			t.Fatalf("answer %d: %d %q", i, status, body)
		}
	}
	say(t, c, rawHead+"Content-Length: 1\r\n\r\n1"+rawHead+"Content-Length: 1\r\n\r\n1", "q0", "q1")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if status, body := hear(t, r); status != 200 || body != "done q0" {
		t.Errorf("%d %q: the first of two before the end", status, body)
	}
}

// A refusal at the head comes before the body does, and the connection goes on behind the body.
func TestRefusedBeforeTheBody(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	side := start(t, func(_, settings map[string]any) { settings["caps"].(map[string]any)["max_open"] = 1 }, s.Address)
	held, heldAnswer := side.dial(t)
	say(t, held, rawHead+"Content-Length: 1\r\n\r\n1", "held")
	testbed.Wait(t, "the held request", s.Seen)
	c, r := side.dial(t)
	say(t, c, rawHead+"Content-Length: %d\r\n\r\n", "r2", call.MaxBufferedBody)
	if status, _ := hear(t, r); status != http.StatusServiceUnavailable {
		t.Fatalf("%d before the body, want 503", status)
	}
	close(release)
	if status, _ := hear(t, heldAnswer); status != 200 {
		t.Fatalf("the held request: %d", status)
	}
	// A request is open until its answer has been written, which its client may read sooner. What is asked next on
	// its connection is read after that.
	say(t, held, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _ := hear(t, heldAnswer); status != 200 {
		t.Fatalf("the check behind the held request: %d", status)
	}
	say(t, c, "%s"+rawHead+"Content-Length: 1\r\n\r\n1", strings.Repeat("x", call.MaxBufferedBody), "r3")
	if status, body := hear(t, r); status != 200 || body != "done r3" {
		t.Errorf("%d %q on the connection that was refused", status, body)
	}
	if len(s.Seen) != 1 {
		t.Errorf("%d requests at the upstream besides the held one, want 1", len(s.Seen))
	}
}

// Bodies that come a byte at a time take no place of requests that come whole; they are answered.
func TestTricklingBodiesOccupyNoSlots(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 32 }, s.Address) // 16 clients
	var trickles []*bufio.Reader
	for i := range 16 {
		c, r := side.dial(t)
		say(t, c, rawHead+"Content-Length: 9\r\n\r\n1", "t"+strconv.Itoa(i))
		trickles = append(trickles, r)
	}
	begun := time.Now()
	if res, _ := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != 200 {
		t.Errorf("%s among trickles", res.Status)
	}
	if took := time.Since(begun); took > 1500*time.Millisecond {
		t.Errorf("a whole request waited %v for a place", took)
	}
	refused := 0
	for i, r := range trickles {
		status, _ := hear(t, r)
		switch status {
		case http.StatusServiceUnavailable:
			refused++
		case http.StatusRequestTimeout:
		default:
			t.Errorf("trickle %d: %d, want 503 or 408", i, status)
		}
	}
	if refused == 0 {
		t.Error("no trickle made room")
	}
}

// A long answer goes out whole, also to a client that takes its time.
func TestLongResponse(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", call.MaxBufferedBody/16)
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err == nil
	})
	side := start(t, nil, s.Address)
	c, _ := side.dial(t)
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	for i := range 30 {
		say(t, c, rawHead+"Content-Length: 1\r\n\r\n1", "l"+strconv.Itoa(i))
	}
	time.Sleep(100 * time.Millisecond) // for the daemon's writes to fill what the client does not take
	r := bufio.NewReaderSize(c, 1<<10)
	for i := range 30 {
		if status, body := hear(t, r); status != 200 || body != text {
			t.Fatalf("answer %d: %d, %d bytes", i, status, len(body))
		}
	}
}

// Two thousand hostile connections cost no more memory than the bounds come to, and a client that asks is served.
func TestTwoThousandHostile(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 512 }, s.Address)
	address := strings.TrimPrefix(side.url, "http://")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const hostile = 2000
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for i := range hostile {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		switch i % 5 { // errors are what it is here for
		case 0: // says nothing
		case 1:
			fmt.Fprintf(c, rawHead+"Content-Length: 65536\r\n\r\nx", "h"+strconv.Itoa(i))
		case 2:
			fmt.Fprint(c, "GET / HTTP/1.1\r\nX-A: "+strings.Repeat("x", 10000))
		case 3:
			fmt.Fprint(c, "\x00\xff noise")
		case 4:
			fmt.Fprintf(c, rawHead+"Content-Length: 65536\r\n\r\n%s", "h"+strconv.Itoa(i), strings.Repeat("x", 60000))
		}
	}
	if res, _ := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != 200 {
		t.Errorf("%s among hostile connections", res.Status)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// 256 connections, each with a body, a head and its goroutine; and what the test's own two thousand take.
	const most = 256*(call.MaxBufferedBody+16<<10+16<<10) + hostile*2<<10
	grown := int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)
	if grown > most {
		t.Errorf("%d KiB more memory, at most %d", grown>>10, most>>10)
	}
	t.Logf("%d KiB more memory of at most %d", grown>>10, most>>10)
}

// A connection at rest costs under 6 KiB, the client's own end in this process included.
func TestIdleConnectionIsCheap(t *testing.T) {
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 24000 })
	const resting = 1000
	memory := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	before := memory()
	conns := make([]net.Conn, 0, resting)
	for range resting {
		c, err := net.Dial("tcp", strings.TrimPrefix(side.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		say(t, c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		if _, err := c.Read(make([]byte, 512)); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	each := (memory() - before) / resting
	runtime.KeepAlive(conns)
	if each > 6<<10 {
		t.Errorf("%d bytes a connection at rest, both sides", each)
	}
	t.Logf("%d bytes a connection at rest, both sides", each)
}
