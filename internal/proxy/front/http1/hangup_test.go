package http1

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// A client that was taken for one that does not pipeline sends a request behind an open one and leaves: the open one is
// not worked on any longer, and the one behind it is not begun.
func TestHangupBehindUnreadRequest(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	d.serveUnpipelined(t, c)
	c.send(get("/safe/a"))
	all := d.expectSubmitted(t, "/safe/a")
	c.send(get("/safe/b"))
	c.Close()
	for id := testbed.Wait(t, "the end of /safe/a", d.gone); id != all[0].id; {
		id = testbed.Wait(t, "the end of /safe/a", d.gone)
	}
	waitUntil(t, "nothing is open", func() bool { return d.target.OpenRequests() == 0 })
	for len(d.submitted) > 0 { // it may have been read ahead, and has to be gone then
		d.expectGone(t, d.expectSubmitted(t, "/safe/b")...)
	}
}

// A client that resets its connection reads no response, whatever it had begun to send.
func TestResetBehindPartOfRequest(t *testing.T) {
	d := newFakeEngine(t, 0, true)
	c := d.dial(t)
	c.send(get("/safe/a", "/safe/b") + "GET /safe/c")
	all := d.expectSubmitted(t, "/safe/a", "/safe/b")
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	d.expectGone(t, all...)
}

// A request whose client has left before it is forwarded is not forwarded.
func TestRequestOfClientThatLeftIsNotForwarded(t *testing.T) {
	parsing, proceed := make(chan struct{}), make(chan struct{})
	d := newFakeEngine(t, 0, true, func(cfg *Config) {
		parse := cfg.Dialect.ParseRequest
		cfg.Dialect.ParseRequest = func(h *h1.Head) (policy.Request, time.Duration, *Rejection) {
			if h.Target == "/run/late" {
				close(parsing)
				<-proceed
			}
			return parse(h)
		}
	})
	c := d.dial(t)
	c.send(get("/run/late"))
	testbed.Wait(t, "the request to be read", parsing)
	c.Close()
	waitUntil(t, "the watcher has told of the end", func() bool {
		d.front.watcher.mu.Lock()
		defer d.front.watcher.mu.Unlock()
		for _, served := range d.front.watcher.conns {
			select {
			case <-served.hangup:
				return true
			default:
			}
		}
		return false
	})
	close(proceed)
	waitUntil(t, "its connection is closed", func() bool { return d.front.Counters().Open == 0 })
	d.expectNoneSubmitted(t, 0, "")
}

// A streamed reply that comes as its client leaves is closed, or its server's connection would stay in use for good.
func TestStreamedReplyCrossingHangupIsClosed(t *testing.T) {
	for name, request := range map[string]string{
		"head only":      get("/safe/a"),
		"not idempotent": get("/run/a"),
		"with a body":    "POST /safe/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42",
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeEngine(t, 0, true)
			crossing, _ := newTestBody()
			replies := make(chan chan<- call.Answer, 1)
			d.onGone = func() { (<-replies) <- call.Answer{Kind: call.Served, Stream: crossing} }
			c := d.dial(t)
			c.send(request)
			submitted := testbed.Wait(t, "the request", d.submitted)
			replies <- submitted.replies
			c.Close()
			d.expectGone(t, submitted)
			testbed.Wait(t, "the reply to be closed", crossing.closed)
		})
	}
}
