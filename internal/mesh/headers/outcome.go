package headers

import (
	"net/http"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

const (
	// StatusConfigOutdated is the status with which a gate rejects an attempt that a newer configuration than the
	// caller's does not allow.
	StatusConfigOutdated = http.StatusConflict
	// ConfigOutdated is the ending of an attempt that a gate rejected with StatusConfigOutdated. The attempt did not
	// reach the upstream, and every other gate with that configuration would reject it as well. The value extends the
	// endings of package policy.
	ConfigOutdated policy.Ending = 64
)

// GateResponseFields returns the fields of a response that the gate itself makes for an attempt. notExecuted states
// whether the response guarantees that the request was not executed and never will be, or that this is unknown.
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

// MatchesAttempt reports whether a response belongs to a request. Upstreams and gates return the request's AttemptID.
func MatchesAttempt(m *call.Message, res *http.Response) bool {
	ids := res.Header[AttemptID]
	return len(ids) == 1 && len(m.Header[AttemptID]) == 1 && ids[0] == m.Header[AttemptID][0]
}

// ClassifyUpstreamResponse returns the ending of an attempt that the head of an upstream's response proves, and the
// load that the response reports. A 2xx response without a signature, or with a Content-Encoding, which was not
// requested, does not prove that the request was served. Neither does a number that is no final status of HTTP.
func ClassifyUpstreamResponse(res *http.Response) (policy.Ending, policy.Load) {
	load := ParseLoad(res.Header.Get(Load))
	switch {
	case res.Header[NotExecuted] != nil, res.StatusCode == http.StatusMisdirectedRequest:
		return policy.NotProcessed, load
	case res.StatusCode/100 == 2 && (res.Header[Signature] == nil || res.Header["Content-Encoding"] != nil):
		return policy.ConnectionLost, load
	case impliesNotExecuted(res.StatusCode):
		return policy.ConnectionLost, load // clients would take the status as a proof, which the upstream did not give
	}
	switch res.StatusCode / 100 {
	case 2, 3, 4:
		return policy.Served, load
	case 5:
		return policy.Errored, load
	}
	return policy.ConnectionLost, load
}

// ClassifyGateResponse returns the ending of an attempt that the head of a response from a gate proves, and the gate's
// load. The response is either made by the gate or forwarded from the upstream.
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

// impliesNotExecuted reports whether the mesh's clients take a status as a proof that their request was not executed
// and never will be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}
