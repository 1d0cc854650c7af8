package http1

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
)

// Requests sent while an earlier one is open, in the same write or later, are processed concurrently. Responses keep
// the order of the requests even if the last request is finished first, and a connection with open requests never
// counts as idle.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	for name, split := range map[string]bool{"one write": false, "separate writes": true} {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, 0, true)
			c := engine.dial(t)
			for round := range 3 {
				uris := []string{fmt.Sprint("/safe/a", round), fmt.Sprint("/safe/b", round), fmt.Sprint("/safe/c", round)}
				var all []submittedRequest
				if split {
					for _, uri := range uris {
						request := get(uri)
						c.send(request[:9]) // a request in two parts must not be lost
						c.send(request[9:])
						all = append(all, engine.expectSubmitted(t, uri)...)
					}
				} else {
					c.send(get(uris...))
					all = engine.expectSubmitted(t, uris...)
				}
				waitUntil(t, "the last round's requests are released", func() bool { return engine.target.OpenRequests() == 3 })
				engine.front.acceptor.closeIdle(0)
				if rest := engine.front.Counters().Rest; rest != [stateCount]int{} {
					t.Errorf("idle connections by state: %v, want none while requests are open", rest)
				}
				all[2].reply()
				all[0].reply()
				c.expectResponse(200, "done "+uris[0])
				engine.expectNoneSubmitted(t, 2, "")
				engine.front.acceptor.closeIdle(0) // must not close a connection with requests behind a response
				all[1].reply()
				c.expectResponse(200, "done "+uris[1])
				c.expectResponse(200, "done "+uris[2])
			}
		})
	}
}

// A client that did not pipeline at first is recognized as a pipelining client as soon as it begins to pipeline.
func TestLatePipeliningIsNoticed(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	engine.serveUnpipelined(t, c)
	c.send(get("/safe/a"))
	r := engine.expectSubmitted(t, "/safe/a")[0]
	c.send(get("/safe/b")) // noticed only when the response to /safe/a has been written
	r.reply()
	c.expectResponse(200, "done /safe/a")
	b := engine.expectSubmitted(t, "/safe/b")[0]
	c.send(get("/safe/c"))
	engine.expectSubmitted(t, "/safe/c")[0].reply()
	b.reply()
	c.expectResponse(200, "done /safe/b")
	c.expectResponse(200, "done /safe/c")
}

// A request that is not idempotent or has a body is served alone: it waits until all earlier requests have their
// responses, and later requests wait for its response. The dialect parses each request once.
func TestNonIdempotentRequestsAreServedAlone(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	c.send(get("/safe/1", "/safe/2", "/run/3") +
		"POST /safe/4 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42" +
		get("/safe/5", "/safe/6"))
	first := engine.expectSubmitted(t, "/safe/1", "/safe/2")
	engine.expectNoneSubmitted(t, 2, "/run/3")
	first[1].reply()
	first[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	alone := engine.expectSubmitted(t, "/run/3")[0]
	engine.expectNoneSubmitted(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /run/3")
	if alone = engine.expectSubmitted(t, "/safe/4")[0]; alone.body != "42" {
		t.Errorf("the body of /safe/4 is %q, want 42", alone.body)
	}
	engine.expectNoneSubmitted(t, 1, "")
	alone.reply()
	c.expectResponse(200, "done /safe/4")
	for _, r := range slices.Backward(engine.expectSubmitted(t, "/safe/5", "/safe/6")) {
		r.reply()
	}
	c.expectResponse(200, "done /safe/5")
	c.expectResponse(200, "done /safe/6")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.parsedTargets = slices.DeleteFunc(engine.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	want := []string{"/safe/1", "/safe/2", "/run/3", "/safe/4", "/safe/5", "/safe/6"}
	if !slices.Equal(engine.parsedTargets, want) {
		t.Errorf("the dialect parsed %q, want %q", engine.parsedTargets, want)
	}
}

// A request with Connection: close, or a malformed one, gets its response in its turn, and nothing behind it is read.
func TestPipelinedRequestThatCloses(t *testing.T) {
	for name, last := range map[string]string{
		"Connection: close": "GET /safe/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"unreadable":        "GET /safe/2 HTTP/1.1\r\nHost: a\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, 0, true)
			c := engine.dial(t)
			c.send(get("/safe/0", "/safe/1") + last)
			for _, r := range slices.Backward(engine.expectSubmitted(t, "/safe/0", "/safe/1")) {
				r.reply()
			}
			c.expectResponse(200, "done /safe/0")
			c.expectResponse(200, "done /safe/1")
			if name == "unreadable" {
				res := c.expectResponse(400, "a line ends in a bare LF or holds a bare CR\n")
				if !res.Close || res.Header.Get("Of") != "" {
					t.Errorf("response headers are %v, want Connection: close and no header of the previous request", res.Header)
				}
			} else {
				engine.expectSubmitted(t, "/safe/2")[0].reply()
				if res := c.expectResponse(200, "done /safe/2"); !res.Close {
					t.Error("the response has no Connection: close, want it announced")
				}
			}
			c.expectEnd()
		})
	}
}

