package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"caperarch/internal/call"
	"caperarch/internal/front/http1"
	"caperarch/internal/h1"
	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/policy"
)

// inbound reads the requests that other sidecars, and this one, have for the upstream beside it.
type inbound struct {
	instance atomic.Pointer[string] // of the upstream as it told last; nil: none has
	gate     *gate.Gate
}

func (i *inbound) dialect() *http1.Dialect {
	return &http1.Dialect{Read: i.read, Pass: i.pass, Own: func(h *h1.Head, a *call.Answer) http.Header {
		return headers.Own(h.Get(headers.AttemptID), a, i.load())
	}}
}

func (i *inbound) load() string {
	running, waiting, slots := i.gate.Load()
	return headers.LoadText(running, waiting, slots)
}

// read takes a request of a sidecar. One for another instance than the one here is turned back: it has not run, and the instance that it was for is gone.
func (i *inbound) read(h *h1.Head) (q policy.Request, left time.Duration, bad *http1.Rejection) {
	terms, ok := headers.ReadAttempt(h)
	left, timed := headers.Milliseconds(h.Get(headers.Timeout))
	if !ok || !timed || h.Get(headers.AttemptID) == "" {
		return q, 0, &http1.Rejection{Status: http.StatusBadRequest, Reason: "no request of a sidecar"}
	}
	instance := i.instance.Load()
	if instance == nil || *instance != h.Get(headers.Target) {
		return q, 0, &http1.Rejection{Status: http.StatusServiceUnavailable, Reason: "another instance is here", Keep: true}
	}
	return policy.Request{Terms: &gate.Attempt{Rank: terms.Rank, Safe: terms.Safe, Aim: terms.Aim}}, left, nil
}

func (i *inbound) pass(_ *policy.Request, fields http.Header) { headers.Stripped(fields) }

// judge says what an upstream's answer proves, and has it tell the gate's load to the caller's sidecar.
func (i *inbound) judge(res *http.Response) (policy.Ending, policy.Load) {
	running, waiting, slots := i.gate.Load()
	headers.Stamp(res.Header, headers.LoadText(max(0, running-1), waiting, slots)) // this one is over
	return headers.JudgeUpstream(res)
}
