package engine

import (
	"slices"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// host carries out what the module decides.
type host struct{ e *Engine }

// Send starts an attempt, given up after timeout or at the client's deadline. Where the request is
// over or out of attempts or time, or the server is not listed, nothing is sent.
func (h host) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	e := h.e
	r := e.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-e.now
	r.out++
	s := e.servers[to]
	if r.over || number >= e.most || left <= 0 || timeout < 0 || s == nil || r.message.More != nil && r.message.More.Claimed() {
		r.attempts = append(r.attempts, nil)
		e.notSent = append(e.notSent, policy.Outcome{ID: id, Attempt: number, Ending: policy.NotSent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	e.out[to]++
	r.attempts = append(r.attempts, s.Send(r.message, e.now+timeout, func(res call.Result) {
		if res.After != nil { // the attempt is over, and the server still at it
			res.After(func() { e.post(func(time.Duration) { e.returned(to) }) })
		}
		e.post(func(time.Duration) {
			if e.AttemptEnded != nil {
				e.AttemptEnded(to, res.Ending)
			}
			if res.Stream == nil || res.Carried && res.After == nil { // else its answer comes on
				e.returned(to)
			}
			e.attemptEnded(id, number, res)
		})
	}))
}

// Refuse ends a request; trying again is harmless.
func (h host) Refuse(id policy.RequestID, pause time.Duration) {
	if r := h.e.requests[id]; r != nil && !r.over {
		h.e.finish(id, r, &call.Answer{Kind: call.Refused, Pause: pause})
	}
}

// Fail ends a request with no promise.
func (h host) Fail(id policy.RequestID) {
	if r := h.e.requests[id]; r != nil && !r.over {
		h.e.finish(id, r, &call.Answer{Kind: call.Failed, TimedOut: r.timedOut || r.out > 0, Last: r.last})
	}
}

// Cancel calls off an attempt; its Outcome still comes.
func (h host) Cancel(id policy.RequestID, attempt int) {
	if r := h.e.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].Cancel()
	}
}

// Wake sees to a call of Balancer.Wake after d. Timers due at one moment share that call.
func (h host) Wake(d time.Duration) {
	e := h.e
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
	e := h.e
	told := func(ok bool, load policy.Load) {
		e.post(func(now time.Duration) { e.b.Probed(now, to, ok, load) })
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
	if s := h.e.servers[to]; s != nil {
		s.CloseIdle()
	}
}

// WatchList subscribes to the server list.
func (h host) WatchList() { h.e.Watch() }

// Log writes a line for the people on call.
func (h host) Log(line string) { h.e.Log.Info("module", "says", line) }
