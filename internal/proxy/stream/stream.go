// Package stream provides what both ends of a streamed body need: pooled buffers, a write that fails when the peer
// stalls, and a check whether a socket has data. It is independent of the protocol. Its functions are safe for
// concurrent use.
package stream

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// StallTimeout is how long an end of a stream may make no progress. Permitted slow peers send or read some bytes
	// at least every second. The socket buffers of the peer's system hide a part of that progress, but never for this
	// long.
	StallTimeout = 15 * time.Second
	// WindowSize is how many bytes of a stream are buffered at a time.
	WindowSize = 32 << 10
)

// Window is the buffer of a stream. A stream that waits for data needs no buffer.
type Window = [WindowSize]byte

// windows is the pool of unused buffers.
var windows = sync.Pool{New: func() any { return new(Window) }}

// AcquireWindow returns a window from the pool. The caller returns it with ReleaseWindow.
func AcquireWindow() *Window { return windows.Get().(*Window) }

// ReleaseWindow returns a window to the pool.
func ReleaseWindow(w *Window) { windows.Put(w) }

// Write writes all of p. It fails if the peer accepts no bytes for StallTimeout. The last write deadline stays set on
// the connection.
func Write(c net.Conn, p []byte) error {
	for len(p) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(StallTimeout)); err != nil {
			return err
		}
		n, err := c.Write(p)
		p = p[n:]
		if err != nil && !(n > 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
	return nil
}

// Peek returns whether a socket has data, without reading the data or blocking. n is 0 at the end of the stream; err
// is EAGAIN if there is no data.
func Peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
