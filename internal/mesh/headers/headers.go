// Package headers is what a request carries on its way through the mesh: the fields that clients,
// sidecars and upstreams read and write, and what an answer's head proves. It decides nothing.
//
// Between two sidecars there are three kinds of answer: it ran, with the upstream's own bytes; it
// did not run and never will (Verdict: turned); and unknown, which is everything else. Only the
// second lets a request that must not run twice be sent again.
package headers

import (
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/proxy/h1"
)

// Fields of requests and answers, in canonical form.
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

	// Between sidecars only: neither clients nor upstreams see them.
	attemptTermsField = "X-Mesh-Visit"   // rank, milliseconds of the aim, whether it may run more than once
	SendIDField       = "X-Mesh-Send"    // which send of its caller's sidecar this is
	gateLoadField     = "X-Mesh-Load"    // running, waiting, slots at the gate
	outcomeField      = "X-Mesh-Verdict" // of an answer that is no upstream's
)

// The verdicts.
const (
	outcomeNotExecuted = "turned"  // it has not run, and never will
	outcomeUnknown     = "unknown" // nobody can say
)

// mostLoad guards against sums that overflow: no upstream holds so many.
const maxLoad = 1 << 20

// longest is what longer time-outs count as.
const maxTimeout = 10 * time.Minute

// ParseTimeout reads a time-out; what can't be read is none.
func ParseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	left := time.Duration(min(ms, float64(maxTimeout/time.Millisecond)) * float64(time.Millisecond))
	return left, left > 0
}

// IsExpired says whether a time-out is sound and over: its request's client waits no more.
func IsExpired(text string) bool {
	ms, err := strconv.ParseFloat(text, 64)
	return err == nil && ms == 0
}

// DuplicateField is the name of a field that steers a request and is given twice, or "": two readers may
// heed different ones.
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

// HasDuplicateControlField says whether a request between sidecars gives a field twice that steers it.
func HasDuplicateControlField(h *h1.Head) bool {
	return DuplicateField(h, AttemptID, Timeout, Target, attemptTermsField, SendIDField) != ""
}

// StripInternal takes off what only sidecars may say.
func StripInternal(fields http.Header) {
	for _, name := range []string{attemptTermsField, SendIDField, gateLoadField, outcomeField, Target, Tenant, Caller, Key} {
		delete(fields, name)
	}
}
