package http1

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
)

// What comes behind an open request, with it or later, is worked on at the same time, the last one's end first;
// answers keep the order. A connection with open requests never rests.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	for name, split := range map[string]bool{"one write": false, "separate writes": true} {
		t.Run(name, func(t *testing.T) {
			d := newFakeEngine(t, 0, true)
			c := d.dial(t)
			for round := range 3 {
				uris := []string{fmt.Sprint("/safe/a", round), fmt.Sprint("/safe/b", round), fmt.Sprint("/safe/c", round)}
				var all []submittedRequest
				if split {
					for _, uri := range uris {
						whole := get(uri)
						c.send(whole[:9]) // in parts, which must not be lost
						c.send(whole[9:])
						all = append(all, d.expectSubmitted(t, uri)...)
					}
				} else {
					c.send(get(uris...))
					all = d.expectSubmitted(t, uris...)
				}
				waitUntil(t, "the last round's requests are released", func() bool { return d.target.OpenRequests() == 3 })
				d.front.acceptor.closeIdle(0)
				if rest := d.front.Counters().Rest; rest != [stateCount]int{} {
					t.Errorf("at rest %v, want none", rest)
				}
				all[2].reply()
				all[0].reply()
				c.expectResponse(200, "done "+uris[0])
				d.expectNoneSubmitted(t, 2, "")
				d.front.acceptor.closeIdle(0) // nor does one with requests behind a response
				all[1].reply()
				c.expectResponse(200, "done "+uris[1])
				c.expectResponse(200, "done "+uris[2])
			}
		})
	}
}

// A client that pipelines late is seen to do it, though it was taken for one that does not.
func TestLatePipeliningIsNoticed(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	d.serveUnpipelined(t, c)
	c.send(get("/safe/a"))
	a := d.expectSubmitted(t, "/safe/a")[0]
	c.send(get("/safe/b")) // nobody looks for it before the response
	a.reply()
	c.expectResponse(200, "done /safe/a")
	b := d.expectSubmitted(t, "/safe/b")[0]
	c.send(get("/safe/c"))
	d.expectSubmitted(t, "/safe/c")[0].reply()
	b.reply()
	c.expectResponse(200, "done /safe/b")
	c.expectResponse(200, "done /safe/c")
}

