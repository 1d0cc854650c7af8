package daemon

import (
	"bufio"
	"context"
	"errors"
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
	"caperarch/internal/proxy/call"
)

func TestServed(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/hive\r\nX-Server-Load: TEXT inflight=1\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
		return err == nil
	})
	side := start(t, nil, s.Address)
	if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Fatalf("GET /up: %s", res.Status)
	}
	req := side.request(t, "POST", "/reading/hive%2F7?scale=a%20b&x", "41.5 kg", "Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1")
	res, body := do(t, req)
	if res.StatusCode != http.StatusOK || body != "41.5 kg" || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("%s, body %q, headers %v", res.Status, body, res.Header)
	}
	got := testbed.Wait(t, "the request", s.Seen)
	if got.Method != "POST" || got.URI != "/reading/hive%2F7?scale=a%20b&x" || got.Body != "41.5 kg" ||
		got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the upstream had %s %s %q, headers %v", got.Method, got.URI, got.Body, got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("headers of one connection went on: %v, %v", got.Header, res.Header)
	}
}

// Bad input has a plain answer and no attempt.
func TestBadInput(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, nil, s.Address)
	for name, c := range map[string]struct {
		status int
		req    *http.Request
	}{
		"no id":             {400, side.request(t, "GET", "/look", "", "X-Request-ID", "")},
		"no class":          {400, side.request(t, "GET", "/look", "", "X-Priority-Class", "")},
		"unknown class":     {400, side.request(t, "GET", "/nothing", "")},
		"two classes":       {400, side.request(t, "GET", "/look", "", "X-Priority-Class", "entry")},
		"no tenant":         {400, side.request(t, "GET", "/look", "", "X-Tenant-Id", "")},
		"unknown tenant":    {400, side.request(t, "GET", "/look", "", "X-Tenant-Id", "east")},
		"no time":           {400, side.request(t, "GET", "/look", "", "X-Timeout", "")},
		"time of no unit":   {400, side.request(t, "GET", "/look", "", "X-Timeout", "480")},
		"time that is none": {400, side.request(t, "GET", "/look", "", "X-Timeout", "NaNm")},
		"time below 0":      {400, side.request(t, "GET", "/look", "", "X-Timeout", "-5m")},
		"time is up":        {400, side.request(t, "GET", "/look", "", "X-Timeout", "0m")},
		"bad cost":          {400, side.request(t, "GET", "/look", "", "X-Cost", "cheap")},
		"keyed without key": {400, side.request(t, "POST", "/reading", "1")},
		"far time":          {400, side.request(t, "GET", "/look", "", "X-Timeout", "900000000m")},
		"wrong method":      {405, side.request(t, "POST", "/look", "")},
		"head":              {405, side.request(t, "HEAD", "/look", "")},
		"body on GET":       {400, side.request(t, "GET", "/look", "1")},
		"key of no use":     {400, side.request(t, "POST", "/entry", "1", "Idempotency-Key", "k")},
	} {
		if res, _ := do(t, c.req); res.StatusCode != c.status {
			t.Errorf("%s: %s, want %d", name, res.Status, c.status)
		}
	}
	if res, body := do(t, side.request(t, "POST", "/entry", strings.Repeat("x", call.MaxBufferedBody))); res.StatusCode != 200 || body != "done r1" {
		t.Errorf("longest body: %s %q", res.Status, body)
	}
	if len(s.Seen) != 1 {
		t.Errorf("the upstream had %d requests, want only the usable one", len(s.Seen))
	}
}

// An unsafe request that may have run has failed; nobody sends it again.
func TestFailed(t *testing.T) {
	s := testbed.NewStub(t, func(c net.Conn, _ testbed.Received) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	side := start(t, nil, s.Address)
	if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusBadGateway {
		t.Errorf("%s, want 502", res.Status)
	}
	if len(s.Seen) != 1 {
		t.Errorf("%d attempts, want 1", len(s.Seen))
	}
}

// A refusal says when to come back, in decimal seconds.
func TestRefused(t *testing.T) {
	side := start(t, nil) // no servers: requests wait for one, as long as that is worth it or the queue has room
	const requests = 50
	type got struct {
		res *http.Response
		err error
	}
	answers := make(chan got, requests)
	for i := range requests {
		req := side.request(t, "GET", "/look", "", "X-Timeout", "500m", "X-Request-ID", "r"+strconv.Itoa(i))
		go func() {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			answers <- got{res, err}
		}()
	}
	for range requests {
		a := testbed.Wait(t, "a refusal", answers)
		if a.err != nil {
			t.Fatal(a.err)
		}
		a.res.Body.Close()
		after := a.res.Header.Get("Retry-After")
		pause, err := strconv.ParseFloat(after, 64)
		if err != nil || pause <= 0 || pause > 1.2 || a.res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s, Retry-After %q, want 503 and at most 1.2 s", a.res.Status, after)
		}
	}
}

