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

// inbound admits the requests that sidecars, including this one, send to the local upstream.
type inbound struct {
	instance atomic.Pointer[string] // of the local upstream; nil until it is known
	gate     *gate.Gate
	clock    clock.Clock
	drain    drainDeadline
	sendIDs  *headers.SendIDSource // ids of this sidecar's own attempts
	verifier *verifier             // nil: attempts are not checked against the configuration
}

// frontDialect returns the dialect of the front that receives requests from sidecars.
func (i *inbound) frontDialect() *fronthttp1.Dialect {
	return &fronthttp1.Dialect{
		ParseRequest:   i.admit,
		RewriteHeaders: i.stripHeaders,
		ProxyHeaders:   i.proxyResponseFields,
	}
}

// upstreamDialect returns the dialect of requests to the local upstream and of its responses.
func (i *inbound) upstreamDialect() *http1.Dialect {
	return &http1.Dialect{
		TimeoutField:   headers.Timeout,
		MatchesRequest: headers.MatchesAttempt,
		Classify:       i.classifyUpstreamResponse,
	}
}

// admit admits a request from a sidecar. A request for an instance other than the local one is rejected without being
// executed: its target has ended, or the local instance is not known yet.
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
	if !i.drain.canFinish(i.clock.Now(), remaining) && !i.isOwnAttempt(h) {
		return policy.Request{}, 0, &fronthttp1.Rejection{
			Status: http.StatusServiceUnavailable, Reason: "this sidecar ends before the request's time",
			KeepAlive: true, RetryAfter: drainRetryAfter,
		}
	}
	return policy.Request{Attributes: terms}, remaining, nil
}

// isOwnAttempt reports whether this sidecar sent an attempt itself. The drain check doesn't apply to such an
// attempt: its client is connected to this sidecar, whose outbound front has already accepted the request.
func (i *inbound) isOwnAttempt(h *h1.Head) bool {
	id, ok := headers.ParseSendID(h)
	return ok && i.sendIDs.Issued(id)
}

// parseAttempt parses the header fields that a caller's sidecar sets. It returns false if a field is missing or
// malformed, so that the sender is no sidecar, or if a control field is duplicated, which two parsers could
// interpret differently.
func parseAttempt(h *h1.Head) (terms *gate.AttemptTerms, remaining time.Duration, ok bool) {
	parsed, hasTerms := headers.ParseAttemptTerms(h)
	sendID, hasSendID := headers.ParseSendID(h)
	remaining, hasTimeout := headers.ParseTimeout(h.Get(headers.Timeout))
	id := h.Get(headers.AttemptID)
	if !hasTerms || !hasSendID || !hasTimeout || id == "" || headers.HasDuplicateControlField(h) {
		return nil, 0, false
	}
	terms = &gate.AttemptTerms{
		Priority: parsed.Priority, Idempotent: parsed.Idempotent, LatencyTarget: parsed.LatencyTarget,
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

// proxyResponseFields returns the header fields of a response that the front or the gate creates itself.
func (i *inbound) proxyResponseFields(h *h1.Head, a *call.Answer) http.Header {
	fields := headers.GateResponseFields(h.Get(headers.AttemptID), i.provablyNotExecuted(h, a), i.loadFieldValue())
	i.verifier.setConfigVersion(fields)
	return fields
}

// provablyNotExecuted reports whether a response that this sidecar creates may promise that the request has not
// run and never will. Requests that the engine rejects are in the gate's attempt log already. A request that the
// front rejects without the engine (a is nil or a.RejectedByFront is set) has to be recorded there now, so that no
// late copy of it runs.
func (i *inbound) provablyNotExecuted(h *h1.Head, a *call.Answer) bool {
	if a != nil && a.Kind != call.Refused {
		return false
	}
	terms, remaining, ok := parseAttempt(h)
	if !ok || terms.Idempotent || a != nil && !a.RejectedByFront {
		// No sidecar runs a request that can't be parsed, an idempotent one may run again, and the engine has recorded
		// its rejection.
		return true
	}
	return i.gate.AttemptLog().RecordRejection(i.clock.Now(), terms.AttemptIDHash, terms.SendID, remaining)
}

// classifyUpstreamResponse returns how an attempt ended, and adds the gate's load to the response for the
// caller's sidecar.
func (i *inbound) classifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	running, queued, slots := i.gate.Load()
	running = max(0, running-1) // excludes this attempt, which has ended
	headers.SetGateLoad(res.Header, headers.FormatLoad(running, queued, slots))
	i.verifier.setConfigVersion(res.Header)
	return headers.ClassifyUpstreamResponse(res)
}

// loadFieldValue returns the value of the gate's load field.
func (i *inbound) loadFieldValue() string {
	running, queued, slots := i.gate.Load()
	return headers.FormatLoad(running, queued, slots)
}
