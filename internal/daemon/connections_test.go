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
func (s *testSidecar) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	return c, bufio.NewReader(c)
}

// send writes formatted text to a connection.
func send(t *testing.T, c io.Writer, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response and returns its status and body.
func receive(t *testing.T, r *bufio.Reader) (int, string) {
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

// Pipelined requests are answered in order, also if the client closes its sending direction after the last request.
func TestPipelinedRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, nil, s.Address)
	c, r := sidecar.dial(t)
	var all strings.Builder
	for i := range 20 {
		size := 3 + i*1000 // some request heads extend across the end of a read buffer
		fmt.Fprintf(&all, rawHead+"Content-Length: %d\r\n\r\n%s", "p"+strconv.Itoa(i), size, strings.Repeat("x", size))
	}
	send(t, c, "%s", all.String())
	for i := range 20 {
		if status, body := receive(t, r); status != 200 || body != "done p"+strconv.Itoa(i) {
			t.Fatalf("response %d: status %d, body %q", i, status, body)
		}
	}
	send(t, c, rawHead+"Content-Length: 1\r\n\r\n1"+rawHead+"Content-Length: 1\r\n\r\n1", "q0", "q1")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if status, body := receive(t, r); status != 200 || body != "done q0" {
		t.Errorf("status %d, body %q for the first of two requests before the client's end of stream", status, body)
	}
}

// If a request is rejected by its head, the response is sent before the body is received, and the connection stays
// usable after the body.
func TestRejectedBeforeBody(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	sidecar := startSidecar(t, func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["max_open"] = 1
	}, s.Address)
	held, heldReader := sidecar.dial(t)
	send(t, held, rawHead+"Content-Length: 1\r\n\r\n1", "held")
	testbed.Wait(t, "the held request", s.Seen)
	c, r := sidecar.dial(t)
	send(t, c, rawHead+"Content-Length: %d\r\n\r\n", "r2", call.MaxBufferedBody)
	if status, _ := receive(t, r); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d before the body was sent, want 503", status)
	}
	close(release)
	if status, _ := receive(t, heldReader); status != 200 {
		t.Fatalf("held request: status %d, want 200", status)
	}
	// A request counts as open until the sidecar has finished writing its response, and the client may read the
	// response before that. The sidecar reads the next request on the connection after that, so the response to the
	// next request proves that the held request is no longer open.
	send(t, held, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _ := receive(t, heldReader); status != 200 {
		t.Fatalf("health check after the held request: status %d, want 200", status)
	}
	send(t, c, "%s"+rawHead+"Content-Length: 1\r\n\r\n1", strings.Repeat("x", call.MaxBufferedBody), "r3")
	if status, body := receive(t, r); status != 200 || body != "done r3" {
		t.Errorf("status %d, body %q on the connection of the rejected request, want 200", status, body)
	}
	if len(s.Seen) != 1 {
		t.Errorf("upstream received %d requests besides the held request, want 1", len(s.Seen))
	}
}

// Requests whose bodies arrive slowly do not block complete requests: at the connection limit a slow request makes room
// for a complete one. Every slow request gets a 503 or 408 response.
func TestSlowBodiesOccupyNoSlots(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, func(file, _ map[string]any) { // 32 sockets allow 16 client connections
		file["limits"].(map[string]any)["sockets"] = 32
	}, s.Address)
	var slow []*bufio.Reader
	for i := range 16 {
		c, r := sidecar.dial(t)
		send(t, c, rawHead+"Content-Length: 9\r\n\r\n1", "t"+strconv.Itoa(i))
		slow = append(slow, r)
	}
	start := time.Now()
	if res, _ := do(t, sidecar.request(t, "GET", "/look", "")); res.StatusCode != 200 {
		t.Errorf("complete request among slow requests: status %s, want 200", res.Status)
	}
	if elapsed := time.Since(start); elapsed > 1500*time.Millisecond {
		t.Errorf("complete request waited %v for a connection slot, want at most 1.5 s", elapsed)
	}
	rejected := 0
	for i, r := range slow {
		status, _ := receive(t, r)
		switch status {
		case http.StatusServiceUnavailable:
			rejected++
		case http.StatusRequestTimeout:
		default:
			t.Errorf("slow request %d: status %d, want 503 or 408", i, status)
		}
	}
	if rejected == 0 {
		t.Error("no slow request was rejected to make room for the complete request")
	}
}

// A long response is sent completely, also to a client that reads slowly.
func TestLongResponse(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", call.MaxBufferedBody/16)
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err == nil
	})
	sidecar := startSidecar(t, nil, s.Address)
	c, _ := sidecar.dial(t)
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	for i := range 30 {
		send(t, c, rawHead+"Content-Length: 1\r\n\r\n1", "l"+strconv.Itoa(i))
	}
	time.Sleep(100 * time.Millisecond) // lets the daemon's writes fill the socket buffers
	r := bufio.NewReaderSize(c, 1<<10)
	for i := range 30 {
		if status, body := receive(t, r); status != 200 || body != text {
			t.Fatalf("response %d: status %d, %d bytes", i, status, len(body))
		}
	}
}

// 2000 hostile connections use no more memory than the configured limits allow, and a regular client is served.
func TestHostileConnections(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, func(file, _ map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 512
	}, s.Address)
	address := strings.TrimPrefix(sidecar.url, "http://")
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
		switch i % 5 { // write errors are expected and ignored
		case 0: // sends nothing
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
	if res, _ := do(t, sidecar.request(t, "GET", "/look", "")); res.StatusCode != 200 {
		t.Errorf("regular request among hostile connections: status %s, want 200", res.Status)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The limit is the sum of 256 connections, each with a body, a head and a goroutine, and of the 2000 client ends of
	// the test in this process.
	const limit = 256*(call.MaxBufferedBody+16<<10+16<<10) + hostile*2<<10
	growth := int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)
	if growth > limit {
		t.Errorf("memory grew by %d KiB, want at most %d KiB", growth>>10, limit>>10)
	}
	t.Logf("memory grew by %d KiB, limit %d KiB", growth>>10, limit>>10)
}

// An idle connection uses at most 6 KiB of memory, including the client end, which is in this process too.
func TestIdleConnectionMemory(t *testing.T) {
	sidecar := startSidecar(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 24000 })
	const idle = 1000
	memory := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	before := memory()
	conns := make([]net.Conn, 0, idle)
	for range idle {
		c, err := net.Dial("tcp", strings.TrimPrefix(sidecar.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		send(t, c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		if _, err := c.Read(make([]byte, 512)); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	perConn := (memory() - before) / idle
	runtime.KeepAlive(conns)
	if perConn > 6<<10 {
		t.Errorf("both ends of an idle connection use %d bytes, want at most 6 KiB", perConn)
	}
	t.Logf("both ends of an idle connection use %d bytes", perConn)
}
