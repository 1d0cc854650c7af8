package headers

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/h1"
)

// AttemptTerms is what a caller's sidecar tells the gate beside an upstream.
type AttemptTerms struct {
	Priority      int // 0 goes first
	LatencyTarget time.Duration
	Idempotent    bool
}

// Set writes it.
func (v AttemptTerms) Set(fields http.Header) {
	safe := byte('0')
	if v.Idempotent {
		safe = '1'
	}
	b := strconv.AppendInt(nil, int64(v.Priority), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, v.LatencyTarget.Milliseconds(), 10)
	fields[attemptTermsField] = []string{string(append(b, ',', safe))}
}

// ParseAttemptTerms reads it; false: it is missing or malformed, and its sender no sidecar.
func ParseAttemptTerms(h *h1.Head) (AttemptTerms, bool) {
	parts := strings.SplitN(h.Get(attemptTermsField), ",", 3)
	if len(parts) != 3 {
		return AttemptTerms{}, false
	}
	rank, bad := strconv.Atoi(parts[0])
	aim, bad2 := strconv.ParseInt(parts[1], 10, 64)
	if bad != nil || bad2 != nil || aim < 0 || rank < 0 {
		return AttemptTerms{}, false
	}
	aim = min(aim, maxTimeout.Milliseconds())
	return AttemptTerms{Priority: rank, LatencyTarget: time.Duration(aim) * time.Millisecond, Idempotent: parts[2] == "1"}, true
}

// StripSidecarFields takes off what is the gate's alone, before a request goes to the upstream.
func StripSidecarFields(fields http.Header) {
	delete(fields, attemptTermsField)
	delete(fields, SendIDField)
}

// SendID names one send of a request: no two of them are alike, and later ones of a sender have
// higher numbers.
type SendID struct {
	Sender uint64 // drawn anew at each start of a sidecar
	Number uint64
}

// String is a send as it travels.
func (s SendID) String() string {
	b := strconv.AppendUint(nil, s.Sender, 16)
	b = append(b, '.')
	return string(strconv.AppendUint(b, s.Number, 10))
}

// ParseSendID reads it; false: it is missing or malformed, and its sender no sidecar.
func ParseSendID(h *h1.Head) (SendID, bool) {
	sender, number, _ := strings.Cut(h.Get(SendIDField), ".")
	from, bad := strconv.ParseUint(sender, 16, 64)
	n, bad2 := strconv.ParseUint(number, 10, 64)
	return SendID{Sender: from, Number: n}, bad == nil && bad2 == nil
}

// SendIDSource numbers the sends of a process. Its methods may be called from any goroutine.
type SendIDSource struct {
	sender uint64
	last   atomic.Uint64
}

// NewSendIDSource starts at the first one, under a sender's number that no other process draws.
func NewSendIDSource() *SendIDSource { return &SendIDSource{sender: rand.Uint64()} }

// Next is the next one as it travels.
func (s *SendIDSource) Next() string { return SendID{Sender: s.sender, Number: s.last.Add(1)}.String() }
