package headers

import (
	"net/http"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const (
	// StatusConfigOutdated is the status of a gate that rejects an attempt because a newer configuration than
	// its caller's does not allow it.
	StatusConfigOutdated = http.StatusConflict
	// ConfigOutdated is the ending of such an attempt: it never came to the upstream, and no other gate would
	// let it. It is the mesh's own, beside those of package policy.
	ConfigOutdated policy.Ending = 64
)

// GateResponseFields returns the fields of a gate's own response to an attempt: whether it proves that
// the request was not executed and never will be, or leaves that open.
func GateResponseFields(attemptID string, notExecuted bool, load string) http.Header {
	outcome := outcomeUnknown
	if notExecuted {
		outcome = outcomeNotExecuted
	}
	fields := http.Header{AttemptID: {attemptID}, outcomeField: {outcome}, gateLoadField: {load}}
	if notExecuted {
		fields[NotExecuted] = []string{"1"}
	}
	return fields
}

// MatchesAttempt reports whether a response belongs to a request: upstreams and gates return its id.
func MatchesAttempt(m *call.Message, res *http.Response) bool {
	ids := res.Header[AttemptID]
	return len(ids) == 1 && len(m.Header[AttemptID]) == 1 && ids[0] == m.Header[AttemptID][0]
}

// ClassifyUpstreamResponse returns what the head of an upstream's response proves, and the load that it
// reports. A success without a signature, or in an encoding that wasn't requested, isn't one.
func ClassifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	load := ParseLoad(res.Header.Get(Load))
	switch {
	case res.Header[NotExecuted] != nil, res.StatusCode == http.StatusMisdirectedRequest:
		return policy.NotProcessed, load
	case res.StatusCode/100 == 2 && (res.Header[Signature] == nil || res.Header["Content-Encoding"] != nil):
		return policy.ConnectionLost, load
	case impliesNotExecuted(res.StatusCode):
		return policy.ConnectionLost, load // our client would take it for a proof, which the upstream didn't give
	case res.StatusCode/100 == 5:
		return policy.Errored, load
	}
	return policy.Served, load
}

// ClassifyGateResponse returns what the head of a response from a gate proves, be it the gate's own or
// forwarded from the upstream, and the gate's load.
func ClassifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	load := ParseLoad(res.Header.Get(gateLoadField))
	switch res.Header.Get(outcomeField) {
	case outcomeNotExecuted:
		if res.StatusCode == StatusConfigOutdated {
			return ConfigOutdated, load
		}
		return policy.GateRejected, load
	case "":
	default:
		return policy.ConnectionLost, load
	}
	ending, _ := ClassifyUpstreamResponse(res)
	return ending, load
}

// impliesNotExecuted reports whether our clients take a status as proof that their request was not executed
// and never will be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}
