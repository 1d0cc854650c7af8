// Package stream is what both ends of a body need that is passed on as it comes: pooled windows, patience, a write that goes by it, and a look at what has
// come. It knows no protocol.
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
	// StallTimeout is how long an end of a stream may stand still. Slow ones that are legal give or take something each second; their
	// system's buffers hide some of that from us, never so much.
	StallTimeout = 15 * time.Second
	// WindowSize is how much of a stream is in our hands at a time.
	WindowSize = 32 << 10
)

// Window is a buffer of a stream. One that rests between two pieces has no other.
type Window = [WindowSize]byte

var windows = sync.Pool{New: func() any { return new(Window) }}

// AcquireWindow takes a window, which Give gives back.
func AcquireWindow() *Window { return windows.Get().(*Window) }

// ReleaseWindow gives a window back.
func ReleaseWindow(w *Window) { windows.Put(w) }

// Write writes all of p, of which each part is taken within StandTime. It leaves that deadline behind.
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

// Peek looks at what has come on a socket without taking it or waiting: n is 0 at the end, err EAGAIN where there is nothing.
func Peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
