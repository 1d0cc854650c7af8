package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/h1"
)

// Attempt is what a caller's sidecar tells the gate beside an upstream.
type Attempt struct {
	Rank int // 0 goes first
	Aim  time.Duration
	Safe bool
}

// Put writes it.
func (v Attempt) Put(fields http.Header) {
	safe := byte('0')
	if v.Safe {
		safe = '1'
	}
	b := strconv.AppendInt(nil, int64(v.Rank), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, v.Aim.Milliseconds(), 10)
	fields[attemptTerms] = []string{string(append(b, ',', safe))}
}

// ReadAttempt reads it; false: it is missing or malformed, and its sender no sidecar.
func ReadAttempt(h *h1.Head) (Attempt, bool) {
	parts := strings.SplitN(h.Get(attemptTerms), ",", 3)
	if len(parts) != 3 {
		return Attempt{}, false
	}
	rank, bad := strconv.Atoi(parts[0])
	aim, bad2 := strconv.ParseInt(parts[1], 10, 64)
	if bad != nil || bad2 != nil || aim < 0 || rank < 0 {
		return Attempt{}, false
	}
	return Attempt{Rank: rank, Aim: time.Duration(min(aim, longest.Milliseconds())) * time.Millisecond, Safe: parts[2] == "1"}, true
}

// Stripped takes off what is the gate's alone, before a request goes to the upstream.
func Stripped(fields http.Header) { delete(fields, attemptTerms) }
