package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

// inbound admits the requests that sidecars, this one included, send to the local upstream.
type inbound struct {
	instance atomic.Pointer[string] // of the local upstream; nil: it is not known yet
	gate     *gate.Gate
	clock    clock.Clock
	drain    drainDeadline
	sendIDs  *headers.SendIDSource // of this sidecar's own attempts
	verifier *verifier             // nil: what callers admit is not checked
}

// frontDialect is how the front for sidecars treats their requests.
func (i *inbound) frontDialect() *fronthttp1.Dialect {
	return &fronthttp1.Dialect{
		ParseRequest:   i.admit,
		RewriteHeaders: i.stripHeaders,
		ProxyHeaders:   i.ownResponseFields,
	}
}

// upstreamDialect is how requests are sent to the local upstream, and how its responses are read.
func (i *inbound) upstreamDialect() *http1.Dialect {
	return &http1.Dialect{
		TimeoutField:   headers.Timeout,
		MatchesRequest: headers.MatchesAttempt,
		Classify:       i.classifyUpstreamResponse,
	}
}

// admit admits a request of a sidecar. One for another instance than the local one is rejected: it
// has not run, and the instance that it was for has ended.
func (i *inbound) admit(h *h1.Head) (policy.Request, time.Duration, *fronthttp1.Rejection) {
	terms, remaining, ok := parseAttempt(h)
	if !ok {
		return policy.Request{}, 0, &fronthttp1.Rejection{
			Status: http.StatusBadRequest, Reason: "no request of a sidecar",
		}
	}
	instance := i.instance.Load()
	if instance == nil || *instance != h.Get(headers.Target) {
		return policy.Request{}, 0, &fronthttp1.Rejection{
			Status: http.StatusServiceUnavailable, Reason: "another instance is here", KeepAlive: true,
		}
	}
	if rejection := i.verifier.check(h); rejection != nil {
		return policy.Request{}, 0, rejection
	}
	if !i.drain.leavesTime(i.clock.Now(), remaining) && !i.isOwn(h) {
		return policy.Request{}, 0, &fronthttp1.Rejection{
			Status: http.StatusServiceUnavailable, Reason: "this sidecar ends before the request's time",
			KeepAlive: true, RetryAfter: drainRetryAfter,
		}
	}
	return policy.Request{Terms: terms}, remaining, nil
}

// isOwn reports whether an attempt is this sidecar's own: its client is connected here, and the front for clients
// has accepted the request.
func (i *inbound) isOwn(h *h1.Head) bool {
	id, ok := headers.ParseSendID(h)
	return ok && i.sendIDs.Issued(id)
}

// parseAttempt reads the fields that a sidecar sets; false: the request comes from none, or gives a
// field twice that two readers could take differently.
func parseAttempt(h *h1.Head) (terms *gate.AttemptTerms, remaining time.Duration, ok bool) {
	stated, hasTerms := headers.ParseAttemptTerms(h)
	sendID, hasSendID := headers.ParseSendID(h)
	remaining, hasTimeout := headers.ParseTimeout(h.Get(headers.Timeout))
	id := h.Get(headers.AttemptID)
	if !hasTerms || !hasSendID || !hasTimeout || id == "" || headers.HasDuplicateControlField(h) {
		return nil, 0, false
	}
	terms = &gate.AttemptTerms{
		Priority: stated.Priority, Idempotent: stated.Idempotent, LatencyTarget: stated.LatencyTarget,
	}
	if !terms.Idempotent {
		terms.AttemptIDHash, terms.SendID = gate.HashAttemptID(id), gate.SendID(sendID)
	}
	return terms, remaining, true
}

// stripHeaders removes the fields that only sidecars read.
func (i *inbound) stripHeaders(_ *policy.Request, fields http.Header) {
	headers.StripSidecarFields(fields)
}

// ownResponseFields are the fields of a response that the front or the gate itself makes.
func (i *inbound) ownResponseFields(h *h1.Head, a *call.Answer) http.Header {
	fields := headers.GateResponseFields(h.Get(headers.AttemptID), i.provablyNotExecuted(h, a), i.loadField())
	i.verifier.setVersion(fields)
	return fields
}

// provablyNotExecuted reports whether a response of our own may promise that its request never ran
// and never will. What the engine rejects is in the gate's attempt log. What the front rejects by itself
// (a is nil or unasked) has to be recorded there now, so that no late copy of it runs.
func (i *inbound) provablyNotExecuted(h *h1.Head, a *call.Answer) bool {
	if a != nil && a.Kind != call.Refused {
		return false
	}
	terms, remaining, ok := parseAttempt(h)
	if !ok || terms.Idempotent || a != nil && !a.RejectedByFront {
		return true // one that can't be parsed is run by no sidecar
	}
	return i.gate.AttemptLog().RecordRejection(i.clock.Now(), terms.AttemptIDHash, terms.SendID, remaining)
}

// classifyUpstreamResponse returns how an attempt ended, and adds the gate's load for the caller's
// sidecar.
func (i *inbound) classifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	running, queued, slots := i.gate.Load()
	running = max(0, running-1) // without this attempt, which has ended
	headers.SetGateLoad(res.Header, headers.FormatLoad(running, queued, slots))
	i.verifier.setVersion(res.Header)
	return headers.ClassifyUpstreamResponse(res)
}

// loadField is the gate's load as its header field has it.
func (i *inbound) loadField() string {
	running, queued, slots := i.gate.Load()
	return headers.FormatLoad(running, queued, slots)
}
