package call

import (
	"io"
	"sync/atomic"
)

// Upload is the rest of a request's body, beyond what Message.Body holds. It is streamed to one attempt
// alone. Its methods may be called from any goroutine.
type Upload struct {
	// Length is that of the whole body in bytes, what Message.Body holds included; -1: unknown until it ends.
	Length int64
	// Read is as io.Reader's. One goroutine at a time may call it.
	Read func(p []byte) (int, error)

	claimed atomic.Bool
	onClaim func()
}

// OnClaim has a function called when an attempt claims the upload. It is set before the message is handed
// over.
func (u *Upload) OnClaim(f func()) { u.onClaim = f }

// Claim gives the upload to one attempt; false: another attempt has it, so this one has nothing to send.
func (u *Upload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	if u.onClaim != nil {
		u.onClaim()
	}
	return true
}

// Claimed says whether an attempt has claimed the upload.
func (u *Upload) Claimed() bool { return u.claimed.Load() }

// Body is a Stream of an answer's body over HTTP, read from the server. Read returns io.EOF after the last
// byte of a complete body; any other error says that it is truncated. A Body that was not read to its end
// has to be closed.
type Body interface {
	Stream
	io.Reader
	// Length is the body's length in bytes; -1: unknown until it ends.
	Length() int64
}
