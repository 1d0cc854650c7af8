package http1

import (
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// Dialect replaces the daemon's own way of parsing requests (see Target.parseRequest). With a Dialect the front does
// not respond to GET /up, and several open requests may have the same id. The functions are called from many
// goroutines.
type Dialect struct {
	// ParseRequest parses the head of a request, or rejects the request. The result may refer to strings of the head
	// but to no other part of it.
	ParseRequest func(h *h1.Head) (q policy.Request, timeout time.Duration, rejection *Rejection)
	// RewriteHeaders changes the header fields that are forwarded to a server.
	RewriteHeaders func(q *policy.Request, fields http.Header)
	// CanPipeline returns whether a request may be processed while earlier requests of its connection are open, and
	// while later ones are: true for an idempotent request. Up to maxPipelined such requests without a body are read
	// ahead; responses are sent in the order of the requests. A response that closes the connection cancels the
	// requests behind it. nil: one request at a time.
	CanPipeline func(q *policy.Request) bool
	// ProxyHeaders returns the header fields of a response that the proxy generates itself. h is the head of the
	// request; a is nil for a rejection.
	ProxyHeaders func(h *h1.Head, a *call.Answer) http.Header
}

// Rejection is the reason why a request can't be accepted, and the response that the front sends for it.
type Rejection struct {
	Status     int
	Reason     string        // body of the response if the connection closes
	KeepAlive  bool          // the head is well-formed, so the connection stays open
	RetryAfter time.Duration // value of Retry-After; 0: no such field
}