// All open requests of a client that closes its connection are reported gone, and a response that has begun is
// cancelled. A client that closed only its sending side, with a part of a further request unread, still gets the
// responses to its complete requests.
func TestHangupCancelsPipelined(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := engine.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	b, _ := newTestBody()
	all[1].replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Stream: b}
	c.Close()
	engine.expectGone(t, all...)
	testbed.Wait(t, "the streamed response to be closed", b.closed)

	for range 10 { // repeated, because either the hangup or the last request may be noticed first
		c = engine.dial(t)
		c.send(get("/safe/1"))
		all = engine.expectSubmitted(t, "/safe/1")
		c.send(get("/safe/2"))
		c.Close()
		engine.expectGone(t, append(all, engine.expectSubmitted(t, "/safe/2")...)...)
	}

	c = engine.dial(t)
	c.send(get("/safe/1", "/safe/2") + "GET /safe/3")
	all = engine.expectSubmitted(t, "/safe/1", "/safe/2")
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	engine.expectNoneSubmitted(t, 2, "")
	all[1].reply()
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	c.expectResponse(200, "done /safe/2")
	c.expectEnd()
}

// During a drain the next response is the connection's last one, and requests read behind it are cancelled.
func TestDrainCancelsPipelined(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := engine.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	drained := make(chan error, 1)
	go func() { drained <- engine.drain() }()
	waitUntil(t, "the front drains", engine.front.draining.Load)
	c.send(get("/safe/4"))
	all[1].reply()
	all[0].reply()
	if res := c.expectResponse(200, "done /safe/1"); !res.Close {
		t.Error("the response has no Connection: close, want it announced")
	}
	engine.expectGone(t, all[1:]...)
	c.expectEnd()
	if err := testbed.Wait(t, "Drain to return", drained); err != nil {
		t.Error(err)
	}
}

// A request that is rejected, or that finds no capacity while others are open, gets its response in its turn, with
// the headers for its own request.
func TestPipelinedRejections(t *testing.T) {
	engine := newFakeEngine(t, 2, true)
	c := engine.dial(t)
	c.send(get("/safe/1", "/over/2", "/safe/3", "/safe/4", "/safe/5"))
	first := engine.expectSubmitted(t, "/safe/1")[0]
	engine.expectNoneSubmitted(t, 1, "/over/2")
	first.reply()
	c.expectResponse(200, "done /safe/1")
	if res := c.expectResponse(429, ""); res.Header.Get("Of") != "/over/2" {
		t.Errorf("response headers are %v, want Of: /over/2", res.Header)
	}
	both := engine.expectSubmitted(t, "/safe/3", "/safe/4")
	both[1].replies <- call.Answer{Kind: call.Refused}
	both[0].replies <- call.Answer{Kind: call.Failed}
	if res := c.expectResponse(502, ""); res.Header.Get("Of") != "/safe/3" {
		t.Errorf("response headers are %v, want Of: /safe/3", res.Header)
	}
	if res := c.expectResponse(503, ""); res.Header.Get("Of") != "/safe/4" {
		t.Errorf("response headers are %v, want Of: /safe/4", res.Header)
	}
	engine.expectSubmitted(t, "/safe/5")[0].reply()
	c.expectResponse(200, "done /safe/5")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.parsedTargets = slices.DeleteFunc(engine.parsedTargets, func(uri string) bool { return uri == "/safe/between" })
	if len(engine.parsedTargets) != 5 {
		t.Errorf("the dialect parsed %q, want each of the 5 targets once", engine.parsedTargets)
	}
}

// At most maxPipelined requests are read ahead, and each response allows one more.
func TestPipelineLimit(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	var uris []string
	for i := range 3 * maxPipelined {
		// All requests together are larger than one input buffer.
		uris = append(uris, fmt.Sprintf("/safe/%d?%s", i, strings.Repeat("x", bufferSize/maxPipelined)))
	}
	c.send(get(uris...))
	all := engine.expectSubmitted(t, uris[:1+maxPipelined]...)
	for i, uri := range uris {
		if i+maxPipelined < len(uris) {
			engine.expectNoneSubmitted(t, 1+maxPipelined, "")
		}
		all[i].reply()
		c.expectResponse(200, "done "+uri)
		if next := i + 1 + maxPipelined; next < len(uris) {
			all = append(all, engine.expectSubmitted(t, uris[next])...)
		}
	}
}

// A streamed response keeps its position among the others, and further requests are accepted while it is streamed.
func TestPipelinedStream(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	c.send(get("/safe/1", "/safe/2", "/safe/3"))
	all := engine.expectSubmitted(t, "/safe/1", "/safe/2", "/safe/3")
	b, w := newTestBody()
	all[2].reply()
	all[1].replies <- call.Answer{Kind: call.Served, Status: http.StatusOK, Stream: b}
	all[0].reply()
	c.expectResponse(200, "done /safe/1")
	if _, err := io.WriteString(w, "some "); err != nil {
		t.Fatal(err)
	}
	c.send(get("/safe/4"))
	fourth := engine.expectSubmitted(t, "/safe/4")[0]
	if _, err := io.WriteString(w, "more"); err != nil {
		t.Fatal(err)
	}
	w.Close()
	c.expectResponse(200, "some more")
	c.expectResponse(200, "done /safe/3")
	fourth.reply()
	c.expectResponse(200, "done /safe/4")
}

// Without a Dialect a connection serves one request at a time.
func TestNoPipeliningWithoutDialect(t *testing.T) {
	engine := newFakeEngine(t, 0, false)
	c := engine.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\n"+
			"X-Priority-Class: look\r\nX-Timeout: 1000m\r\n\r\n", i, i))
	}
	for i := range 3 {
		uri := fmt.Sprint("/look/", i)
		r := engine.expectSubmitted(t, uri)[0]
		if openRequests := engine.target.OpenRequests(); openRequests != 1 || len(engine.submitted) != 0 {
			t.Errorf("%d requests open and %d more submitted, want one request at a time", openRequests, len(engine.submitted))
		}
		r.reply()
		c.expectResponse(200, "done "+uri)
	}
}
