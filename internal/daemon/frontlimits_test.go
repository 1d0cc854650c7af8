package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// A request with the id of an open request is rejected with 409. After the open request is answered, the id may be used
// again.
func TestIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		<-release
		return testbed.Echo(c, r)
	})
	sidecar := startSidecar(t, nil, s.Address)
	first := sidecar.request(t, "POST", "/entry", "1")
	answered := make(chan int, 1)
	go func() {
		res, _ := do(t, first)
		answered <- res.StatusCode
	}()
	testbed.Wait(t, "the first request", s.Seen)
	if res, _ := do(t, sidecar.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("status %s, want 409 and Connection: close", res.Status)
	}
	close(release)
	if status := testbed.Wait(t, "the first response", answered); status != http.StatusOK {
		t.Errorf("first request: status %d, want 200", status)
	}
	// The client may read the response shortly before the sidecar closes the request.
	for end := time.Now().Add(testbed.MaxWait); ; time.Sleep(time.Millisecond) {
		if res, _ := do(t, sidecar.request(t, "POST", "/entry", "1")); res.StatusCode == http.StatusOK {
			return
		} else if time.Now().After(end) {
			t.Fatalf("status %s after the end of the first request, want 200", res.Status)
		}
	}
}

// Clients that connect and send nothing do not exhaust the connection limit: the sidecar closes the connection that has
// been idle for the longest time. It never closes a connection with an open request.
func TestIdleClientsAreEvictedAtConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	sidecar := startSidecar(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 32 }, s.Address)
	address := strings.TrimPrefix(sidecar.url, "http://")
	held, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if err := sidecar.request(t, "GET", "/look", "", "X-Request-ID", "held").Write(held); err != nil {
		t.Fatal(err)
	}
	testbed.Wait(t, "the held request", s.Seen)
	closed := make(chan error, 40)
	for range 40 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() {
			_, err := c.Read(make([]byte, 1))
			closed <- err
		}()
	}
	if res, body := do(t, sidecar.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK || body != "done r1" {
		t.Errorf("request among idle connections: status %s, body %q, want 200", res.Status, body)
	}
	testbed.Wait(t, "an idle connection to close", closed)
	close(release)
	if res, err := http.ReadResponse(bufio.NewReader(held), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("held request: response %v, error %v, want 200", res, err)
	}
}

// With upstreams that fail in different ways, each request gets one response. A non-idempotent request is retried only
// if the first upstream reported that it did not process the request.
func TestFailingUpstreams(t *testing.T) {
	var mu sync.Mutex
	executions := make(map[string]int)
	fails := func(c net.Conn, r testbed.Received) bool {
		id := r.Header.Get("X-Request-ID")
		n, _ := strconv.Atoi(id)
		if n%5 == 0 && r.Conn%2 == 0 {
			_, err := fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		mu.Lock()
		executions[id]++
		mu.Unlock()
		switch n % 5 {
		case 1:
			return false
		case 2:
			_, _ = fmt.Fprint(c, "nonsense\r\n\r\n")
			return false
		case 3:
			_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return testbed.Echo(c, r)
	}
	sidecar := startSidecar(t, nil, testbed.NewStub(t, fails).Address, testbed.NewStub(t, fails).Address,
		testbed.NewStub(t, fails).Address)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: testbed.MaxWait}
	var clients sync.WaitGroup
	for worker := range 8 {
		clients.Go(func() {
			for i := range 25 {
				id := strconv.Itoa(worker*25 + i)
				res, err := client.Do(sidecar.request(t, "POST", "/entry", "1", "X-Request-ID", id))
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				switch {
				case err != nil:
					t.Error(err)
				case res.StatusCode == http.StatusOK && string(body) == "done "+id:
				case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusBadGateway:
				default:
					t.Errorf("request %s: status %s, body %q, want 200, 502 or 503", id, res.Status, body)
				}
			}
		})
	}
	clients.Wait()
	client.CloseIdleConnections()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range executions {
		if n > 1 {
			t.Errorf("request %s was executed %d times, want at most 1", id, n)
		}
	}
	if len(executions) == 0 {
		t.Error("no request was executed")
	}
}

// Requests over the limit caps.max_open are rejected with 503 and Retry-After, without an attempt.
func TestMaxOpenRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	sidecar := startSidecar(t, func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["max_open"] = 1
	}, s.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := sidecar.request(t, "GET", "/look", "").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(first) }()
	testbed.Wait(t, "the first request", s.Seen)
	if res, _ := do(t, sidecar.request(t, "GET", "/look", "", "X-Request-ID", "r2")); res.StatusCode !=
		http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("second request: status %s, headers %v, want 503 with Retry-After", res.Status, res.Header)
	}
	if len(s.Seen) > 0 {
		t.Error("the sidecar made an attempt for the second request, want none")
	}
}

// Requests whose announced body has not arrived do not count against the limit on open requests.
func TestUnsentBodiesAreNotCounted(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["max_open"] = 1
	}, s.Address)
	for i := range 3 {
		c, err := net.Dial("tcp", strings.TrimPrefix(sidecar.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(
			c, rawHead+"Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n", "u"+strconv.Itoa(i),
		); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil { // 100 Continue: the sidecar reads the body now
			t.Fatal(err)
		}
	}
	if res, _ := do(t, sidecar.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
		t.Errorf("status %s, want 200", res.Status)
	}
}

// If a client closes its connection, the sidecar cancels the request and closes the connection of the attempt.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	sidecar := startSidecar(t, func(_, settings map[string]any) { // timeouts longer than the test
		look := settings["classes"].([]any)[2].(map[string]any)
		look["aim_ms"], look["hard_limit_ms"] = 10*testbed.MaxWait.Milliseconds(), 20*testbed.MaxWait.Milliseconds()
	}, s.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := sidecar.request(t, "GET", "/look", "", "X-Timeout", "400000m").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(req) }()
	testbed.Wait(t, "the request", s.Seen)
	cancel()
	testbed.Wait(t, "the attempt's connection to close", s.Closed)
}

// After a stop signal the sidecar answers open requests, serves new connections for a while, closes all connections and
// ends. http.Server.Shutdown alone would refuse new connections immediately.
func TestGracefulStop(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	sidecar := startSidecar(t, nil, s.Address)
	address := strings.TrimPrefix(sidecar.url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := sidecar.request(t, "GET", "/look", "", "X-Request-ID", "held").Write(conn); err != nil {
		t.Fatal(err)
	}
	testbed.Wait(t, "the held request", s.Seen)
	sidecar.stop()
	for { // until the health check reports that the stop has begun
		if res, _ := do(t, sidecar.request(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if res, body := do(t, sidecar.request(
		t, "GET", "/look", "", "X-Request-ID", "new",
	)); res.StatusCode != 200 || body != "done new" {
		t.Errorf("new connection during the stop: status %s, body %q, want 200", res.Status, body)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("held request: response %+v, error %v, want 200 and Connection: close", res, err)
	}
	res.Body.Close()
	if err := testbed.Wait(t, "the end", sidecar.ended); err != nil {
		t.Errorf("sidecar ended with error %v", err)
	}
}
