package headers

import (
	"net/http"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// GateResponseFields are the fields of a gate's own answer: whether it says that the request never ran and never
// will, or that nobody can say.
func GateResponseFields(id string, neverRan bool, load string) http.Header {
	outcome := outcomeUnknown
	if neverRan {
		outcome = outcomeNotExecuted
	}
	fields := http.Header{AttemptID: {id}, outcomeField: {outcome}, gateLoadField: {load}}
	if neverRan {
		fields[NotExecuted] = []string{"1"}
	}
	return fields
}

// MatchesAttempt says whether an answer belongs to a request: upstreams and gates bring its id back.
func MatchesAttempt(m *call.Message, res *http.Response) bool {
	ids := res.Header[AttemptID]
	return len(ids) == 1 && len(m.Header[AttemptID]) == 1 && ids[0] == m.Header[AttemptID][0]
}

// ClassifyUpstreamResponse says what the head of an upstream's answer proves. A success without a stamp, or in
// an encoding that nobody asked for, is none.
func ClassifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	load := ParseLoad(res.Header.Get(Load))
	switch {
	case res.Header[NotExecuted] != nil, res.StatusCode == http.StatusMisdirectedRequest:
		return policy.TurnedAway, load
	case res.StatusCode/100 == 2 && (res.Header[Signature] == nil || res.Header["Content-Encoding"] != nil):
		return policy.Broken, load
	case impliesNotExecuted(res.StatusCode):
		return policy.Broken, load // our client would take it for a promise that nobody gave
	case res.StatusCode/100 == 5:
		return policy.Errored, load
	}
	return policy.Served, load
}

// ClassifyGateResponse says what the head of an answer from a gate proves, and takes off what is between sidecars.
func ClassifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	load := ParseLoad(res.Header.Get(gateLoadField))
	outcome := res.Header.Get(outcomeField)
	switch outcome {
	case outcomeNotExecuted:
		return policy.Gated, load
	case "":
	default:
		return policy.Broken, load
	}
	ending, _ := ClassifyUpstreamResponse(res)
	return ending, load
}

// StripGateLoad takes off an answer's fields what is between sidecars.
func StripGateLoad(fields http.Header) { delete(fields, gateLoadField) }

// SetGateLoad has an upstream's answer tell the gate's load to the caller's sidecar.
func SetGateLoad(fields http.Header, load string) {
	delete(fields, outcomeField) // only a gate may say
	fields[gateLoadField] = []string{load}
}

// promises says whether our clients take a status for the word that their request never ran and never will.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}
