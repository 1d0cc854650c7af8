package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/proxy/h1"
)

// AttemptTerms are the attributes of an attempt that a caller's sidecar sends to the gate of the upstream.
type AttemptTerms struct {
	Priority      int           // 0 is the highest priority
	LatencyTarget time.Duration // encoded in whole milliseconds
	Idempotent    bool          // the request may run more than once
}

// Set encodes the terms into a request's fields, and replaces the terms that the fields contained.
func (t AttemptTerms) Set(fields http.Header) {
	idempotent := byte('0')
	if t.Idempotent {
		idempotent = '1'
	}
	b := strconv.AppendInt(nil, int64(t.Priority), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, t.LatencyTarget.Milliseconds(), 10)
	fields[attemptTermsField] = []string{string(append(b, ',', idempotent))}
}

// ParseAttemptTerms decodes the terms of a request. It returns false if the terms are missing or malformed, in which
// case the sender is not a sidecar.
func ParseAttemptTerms(h *h1.Head) (AttemptTerms, bool) {
	parts := strings.SplitN(h.Get(attemptTermsField), ",", 3)
	if len(parts) != 3 {
		return AttemptTerms{}, false
	}
	priority, errPriority := strconv.Atoi(parts[0])
	target, errTarget := strconv.ParseInt(parts[1], 10, 64)
	if errPriority != nil || errTarget != nil || target < 0 || priority < 0 {
		return AttemptTerms{}, false
	}
	target = min(target, maxTimeout.Milliseconds()) // prevents an overflow of time.Duration
	return AttemptTerms{
		Priority:      priority,
		LatencyTarget: time.Duration(target) * time.Millisecond,
		Idempotent:    parts[2] == "1",
	}, true
}
