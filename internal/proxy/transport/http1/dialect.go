package http1

import (
	"net/http"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Dialect is how requests are written and responses understood where that is not the daemon's own way. Its functions
// are called from many goroutines.
type Dialect struct {
	TimeoutField string // field that tells a server how many milliseconds are left
	// MatchesRequest returns whether a response belongs to a request. One that does not is discarded, and the next one
	// is read.
	MatchesRequest func(m *call.Message, res *http.Response) bool
	// Classify is what a response's head proves. Only a response that is Served may be streamed.
	Classify func(res *http.Response) (policy.Ending, policy.Load)
	// NewSendID is the value of the field SendIDField that each send of an attempt has anew, so that its receiver can
	// tell a second send of a request from a late copy of the first. nil: there is none.
	NewSendID   func() string
	SendIDField string
}

// isRejection returns whether a response rejects a request that may come again under its id. A second copy of the
// response, on a connection that is used again, could be read as the response to that.
func (t *Transport) isRejection(res *http.Response) bool {
	if t.dialect == nil {
		return false
	}
	ending, _ := t.dialect.Classify(res)
	return ending == policy.NotProcessed
}

// classify is what a response's head proves.
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
		return policy.InvalidRequest, load // RFC 9110, 15.5: the client's fault; 408 and 429 say nothing of the request
	}
	return policy.Errored, load
}
