package headers

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"

	"caperarch/internal/proxy/h1"
)

// SendID identifies one send of an attempt. No two sends have the same SendID, and later sends of a sender have higher
// numbers.
type SendID struct {
	Sender uint64 // drawn at random at each start of a sidecar
	Number uint64
}

// String encodes the id as in SendIDField: the sender in hexadecimal, a dot, and the number in decimal.
func (id SendID) String() string {
	b := strconv.AppendUint(nil, id.Sender, 16)
	b = append(b, '.')
	return string(strconv.AppendUint(b, id.Number, 10))
}

// ParseSendID decodes the SendID of a request. It returns false if the id is missing or malformed, in which case the
// sender is not a sidecar.
func ParseSendID(h *h1.Head) (SendID, bool) {
	senderText, numberText, _ := strings.Cut(h.Get(SendIDField), ".")
	sender, errSender := strconv.ParseUint(senderText, 16, 64)
	number, errNumber := strconv.ParseUint(numberText, 10, 64)
	return SendID{Sender: sender, Number: number}, errSender == nil && errNumber == nil
}

// SendIDSource issues the SendIDs of a process. Its methods may be called from any goroutine.
type SendIDSource struct {
	sender uint64
	last   atomic.Uint64
}

// NewSendIDSource returns a source with a random sender, which distinguishes its ids from the ids of other processes.
func NewSendIDSource() *SendIDSource { return &SendIDSource{sender: rand.Uint64()} }

// Next returns the next id in its encoded form.
func (s *SendIDSource) Next() string {
	return SendID{Sender: s.sender, Number: s.last.Add(1)}.String()
}

// Issued reports whether an id is from this source, by the sender of the id.
func (s *SendIDSource) Issued(id SendID) bool { return id.Sender == s.sender }
