package engine

import (
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// request is one that has no answer yet, or whose answered attempts have not all ended.
type request struct {
	policy       policy.Request // as the module has it
	message      *call.Message
	reply        chan<- call.Answer
	deadline     time.Duration
	attempts     []sentAttempt // by number
	inFlight     int           // attempts without an Outcome
	bodyClaimed  bool          // an attempt streams the body, so there is no other attempt
	finished     bool          // it has its final answer, or its client has gone
	clientGone   bool          // its client has gone, at clientGoneAt
	clientGoneAt time.Duration
	timedOut     bool         // its last attempt timed out: Answer.TimedOut of a failure
	lastResult   *call.Result // the last answer of a server that was an error
}

// Submit accepts a request and gives it its ID, which it returns. The final answer goes to reply, which must
// have room for it. m must not change any more; deadline is on the engine's clock.
func (e *Engine) Submit(
	q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer,
) policy.RequestID {
	q.ID = policy.RequestID(e.lastID.Add(1))
	if m.Upload != nil {
		m.Upload.OnClaim(func() { e.post(func(time.Duration) { e.bodyClaimed(q.ID) }) })
	}
	e.post(func(now time.Duration) {
		q.TimeLeft = deadline - now
		e.requests[q.ID] = &request{policy: q, message: m, deadline: deadline, reply: reply}
		e.module.Request(now, q)
	})
	return q.ID
}

// bodyClaimed handles that an attempt streams a request's body: the module has no further say in the request,
// whose answer is what the attempt's end proves.
func (e *Engine) bodyClaimed(id policy.RequestID) {
	r := e.requests[id]
	if r == nil || r.finished || r.bodyClaimed {
		return
	}
	r.bodyClaimed = true
	// The outcome says nothing of the server. It comes now, as a client that sends slowly must not occupy a
	// slot that others need.
	e.module.Outcome(e.now, policy.Outcome{
		ID: id, Attempt: len(r.attempts) - 1, Ending: policy.NotSent, Finished: true,
	})
}

// ClientGone tells that a request's client has gone: it gets no answer any more, and its attempts are
// cancelled. A request that is answered already is ignored.
func (e *Engine) ClientGone(id policy.RequestID) {
	e.post(func(now time.Duration) {
		if r := e.requests[id]; r != nil && !r.finished {
			r.clientGone, r.clientGoneAt = true, now
			e.abandoned.clientLeft(r.inFlight)
			e.finish(id, r, nil)
			e.module.ClientGone(now, id)
			e.cancelAbandonedUpload(r)
		}
	})
}

// cancelAbandonedUpload cancels the attempt that streams a request's body, if the configuration says so. Its
// client has gone.
func (e *Engine) cancelAbandonedUpload(r *request) {
	if !r.bodyClaimed || e.CancelAbandonedUpload == nil || !e.CancelAbandonedUpload(r.policy) {
		return
	}
	r.attempts[len(r.attempts)-1].cancel()
}

// finish ends a request with its one answer, or with none (nil) where the client has gone.
func (e *Engine) finish(id policy.RequestID, r *request, a *call.Answer) {
	r.finished = true
	if a != nil {
		r.reply <- *a
	}
	if r.inFlight == 0 {
		delete(e.requests, id)
	}
}

// reportOutcome tells the module how an attempt ended, once for each.
func (e *Engine) reportOutcome(o policy.Outcome) {
	r := e.requests[o.ID]
	r.inFlight--
	if r.clientGone {
		e.abandoned.attemptEnded(e.now - r.clientGoneAt)
	}
	o.Finished = r.finished
	if !r.bodyClaimed { // else bodyClaimed has reported it
		e.module.Outcome(e.now, o)
	}
	if r.finished && r.inFlight == 0 {
		delete(e.requests, o.ID)
	}
}

// attemptEnded handles the result of an attempt. The first answer of a server goes to the client at once and
// finishes the request.
func (e *Engine) attemptEnded(id policy.RequestID, number int, res call.Result) {
	r := e.requests[id]
	if res.Stream != nil && !res.Detached {
		e.streamBegun(id, r, res)
		return
	}
	r.timedOut = res.Ending == policy.TimedOut
	e.recordEnding(&r.attempts[number], res.Ending)
	switch {
	case r.finished:
		if res.Stream != nil { // too late, nobody reads it
			go res.Stream.Close()
		}
	case res.Ending == policy.Served:
		e.finish(id, r, &call.Answer{
			Kind: call.Served, Status: res.Status, Header: res.Header, Trailer: res.Trailer, Body: res.Body,
			Stream: res.Stream,
		})
	case r.bodyClaimed:
		e.finishUpload(id, r, &res)
	case res.Ending == policy.Errored || res.Ending == policy.InvalidRequest:
		r.lastResult = &res
	}
	e.reportOutcome(policy.Outcome{ID: id, Attempt: number, Ending: res.Ending, Load: res.Load})
}

// finishUpload answers a request whose body only this attempt could send, by what the attempt's end proves.
func (e *Engine) finishUpload(id policy.RequestID, r *request, res *call.Result) {
	if res.Ending.NeverRan() || res.Ending == policy.GateRejected {
		e.finish(id, r, &call.Answer{Kind: call.Refused, RetryAfter: uploadRetryAfter})
		return
	}
	e.finish(id, r, &call.Answer{Kind: call.Failed, TimedOut: r.timedOut, LastResult: r.lastResult})
}

// streamBegun handles that an attempt's answer is streamed. It finishes the request: the client reads the
// answer from the stream, and the attempt's end only frees its slot.
func (e *Engine) streamBegun(id policy.RequestID, r *request, res call.Result) {
	if r.finished { // too late, nobody reads it
		go res.Stream.Close() // in a goroutine, as its end is posted to the one that this is
		return
	}
	e.finish(id, r, &call.Answer{
		Kind: call.Served, Status: res.Status, Header: res.Header, Stream: res.Stream,
	})
	e.module.StreamStarted(id)
}
