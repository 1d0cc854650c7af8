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

// pattern is the byte at a place of a long body, so that none is lost, doubled or moved unseen.
func pattern(i int) byte { return byte(i*7 + i>>8) }

type patterned struct{ at, size int }

func (p *patterned) Read(b []byte) (int, error) {
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

// check reads a body to its end and returns its size, or why it is none of the pattern's.
func check(r io.Reader) (int, error) {
	b, at := make([]byte, 32<<10), 0
	for {
		n, err := r.Read(b)
		for i := range n {
			if b[i] != pattern(at+i) {
				return at + i, fmt.Errorf("byte %d is wrong", at+i)
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

const large = 5<<20 + 123

// Bodies of any size go through whole, both ways, in every framing.
func TestLargeBodies(t *testing.T) {
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		n, err := check(req.Body)
		if err != nil {
			return false
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Had: %d\r\n", n)
		body := &patterned{size: large}
		switch req.URL.Query().Get("answer") {
		case "length":
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, large)
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
				t.Errorf("an answer that ends with its connection: %v", err)
			}
			return false
		default:
			_, err = fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", head)
		}
		return err == nil
	})
	side := start(t, nil, address)
	for _, size := range []int{1, 64 << 10, 64<<10 + 1, large} {
		for _, chunks := range []bool{false, true} {
			for _, answer := range []string{"", "length", "chunks", "end"} {
				name := fmt.Sprintf("%d, in chunks %v, answered %q", size, chunks, answer)
				req := side.request(t, "POST", "/entry?answer="+answer, "", "X-Request-ID", strings.ReplaceAll(name, " ", "-"))
				req.Body, req.ContentLength = io.NopCloser(&patterned{size: size}), int64(size)
				if chunks {
					req.ContentLength = -1
				}
				res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				if had := res.Header.Get("X-Had"); res.StatusCode != 200 || had != strconv.Itoa(size) {
					t.Errorf("%s: %s, the server had %s", name, res.Status, had)
				}
				if answer != "" {
					if n, err := check(res.Body); n != large || err != nil {
						t.Errorf("%s: %d bytes came, %v", name, n, err)
					}
				}
				res.Body.Close()
			}
		}
	}
}

// An answer that its server cuts off is cut off for its client, in a way that it can tell; nothing is sent again.
func TestTruncatedResponseIsTruncatedForTheClient(t *testing.T) {
	var mu sync.Mutex
	times := map[string]int{}
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		mu.Lock()
		times[req.Header.Get("X-Request-ID")]++
		mu.Unlock()
		if req.URL.Query().Get("how") == "chunks" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			w := httputil.NewChunkedWriter(c)
			_, _ = io.Copy(w, &patterned{size: 200 << 10})
		} else {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 300<<10)
			_, _ = io.Copy(c, &patterned{size: 200 << 10})
		}
		return false
	})
	side := start(t, nil, address)
	for _, how := range []string{"chunks", "length"} {
		req := side.request(t, "GET", "/look?how="+how, "", "X-Request-ID", how)
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := check(res.Body); err == nil || n != 200<<10 {
			t.Errorf("%s: %d bytes, error %v; want what came and an error", how, n, err)
		}
		res.Body.Close()
		mu.Lock()
		if times[how] != 1 {
			t.Errorf("%s: sent %d times", how, times[how])
		}
		mu.Unlock()
	}
}

// An upload whose server breaks off before the last byte never ran: it is refused, and sent once.
func TestBrokenUploadIsRefused(t *testing.T) {
	arrived := make(chan struct{}, 10)
	address := testbed.NewHandler(t, func(c net.Conn, req *http.Request) bool {
		arrived <- struct{}{}
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
		return false
	})
	side := start(t, nil, address)
	req := side.request(t, "POST", "/entry", "")
	req.Body, req.ContentLength = io.NopCloser(&patterned{size: 64 << 20}), 64<<20
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || len(arrived) != 1 {
		t.Errorf("%s, Retry-After %q, %d attempts", res.Status, res.Header.Get("Retry-After"), len(arrived))
	}
}

// A chunked request cut at every byte is the same request, and a next one may stand right behind it.
func TestChunkedRequestCutAnywhere(t *testing.T) {
	s := testbed.NewStub(t, testbed.Echo)
	side := start(t, nil, s.Address)
	address := strings.TrimPrefix(side.url, "http://")
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
			time.Sleep(time.Millisecond) // so that it arrives by itself; the result must not depend on it
		}
		r := bufio.NewReader(c)
		for _, id := range []string{"a", "b"} {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			got, _ := io.ReadAll(res.Body)
			if string(got) != fmt.Sprint("done ", id, cut) {
				t.Fatalf("cut at %d: %s %q", cut, res.Status, got)
			}
		}
		c.Close()
		if got := testbed.Wait(t, "the request", s.Seen); got.Body != "hello!" {
			t.Fatalf("cut at %d: the upstream had %q", cut, got.Body)
		}
		testbed.Wait(t, "the next request", s.Seen)
	}
}

// Slow clients and servers hold windows, not places: while more streams stand than there are slots, small
// requests are answered at once.
func TestStreamsOccupyNoSlots(t *testing.T) {
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
	side := start(t, nil, address)
	const streams = 40
	for i := range streams {
		req := side.request(t, "GET", "/look?slow=1", "", "X-Request-ID", fmt.Sprint("s", i))
		res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("stream %d: %v, %v", i, res, err)
		}
		defer res.Body.Close()
		if _, err := io.ReadFull(res.Body, make([]byte, 1000)); err != nil { // its first bytes are passed on though no more come
			t.Fatalf("stream %d: %v", i, err)
		}
	}
	for i := range 40 {
		if res, body := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", fmt.Sprint("q", i))); res.StatusCode != 200 || body != "quick" {
			t.Fatalf("a small request beside %d streams: %s", streams, res.Status)
		}
	}
	once.Do(func() { close(release) })
}
