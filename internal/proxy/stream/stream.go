// Package stream has what both ends of a streamed body need: pooled buffers, a write that fails when the peer stalls,
// and a way to see whether a socket has data. It is independent of the protocol, and safe for concurrent use.
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
	// StallTimeout is how long an end of a stream may make no progress. Slow peers that are allowed send or read
	// something every second; the buffers of their systems hide some of that from us, but never as much.
	StallTimeout = 15 * time.Second
	// WindowSize is how many bytes of a stream are buffered at a time.
	WindowSize = 32 << 10
)

// Window is the buffer of a stream. A stream that waits for data needs none.
type Window = [WindowSize]byte

var windows = sync.Pool{New: func() any { return new(Window) }}

// AcquireWindow returns a window from the pool, to be returned with ReleaseWindow.
func AcquireWindow() *Window { return windows.Get().(*Window) }

// ReleaseWindow returns a window to the pool.
func ReleaseWindow(w *Window) { windows.Put(w) }

// Write writes all of p. It fails if the peer accepts nothing for StallTimeout, and leaves a write deadline set.
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

// Peek says whether a socket has data, without reading it or blocking: n is 0 at the end of the stream, err is EAGAIN
// where there is no data.
func Peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
