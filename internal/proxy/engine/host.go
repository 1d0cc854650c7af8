package engine

import (
	"slices"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// host is the policy.Host of an engine's module: it carries out the module's decisions.
type host struct{ engine *Engine }

// Send starts an attempt, which times out after timeout or at the client's deadline, whichever is earlier. Nothing is
// sent if the request is finished or has no attempts or time left, if a repeat could have an effect of its own, or if
// the server is not listed.
func (h host) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	e := h.engine
	r := e.requests[id]
	if r == nil {
		return // finished with all attempts ended, so the module has removed the request too
	}
	number, timeLeft, repeatBy := len(r.attempts), r.deadline-e.now, e.repeatBy(r)
	r.inFlight++
	s := e.servers[to]
	if s == nil || timeLeft <= 0 || timeout < 0 || e.now >= repeatBy || !e.maySend(r) {
		r.attempts = append(r.attempts, sentAttempt{repeatBy: repeatBy, neverRan: true})
		e.unsent = append(e.unsent, policy.Outcome{ID: id, Attempt: number, Ending: policy.NotSent})
		return
	}
	if timeout == 0 || timeout > timeLeft {
		timeout = timeLeft
	}
	e.inFlight[to]++
	until := e.now + timeout
	limits := call.Limits{SendBy: min(until, repeatBy), Until: until}
	handle := s.Send(r.message, limits, func(res call.Result) { e.postResult(id, number, to, res) })
	r.attempts = append(r.attempts, sentAttempt{handle: handle, sentAt: e.now, repeatBy: repeatBy})
}

// maySend reports whether a request may have one more attempt.
func (e *Engine) maySend(r *request) bool {
	upload := r.message.Upload
	return !r.finished && len(r.attempts) < e.maxAttempts && (upload == nil || !upload.Claimed())
}

// postResult hands the result of an attempt over to Run. It may be called from any goroutine.
func (e *Engine) postResult(id policy.RequestID, number int, to policy.ServerID, res call.Result) {
	if res.OnStreamEnd != nil { // the attempt has ended, but the server still sends its answer
		res.OnStreamEnd(func() { e.post(func(time.Duration) { e.attemptReturned(to) }) })
	}
	e.post(func(time.Duration) {
		if e.AttemptEnded != nil {
			e.AttemptEnded(to, res.Ending)
		}
		if res.Stream == nil || res.Detached && res.OnStreamEnd == nil { // otherwise the server still sends its answer
			e.attemptReturned(to)
		}
		e.attemptEnded(id, number, res)
	})
}

// Refuse answers a request with Refused: the client may retry it safely.
func (h host) Refuse(id policy.RequestID, retryAfter time.Duration) {
	if r := h.engine.requests[id]; r != nil && !r.finished {
		h.engine.finish(id, r, &call.Answer{Kind: call.Refused, RetryAfter: retryAfter})
	}
}

// Fail answers a request with Failed: the request may have had an effect.
func (h host) Fail(id policy.RequestID) {
	if r := h.engine.requests[id]; r != nil && !r.finished {
		h.engine.finish(id, r, &call.Answer{
			Kind: call.Failed, TimedOut: r.timedOut || r.inFlight > 0, LastResult: r.lastResult,
		})
	}
}

// Cancel cancels an attempt. The module still gets its Outcome.
func (h host) Cancel(id policy.RequestID, attempt int) {
	r := h.engine.requests[id]
	if r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// Wake schedules a call of Module.Wake after d. Timers that are due at the same time share one call.
func (h host) Wake(d time.Duration) {
	e := h.engine
	due := e.now + max(d, 0)
	i, found := slices.BinarySearch(e.wakes, due)
	if found {
		return
	}
	e.wakes = slices.Insert(e.wakes, i, due)
	if i == 0 {
		e.setTimer()
	}
}

// Probe requests a load report from a server.
func (h host) Probe(to policy.ServerID) {
	e := h.engine
	done := func(ok bool, load policy.Load) {
		e.post(func(now time.Duration) { e.module.Probed(now, to, ok, load) })
	}
	s := e.servers[to]
	if s == nil {
		go done(false, policy.Load{}) // a new goroutine, as post may block and this is the goroutine of Run
		return
	}
	s.Probe(done)
}

// CloseIdleConnections closes the idle connections to a server.
func (h host) CloseIdleConnections(to policy.ServerID) {
	if s := h.engine.servers[to]; s != nil {
		s.CloseIdle()
	}
}

// WatchList subscribes to the server list.
func (h host) WatchList() { h.engine.Watch() }

// Log writes a line of the module to the log, for operators.
func (h host) Log(line string) { h.engine.Log.Info("module", "says", line) }