// raw sends bytes on a new connection and returns the answers on it until it closes.
func (s *running) raw(t *testing.T, bytes string) []int {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	var statuses []int
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("%.60q: the connection stays open", bytes)
			}
			return statuses
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
}

const rawHead = "POST /entry HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: entry\r\nX-Tenant-Id: north\r\nX-Timeout: 9000m\r\n"

// What can't be read or is not to be trusted gets one error and a close, unread, and nothing of it
// reaches an upstream: a request hidden in a body least of all.
func TestMalformedRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, nil, s.Address)
	head, hidden := fmt.Sprintf(rawHead, "r1"), fmt.Sprintf(rawHead, "hidden")+"Content-Length: 1\r\n\r\n1"
	for name, c := range map[string]struct {
		status int
		bytes  string
	}{
		"hidden request":   {400, head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)},
		"hidden, a coding": {400, head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hidden},
		"bad chunk":        {400, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n" + hidden},
		"hidden, 1.0":      {505, strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1" + hidden},
		"no length":        {411, head + "\r\n" + hidden},
		"two lengths":      {400, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n1" + hidden},
		"negative length":  {400, head + "Content-Length: -1\r\n\r\n" + hidden},
		"huge length":      {408, head + "Content-Length: 60000000\r\n\r\n" + hidden},
		"two ids":          {400, head + "X-Request-ID: r2\r\nContent-Length: 1\r\n\r\n1" + hidden},
		"no path":          {400, strings.Replace(head, "/entry", "entry", 1) + "Content-Length: 1\r\n\r\n1" + hidden},
		"half a body":      {408, head + "Content-Length: 100\r\n\r\n1"},
		"noise":            {400, "\x00\x01\x02 nonsense\r\n\r\n" + hidden},
		"endless head":     {431, head + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 40)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bytes := strings.ReplaceAll(c.bytes, "X-Request-ID: r1", "X-Request-ID: "+strings.ReplaceAll(name, " ", "-")) // they run side by side
			if got := side.raw(t, bytes); len(got) != 1 || got[0] != c.status {
				t.Errorf("answers %v, want %d and a close", got, c.status)
			}
		})
	}
	t.Run("half a head", func(t *testing.T) {
		t.Parallel()
		side.raw(t, head)
	})
	t.Run("nothing", func(t *testing.T) {
		t.Parallel()
		side.raw(t, "")
	})
	t.Cleanup(func() {
		if len(s.Seen) > 0 {
			t.Errorf("%d requests reached the upstream", len(s.Seen))
		}
	})
}

// A client that is told off while it still sends its body can finish that and read the answer: it is not reset.
// One that never ends is cut off.
func TestRejectedClientIsNotReset(t *testing.T) {
	side := start(t, nil)
	for name, rest := range map[string]int{"ends": 60000, "never ends": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(side.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			begun := time.Now()
			_ = c.SetDeadline(begun.Add(testbed.MaxWait))
			_, err = fmt.Fprintf(c, "POST /entry HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", rest)
			if err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil) // before any of the body is sent
			if err != nil || res.StatusCode != http.StatusBadRequest {
				t.Fatalf("%v, error %v, want 400", res, err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_, _ = c.Read(make([]byte, 1)) // the end of what the daemon sends: it reads over, or has closed
			for sent := 0; sent < rest && err == nil; {
				var n int
				n, err = c.Write(make([]byte, min(4096, rest-sent)))
				sent += n
			}
			if rest < lingers && err != nil {
				t.Errorf("the rest of the body: %v, the daemon ought to read it over", err)
			}
			if rest > lingers && (err == nil || time.Since(begun) > 3*time.Second) {
				t.Errorf("after %v: error %v, want it cut off within 3 s", time.Since(begun), err)
			}
		})
	}
}

// lingers is more than a client may still send and less than what is endless.
const lingers = 256 << 10

// The id of a request that is open is another's; once that one has its answer it may be used again.
func TestIDOfAnOpenRequest(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		<-release
		return testbed.Echo(c, r)
	})
	side := start(t, nil, s.Address)
	first := side.request(t, "POST", "/entry", "1")
	answered := make(chan int, 1)
	go func() {
		res, _ := do(t, first)
		answered <- res.StatusCode
	}()
	testbed.Wait(t, "the first request", s.Seen)
	if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("%s, want 409 and a close", res.Status)
	}
	close(release)
	if status := testbed.Wait(t, "the first answer", answered); status != http.StatusOK {
		t.Errorf("the first request: %d", status)
	}
	for end := time.Now().Add(testbed.MaxWait); ; time.Sleep(time.Millisecond) { // its end is a moment behind its answer
		if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode == http.StatusOK {
			return
		} else if time.Now().After(end) {
			t.Fatalf("%s after the end of the first", res.Status)
		}
	}
}

