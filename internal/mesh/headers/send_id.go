package headers

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"

	"caperarch/internal/proxy/h1"
)

// SendID identifies one send of an attempt: no two of them are equal, and later ones of a sender have
// higher numbers.
type SendID struct {
	Sender uint64 // drawn at random at each start of a sidecar
	Number uint64
}

// String is the id as it travels.
func (id SendID) String() string {
	b := strconv.AppendUint(nil, id.Sender, 16)
	b = append(b, '.')
	return string(strconv.AppendUint(b, id.Number, 10))
}

// ParseSendID reads the id of a request's send. It returns false if it is missing or malformed: then
// the sender is no sidecar.
func ParseSendID(h *h1.Head) (SendID, bool) {
	senderText, numberText, _ := strings.Cut(h.Get(SendIDField), ".")
	sender, errSender := strconv.ParseUint(senderText, 16, 64)
	number, errNumber := strconv.ParseUint(numberText, 10, 64)
	return SendID{Sender: sender, Number: number}, errSender == nil && errNumber == nil
}

// SendIDSource numbers the sends of a process. Its methods may be called from any goroutine.
type SendIDSource struct {
	sender uint64
	last   atomic.Uint64
}

// NewSendIDSource returns a source under a random sender, which no other process shares.
func NewSendIDSource() *SendIDSource { return &SendIDSource{sender: rand.Uint64()} }

// Next returns the next id as it travels.
func (s *SendIDSource) Next() string {
	return SendID{Sender: s.sender, Number: s.last.Add(1)}.String()
}

// Issued reports whether an id is of this source.
func (s *SendIDSource) Issued(id SendID) bool { return id.Sender == s.sender }
