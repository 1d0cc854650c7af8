package call

import (
	"io"
	"sync/atomic"
)

// Upload is the rest of a request's body, beyond what Message.Body holds: it is passed on as it comes, to one attempt alone.
type Upload struct {
	Length int64                       // of the whole body in bytes, what Message.Body holds included; -1: unknown until it ends
	Read   func(p []byte) (int, error) // as io.Reader's; from one goroutine at a time

	claimed atomic.Bool
	onClaim func()
}

// Began has a function called when the first byte beyond Message.Body is asked for. It is set before the message is handed over.
func (u *Upload) OnClaim(f func()) { u.onClaim = f }

// Claim takes the rest for one attempt; false: another has it, so this one has nothing to send.
func (u *Upload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	if u.onClaim != nil {
		u.onClaim()
	}
	return true
}

// Claimed says whether an attempt has it.
func (u *Upload) Claimed() bool { return u.claimed.Load() }

// Body is a Stream of an answer's body over HTTP: whoever has it reads it from the server. Read returns io.EOF behind the last byte of a whole body; any other error
// says that it is cut off. A Body that was not read to its end has to be closed.
type Body interface {
	Stream
	io.Reader
	// Length is the body's in bytes; -1: unknown until it ends.
	Length() int64
}
