package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// inbound reads the requests that other sidecars, and this one, have for the upstream beside it.
type inbound struct {
	instance atomic.Pointer[string] // of the upstream as it told last; nil: none has
	gate     *gate.Gate
	clock    clock.Clock
}

func (i *inbound) frontDialect() *http1.Dialect {
	return &http1.Dialect{Read: i.admit, Pass: i.stripHeaders, Own: i.ownResponseFields}
}

func (i *inbound) loadField() string {
	running, waiting, slots := i.gate.Load()
	return headers.FormatLoad(running, waiting, slots)
}

// read takes a request of a sidecar. One for another instance than the one here is turned back: it
// has not run, and the instance that it was for is gone.
func (i *inbound) admit(h *h1.Head) (q policy.Request, left time.Duration, bad *http1.Rejection) {
	terms, left, ok := parseAttempt(h)
	if !ok {
		return q, 0, &http1.Rejection{Status: http.StatusBadRequest, Reason: "no request of a sidecar"}
	}
	instance := i.instance.Load()
	if instance == nil || *instance != h.Get(headers.Target) {
		return q, 0, &http1.Rejection{Status: http.StatusServiceUnavailable, Reason: "another instance is here", Keep: true}
	}
	return policy.Request{Terms: terms}, left, nil
}

// attemptOf reads what a request says of itself; false: it comes from no sidecar, or says something
// twice that two readers could heed differently.
func parseAttempt(h *h1.Head) (terms *gate.AttemptTerms, left time.Duration, ok bool) {
	said, sound := headers.ParseAttemptTerms(h)
	send, sent := headers.ParseSendID(h)
	left, timed := headers.ParseTimeout(h.Get(headers.Timeout))
	id := h.Get(headers.AttemptID)
	if !sound || !sent || !timed || id == "" || headers.HasDuplicateControlField(h) {
		return nil, 0, false
	}
	terms = &gate.AttemptTerms{Priority: said.Priority, Idempotent: said.Idempotent, LatencyTarget: said.LatencyTarget}
	if !said.Idempotent {
		terms.Key, terms.SendID = gate.KeyOf(id), gate.SendID(send)
	}
	return terms, left, true
}

func (i *inbound) stripHeaders(_ *policy.Request, fields http.Header) {
	headers.StripSidecarFields(fields)
}

// own are the fields of an answer of this gate's own.
func (i *inbound) ownResponseFields(h *h1.Head, a *call.Answer) http.Header {
	return headers.GateResponseFields(h.Get(headers.AttemptID), i.provablyNotExecuted(h, a), i.loadField())
}

// neverRan says whether an answer of our own may say that its request never ran and never will.
// What the engine refuses the gate has seen to. What the front refuses by itself has to be
// remembered, so that no late copy of it runs.
func (i *inbound) provablyNotExecuted(h *h1.Head, a *call.Answer) bool {
	if a != nil && a.Kind != call.Refused {
		return false
	}
	terms, left, ok := parseAttempt(h)
	if !ok || terms.Idempotent || a != nil && !a.Unasked {
		return true // one that can't be read is never run by anyone
	}
	return i.gate.AttemptLog().RecordRejection(i.clock.Now(), terms.Key, terms.SendID, left)
}

// judge says what an upstream's answer proves, and has it tell the gate's load to the caller's sidecar.
func (i *inbound) classifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	running, waiting, slots := i.gate.Load()
	headers.SetGateLoad(res.Header, headers.FormatLoad(max(0, running-1), waiting, slots)) // this one is over
	return headers.ClassifyUpstreamResponse(res)
}
