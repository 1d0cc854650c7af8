package engine

import (
	"slices"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// host carries out what the module decides.
type host struct{ engine *Engine }

// Send starts an attempt, given up after timeout or at the client's deadline. Where the request is
// over or out of attempts or time, or the server is not listed, nothing is sent.
func (h host) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	e := h.engine
	r := e.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-e.now
	r.inFlight++
	s := e.servers[to]
	if r.finished || number >= e.maxAttempts || left <= 0 || timeout < 0 || s == nil || r.message.Upload != nil && r.message.Upload.Claimed() {
		r.attempts = append(r.attempts, nil)
		e.unsent = append(e.unsent, policy.Outcome{ID: id, Attempt: number, Ending: policy.NotSent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	e.inFlight[to]++
	r.attempts = append(r.attempts, s.Send(r.message, e.now+timeout, func(res call.Result) {
		if res.OnStreamEnd != nil { // the attempt is over, and the server still at it
			res.OnStreamEnd(func() { e.post(func(time.Duration) { e.attemptReturned(to) }) })
		}
		e.post(func(time.Duration) {
			if e.AttemptEnded != nil {
				e.AttemptEnded(to, res.Ending)
			}
			if res.Stream == nil || res.Detached && res.OnStreamEnd == nil { // else its answer comes on
				e.attemptReturned(to)
			}
			e.attemptEnded(id, number, res)
		})
	}))
}

// Refuse ends a request; trying again is harmless.
func (h host) Refuse(id policy.RequestID, pause time.Duration) {
	if r := h.engine.requests[id]; r != nil && !r.finished {
		h.engine.finish(id, r, &call.Answer{Kind: call.Refused, RetryAfter: pause})
	}
}

// Fail ends a request with no promise.
func (h host) Fail(id policy.RequestID) {
	if r := h.engine.requests[id]; r != nil && !r.finished {
		h.engine.finish(id, r, &call.Answer{Kind: call.Failed, TimedOut: r.timedOut || r.inFlight > 0, LastResult: r.lastResult})
	}
}

// Cancel calls off an attempt; its Outcome still comes.
func (h host) Cancel(id policy.RequestID, attempt int) {
	if r := h.engine.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].Cancel()
	}
}

// Wake sees to a call of Balancer.Wake after d. Timers due at one moment share that call.
func (h host) Wake(d time.Duration) {
	e := h.engine
	due := e.now + max(d, 0)
	i, found := slices.BinarySearch(e.wakes, due)
	if found {
		return
	}
	if e.wakes = slices.Insert(e.wakes, i, due); i == 0 {
		e.setTimer()
	}
}

// Probe asks a server for a load report.
func (h host) Probe(to policy.ServerID) {
	e := h.engine
	told := func(ok bool, load policy.Load) {
		e.post(func(now time.Duration) { e.module.Probed(now, to, ok, load) })
	}
	s := e.servers[to]
	if s == nil { // no longer listed; Host's methods must not call back, so from outside
		go told(false, policy.Load{})
		return
	}
	s.Probe(told)
}

// Close closes the idle connections to a server.
func (h host) Close(to policy.ServerID) {
	if s := h.engine.servers[to]; s != nil {
		s.CloseIdle()
	}
}

// WatchList subscribes to the server list.
func (h host) WatchList() { h.engine.Watch() }

// Log writes a line for the people on call.
func (h host) Log(line string) { h.engine.Log.Info("module", "says", line) }
