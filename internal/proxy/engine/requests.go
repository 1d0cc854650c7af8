package engine

import (
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// request is a request that has no answer yet, or has attempts that have not ended.
type request struct {
	policy       policy.Request // the request as the module knows it
	message      *call.Message
	reply        chan<- call.Answer
	deadline     time.Duration
	attempts     []sentAttempt // by attempt number
	inFlight     int           // attempts whose Outcome has not been reported
	bodyClaimed  bool          // an attempt streams the body, so there can be no other attempt
	finished     bool          // it has its final answer, or its client has disconnected
	clientGone   bool          // its client disconnected, at clientGoneAt
	clientGoneAt time.Duration
	timedOut     bool         // its last attempt timed out; becomes Answer.TimedOut if it fails
	lastResult   *call.Result // the last error answer of a server; nil: none
}

// Submit accepts a request and returns the ID that it assigns to it. The final answer is sent to reply, which must have
// buffer space for it. The caller must not change m afterwards. deadline is a time of the engine's clock.
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

// bodyClaimed is called when an attempt starts to stream a request's body. No other attempt can send that body, so the
// request ends for the module, and the result of this attempt determines the answer.
func (e *Engine) bodyClaimed(id policy.RequestID) {
	r := e.requests[id]
	if r == nil || r.finished || r.bodyClaimed {
		return
	}
	r.bodyClaimed = true
	// NotSent is an outcome that says nothing about the server. It is reported before the attempt ends, so that a
	// client that sends slowly does not occupy a slot that other requests need.
	e.module.Outcome(e.now, policy.Outcome{
		ID: id, Attempt: len(r.attempts) - 1, Ending: policy.NotSent, Finished: true,
	})
}

// ClientGone reports that a request's client has disconnected: the request gets no answer, and the module cancels its
// attempts. It has no effect on a request that has its answer.
func (e *Engine) ClientGone(id policy.RequestID) {
	e.post(func(now time.Duration) {
		if r := e.requests[id]; r != nil && !r.finished {
			r.clientGone, r.clientGoneAt = true, now
			e.abandoned.clientDisconnected(r.inFlight)
			e.finish(id, r, nil)
			e.module.ClientGone(now, id)
			e.cancelAbandonedUpload(r)
		}
	})
}

// cancelAbandonedUpload cancels the attempt that streams the body of a request whose client has disconnected, if
// Config.CancelAbandonedUpload says so.
func (e *Engine) cancelAbandonedUpload(r *request) {
	if !r.bodyClaimed || e.CancelAbandonedUpload == nil || !e.CancelAbandonedUpload(r.policy) {
		return
	}
	r.attempts[len(r.attempts)-1].cancel()
}

// finish ends a request with its answer; a is nil if the client has disconnected.
func (e *Engine) finish(id policy.RequestID, r *request, a *call.Answer) {
	r.finished = true
	if a != nil {
		r.reply <- *a
	}
	if r.inFlight == 0 {
		delete(e.requests, id)
	}
}

// reportOutcome reports the end of an attempt to the module. It is called once for each attempt.
func (e *Engine) reportOutcome(o policy.Outcome) {
	r := e.requests[o.ID]
	r.inFlight--
	if r.clientGone {
		e.abandoned.attemptEnded(e.now - r.clientGoneAt)
	}
	o.Finished = r.finished
	if !r.bodyClaimed { // otherwise bodyClaimed has reported the outcome
		e.module.Outcome(e.now, o)
	}
	if r.finished && r.inFlight == 0 {
		delete(e.requests, o.ID)
	}
}

// attemptEnded handles the result of an attempt. The first served answer is passed on to the client and finishes the
// request.
func (e *Engine) attemptEnded(id policy.RequestID, number int, res call.Result) {
	r := e.requests[id]
	if res.Stream != nil && !res.Detached {
		e.streamBegun(id, r, res)
		return
	}
	r.timedOut = res.Ending == policy.TimedOut
	e.recordEnding(&r.attempts[number], res.Ending)
	if res.Ending == policy.Errored || res.Ending == policy.InvalidRequest {
		r.lastResult = &res
	}
	switch {
	case r.finished:
		if res.Stream != nil { // the request has another answer, so no client reads this stream
			go res.Stream.Close()
		}
	case res.Ending == policy.Served:
		e.finish(id, r, &call.Answer{
			Kind: call.Served, Status: res.Status, Header: res.Header, Trailer: res.Trailer, Body: res.Body,
			Stream: res.Stream,
		})
	case r.bodyClaimed:
		e.finishUpload(id, r, res.Ending)
	}
	e.reportOutcome(policy.Outcome{ID: id, Attempt: number, Ending: res.Ending, Load: res.Load})
}

// finishUpload answers a request whose body was streamed to this attempt: refused if the ending proves that the request
// did not run, failed otherwise.
func (e *Engine) finishUpload(id policy.RequestID, r *request, ending policy.Ending) {
	if ending.NeverRan() || ending == policy.GateRejected {
		e.finish(id, r, &call.Answer{Kind: call.Refused, RetryAfter: uploadRetryAfter})
		return
	}
	e.finish(id, r, &call.Answer{Kind: call.Failed, TimedOut: r.timedOut, LastResult: r.lastResult})
}

// streamBegun is called when an attempt's answer starts as a stream. It finishes the request: the client reads the
// answer from the stream, and the end of the attempt only frees the attempt's slot.
func (e *Engine) streamBegun(id policy.RequestID, r *request, res call.Result) {
	if r.finished { // the request has another answer, so no client reads this stream
		go res.Stream.Close() // a new goroutine, as Close posts the stream's end and this is the goroutine of Run
		return
	}
	e.finish(id, r, &call.Answer{
		Kind: call.Served, Status: res.Status, Header: res.Header, Stream: res.Stream,
	})
	e.module.StreamStarted(id)
}
