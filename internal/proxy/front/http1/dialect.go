package http1

import (
	"net/http"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// Dialect says how requests are parsed where that is not the daemon's own way (see Target.parseRequest). With a Dialect
// the front does not answer GET /up, and several requests with the same id may be open. Its functions are called from
// many goroutines.
type Dialect struct {
	// ParseRequest parses a request's head, or rejects it. What it returns keeps no part of the head but strings.
	ParseRequest func(h *h1.Head) (q policy.Request, timeout time.Duration, rejection *Rejection)
	// RewriteHeaders changes the header that is forwarded to a server.
	RewriteHeaders func(q *policy.Request, fields http.Header)
	// CanPipeline returns whether a request may be worked on while those before it on its connection are open, and may
	// have others beside it that came behind it: an idempotent one may. Up to maxPipelined such requests without a body
	// are read ahead; the responses keep the requests' order. A response that closes the connection cancels those
	// behind it. nil: one request at a time.
	CanPipeline func(q *policy.Request) bool
	// ProxyHeaders are the fields of a response that is not a server's. h is its request's head; a is nil for a
	// rejection.
	ProxyHeaders func(h *h1.Head, a *call.Answer) http.Header
}

// Rejection is why a request can't be accepted: the front responds with it.
type Rejection struct {
	Status     int
	Reason     string        // the response's body, where the connection closes
	KeepAlive  bool          // the head is sound: its connection stays open
	RetryAfter time.Duration // Retry-After; 0: none
}
