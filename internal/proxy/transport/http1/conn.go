package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/stream"

	"golang.org/x/sys/unix"
)

var errEarlyResponse = errors.New("server responded before it could process the request")

// conn is a connection to a server. It carries one exchange at a time and is used by the exchange's goroutine. While it
// is idle, Transport.mu guards it.
type conn struct {
	net.Conn
	raw        syscall.RawConn // nil if the connection is not a socket
	reader     *bufio.Reader
	limited    io.LimitedReader // source of reader; limits the bytes read for the current response
	idleSince  time.Duration    // time at which the last exchange ended
	idleBefore time.Duration    // idle time before the current exchange; 0: the connection is new
}

// dialSystem opens a TCP connection.
func (t *Transport) dialSystem(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	d.KeepAlive = -1 // keep-alive probes detect a lost machine too late; requests have time-outs instead
	if t.userTimeout > 0 {
		d.Control = t.setUserTimeout
	}
	return d.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT, after which the system closes a connection whose peer does not acknowledge
// data.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	milliseconds := int(t.userTimeout.Milliseconds())
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// setLimits sets the write deadline to limits.SendBy and the read deadline to limits.Until.
func (c *conn) setLimits(clk clock.Clock, limits call.Limits) error {
	err := c.SetDeadline(clk.At(limits.Until))
	if err != nil || limits.SendBy == limits.Until { // the limits differ only for repeats
		return err
	}
	return c.SetWriteDeadline(clk.At(limits.SendBy))
}

// isUsable reports whether an idle connection can be reused: the server has neither closed nor reset the connection
// (because of its idle time-out, a drain or a restart), nor sent unrequested bytes.
func (c *conn) isUsable() bool {
	if c.raw == nil {
		return true
	}
	usable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		usable = err == syscall.EAGAIN
		return true // do not wait for input
	})
	return err == nil && usable
}

// hasInput reports whether the socket has unread bytes.
func (c *conn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	err := c.raw.Control(func(fd uintptr) { n, _ = stream.Peek(fd) })
	return err == nil && n > 0
}

// awaitInput waits until the connection has input or its peer has closed it, but not longer than waitUntil. It then
// sets the read deadline to until.
func (c *conn) awaitInput(t *Transport, waitUntil, until time.Duration) bool {
	_ = c.SetReadDeadline(t.clock.At(waitUntil))
	if c.raw == nil {
		_, err := c.reader.Peek(1)
		_ = c.SetReadDeadline(t.clock.At(until))
		return err == nil
	}
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := stream.Peek(fd)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	_ = c.SetReadDeadline(t.clock.At(until))
	return err == nil
}

// awaitBreak waits until the given time and returns nil, or returns an error as soon as the connection breaks. It is
// called before the server can process the request, so bytes that arrive meanwhile respond to no request. They are
// treated as a break.
func (c *conn) awaitBreak(until time.Duration, clk clock.Clock) error {
	if err := c.SetReadDeadline(clk.At(until)); err != nil {
		return err
	}
	var broken error
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := stream.Peek(fd)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			return false
		case err != nil:
			broken = err
		case n == 0:
			broken = io.ErrUnexpectedEOF
		default:
			broken = errEarlyResponse
		}
		return true
	})
	if broken != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Join(broken, err)
	}
	return nil
}
