package http1

import (
	"net/http"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Dialect describes how requests are written and responses are interpreted for a protocol other than the daemon's own.
// Its functions must be safe for concurrent use.
type Dialect struct {
	TimeoutField string // request field with the remaining time in milliseconds
	// MatchesRequest reports whether a response belongs to a request. A response that does not is discarded, and the
	// next response is read.
	MatchesRequest func(m *call.Message, res *http.Response) bool
	// Classify returns the ending and the load that a response's head indicates. Only a response that is classified as
	// Served may be streamed.
	Classify func(res *http.Response) (policy.Ending, policy.Load)
	// NewSendID returns a new value of the field SendIDField for each send of an attempt, so that the receiver can
	// distinguish a second send of a request from a late copy of the first send. nil: requests have no send id.
	NewSendID   func() string
	SendIDField string
}

// isRejection reports whether a response rejects a request that may be sent again under the same id. If the connection
// were reused, a second copy of the rejection could be read as the response to that second request.
func (t *Transport) isRejection(res *http.Response) bool {
	if t.dialect == nil {
		return false
	}
	ending, _ := t.dialect.Classify(res)
	return ending == policy.NotProcessed
}

// classify returns the ending and the load that a response's head indicates.
func (t *Transport) classify(res *http.Response) (policy.Ending, policy.Load) {
	if t.dialect != nil {
		return t.dialect.Classify(res)
	}
	load := t.parseLoad(res.Header.Get("X-Server-Load"))
	notProcessed := res.Header.Get("X-Not-Processed") == "1"
	switch status := res.StatusCode; {
	case status == http.StatusOK:
		return policy.Served, load
	case notProcessed && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
		return policy.NotProcessed, load
	case status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		return policy.InvalidRequest, load // RFC 9110, 15.5: a client error; 408 and 429 are no error in the request itself
	}
	return policy.Errored, load
}