// Clients that connect and say nothing don't use up the descriptors: the connection that has been
// without a request for longest makes room, and one with a request never does.
func TestIdleClientsAreEvictedAtTheConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 32 }, s.Address)
	address := strings.TrimPrefix(side.url, "http://")
	held, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if err := side.request(t, "GET", "/look", "", "X-Request-ID", "held").Write(held); err != nil {
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
	if res, body := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK || body != "done r1" {
		t.Errorf("%s %q among silent connections, want 200", res.Status, body)
	}
	testbed.Wait(t, "a silent connection to close", closed)
	close(release)
	if res, err := http.ReadResponse(bufio.NewReader(held), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("the held request: %v, error %v, want 200", res, err)
	}
}

// Among upstreams that fail in every way, each request has one answer, and none of the unsafe
// class reaches an upstream twice unless the first one said that it never ran.
func TestAmongFailingUpstreams(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	fails := func(c net.Conn, r testbed.Received) bool {
		id := r.Header.Get("X-Request-ID")
		n, _ := strconv.Atoi(id)
		if n%5 == 0 && r.Conn%2 == 0 {
			_, err := fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		mu.Lock()
		ran[id]++
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
	side := start(t, nil, testbed.NewStub(t, fails).Address, testbed.NewStub(t, fails).Address, testbed.NewStub(t, fails).Address)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: testbed.MaxWait}
	var clients sync.WaitGroup
	for worker := range 8 {
		clients.Go(func() {
			for i := range 25 {
				id := strconv.Itoa(worker*25 + i)
				res, err := client.Do(side.request(t, "POST", "/entry", "1", "X-Request-ID", id))
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
					t.Errorf("request %s: %s %q", id, res.Status, body)
				}
			}
		})
	}
	clients.Wait()
	client.CloseIdleConnections()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	if len(ran) == 0 {
		t.Error("nothing ran")
	}
}

// Over caps.max_open requests are refused without an attempt.
func TestMaxOpenRequests(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	side := start(t, func(_, settings map[string]any) { settings["caps"].(map[string]any)["max_open"] = 1 }, s.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := side.request(t, "GET", "/look", "").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(first) }()
	testbed.Wait(t, "the first request", s.Seen)
	if res, _ := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", "r2")); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("%s, headers %v, want 503 with Retry-After", res.Status, res.Header)
	}
	if len(s.Seen) > 0 {
		t.Error("the second request had an attempt")
	}
}

// Clients that tell of a body and don't send it use up nothing that requests are counted against.
func TestUnsentBodiesAreNotCounted(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, func(_, settings map[string]any) { settings["caps"].(map[string]any)["max_open"] = 1 }, s.Address)
	for i := range 3 {
		c, err := net.Dial("tcp", strings.TrimPrefix(side.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, rawHead+"Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n", "u"+strconv.Itoa(i)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil { // told to go on: its body is being read
			t.Fatal(err)
		}
	}
	if res, _ := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
		t.Errorf("%s, want 200", res.Status)
	}
}

// A client that closes its connection calls its request off, as far as the upstream.
func TestClientCloses(t *testing.T) {
	s := testbed.NewStub(t, testbed.Silent)
	side := start(t, func(_, settings map[string]any) { // no time-out may end the attempt before the test does
		look := settings["classes"].([]any)[2].(map[string]any)
		look["aim_ms"], look["hard_limit_ms"] = 10*testbed.MaxWait.Milliseconds(), 20*testbed.MaxWait.Milliseconds()
	}, s.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := side.request(t, "GET", "/look", "", "X-Timeout", "400000m").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(req) }()
	testbed.Wait(t, "the request", s.Seen)
	cancel()
	testbed.Wait(t, "the attempt's connection to close", s.Closed)
}

// After SIGTERM what is held is answered, new connections are served for a while, all of them
// close, and the sidecar ends by itself. http.Server.Shutdown alone would refuse the newcomers.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	s := testbed.NewStub(t, func(c net.Conn, r testbed.Received) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return testbed.Echo(c, r)
	})
	side := start(t, nil, s.Address)
	address := strings.TrimPrefix(side.url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := side.request(t, "GET", "/look", "", "X-Request-ID", "held").Write(conn); err != nil {
		t.Fatal(err)
	}
	testbed.Wait(t, "the held request", s.Seen)
	side.stop()
	for { // until the stop has begun
		if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if res, body := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", "new")); res.StatusCode != 200 || body != "done new" {
		t.Errorf("a new connection: %s %q", res.Status, body)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("the held request: %+v, error %v, want 200 and the connection closed", res, err)
	}
	res.Body.Close()
	if err := testbed.Wait(t, "the end", side.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}
