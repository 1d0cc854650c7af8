package http1

import (
	"net"
	"time"

	"caperarch/internal/proxy/stream"
)

const (
	// rejectLinger is how long further input is discarded after a request was rejected.
	rejectLinger = 500 * time.Millisecond
	// maxLingerBytes limits the bytes discarded after a rejected request. It is enough for several complete requests.
	maxLingerBytes = 512 << 10

	// earlyResponseLinger is how long the rest of a body is discarded after the response was sent early. A client may
	// read the response only after it has sent the complete body.
	earlyResponseLinger = 2 * time.Second
	// maxEarlyResponseLingerBytes limits the bytes discarded after an early response. A client that sends this much
	// within earlyResponseLinger reads its response soon enough.
	maxEarlyResponseLingerBytes = 64 << 20
)

// lingeringClose closes the sending side of the connection and discards further input for a limited time, up to
// maxBytes. A connection closed with unread bytes is reset, and the client would see the reset instead of its
// response (RFC 9112, 9.6). When a new connection needs room, lingering connections are closed first.
func (c *conn) lingeringClose(within time.Duration, maxBytes int64) {
	if !c.closeWrite(within) {
		return
	}
	c.unreadStart, c.unreadEnd = 0, 0 // bytes that were read but not parsed are discarded too
	discardInput(c.read, maxBytes)
}

// closeWrite closes the sending side of the connection and limits the time for further input. It returns false if there
// is no sending side of its own to close.
func (c *conn) closeWrite(within time.Duration) bool {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(within)) != nil {
		return false
	}
	c.acceptor.markLingering(c)
	return true
}

// discardInput reads and discards input until the client sends no more, up to the given number of bytes.
func discardInput(read func(p []byte) (int, error), remaining int64) {
	b := stream.AcquireWindow()
	defer stream.ReleaseWindow(b)
	for remaining > 0 {
		n, err := read(b[:min(remaining, stream.WindowSize)])
		if remaining -= int64(n); err != nil || n == 0 {
			return
		}
	}
}
