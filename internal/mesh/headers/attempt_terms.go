package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/proxy/h1"
)

// AttemptTerms are what a caller's sidecar sends to the gate beside an upstream about an attempt.
type AttemptTerms struct {
	Priority      int           // 0 goes first
	LatencyTarget time.Duration // travels in whole milliseconds
	Idempotent    bool          // the request may run more than once
}

// Set replaces the terms in a request's fields.
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

// ParseAttemptTerms reads the terms of a request. It returns false if they are missing or malformed:
// then the sender is no sidecar.
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
	target = min(target, maxTimeout.Milliseconds()) // guards time.Duration against overflow
	return AttemptTerms{
		Priority:      priority,
		LatencyTarget: time.Duration(target) * time.Millisecond,
		Idempotent:    parts[2] == "1",
	}, true
}
