package daemon

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// pattern returns byte i of a test body. The pattern makes it detectable that bytes are lost, duplicated or reordered.
func pattern(i int) byte { return byte(i*7 + i>>8) }

// patternReader reads a test body of size bytes.
type patternReader struct{ at, size int }

// Read implements io.Reader.
func (p *patternReader) Read(b []byte) (int, error) {
	if p.at == p.size {
		return 0, io.EOF
	}
	n := min(len(b), p.size-p.at)
	for i := range n {
		b[i] = pattern(p.at + i)
	}
	p.at += n
	return n, nil
}

// checkPattern reads a body to its end and returns its size, and an error if the body does not match the pattern.
func checkPattern(r io.Reader) (int, error) {
	b, at := make([]byte, 32<<10), 0
	for {
		n, err := r.Read(b)
		for i := range n {
			if b[i] != pattern(at+i) {
				return at + i, fmt.Errorf("byte %d does not match the pattern", at+i)
			}
		}
		at += n
		if errors.Is(err, io.EOF) {
			return at, nil
		}
		if err != nil {
			return at, err
		}
	}
}

const largeBody = 5<<20 + 123 // bytes; larger than the buffers of the sidecar

// Request and response bodies of any size pass through the sidecar unchanged, in every framing.
func TestLargeBodies(t *testing.T) {
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		n, err := checkPattern(req.Body)
		if err != nil {
			return false
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Had: %d\r\n", n)
		body := &patternReader{size: largeBody}
		switch req.URL.Query().Get("answer") {
		case "length":
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, largeBody)
			_, err = io.Copy(c, body)
		case "chunks":
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			w := httputil.NewChunkedWriter(c)
			if _, err = io.Copy(w, body); err == nil {
				_ = w.Close()
				_, err = io.WriteString(c, "X-Trailer: 1\r\n\r\n")
			}
		case "end":
			fmt.Fprintf(c, "%sConnection: close\r\n\r\n", head)
			if _, err := io.Copy(c, body); err != nil {
				t.Errorf("writing a response that ends with its connection: %v", err)
			}
			return false
		default:
			_, err = fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", head)
		}
		return err == nil
	})
	sidecar := startSidecar(t, nil, address)
	for _, size := range []int{1, 64 << 10, 64<<10 + 1, largeBody} {
		for _, chunks := range []bool{false, true} {
			for _, answer := range []string{"", "length", "chunks", "end"} {
				name := fmt.Sprintf("%d, in chunks %v, answered %q", size, chunks, answer)
				req := sidecar.request(t, "POST", "/entry?answer="+answer, "",
					"X-Request-ID", strings.ReplaceAll(name, " ", "-"))
				req.Body, req.ContentLength = io.NopCloser(&patternReader{size: size}), int64(size)
				if chunks {
					req.ContentLength = -1
				}
				res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				if had := res.Header.Get("X-Had"); res.StatusCode != 200 || had != strconv.Itoa(size) {
					t.Errorf("%s: status %s, the upstream received %s bytes", name, res.Status, had)
				}
				if answer != "" {
					if n, err := checkPattern(res.Body); n != largeBody || err != nil {
						t.Errorf("%s: client received %d bytes, error %v", name, n, err)
					}
				}
				res.Body.Close()
			}
		}
	}
}

// If an upstream truncates a response, the client receives the same truncated response and an error, and the sidecar
// does not retry the request.
func TestTruncatedResponse(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]int{}
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		mu.Lock()
		attempts[req.Header.Get("X-Request-ID")]++
		mu.Unlock()
		if req.URL.Query().Get("how") == "chunks" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			w := httputil.NewChunkedWriter(c)
			_, _ = io.Copy(w, &patternReader{size: 200 << 10})
		} else {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 300<<10)
			_, _ = io.Copy(c, &patternReader{size: 200 << 10})
		}
		return false
	})
	sidecar := startSidecar(t, nil, address)
	for _, how := range []string{"chunks", "length"} {
		req := sidecar.request(t, "GET", "/look?how="+how, "", "X-Request-ID", how)
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := checkPattern(res.Body); err == nil || n != 200<<10 {
			t.Errorf("%s: client received %d bytes, error %v, want the bytes that were sent and an error", how, n, err)
		}
		res.Body.Close()
		mu.Lock()
		if attempts[how] != 1 {
			t.Errorf("%s: %d attempts, want 1", how, attempts[how])
		}
		mu.Unlock()
	}
}

