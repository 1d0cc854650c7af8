// Package headers owns the header fields that a request and its response carry through the mesh: their
// names, their format, and what the head of a response proves about the request's execution. It decides
// nothing else, and keeps no state: its functions may be called from any goroutine, SendIDSource
// included. A function that changes fields is called by their owner.
//
// Between two sidecars there are three kinds of responses: the request was executed, with the
// upstream's own bytes; it was not executed and never will be; and unknown, which is everything else.
// Only the second allows a request that isn't idempotent to be sent again.
//
// Names and values of the fields are a protocol with earlier releases. Some of them keep older words
// than the code: docs/glossary.md lists them.
package headers

import (
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/proxy/h1"
)

// Fields of requests and responses, in canonical form.
const (
	AttemptID   = "X-Caperarch-Attempt-Id"
	Timeout     = "X-Caperarch-Timeout-Remaining" // milliseconds
	Signature   = "X-Caperarch-Server-Signature"
	Tenant      = "X-Caperarch-Tenant-Id"
	Target      = "X-Caperarch-Target-Instance"
	Caller      = "X-Caperarch-Caller-Service"
	NotExecuted = "X-Caperarch-Not-Executed"
	Load        = "X-Caperarch-Instance-Load"
	Instance    = "X-Caperarch-Instance-Id"
	Key         = "X-Api-Key"

	// Fields between sidecars only: neither clients nor upstreams see them.
	attemptTermsField = "X-Mesh-Visit"   // priority, milliseconds of the latency target, 1 if idempotent
	SendIDField       = "X-Mesh-Send"    // a SendID
	gateLoadField     = "X-Mesh-Load"    // running, waiting, slots at the gate
	outcomeField      = "X-Mesh-Verdict" // only in a gate's own responses
)

// Values of outcomeField.
const (
	outcomeNotExecuted = "turned"  // it has not run, and never will
	outcomeUnknown     = "unknown" // it may have run
)

// maxTimeout is what longer timeouts count as.
const maxTimeout = 10 * time.Minute

// ParseTimeout reads a timeout in milliseconds. It returns false for what can't be read, and for what
// isn't positive.
func ParseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	ms = min(ms, float64(maxTimeout/time.Millisecond))
	timeout := time.Duration(ms * float64(time.Millisecond))
	return timeout, timeout > 0
}

// IsExpired reports whether a timeout is well formed and zero: the client no longer waits.
func IsExpired(text string) bool {
	ms, err := strconv.ParseFloat(text, 64)
	return err == nil && ms == 0
}

// DuplicateField returns the first of the names whose field is given more than once, or "". Two readers
// of such a request may read different ones.
func DuplicateField(h *h1.Head, names ...string) string {
	for _, name := range names {
		seen := false
		for i := range h.Fields {
			if h.Fields[i].Name == name {
				if seen {
					return name
				}
				seen = true
			}
		}
	}
	return ""
}

// HasDuplicateControlField reports whether a request between sidecars gives a field more than once that
// controls how it is handled.
func HasDuplicateControlField(h *h1.Head) bool {
	return DuplicateField(
		h, AttemptID, Timeout, Target, attemptTermsField, SendIDField, configField, keyDigestField) != ""
}

// StripInternal removes from a client's request the fields that only sidecars may set.
func StripInternal(fields http.Header) {
	for _, name := range []string{
		attemptTermsField, SendIDField, gateLoadField, outcomeField, configField, keyDigestField, Target, Tenant,
		Caller, Key,
	} {
		delete(fields, name)
	}
}

// StripSidecarFields removes what is meant for the gate alone, before a request goes to the upstream.
func StripSidecarFields(fields http.Header) {
	delete(fields, attemptTermsField)
	delete(fields, SendIDField)
	delete(fields, configField)
	delete(fields, keyDigestField)
}
