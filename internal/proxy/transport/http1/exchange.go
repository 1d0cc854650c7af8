package http1

import (
	"net/http"
	"sync"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// exchange is one attempt or probe in flight. It runs on its own goroutine, and Transport.Close waits for that
// goroutine.
type exchange struct {
	mu         sync.Mutex // guards the fields below
	cancelled  bool
	cancelFunc func() // aborts the current step of the exchange: dialling, or using its connection
}

// Cancel cancels the exchange. A request that is not being written yet is not sent.
func (x *exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.cancelFunc != nil {
		x.cancelFunc()
	}
}

// setCancelFunc sets the function that Cancel calls from now on. If the exchange is already cancelled, it sets nothing
// and returns false: a second Cancel must not close a connection that has returned to the pool, where another exchange
// may be using it.
func (x *exchange) setCancelFunc(cancel func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled {
		return false
	}
	x.cancelFunc = cancel
	return true
}

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// beginExchange registers a new exchange. After Close, the new exchange is already cancelled.
func (t *Transport) beginExchange() *exchange {
	x := new(exchange)
	t.running.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	x.cancelled = t.closed
	t.exchanges[x] = struct{}{}
	return x
}

func (t *Transport) endExchange(x *exchange) {
	t.mu.Lock()
	delete(t.exchanges, x)
	t.mu.Unlock()
	t.running.Done()
}

// send starts an attempt and calls done once with its result.
func (t *Transport) send(to *host, m *call.Message, limits call.Limits, done func(call.Result)) *exchange {
	x := t.beginExchange()
	go func() {
		defer t.endExchange(x)
		res, body, ending := t.roundTrip(x, to, m, limits)
		if res == nil {
			done(call.Result{Ending: ending})
			return
		}
		classified, load := t.classify(res)
		if s := streamOf(res); s != nil {
			onEnd := func() {}
			done(call.Result{
				Ending: policy.Served, Status: res.StatusCode, Header: res.Header, Load: load,
				Stream: s, Detached: true, OnStreamEnd: func(end func()) { onEnd = end },
			})
			t.awaitStreamEnd(x, to, s)
			onEnd()
			return
		}
		done(call.Result{Ending: classified, Status: res.StatusCode, Header: res.Header, Body: body, Load: load})
	}()
	return x
}

// awaitStreamEnd waits for the end of a streamed response, and keeps or closes its connection.
func (t *Transport) awaitStreamEnd(x *exchange, to *host, s *responseStream) {
	ending := <-s.ending
	reusable := ending == policy.Served && !s.response.Close && s.conn.reader.Buffered() == 0
	if reusable && x.setCancelFunc(nil) {
		t.keepIdle(to, s.conn)
	} else {
		t.discard(s.conn)
	}
}

// probe requests a load report from a server and calls done once with the result.
func (t *Transport) probe(to *host, now time.Duration, done func(ok bool, load policy.Load)) {
	x := t.beginExchange()
	go func() {
		defer t.endExchange(x)
		m := &call.Message{Method: http.MethodGet, URI: t.probePath, Host: to.address}
		res, body, ending := t.roundTrip(x, to, m, call.Within(now+t.dialTimeout))
		if res == nil && ending == policy.ConnectionLost {
			// A reused connection may break because the server was closing it, and a probe has no effect, so the probe
			// is retried once. Otherwise a server that closes connections often appears unable to report its load, and
			// gets no requests.
			res, body, _ = t.roundTrip(x, to, m, call.Within(now+t.dialTimeout))
		}
		if res == nil {
			done(false, policy.Load{})
			return
		}
		done(res.StatusCode == http.StatusOK, t.parseLoad(string(body)))
	}()
}
