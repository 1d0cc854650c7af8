package http1

import (
	"net"
	"time"

	"caperarch/internal/proxy/stream"
)

const (
	// rejectLinger is how long the rest of a rejected request is discarded.
	rejectLinger = 500 * time.Millisecond
	// maxLingerBytes bounds what is discarded behind a rejected request: several complete ones.
	maxLingerBytes = 512 << 10

	// earlyResponseLinger is how long the rest of a body is discarded whose request has its response: its client may
	// look for that only once it has sent all.
	earlyResponseLinger = 2 * time.Second
	// maxEarlyResponseLingerBytes bounds the same: a client that sends so much within earlyResponseLinger looks for its
	// response soon enough.
	maxEarlyResponseLingerBytes = 64 << 20
)

// lingeringClose ends our side and discards what the client still sends, for a time and up to maxBytes: closed with
// unread bytes a connection is reset, and the client finds that instead of its response (RFC 9112, 9.6). Such a
// connection is the first to be closed where there is no room for new ones.
func (c *conn) lingeringClose(within time.Duration, maxBytes int64) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(within)) != nil {
		return
	}
	c.acceptor.markLingering(c)
	c.discardInput(maxBytes)
}

// discardInput reads and discards up to remaining bytes, until the client sends no more.
func (c *conn) discardInput(remaining int64) {
	b := stream.AcquireWindow()
	defer stream.ReleaseWindow(b)
	c.unreadStart, c.unreadEnd = 0, 0 // what was here is discarded too
	for remaining > 0 {
		n, err := c.read(b[:min(remaining, stream.WindowSize)])
		if remaining -= int64(n); err != nil || n == 0 {
			return
		}
	}
}