// If the upstream closes the connection before it has received the complete request, the request was not executed: the
// sidecar rejects the request with 503 and Retry-After, and makes one attempt only.
func TestBrokenUploadIsRejected(t *testing.T) {
	arrived := make(chan struct{}, 10)
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		arrived <- struct{}{}
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
		return false
	})
	sidecar := startSidecar(t, nil, address)
	req := sidecar.request(t, "POST", "/entry", "")
	req.Body, req.ContentLength = io.NopCloser(&patternReader{size: 64 << 20}), 64<<20
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || len(arrived) != 1 {
		t.Errorf("status %s, Retry-After %q, %d attempts, want 503 with Retry-After after 1 attempt",
			res.Status, res.Header.Get("Retry-After"), len(arrived))
	}
}

// The result does not depend on how a chunked request is divided into TCP segments. A pipelined request may follow it
// immediately.
func TestChunkedRequestSplitAtEveryByte(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	sidecar := startSidecar(t, nil, s.Address)
	address := strings.TrimPrefix(sidecar.url, "http://")
	body := "5;a=b\r\nhello\r\n1\r\n!\r\n0\r\nX: y\r\n\r\n"
	for cut := range len(body) + 1 {
		first := fmt.Sprintf(rawHead, fmt.Sprint("a", cut)) + "Transfer-Encoding: chunked\r\n\r\n"
		second := fmt.Sprintf(rawHead, fmt.Sprint("b", cut)) + "Content-Length: 1\r\n\r\nz"
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(testbed.MaxWait))
		for _, part := range []string{first + body[:cut], body[cut:] + second} {
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond) // makes separate segments likely; the result must not depend on this
		}
		r := bufio.NewReader(c)
		for _, id := range []string{"a", "b"} {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("split at %d: reading the response failed: %v", cut, err)
			}
			got, _ := io.ReadAll(res.Body)
			if string(got) != fmt.Sprint("done ", id, cut) {
				t.Fatalf("split at %d: status %s, body %q", cut, res.Status, got)
			}
		}
		c.Close()
		if got := testbed.Wait(t, "the request", s.Seen); got.Body != "hello!" {
			t.Fatalf("split at %d: upstream received body %q, want hello!", cut, got.Body)
		}
		testbed.Wait(t, "the next request", s.Seen)
	}
}

// A stalled response occupies flow-control windows but no request slot: small requests are answered immediately while
// more responses are stalled than there are slots.
func TestStalledStreamsOccupyNoSlots(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Query().Get("slow") == "" {
			return testbed.OK(c, "quick")
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, bytes.Repeat([]byte("x"), 1000))
		<-release
		return false
	})
	sidecar := startSidecar(t, nil, address)
	const streams = 40
	for i := range streams {
		req := sidecar.request(t, "GET", "/look?slow=1", "", "X-Request-ID", fmt.Sprint("s", i))
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("stream %d: response %v, error %v", i, res, err)
		}
		defer res.Body.Close()
		// The sidecar forwards the first bytes although no more bytes follow.
		if _, err := io.ReadFull(res.Body, make([]byte, 1000)); err != nil {
			t.Fatalf("stream %d: reading the first 1000 bytes failed: %v", i, err)
		}
	}
	for i := range 40 {
		if res, body := do(t, sidecar.request(
			t, "GET", "/look", "", "X-Request-ID", fmt.Sprint("q", i),
		)); res.StatusCode != 200 || body != "quick" {
			t.Fatalf("small request with %d stalled streams: status %s, want 200", streams, res.Status)
		}
	}
	once.Do(func() { close(release) })
}
