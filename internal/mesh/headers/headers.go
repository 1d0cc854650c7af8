// Package headers defines the header fields that requests and responses carry through the mesh: names, formats, and
// what the head of a response proves about the execution of its request. The package makes no other decisions and keeps
// no global state.
//
// A response between two sidecars is of one of three kinds: executed, with the upstream's own response; not executed,
// with the guarantee that the request never will be; and unknown, which covers everything else. A request that is not
// idempotent may be sent again only after a response of the second kind.
//
// Names and values of the fields are a wire protocol with earlier releases, so some of them differ from the names in
// the code. docs/glossary.md lists them.
//
// All functions, and the methods of SendIDSource, may be called from any goroutine. A function that changes header
// fields must be called by the goroutine that owns the fields.
package headers

import (
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/proxy/h1"
)

// Names of header fields, in canonical form.
const (
	AttemptID   = "X-Caperarch-Attempt-Id"        // id of a request, set by the client and returned in the response
	Timeout     = "X-Caperarch-Timeout-Remaining" // time until the caller's deadline, in milliseconds
	Signature   = "X-Caperarch-Server-Signature"  // upstream's signature of a successful response
	Tenant      = "X-Caperarch-Tenant-Id"         // name of the tenant that the caller's sidecar has found
	Target      = "X-Caperarch-Target-Instance"   // id of the upstream instance that an attempt is for
	Caller      = "X-Caperarch-Caller-Service"    // service of the caller's sidecar
	NotExecuted = "X-Caperarch-Not-Executed"      // present: the request was not executed and never will be
	Load        = "X-Caperarch-Instance-Load"     // load of the upstream instance, see FormatLoad
	Instance    = "X-Caperarch-Instance-Id"       // id of the upstream instance that responds
	APIKey      = "X-Api-Key"                     // API key of the client's tenant

	// Fields between sidecars. Neither clients nor upstreams receive them.

	attemptTermsField = "X-Mesh-Visit"   // priority, latency target in milliseconds, 1 if idempotent
	SendIDField       = "X-Mesh-Send"    // a SendID
	gateLoadField     = "X-Mesh-Load"    // running requests, queued requests and slots at the gate
	outcomeField      = "X-Mesh-Verdict" // kind of a response that the gate itself makes
)

// Values of outcomeField.
const (
	outcomeNotExecuted = "turned"  // the request was not executed and never will be
	outcomeUnknown     = "unknown" // the request may have been executed
)

// maxTimeout caps the timeouts and latency targets that are parsed.
const maxTimeout = 10 * time.Minute

// ParseTimeout parses a timeout in milliseconds, and caps it at maxTimeout. It returns false for a malformed timeout
// and for a timeout that is not positive.
func ParseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	ms = min(ms, float64(maxTimeout/time.Millisecond))
	timeout := time.Duration(ms * float64(time.Millisecond))
	return timeout, timeout > 0
}

// IsExpired reports whether a timeout is well-formed and zero, so that the client no longer waits for the response.
func IsExpired(text string) bool {
	ms, err := strconv.ParseFloat(text, 64)
	return err == nil && ms == 0
}

// DuplicateField returns the first of the names whose field occurs more than once, or "". Of such a field, two readers
// of the request could take different values.
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

// HasDuplicateControlField reports whether a request between sidecars contains a field more than once that controls the
// handling of the request.
func HasDuplicateControlField(h *h1.Head) bool {
	return DuplicateField(
		h, AttemptID, Timeout, Target, attemptTermsField, SendIDField, configField, keyDigestField) != ""
}

// StripInternal removes the fields that only sidecars may set, and the API key, from a client's request.
func StripInternal(fields http.Header) {
	for _, name := range []string{
		attemptTermsField, SendIDField, gateLoadField, outcomeField, configField, keyDigestField, Target, Tenant,
		Caller, APIKey,
	} {
		delete(fields, name)
	}
}

// StripSidecarFields removes the fields that are meant for the gate only, before the gate forwards a request to the
// upstream.
func StripSidecarFields(fields http.Header) {
	delete(fields, attemptTermsField)
	delete(fields, SendIDField)
	delete(fields, configField)
	delete(fields, keyDigestField)
}
