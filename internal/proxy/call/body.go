package call

import (
	"io"
	"sync/atomic"
)

// Upload is the part of a request's body that follows Message.Body. It is streamed, and only one attempt can send it.
// Its methods may be called from any goroutine.
type Upload struct {
	// Length is the length of the whole body in bytes, including Message.Body; -1: unknown until the body ends.
	Length int64
	// Read reads the next bytes, as io.Reader does. Only one goroutine at a time may call it.
	Read func(p []byte) (int, error)

	claimed atomic.Bool
	onClaim func()
}

// OnClaim sets a function that is called when an attempt claims the upload. It must be called before the message is
// handed over.
func (u *Upload) OnClaim(f func()) { u.onClaim = f }

// Claim reserves the upload for the calling attempt. It returns false if another attempt has claimed the upload, so
// that the calling attempt cannot send the body.
func (u *Upload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	if u.onClaim != nil {
		u.onClaim()
	}
	return true
}

// Claimed reports whether an attempt has claimed the upload.
func (u *Upload) Claimed() bool { return u.claimed.Load() }

// Body is a Stream of the body of an HTTP answer, read from the server. Read returns io.EOF after the last byte of a
// complete body; any other error means that the body is truncated. A Body that was not read to its end must be closed.
type Body interface {
	Stream
	io.Reader
	// Length returns the length of the body in bytes; -1: unknown until the body ends.
	Length() int64
}