// What is not idempotent or has a body is served alone, when all before it has its response, and what follows waits for
// that; each is looked at once.
func TestNonIdempotentRequestsAreServedAlone(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/run/3") +
		"POST /safe/4 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42" +
		get("/safe/5", "/safe/6"))
	first := d.expectSubmitted(t, "/safe/1", "/safe/2")
	d.expectNoneSubmitted(t, 2, "/run/3")
	first[1].reply()
	first[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	alone := d.expectSubmitted(t, "/run/3")[0]
	d.expectNoneSubmitted(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /run/3")
	if alone = d.expectSubmitted(t, "/safe/4")[0]; alone.body != "42" {
		t.Errorf("body %q", alone.body)
	}
	d.expectNoneSubmitted(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /safe/4")
	for _, a := range slices.Backward(d.expectSubmitted(t, "/safe/5", "/safe/6")) {
		a.reply()
	}
	c.expectResponse(200, "done /safe/5")
	c.expectResponse(200, "done /safe/6")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parsedTargets = slices.DeleteFunc(d.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	want := []string{"/safe/1", "/safe/2", "/run/3", "/safe/4", "/safe/5", "/safe/6"}
	if !slices.Equal(d.parsedTargets, want) {
		t.Errorf("looked at %q, want %q", d.parsedTargets, want)
	}
}

// A request that closes the connection or can't be read has its response in its turn, and nothing behind it is read.
func TestPipelinedRequestThatCloses(t *testing.T) {
	for name, last := range map[string]string{
		"asked to":   "GET /safe/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"unreadable": "GET /safe/2 HTTP/1.1\r\nHost: a\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeEngine(t, 0, true)
			c := d.dial(t)
			c.send(get("/safe/0", "/safe/1") + last)
			for _, a := range slices.Backward(d.expectSubmitted(t, "/safe/0", "/safe/1")) {
				a.reply()
			}
			c.expectResponse(200, "done /safe/0")
			c.expectResponse(200, "done /safe/1")
			if name == "unreadable" {
				res := c.expectResponse(400, "a line ends in a bare LF or holds a bare CR\n")
				if !res.Close || res.Header.Get("Of") != "" {
					t.Errorf("headers %v, want none of the request before", res.Header)
				}
			} else {
				d.expectSubmitted(t, "/safe/2")[0].reply()
				if res := c.expectResponse(200, "done /safe/2"); !res.Close {
					t.Error("the response does not say that its connection closes")
				}
			}
			c.expectEnd()
		})
	}
}

// Of a client that hangs up all open requests are reported gone, and a response that has begun is cancelled. One that
// sent half a request more still has its answers.
func TestHangupCancelsPipelined(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	b, _ := newTestBody()
	all[1].replies <- call.Answer{Kind: call.Served, Stream: b}
	c.Close()
	d.expectGone(t, all...)
	testbed.Wait(t, "that the response is cancelled", b.closed)

	for range 10 { // whether its end or its last request is noticed first
		c = d.dial(t)
		c.send(get("/safe/1"))
		all = d.expectSubmitted(t, "/safe/1")
		c.send(get("/safe/2"))
		c.Close()
		d.expectGone(t, append(all, d.expectSubmitted(t, "/safe/2")...)...)
	}

	c = d.dial(t)
	c.send(get("/safe/1", "/safe/2") + "GET /safe/3")
	all = d.expectSubmitted(t, "/safe/1", "/safe/2")
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	d.expectNoneSubmitted(t, 2, "")
	all[1].reply()
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	c.expectEnd()
}

// With a drain the next response is the connection's last; what was read behind it is cancelled.
func TestDrainCancelsPipelined(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	drained := make(chan error, 1)
	go func() { drained <- d.drain() }()
	waitUntil(t, "it drains", d.front.draining.Load)
	c.send(get("/safe/4"))
	all[1].reply()
	all[0].reply()
	if res := c.expectResponse(200, "done /safe/1"); !res.Close {
		t.Error("the response does not say that its connection closes")
	}
	d.expectGone(t, all[1:]...)
	c.expectEnd()
	if err := testbed.Wait(t, "the drain", drained); err != nil {
		t.Error(err)
	}
}

// Requests that are rejected, or find no capacity while others are open, have their response in their turn: each by its
// own head.
func TestPipelinedRejections(t *testing.T) {
	d := newFakeEngine(t, 2, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/over/2", "/safe/3", "/safe/4", "/safe/5"))
	first := d.expectSubmitted(t, "/safe/1")[0]
	d.expectNoneSubmitted(t, 1, "/over/2")
	first.reply()
	c.expectResponse(200, "done /safe/1")
	if res := c.expectResponse(429, ""); res.Header.Get("Of") != "/over/2" {
		t.Errorf("headers %v", res.Header)
	}
	both := d.expectSubmitted(t, "/safe/3", "/safe/4")
	both[1].replies <- call.Answer{Kind: call.Refused}
	both[0].replies <- call.Answer{Kind: call.Failed}
	if res := c.expectResponse(502, ""); res.Header.Get("Of") != "/safe/3" {
		t.Errorf("headers %v", res.Header)
	}
	if res := c.expectResponse(503, ""); res.Header.Get("Of") != "/safe/4" {
		t.Errorf("headers %v", res.Header)
	}
	d.expectSubmitted(t, "/safe/5")[0].reply()
	c.expectResponse(200, "done /safe/5")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parsedTargets = slices.DeleteFunc(d.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	if len(d.parsedTargets) != 5 {
		t.Errorf("looked at %q, want each once", d.parsedTargets)
	}
}

// No more than maxPipelined are read ahead; each response allows one more.
func TestPipelineLimit(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	var uris []string
	for i := range 3 * maxPipelined {
		// Together they are more than a buffer holds.
		uris = append(uris, fmt.Sprintf("/safe/%d?%s", i, strings.Repeat("x", bufferSize/maxPipelined)))
	}
	c.send(get(uris...))
	all := d.expectSubmitted(t, uris[:1+maxPipelined]...)
	for i, uri := range uris {
		if i+maxPipelined < len(uris) {
			d.expectNoneSubmitted(t, 1+maxPipelined, "")
		}
		all[i].reply()
		c.expectResponse(200, "done "+uri)
		if next := i + 1 + maxPipelined; next < len(uris) {
			all = append(all, d.expectSubmitted(t, uris[next])...)
		}
	}
}

// A response that is streamed keeps its position among the others; requests are accepted meanwhile.
func TestPipelinedStream(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := d.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	b, w := newTestBody()
	all[2].reply()
	all[1].replies <- call.Answer{Kind: call.Served, Stream: b}
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	if _, err := io.WriteString(w, "some "); err != nil {
		t.Fatal(err)
	}
	c.send(get("/safe/4"))
	fourth := d.expectSubmitted(t, "/safe/4")[0]
	if _, err := io.WriteString(w, "more"); err != nil {
		t.Fatal(err)
	}
	w.Close()
	c.expectResponse(200, "some more")
	c.expectResponse(200, "done /safe/3")
	fourth.reply()
	c.expectResponse(200, "done /safe/4")
}

// Without a dialect a connection serves one request at a time.
func TestNoPipeliningWithoutDialect(t *testing.T) {
	d := newFakeEngine(t, 0, false)
	c := d.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\n"+
			"X-Priority-Class: look\r\nX-Timeout: 1000m\r\n\r\n", i, i))
	}
	for i := range 3 {
		uri := fmt.Sprint("/look/", i)
		a := d.expectSubmitted(t, uri)[0]
		if held := d.target.OpenRequests(); held != 1 || len(d.submitted) != 0 {
			t.Errorf("%d held, %d more asked; want one at a time", held, len(d.submitted))
		}
		a.reply()
		c.expectResponse(200, "done "+uri)
	}
}
