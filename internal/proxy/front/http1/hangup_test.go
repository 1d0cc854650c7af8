package http1

import (
	"net/http"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// A client that does not pipeline at first sends a second request while the first is open, and closes the connection.
// The first request must be cancelled. The second one must not be submitted, or must be cancelled as well.
func TestHangupBehindUnreadRequest(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	engine.serveUnpipelined(t, c)
	c.send(get("/safe/a"))
	all := engine.expectSubmitted(t, "/safe/a")
	c.send(get("/safe/b"))
	c.Close()
	for id := testbed.Wait(t, "ClientGone for /safe/a", engine.gone); id != all[0].id; {
		id = testbed.Wait(t, "ClientGone for /safe/a", engine.gone)
	}
	waitUntil(t, "no request is open", func() bool { return engine.target.OpenRequests() == 0 })
	for len(engine.submitted) > 0 { // /safe/b may have been read ahead, and must be cancelled then
		engine.expectGone(t, engine.expectSubmitted(t, "/safe/b")...)
	}
}

// A client that resets its connection reads no responses, so its open requests are cancelled even if a part of a
// further request is unread.
func TestResetBehindPartOfRequest(t *testing.T) {
	engine := newFakeEngine(t, 0, true)
	c := engine.dial(t)
	c.send(get("/safe/a", "/safe/b") + "GET /safe/c")
	all := engine.expectSubmitted(t, "/safe/a", "/safe/b")
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	engine.expectGone(t, all...)
}

// A request is not forwarded if its client leaves while the request is being parsed.
func TestRequestOfClientThatLeftIsNotForwarded(t *testing.T) {
	parsing, proceed := make(chan struct{}), make(chan struct{})
	engine := newFakeEngine(t, 0, true, func(cfg *Config) {
		parse := cfg.Dialect.ParseRequest
		cfg.Dialect.ParseRequest = func(h *h1.Head) (policy.Request, time.Duration, *Rejection) {
			if h.Target == "/run/late" {
				close(parsing)
				<-proceed
			}
			return parse(h)
		}
	})
	c := engine.dial(t)
	c.send(get("/run/late"))
	testbed.Wait(t, "ParseRequest to be called", parsing)
	c.Close()
	waitUntil(t, "the watcher has reported the hangup", func() bool {
		engine.front.watcher.mu.Lock()
		defer engine.front.watcher.mu.Unlock()
		for _, served := range engine.front.watcher.conns {
			select {
			case <-served.hangup:
				return true
			default:
			}
		}
		return false
	})
	close(proceed)
	waitUntil(t, "the connection is closed", func() bool { return engine.front.Counters().Open == 0 })
	engine.expectNoneSubmitted(t, 0, "")
}

// A streamed reply that arrives while its client leaves must be closed. Otherwise the server's connection would stay
// in use permanently.
func TestStreamedReplyCrossingHangupIsClosed(t *testing.T) {
	for name, request := range map[string]string{
		"head only":      get("/safe/a"),
		"not idempotent": get("/run/a"),
		"with a body":    "POST /safe/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n42",
	} {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, 0, true)
			body, _ := newTestBody()
			replies := make(chan chan<- call.Answer, 1)
			engine.onGone = func() { (<-replies) <- call.Answer{Kind: call.Served, Status: http.StatusOK, Stream: body} }
			c := engine.dial(t)
			c.send(request)
			submitted := testbed.Wait(t, "the submitted request", engine.submitted)
			replies <- submitted.replies
			c.Close()
			engine.expectGone(t, submitted)
			testbed.Wait(t, "the body of the reply to be closed", body.closed)
		})
	}
}
