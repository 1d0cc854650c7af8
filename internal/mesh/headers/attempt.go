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
	aim = min(aim, longest.Milliseconds())
	return Attempt{Rank: rank, Aim: time.Duration(aim) * time.Millisecond, Safe: parts[2] == "1"}, true
}

// Stripped takes off what is the gate's alone, before a request goes to the upstream.
func Stripped(fields http.Header) {
	delete(fields, attemptTerms)
	delete(fields, sendName)
}

// SendField is the field that names a send.
const SendField = sendName

// Send names one send of a request: no two of them are alike, and later ones of a sender have
// higher numbers.
type Send struct {
	Sender uint64 // drawn anew at each start of a sidecar
	Number uint64
}

// String is a send as it travels.
func (s Send) String() string {
	b := strconv.AppendUint(nil, s.Sender, 16)
	b = append(b, '.')
	return string(strconv.AppendUint(b, s.Number, 10))
}

// ReadSend reads it; false: it is missing or malformed, and its sender no sidecar.
func ReadSend(h *h1.Head) (Send, bool) {
	sender, number, _ := strings.Cut(h.Get(sendName), ".")
	from, bad := strconv.ParseUint(sender, 16, 64)
	n, bad2 := strconv.ParseUint(number, 10, 64)
	return Send{Sender: from, Number: n}, bad == nil && bad2 == nil
}

// Sends numbers the sends of a process. Its methods may be called from any goroutine.
type Sends struct {
	sender uint64
	last   atomic.Uint64
}

// NewSends starts at the first one, under a sender's number that no other process draws.
func NewSends() *Sends { return &Sends{sender: rand.Uint64()} }

// Next is the next one as it travels.
func (s *Sends) Next() string { return Send{Sender: s.sender, Number: s.last.Add(1)}.String() }
